package placement_test

import (
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"chervilyard.example/yard/placement"
	"chervilyard.example/yard/service"
	"chervilyard.example/yard/target"
)

// Guards against snapshots that share state with the picker, which the race detector finds, and
// against ones that choose otherwise.
func TestSnapshotBesideRequests(t *testing.T) {
	p := &placement.Picker{}
	candidates := []target.Target{target.New("a", "c", "", []string{"s"}, 8, 1, false), target.New("b", "c", "", []string{"s"}, 8, 1, false)}
	cold := []target.Target{candidates[0].WithColdRemaining(time.Hour), candidates[1].WithColdRemaining(time.Hour)}
	start := time.Now()
	p.UpdateTargets(start, start, time.Second, cold)
	r := placement.Request{Service: service.New("s").WithColdLimit(1e6).WithEngine(8, 0), PromptTokens: 100, Parts: []placement.Part{{ID: "x", Tokens: 80}, {ID: "y", Tokens: 20}}}
	share := placement.ColdShare{Position: placement.Position{Instances: 1}, RateFactor: 1}
	var group sync.WaitGroup
	var ended atomic.Bool
	group.Go(func() {
		var last *placement.HealthCheck // ends after the next one, so that the window shrinks in the middle
		for !ended.Load() {
			now := time.Now()
			check := p.StartHealthCheck(now, "a", r.Service, share)
			check.Admit()
			check.Sent(now)
			if last != nil {
				last.FoundWarm()
			}
			last = check
			ticket := p.Choose(now, candidates, r, share)
			ticket.Admit(now, func(time.Time) placement.ColdShare { return share })
			ticket.RecordFirstByte(now)
			p.UpdatePeerLoads(now, now, "peer", []placement.Load{{Target: "a", Open: 1, Answered: 1, Failed: 1}})
			ticket.End(now, placement.ConnectionBroken)
		}
	})
	for range 200 {
		s := p.Snapshot(candidates, r)
		s.Candidates(time.Now(), candidates, r, share)
		s.Choose(time.Now(), candidates, r, share)
	}
	ended.Store(true)
	group.Wait()
	now := time.Now()
	chosen := p.Snapshot(candidates, r).Choose(now, candidates, r, share).Target().Name()
	if first := p.Candidates(now, candidates, r, share)[0].Name; p.Choose(now, candidates, r, share).Target().Name() != chosen || first != chosen {
		t.Errorf("the snapshot chooses %s, first is %s", chosen, first)
	}
}
