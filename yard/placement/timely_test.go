package placement_test

import (
	"testing"
	"time"

	"chervilyard.example/yard/placement"
	"chervilyard.example/yard/service"
	"chervilyard.example/yard/target"
)

// Guards against a burst that is refused although targets are idle: the target that has the
// prompt's shared parts cached has a long queue, and another one would answer in time.
func TestTimelyTargetComesBeforeCachedOne(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	var p placement.Picker
	svc := service.New("model").WithEngine(8, 1_000_000)
	list := []target.Target{target.New("cached", "a", "10.0.0.1:80", []string{"model"}, 8, 1, false), target.New("idle", "a", "10.0.0.2:80", []string{"model"}, 8, 1, false)}
	p.UpdateTargets(now, now, time.Second, list)
	p.UpdatePeerLoads(now, now, "peer", []placement.Load{{Target: "cached", Open: 7, WaitingTokens: 100_000, MemoryTokens: 100_000}})
	r := placement.Request{
		Service: svc, PromptTokens: 12_000, Parts: []placement.Part{{ID: "shared", Tokens: 11_000}, {ID: "own", Tokens: 1_000}},
		PreferredTarget: "cached", WaitLimit: time.Second,
	}
	unlimited := r
	unlimited.WaitLimit = time.Minute
	if e, ok := p.EstimateBest(now, list, unlimited, placement.ColdShare{}); !ok || e.Wait < time.Second {
		t.Errorf("without a tight limit the estimate is %+v, want that of the cached target", e)
	}
	ticket := p.Choose(now, list, r, placement.ColdShare{})
	if ticket == nil || ticket.Target().Name() != "idle" || ticket.ExpectedWait() > r.WaitLimit {
		t.Fatalf("chose %+v, want the idle target within the limit", ticket)
	}
}
