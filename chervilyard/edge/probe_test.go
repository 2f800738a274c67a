package edge

import (
	"fmt"
	"testing"
	"time"
)

// Health checks of a target must be probeInterval apart. Guards against an entry being
// kept for each target that ever failed.
func TestProbeInterval(t *testing.T) {
	var p probes
	now := time.Unix(1_700_000_000, 0)
	if !p.tryStart(now, "a", probeInterval) || p.tryStart(now.Add(probeInterval/2), "a", probeInterval) || !p.tryStart(now.Add(probeInterval), "a", probeInterval) {
		t.Error("health checks of a target are sent without the pause between them")
	}
	for i := range 1000 {
		now = now.Add(probeInterval)
		p.tryStart(now, fmt.Sprint("t", i), probeInterval)
	}
	if len(p.lastProbe) > 1 {
		t.Errorf("%d targets are kept", len(p.lastProbe))
	}
}
