package latency_test

import (
	"math"
	"testing"
	"time"

	"chervilyard.example/yard/latency"
)

// Guards against an average that old samples hold where it was: with time one new sample
// outweighs any number of them, and without one the prior does.
func TestOldSamplesLoseWeight(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	var a latency.Average
	if got := a.Mean(50); got != 50 {
		t.Errorf("without samples the mean is %v, want the fallback", got)
	}
	for range 100 {
		now = now.Add(10 * time.Millisecond)
		a.Add(now, 1500)
	}
	if got := a.Blend(now, 15); got < 1300 {
		t.Errorf("with new samples the blend is %v, want nearly 1500", got)
	}
	later := now.Add(80 * time.Second)
	if got := a.Blend(later, 15); got > 80 {
		t.Errorf("after 80 s the blend is %v, want nearly the prior", got)
	}
	if got := a.Mean(0); math.Abs(got-1500) > 1e-6 {
		t.Errorf("the mean is %v without a new sample, want 1500", got)
	}
	a.Add(later, 15)
	if got := a.Mean(0); got > 80 {
		t.Errorf("a new sample after 80 s makes the mean %v, want nearly 15", got)
	}
	a.Reset(later, 20)
	a.Add(later, 40)
	if got := a.Mean(0); got < 29 || got > 32 {
		t.Errorf("after a reset two samples make the mean %v, want about 30", got)
	}
}
