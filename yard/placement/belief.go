package placement

import (
	"fmt"
	"strconv"
	"strings"
	"time"
)

// recentlyCold is how long a target that is warm again, that may have restarted or
// whose run is new stays of interest to Ticket.ColdBelief.
const recentlyCold = 5 * time.Second

// oldKnowledge is the age of the target list above which requests to its targets stay of
// interest to Ticket.ColdBelief.
const oldKnowledge = 2 * time.Second

// coldBelief is what an instance believes about the cold time of a target.
type coldBelief struct {
	cold      bool
	coldUntil time.Time // zero if the run was never listed as cold
	suspected time.Time // last sign of a possible restart, dismissed or not
	runListed time.Time // when the run was first listed
	knownAsOf time.Time // when the list that has the target was requested; zero if it was never listed
	limit     int       // requests that this instance may send in a coldlimit.Window
	share     ColdShare
}

// coldBelief returns the belief about the target, or nil if it has been warm for recentlyCold
// by a list that is not older than oldKnowledge, or if cold targets of the service have no rate
// limit. The caller must hold p.mu.
func (p *Picker) coldBelief(now time.Time, name string, s *targetState, r Request, coldShare ColdShare) *coldBelief {
	since := now.Add(-recentlyCold)
	if r.Service.ColdRequestsPerSecond() <= 0 {
		return nil
	}
	old := !s.lastListed.IsZero() && now.Sub(s.lastListed) > oldKnowledge
	if !old && !p.isCold(now, s) && !s.lastColdUntil.After(since) && !s.lastSuspected.After(since) && !s.runListed.After(since) {
		return nil
	}
	return &coldBelief{
		cold: p.isCold(now, s), coldUntil: s.lastColdUntil, suspected: s.lastSuspected, runListed: s.runListed, knownAsOf: s.lastListed,
		limit: p.coldLimit(name, r, coldShare), share: coldShare,
	}
}

// ColdBelief describes for the log what was believed about the cold time of the target
// when it was chosen. It returns "" for a target that had been warm for some seconds
// and still was when the request was sent. The parts are separated by commas:
//
//	NAME, and cold or warm
//	became-cold      it was cold when the request was sent
//	left=1.2s        remaining cold time; negative if it is over
//	suspected=300ms  time since the last sign of a possible restart
//	run=400ms        time since its run was first listed
//	known=4.9s       age of the target list, if it is older than usual
//	limit=1          requests that this instance may send to it
//	rank=3/27        rank of this instance in its region
//	sent=650ms       time from the choice until the connection was made
func (t *Ticket) ColdBelief() string {
	if t.belief == nil && !t.becameCold {
		return ""
	}
	parts := []string{t.target.Name(), "warm"}
	if t.belief != nil && t.belief.cold {
		parts[1] = "cold"
	}
	if t.becameCold {
		parts = append(parts, "became-cold")
	}
	if t.belief != nil {
		parts = append(parts, t.belief.inputs(t.chosenAt)...)
	}
	if !t.sentAt.IsZero() {
		parts = append(parts, "sent="+formatMillis(t.sentAt.Sub(t.chosenAt)))
	}
	return strings.Join(parts, ",")
}

// inputs formats the values that the belief was based on at the time now.
func (b *coldBelief) inputs(now time.Time) []string {
	var parts []string
	if !b.coldUntil.IsZero() {
		parts = append(parts, "left="+formatMillis(b.coldUntil.Sub(now)))
	}
	if !b.suspected.IsZero() {
		parts = append(parts, "suspected="+formatMillis(now.Sub(b.suspected)))
	}
	if !b.runListed.IsZero() {
		parts = append(parts, "run="+formatMillis(now.Sub(b.runListed)))
	}
	if !b.knownAsOf.IsZero() && now.Sub(b.knownAsOf) > oldKnowledge {
		parts = append(parts, "known="+formatMillis(now.Sub(b.knownAsOf)))
	}
	return append(parts, "limit="+strconv.Itoa(b.limit), fmt.Sprintf("rank=%d/%d", b.share.Rank, b.share.Instances))
}

func formatMillis(d time.Duration) string { return d.Round(time.Millisecond).String() }
