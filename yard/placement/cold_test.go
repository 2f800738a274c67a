package placement_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"chervilyard.example/yard/placement"
	"chervilyard.example/yard/target"
)

// Checks that the instances of a region together never exceed the rate limit of a
// cold target in any second, counting requests and health checks, in any order and
// with restarts. A restarted instance loses its window, so it sends nothing to a
// cold target until it knows the other instances.
func TestColdLimitAcrossInstances(t *testing.T) {
	const (
		startDelay  = time.Second // after a start, before an instance gets a share of the limit
		limitPeriod = time.Second
	)
	rapid.Check(t, func(t *rapid.T) {
		size := rapid.IntRange(1, 12).Draw(t, "instances")
		pickers := make([]*placement.Picker, size)
		started := make([]time.Time, size)
		now := time.Unix(1_700_000_000, 0)
		cold := target.New("a", "c", "", []string{"m"}, 64, 1, false).WithColdRemaining(time.Minute)
		list := []target.Target{cold}
		for i := range pickers {
			pickers[i] = &placement.Picker{}
			pickers[i].UpdateTargets(now, now, limitPeriod, list)
		}
		factor, fixed := rapid.Float64Range(1, 2).Draw(t, "factor"), rapid.Float64Range(0, 5).Draw(t, "fixed")
		var arrivals []time.Time
		for range rapid.IntRange(1, 400).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 60).Draw(t, "pause")) * time.Millisecond)
			i := rapid.IntRange(0, size-1).Draw(t, "instance")
			share := placement.ColdShare{Position: placement.Position{Instances: size, Rank: i}, RateFactor: factor, ExtraRequests: fixed}
			if now.Sub(started[i]) < startDelay {
				share.Instances = 0
			}
			switch rapid.IntRange(0, 9).Draw(t, "step") {
			case 0:
				pickers[i], started[i] = &placement.Picker{}, now
				pickers[i].UpdateTargets(now, now, limitPeriod, list)
			case 1:
				if check := pickers[i].StartHealthCheck(now, "a", engineService, share); check != nil {
					check.Sent(now)
					arrivals = append(arrivals, now)
				}
			default:
				if ticket := pickers[i].Choose(now, list, placement.Request{Service: engineService, PromptTokens: 10}, share); ticket != nil {
					if !ticket.Admit(now, func(time.Time) placement.ColdShare { return share }) {
						t.Fatal("a request is withheld at the time of its choice")
					}
					ticket.Sent(now)
					arrivals = append(arrivals, now)
					ticket.RecordFirstByte(now)
					ticket.End(now, placement.Answered)
				}
			}
		}
		limit := engineService.ColdRequestsPerSecond()*factor + fixed
		for i, first := range arrivals {
			n := 0
			for _, at := range arrivals[i:] {
				if at.Sub(first) < limitPeriod {
					n++
				}
			}
			if float64(n) > limit {
				t.Fatalf("%d arrivals within a second, at most %v", n, limit)
			}
		}
	})
}

// Guards against treating a target as warm too early: an entry may be written after
// the reading of the list began, so its remaining cold time counts from the arrival
// of the list.
func TestColdCountsFromArrival(t *testing.T) {
	var p placement.Picker
	read := time.Unix(1_700_000_000, 0)
	arrived := read.Add(110 * time.Millisecond) // round trip
	list := []target.Target{target.New("a", "c", "", []string{"m"}, 64, 1, false).WithColdRemaining(3 * time.Second)}
	p.UpdateTargets(read, arrived, time.Second, list)
	choose := func(now time.Time) (n int) {
		for range 20 {
			if ticket := p.Choose(now, list, placement.Request{Service: engineService, PromptTokens: 10}, coldShare); ticket != nil {
				n++
			}
		}
		return n
	}
	if n := choose(read.Add(3050 * time.Millisecond)); n != 9 {
		t.Errorf("%d requests go to a target that may still be cold, want 9", n)
	}
	if n := choose(arrived.Add(3050 * time.Millisecond)); n != 20 {
		t.Errorf("%d of 20 requests go to a target that is no longer cold", n)
	}
}

// Guards against taking a target for warm because of an entry that was written before it
// restarted: a target that is cut off from the store stays listed for three report intervals.
func TestSuspicionOutlivesOldEntry(t *testing.T) {
	const reportInterval = 1200 * time.Millisecond
	var p placement.Picker
	noShare := placement.ColdShare{Position: placement.Position{Instances: 24, Rank: 9}, RateFactor: 1.5, ExtraRequests: 3}
	start := time.Unix(1_700_000_000, 0)
	list := []target.Target{target.New("a", "c", "", []string{"m"}, 64, 1, false).WithRunID(1)}
	p.UpdateTargets(start, start, reportInterval, list)
	request := placement.Request{Service: engineService, PromptTokens: 10}
	p.Choose(start, list, request, noShare).End(start, placement.ConnectionBroken)
	for after := time.Duration(0); after < 3*reportInterval; after += 100 * time.Millisecond {
		now := start.Add(after)
		p.UpdateTargets(now, now, reportInterval, list)
		if ticket := p.Choose(now, list, request, noShare); ticket != nil {
			t.Fatalf("%v after its connection broke, an instance without a share sends a request to a target that may be cold", after)
		}
	}
}

// A list from an older copy of the store has an earlier run of a target. Guards against taking
// the target for warm because of it.
func TestOlderRunKeepsColdTime(t *testing.T) {
	var p placement.Picker
	now := time.Unix(1_700_000_000, 0)
	noShare := placement.ColdShare{Position: placement.Position{Instances: 24, Rank: 9}, RateFactor: 1.5, ExtraRequests: 3}
	listed := target.New("a", "c", "", []string{"m"}, 64, 1, false)
	p.UpdateTargets(now, now, time.Second, []target.Target{listed.WithRunID(2).WithColdRemaining(3 * time.Second)})
	now = now.Add(100 * time.Millisecond)
	older := []target.Target{listed.WithRunID(1)}
	p.UpdateTargets(now, now, time.Second, older)
	if p.Choose(now, older, placement.Request{Service: engineService, PromptTokens: 10}, noShare) != nil {
		t.Error("an instance without a share sends a request to a target that is cold")
	}
}
