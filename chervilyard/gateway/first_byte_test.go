package gateway_test

import (
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

// Guards against a stream that breaks off because the time limit of its first byte ends
// just when that byte has been read, as on a machine that stalls.
func TestStalledFirstByte(t *testing.T) {
	for _, others := range []int{0, 1} {
		f := newFakeTarget(t, "e", "paused a,b,c")
		fakes := []*fakeTarget{f}
		for range others {
			fakes = append(fakes, newFakeTarget(t, "other", "paused a,b,c"))
		}
		n := newTestInstance(t, "near", fakes)
		var stalls atomic.Int32
		stall := func() { stalls.CompareAndSwap(0, 1) }
		for _, fake := range fakes {
			fake.beforeEvents = stall
		}
		n.gateway.Now = func() time.Time {
			if stalls.CompareAndSwap(1, 2) { // the first read of the stream has returned
				time.Sleep(500 * time.Millisecond)
			}
			return time.Now()
		}
		status, body, _ := roundTrip(t, n, getRequest("/resume/x"))
		if strings.HasSuffix(body, "cut") {
			t.Errorf("%d other targets: status %d, the response breaks off after %q", others, status, body)
		}
	}
}
