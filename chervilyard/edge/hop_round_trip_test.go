package edge

import (
	"testing"
	"time"

	"chervilyard.example/chervilyard/gossip"
	"chervilyard.example/yard/fleet"
	"chervilyard.example/yard/membership"
)

// Load: an instance that is no hub has just started and forwards to a region 110 ms away, with
// whose members it exchanges no heartbeats. A probe takes 220 ms there and back. Guards against
// probes that leave a busy member 80 ms for its part, so that a working hop counts as silent.
func TestProbeLimitOfRelayedRegion(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	e := &Edge{gossiper: &gossip.Gossiper{}}
	e.remoteWaits.hearRelayed(now, []*fleet.Room{{Service: "s", Wait: 1, Region: "west", Path: 110}})
	m := membership.Member{Name: "west-0", Region: "west"}
	limit, ok := e.silence.StartProbe(now, m.Name, e.hopRoundTrip(m))
	if want := 4 * 110 * time.Millisecond; !ok || limit < want {
		t.Errorf("the limit of a probe is %v, want at least %v", limit, want)
	}
}
