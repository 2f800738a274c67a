package edge

import (
	"slices"
	"time"

	"chervilyard.example/yard/membership"
	"chervilyard.example/yard/silence"
)

// heartbeatsMissing reports whether the heartbeats of a member are overdue, compared with those of
// the other members of its region. Heartbeats say nothing of the path from here where hubs relay
// them, so they are only one sign of several.
func (e *Edge) heartbeatsMissing(now time.Time, m membership.Member) bool {
	known, ok := e.memberTable.Get(m.Name)
	if !ok || known.Heard.IsZero() {
		return false
	}
	age := now.Sub(known.Heard)
	if !silence.HeartbeatsMissing(age, 1) { // before the others are looked at
		return false
	}
	var others []time.Duration
	e.memberTable.VisitLive(now, liveTimeout, func(other membership.Member, _ uint64) {
		if other.Region == known.Region && other.Name != known.Name {
			others = append(others, now.Sub(other.Heard))
		}
	})
	if len(others) == 0 {
		return false
	}
	slices.Sort(others)
	return silence.HeartbeatsMissing(age, max(others[len(others)/2], 1))
}

// recordHopSilent counts and logs a forwarded request that ended because the hop was silent.
func (e *Edge) recordHopSilent(_ time.Time, m membership.Member) {
	e.meter.CountSilentHop(m.Name)
	e.logDecision("hop", "silent", m.Name)
}
