package edge

import (
	"fmt"
	"testing"
	"time"
)

// A target is asked once in a pause, and what is kept does not grow with the
// targets that ever failed.
func TestProbesAreSpaced(t *testing.T) {
	var p probes
	now := time.Unix(1_700_000_000, 0)
	if !p.due(now, "a") || p.due(now.Add(probePause/2), "a") || !p.due(now.Add(probePause), "a") {
		t.Error("a target is not asked once in a pause")
	}
	for i := range 1000 {
		now = now.Add(probePause)
		p.due(now, fmt.Sprint("t", i))
	}
	if len(p.asked) > 1 {
		t.Errorf("%d targets are kept", len(p.asked))
	}
}
