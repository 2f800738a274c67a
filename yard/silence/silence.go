// Package silence tells whether the hop to a member, over which requests are forwarded, has
// fallen silent: a member that is cut off, or a path that drops packets, closes no connection.
// The decision rests on what arrived over the hop, on connections that could not be made, on
// small probes and on heartbeats. A member that is only slow answers probes.
package silence

import (
	"sync"
	"time"
)

const (
	// minPatience is the shortest time without a byte before a hop is probed. It is longer than
	// the pauses between the events of most streams.
	minPatience = 200 * time.Millisecond
	// A probe needs two round trips, one of them for its connection. probeRoundTrips leaves as
	// much again, and probeMargin is for the processing at a busy member. A member that answered
	// its last probe late gets probeSlowdown times as long, up to maxProbeLimit.
	probeRoundTrips = 4
	probeMargin     = 100 * time.Millisecond
	minProbeLimit   = 300 * time.Millisecond
	maxProbeLimit   = 1500 * time.Millisecond
	probeSlowdown   = 3
	// probeInterval is the time between an answered probe and the next one.
	probeInterval = 500 * time.Millisecond
	// One probe may be lost with a single packet, so missedProbes in a row are needed without
	// another sign.
	missedProbes = 2
	// signsNeeded is the number of independent signs that are sufficient otherwise.
	signsNeeded = 2
	// evidenceTTL is how long a failed connection, a missed probe or a silent hop counts.
	evidenceTTL = 3 * time.Second
	// Heartbeats are missing if the last one is older than minHeartbeatAge and unusualAge times
	// what is usual for the other members of the region. Where hubs relay them, the usual age is
	// seconds.
	minHeartbeatAge = time.Second
	unusualAge      = 3
	// A silent member is avoided for minHold at least. The time doubles up to maxHold for one
	// that is found silent again without a byte in between: heartbeats that others relay say
	// nothing of the hop.
	minHold = time.Second
	maxHold = 8 * time.Second
	// This instance counts as cut off if cutOffMembers are silent and nothing at all has been
	// heard for cutOffQuiet.
	cutOffMembers = 2
	cutOffQuiet   = time.Second
	// retention is how long a member without any event is remembered.
	retention = time.Minute
)

// Monitor holds what is known of the hops to other members. The zero value is ready to use. It
// is safe for concurrent use.
type Monitor struct {
	mu       sync.Mutex
	members  map[string]*hop
	received time.Time // last byte from any member
}

type hop struct {
	received    time.Time     // last byte on any connection
	unreached   time.Time     // last new connection that could not be made since then
	missed      int           // probes in a row that were not answered since then
	missedAt    time.Time     // end of the last of them
	probing     bool          // a probe is under way
	probeStart  time.Time     // of the last probe
	answerTime  time.Duration // of the last answered probe
	silentSince time.Time     // when it was found silent; zero if it is not
	hold        time.Duration // for which it is avoided
	changed     time.Time     // last event
}

// Received records that bytes of the member arrived over the hop.
func (m *Monitor) Received(now time.Time, member string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.receive(now, member)
}

func (m *Monitor) receive(now time.Time, member string) {
	h := m.hop(now, member)
	h.received, m.received = now, now
	h.unreached, h.missed, h.silentSince, h.hold = time.Time{}, 0, time.Time{}, 0
}

// Unreached records that a new connection to the member, other than that of a probe, could not
// be made.
func (m *Monitor) Unreached(now time.Time, member string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.hop(now, member).unreached = now
}

// Check reports whether the hop to the member is silent for a request that was sent over it at a
// time, and if not, after what time to check again and whether a probe may be of use now. Bytes
// are expected within patience. Unheard states that heartbeats of the member are missing; see
// HeartbeatsMissing.
func (m *Monitor) Check(now, sent time.Time, member string, patience time.Duration, unheard bool) (silent, probe bool, next time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	h := m.hop(now, member)
	patience = max(patience, minPatience)
	if h.received.After(sent) {
		sent = h.received
	}
	if quiet := now.Sub(sent); quiet < patience {
		return false, false, patience - quiet
	}
	if now.Sub(h.missedAt) > evidenceTTL {
		h.missed = 0
	}
	signs := 0
	for _, sign := range []bool{h.missed > 0, !h.unreached.IsZero() && now.Sub(h.unreached) <= evidenceTTL, unheard} {
		if sign {
			signs++
		}
	}
	if h.missed < missedProbes && signs < signsNeeded {
		return false, !h.probing && (h.missed > 0 || now.Sub(h.probeStart) >= probeInterval), minPatience / 4
	}
	if h.silentSince.IsZero() || now.Sub(h.silentSince) >= h.hold {
		h.silentSince, h.hold = now, min(max(2*h.hold, minHold), maxHold)
	}
	return true, false, 0
}

// StartProbe returns the time limit of a probe of the member that starts now, and false if one
// is under way already.
func (m *Monitor) StartProbe(now time.Time, member string, roundTrip time.Duration) (limit time.Duration, ok bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	h := m.hop(now, member)
	if h.probing {
		return 0, false
	}
	h.probing, h.probeStart = true, now
	limit = max(probeRoundTrips*roundTrip+probeMargin, minProbeLimit)
	return max(limit, min(probeSlowdown*h.answerTime, maxProbeLimit)), true
}

// EndProbe records whether the probe that is under way was answered within its time limit. One
// that was withdrawn is neither answered nor missed.
func (m *Monitor) EndProbe(now time.Time, member string, answered, withdrawn bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	h := m.hop(now, member)
	h.probing = false
	switch {
	case answered:
		h.answerTime = now.Sub(h.probeStart)
		m.receive(now, member)
	case !withdrawn && !h.received.After(h.probeStart):
		h.missed++
		h.missedAt = now
	}
}

// Avoids reports whether requests are not to be forwarded to the member, which was last heard of
// at a time, directly or through others: it was found silent and has not been heard again.
func (m *Monitor) Avoids(now time.Time, member string, heard time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	h := m.members[member]
	if h == nil || h.silentSince.IsZero() {
		return false
	}
	return now.Sub(h.silentSince) < h.hold || !heard.After(h.silentSince)
}

// CutOff reports whether all hops are silent, so that this instance is more likely cut off than
// each of the members. Heard is the time at which any of them was last heard of.
func (m *Monitor) CutOff(now, heard time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if now.Sub(heard) < cutOffQuiet || now.Sub(m.received) < cutOffQuiet {
		return false
	}
	silent := 0
	for _, h := range m.members {
		if !h.silentSince.IsZero() && now.Sub(h.silentSince) <= max(evidenceTTL, h.hold) {
			silent++
		}
	}
	return silent >= cutOffMembers
}

// HeartbeatsMissing reports whether the age of a member's last known heartbeat says that it may
// be silent. Usual is the age for the other members of its region, 0 if there is none: without
// it, nothing tells whether the heartbeats of the region arrive here at all.
func HeartbeatsMissing(age, usual time.Duration) bool {
	return usual > 0 && age > minHeartbeatAge && age > unusualAge*usual
}

// hop returns the state of the member. The caller must hold m.mu.
func (m *Monitor) hop(now time.Time, member string) *hop {
	h := m.members[member]
	if h == nil {
		if m.members == nil {
			m.members = make(map[string]*hop)
		}
		for name, other := range m.members {
			if now.Sub(other.changed) > retention {
				delete(m.members, name)
			}
		}
		h = &hop{}
		m.members[member] = h
	}
	h.changed = now
	return h
}
