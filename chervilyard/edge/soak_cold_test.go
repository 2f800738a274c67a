package edge_test

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"time"
)

const (
	soakColdPerS   = 4.4
	soakColdLimit  = soakColdPerS*1.5 + 3
	soakColdTime   = 2500 * time.Millisecond // for which a target is cold
	soakColdNotice = 1700 * time.Millisecond // from when it turns cold until its data centre is taken back
	soakReports    = time.Second             // between two reports of a target
)

// coldError is the error of a cold target that got more requests within a second than it
// bears.
type coldError struct {
	target   string
	coldFrom time.Time
	arrivals []arrival
}

// Error returns the number of requests and the limit.
func (e *coldError) Error() string {
	return fmt.Sprintf("%d requests within a second at %s, which was cold: at most %v", len(e.arrivals), e.target, soakColdLimit)
}

// judgeCold returns an error if the target got more requests than a cold one bears.
func judgeCold(h *healthTarget) *coldError {
	if most := h.mostInSecond(); float64(len(most)) > soakColdLimit {
		return &coldError{h.name, h.coldUntil.Add(-soakColdTime), slices.Clone(most)}
	}
	return nil
}

// evacuate evacuates the data centre of the target and takes it back, again and again, until
// the context ends. The target turns cold before it is taken back, without a restart. All this
// reaches the store also while no instance does.
func (s *soak) evacuate(ctx context.Context, h *healthTarget, entry targetEntry) {
	evacuated := false
	wait := func(d time.Duration) {
		for end := time.Now().Add(d); ctx.Err() == nil && time.Now().Before(end); {
			if evacuated { // the store may have come back from an older copy
				s.f.store.put("configuration/closed/"+entry.Centre, true)
			}
			entry.Beat++
			entry.ColdMS = h.coldLeft(time.Now()).Milliseconds()
			s.f.store.put("targets/"+h.name, entry)
			select {
			case <-ctx.Done():
			case <-time.After(min(soakReports, time.Until(end))):
			}
		}
	}
	for ctx.Err() == nil {
		wait(time.Duration(500+s.intN(1500)) * time.Millisecond)
		evacuated = true
		wait(time.Duration(3000+s.intN(1500)) * time.Millisecond)
		s.judgeCold(h)
		h.turnCold(time.Now(), soakColdTime)
		wait(soakColdNotice)
		evacuated = false
		s.f.store.put("configuration/closed/"+entry.Centre, nil)
		wait(soakColdTime - soakColdNotice)
	}
	s.judgeCold(h)
}

// judgeCold keeps the error of the last cold time of the target, if there is one.
func (s *soak) judgeCold(h *healthTarget) {
	if err := judgeCold(h); err != nil {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.floods = append(s.floods, err)
	}
}

// describe returns the error with what was logged of the requests, and of all else from some
// seconds before the target became cold.
func (s *soak) describe(e *coldError) string {
	text := e.Error()
	for _, a := range e.arrivals {
		text += fmt.Sprintf("\n%d ms, request %s%s", a.at.Sub(e.coldFrom).Milliseconds(), a.id, s.history(a.id))
	}
	for _, log := range s.logs {
		for _, d := range log.History("") {
			if since := d.Time.Sub(e.coldFrom); since > -6*time.Second && since < soakColdTime {
				text += fmt.Sprintf("\n%d ms, %s %s %s %s %s", since.Milliseconds(), d.Centre, d.Kind, d.Choice, d.Target, d.Reason)
			}
		}
	}
	return text
}

// coldLeft returns how long the target stays cold.
func (h *healthTarget) coldLeft(now time.Time) time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	return max(h.coldUntil.Sub(now), 0)
}

// Shows that the judge of the soak reports a cold target that gets more than it bears, and only
// then.
func TestSoakJudgesColdTargets(t *testing.T) {
	start := time.Unix(1_700_000_000, 0)
	for _, c := range []struct {
		perSecond int
		cold      time.Duration
		flooded   bool
	}{{9, 3 * time.Second, false}, {10, 3 * time.Second, true}, {40, 0, false}, {40, 200 * time.Millisecond, false}} {
		h := &healthTarget{name: "t"}
		h.turnCold(start, c.cold)
		for n := range 3 * c.perSecond {
			h.arrive(start.Add(time.Duration(n)*time.Second/time.Duration(c.perSecond)), "")
		}
		if err := judgeCold(h); (err != nil) != c.flooded {
			t.Errorf("%d requests a second at a target that is cold for %v: %v", c.perSecond, c.cold, err)
		}
	}
}

// Guards against excusing requests of instances that never had them, and against blaming an
// instance that was killed and had been tried second.
func TestTriedAt(t *testing.T) {
	const history = "west refused 502 target_failed 915 ms: EOF; tried=west-1,east-0,east sends=2 version=1"
	for name, want := range map[string]bool{"west-1": true, "east-0": true, "east-1": false, "west": false, "east-": false} {
		if got := triedAt(history, name); got != want {
			t.Errorf("tried at %s: %v, want %v", name, got, want)
		}
	}
}
