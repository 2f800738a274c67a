package reader

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"pgregory.net/rapid"

	"chervilyard.example/chervilyard/decisionlog"
	"chervilyard.example/yard/view"
)

var (
	start      = time.Unix(1_700_000_000, 0)
	errRefused = errors.New("refused")
)

const (
	readAge           = 600 * time.Millisecond
	rankDelay         = 250 * time.Millisecond
	heartbeatInterval = 100 * time.Millisecond // between each two instances
	simulationTick    = 50 * time.Millisecond
)

// region simulates the instances of one region, which share what they read from
// the store.
type region struct {
	refreshers []*Refresher
	refused    []bool      // whether the store refuses the instance's reads
	retryAt    []time.Time // end of the instance's backoff after a failed read
	now        time.Time
	reads      int // attempted, by all instances
}

func newRegion(n int) *region {
	sim := &region{refused: make([]bool, n), retryAt: make([]time.Time, n), now: start}
	for i := range n {
		sim.refreshers = append(sim.refreshers, &Refresher{
			View: &view.View{}, MaxAge: readAge, RankDelay: rankDelay,
			Rank: func(time.Time) int { return i }, Decisions: decisionlog.NewWithHistory(hclog.NewNullLogger(), 1),
		})
	}
	return sim
}

// advance simulates one tick: instances that are due read, and each shares its
// view with all others at the heartbeat interval.
func (sim *region) advance() {
	sim.now = sim.now.Add(simulationTick)
	for i, r := range sim.refreshers {
		if sim.now.Before(sim.retryAt[i]) || r.timeToDue(sim.now) > 0 {
			continue
		}
		sim.reads++
		if sim.refused[i] {
			sim.retryAt[i] = sim.now.Add(maxBackoff)
			continue
		}
		r.View.Update(view.Snapshot{Revision: 1, Digest: 1, AsOf: sim.now})
	}
	if sim.now.Sub(start)%heartbeatInterval != 0 {
		return
	}
	for _, from := range sim.refreshers {
		if s := from.View.Snapshot(); !s.AsOf.IsZero() {
			for _, to := range sim.refreshers {
				if !to.View.Confirm(s.Era, s.Revision, s.Digest, s.AsOf) {
					to.View.Update(s)
				}
			}
		}
	}
}

// maxViewAge returns the age of the oldest view.
func (sim *region) maxViewAge() time.Duration {
	var maxViewAge time.Duration
	for _, r := range sim.refreshers {
		age, loaded := r.View.Age(sim.now)
		if !loaded {
			age = sim.now.Sub(start)
		}
		maxViewAge = max(maxViewAge, age)
	}
	return maxViewAge
}

// For any set of instances that the store refuses, and any change of that set, no
// view grows older than the read age of the lowest rank that is served, and the
// number of reads stays bounded.
func TestTakeOver(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 8).Draw(t, "instances")
		sim := newRegion(n)
		for phase := range rapid.IntRange(1, 5).Draw(t, "phases") {
			firstServed := n // lowest rank that the store serves
			for i := range n {
				sim.refused[i] = rapid.Bool().Draw(t, fmt.Sprint("refused", phase, i))
				if !sim.refused[i] {
					firstServed = min(firstServed, i)
				}
			}
			readsBefore := sim.reads
			const phaseDuration = 4 * time.Second
			maxAge := readAge + time.Duration(firstServed)*rankDelay + heartbeatInterval + 2*simulationTick
			for elapsed := time.Duration(0); elapsed < phaseDuration; elapsed += simulationTick {
				sim.advance()
				// An instance refused in the previous phase may still be in backoff.
				if elapsed > maxBackoff+maxAge && firstServed < n && sim.maxViewAge() > maxAge {
					t.Fatalf("phase %d, refused %v: view age %v after %v, want at most %v", phase, sim.refused, sim.maxViewAge(), elapsed, maxAge)
				}
			}
			// The first instance that is served reads at its interval, refused ones
			// of lower rank retry at their backoff, and at the start all read once.
			maxReads := int(phaseDuration/readAge) + firstServed*(int(phaseDuration/maxBackoff)+1) + n
			if reads := sim.reads - readsBefore; firstServed < n && reads > maxReads {
				t.Fatalf("phase %d, refused %v: %d reads in %v, at most %d", phase, sim.refused, reads, phaseDuration, maxReads)
			}
		}
	})
}

// The store is logged as unavailable after two failed reads in a row, and as
// available after the next successful read.
func TestLogsAvailability(t *testing.T) {
	var states []string
	r := &Refresher{Part: "targets", Decisions: decisionlog.NewWithHistory(hclog.NewNullLogger(), 4)}
	r.failures = 1
	r.logUnavailable(start, errRefused)
	states = append(states, fmt.Sprint(r.unavailable))
	r.failures = 2
	r.logUnavailable(start, errRefused)
	states = append(states, fmt.Sprint(r.unavailable))
	r.logAvailable(start)
	states = append(states, fmt.Sprint(r.unavailable))
	if got := fmt.Sprint(states); got != "[false true false]" {
		t.Errorf("lost after one failure, two failures and a read: %s", got)
	}
}
