package instance

import (
	"slices"
	"strconv"
	"strings"
	"time"

	"chervilyard.example/chervilyard/decisionlog"
	"chervilyard.example/yard/fleet"
	"chervilyard.example/yard/peer"
	"chervilyard.example/yard/suspect"
)

// buildSuspects connects the ledger of suspect parts to the log, the metrics and the
// heartbeats.
func (i *Instance) buildSuspects() {
	log := func(choice string) func(time.Time, suspect.Verdict) {
		return func(now time.Time, v suspect.Verdict) {
			targets := make([]string, len(v.Ends))
			for n, end := range v.Ends {
				targets[n] = end.Target
			}
			reason := v.Part + "; targets that ended: " + strings.Join(targets, ",")
			if v.More > 0 {
				reason += "; and " + strconv.Itoa(v.More) + " more parts"
			}
			i.decisions.Record(decisionlog.Decision{Time: now, Kind: "part", Choice: choice, Centre: i.settings.Centre(), Reason: reason})
		}
	}
	l := &i.dispatch.Suspects
	l.OnBlocked, l.OnCleared, l.OnTrial = log("blocked"), log("cleared"), log("tried")
	l.OnNews = func() { i.heartbeats.SendNow() }
	i.dispatch.TargetEnded = i.liveness.Ended
	i.dispatch.TrialRank = i.trialRank
	i.dispatch.CountPartRefusal = i.meter.CountPartRefusal
	i.meter.Gauge("chervil_blocked_parts", func() float64 { return float64(l.Blocked()) })
}

// trialRank returns the rank of this instance among the live ones, which start trials of the
// part in turn.
func (i *Instance) trialRank(now time.Time, part string) int {
	var others []string
	for _, m := range i.memberList.Live(now) {
		if !m.GetLeaving() {
			others = append(others, m.GetAddress())
		}
	}
	return suspect.Rank(part, i.PeerAddr(), others)
}

// suspectsFor returns what to tell the instance at a peer address about suspect parts.
func (i *Instance) suspectsFor(now time.Time, to string) *fleet.Suspects {
	members := i.memberList.Live(now)
	n := slices.IndexFunc(members, func(m *peer.Member) bool { return m.GetAddress() == to })
	if n < 0 {
		return i.dispatch.Suspects.Message(now, to, 0)
	}
	return i.dispatch.Suspects.Message(now, to, members[n].GetRun())
}

// senderAddress returns the peer address of the instance that sent a member list.
func senderAddress(r *peer.Roll) string {
	if len(r.GetMembers()) == 0 {
		return ""
	}
	return r.GetMembers()[0].GetAddress()
}
