// Package reachability tells from the outcomes of new connections whether an instance is cut
// off from the targets of a service. Connections that are open already say little: they may
// live on while new ones are refused.
package reachability

import (
	"slices"
	"sync"
	"time"
)

const (
	// An instance counts as cut off if new connections to all targets failed since the last one
	// that was answered, minFailures in all. Of more than maxWitnesses, health checks of so many
	// must have failed: requests may meet targets that crashed together.
	maxWitnesses = 5
	minFailures  = 2
	// evidenceTTL is how long a failure counts.
	evidenceTTL = 3 * time.Second
	// While connections fail, targets are checked every checkInterval, one after the other. A
	// target of which a check shows nothing within checkTimeout gives no evidence: its limit
	// may allow neither a request nor a check now.
	checkInterval = 250 * time.Millisecond
	checkTimeout  = 700 * time.Millisecond
	// minCutOff is the shortest time for which an instance counts as cut off, and
	// answersToReturn the number of new connections in a row that are answered before it does
	// not any more, so that a link that comes and goes does not change the routes each time.
	minCutOff       = time.Second
	answersToReturn = 2
)

// Monitor holds the outcomes of new connections to the targets of each service. The zero value
// is ready to use. It is safe for concurrent use.
type Monitor struct {
	mu       sync.Mutex
	services map[string]*state
	heard    map[string]time.Time // last response, on any connection, by target
}

// state is that of one service.
type state struct {
	failedAt    map[string]time.Time // targets that failed since the last answer, and when
	failures    int                  // since the last answer
	lastFailure time.Time
	cutOff      bool
	since       time.Time            // when it was cut off
	answers     int                  // in a row while it is cut off
	checkedAt   time.Time            // when NextCheck last returned a target
	checks      map[string]time.Time // when it last returned each, since the last answer
}

// Failed records that a new connection to the target could not be made, or broke or was silent
// before a response.
func (m *Monitor) Failed(now time.Time, service, target string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	s := m.state(service)
	if s.failedAt == nil || now.Sub(s.lastFailure) > evidenceTTL {
		s.failedAt, s.checks, s.failures = make(map[string]time.Time), make(map[string]time.Time), 0
	}
	s.failedAt[target], s.lastFailure = now, now
	s.failures++
	s.answers = 0
}

// Answered records that the target responded to a request on a new connection.
func (m *Monitor) Answered(now time.Time, service, target string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.hear(now, target)
	s := m.state(service)
	if s.cutOff {
		if s.answers++; s.answers < answersToReturn || now.Sub(s.since) < minCutOff {
			return
		}
		s.cutOff = false
	}
	s.failedAt, s.checks, s.failures, s.answers = nil, nil, 0, 0
}

// Heard records a response of the target on any connection.
func (m *Monitor) Heard(now time.Time, target string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.hear(now, target)
}

func (m *Monitor) hear(now time.Time, target string) {
	if m.heard == nil {
		m.heard = make(map[string]time.Time)
	}
	m.heard[target] = now
}

// IsSilentSince reports whether the target has not responded to any request since a time.
func (m *Monitor) IsSilentSince(target string, since time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return !m.heard[target].After(since)
}

// CutOff reports whether none of the targets, which are all of the service, can be reached.
func (m *Monitor) CutOff(now time.Time, service string, targets []string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	s := m.services[service]
	if s == nil {
		return false
	}
	failed, failedChecks, mute := 0, 0, 0
	for _, name := range targets {
		if at, ok := s.failedAt[name]; ok {
			failed++
			if checked, ok := s.checks[name]; ok && !at.Before(checked) {
				failedChecks++
			}
		} else if checked, ok := s.checks[name]; ok && now.Sub(checked) > checkTimeout {
			mute++
		}
	}
	switch {
	case failed == 0 || now.Sub(s.lastFailure) > evidenceTTL && s.answers == 0:
		s.cutOff = false
	case !s.cutOff && (failed >= len(targets)-mute || failedChecks >= maxWitnesses) && s.failures >= minFailures:
		s.cutOff, s.since, s.answers = true, now, 0
	}
	return s.cutOff
}

// NextCheck returns the target of the service that a health check should be sent to now, and
// false if none should: the one whose last failure or check is the longest ago.
func (m *Monitor) NextCheck(now time.Time, service string, targets []string) (string, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	s := m.services[service]
	if s == nil || s.failures == 0 || now.Sub(s.lastFailure) > evidenceTTL || now.Sub(s.checkedAt) < checkInterval || len(targets) == 0 {
		return "", false
	}
	next := slices.MinFunc(targets, func(a, b string) int { return s.lastEvidence(a).Compare(s.lastEvidence(b)) })
	s.checkedAt, s.checks[next] = now, now
	return next, true
}

// lastEvidence returns when the target last failed or was checked, zero if neither.
func (s *state) lastEvidence(target string) time.Time {
	if failed, checked := s.failedAt[target], s.checks[target]; failed.After(checked) {
		return failed
	}
	return s.checks[target]
}

// Retain forgets the targets for which listed returns false.
func (m *Monitor) Retain(listed func(target string) bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for name := range m.heard {
		if !listed(name) {
			delete(m.heard, name)
		}
	}
	for _, s := range m.services {
		for name := range s.failedAt {
			if !listed(name) {
				delete(s.failedAt, name)
			}
		}
	}
}

func (m *Monitor) state(service string) *state {
	if m.services == nil {
		m.services = make(map[string]*state)
	}
	s := m.services[service]
	if s == nil {
		s = &state{}
		m.services[service] = s
	}
	return s
}
