package edge

import (
	"math"
	"strings"
	"time"

	"chervilyard.example/yard/suspect"
)

// settlePeriod is how long after its start an instance may not have heard the others of its
// region.
const settlePeriod = time.Second

// buildSuspects connects the ledger of suspect parts to the log and the heartbeats.
func (e *Edge) buildSuspects() {
	log := func(choice string) func(time.Time, suspect.Verdict) {
		return func(_ time.Time, v suspect.Verdict) {
			targets := make([]string, len(v.Ends))
			for i, end := range v.Ends {
				targets[i] = end.Target
			}
			e.logDecision("part", choice, v.Part+"; targets that ended: "+strings.Join(targets, ","))
		}
	}
	e.suspects.OnBlocked, e.suspects.OnCleared, e.suspects.OnTrial = log("blocked"), log("cleared"), log("tried")
	e.suspects.OnNews = func() { e.gossiper.Broadcast(e.ctx) }
}

// trialRank returns the rank of this instance among those that send requests with the part as
// trials. One that has just started sends none, since it may not have heard of others' trials
// yet.
func (e *Edge) trialRank(now time.Time, part string) int {
	if now.Sub(e.started) < settlePeriod {
		return math.MaxInt32
	}
	var others []string
	for _, m := range e.memberTable.Live(now, liveTimeout) {
		if m.Ready && !m.Leaving {
			others = append(others, m.Name)
		}
	}
	return suspect.Rank(part, e.Settings().Name, others)
}
