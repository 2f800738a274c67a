package gateway_test

import (
	"net/http"
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
			fake.beforeResponse = stall
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

// Guards against giving up an attempt for a late first byte where no other target can
// serve the request.
func TestOnlyTargetIsAwaited(t *testing.T) {
	const late = 450 * time.Millisecond // more than the first byte may take
	only := newFakeTarget(t, "e", "ok done")
	only.beforeResponse = func() { time.Sleep(late) }
	n := newTestInstance(t, "near", []*fakeTarget{only})
	if status, body, _ := roundTrip(t, n, getRequest("/read/x")); status != http.StatusOK || body != "done" {
		t.Errorf("response %d %q", status, body)
	}
	if len(only.requests()) != 1 {
		t.Errorf("the target received the request %d times", len(only.requests()))
	}
}

// Guards against giving up a target whose response has begun, because its end is late.
func TestSlowBodyIsAwaited(t *testing.T) {
	slow, other := newFakeTarget(t, "e", "slow done"), newFakeTarget(t, "f", "slow done")
	n := newTestInstance(t, "near", []*fakeTarget{slow, other})
	if status, body, _ := roundTrip(t, n, getRequest("/read/x")); status != http.StatusOK || body != "done" {
		t.Errorf("response %d %q", status, body)
	}
	if sent := len(slow.requests()) + len(other.requests()); sent != 1 {
		t.Errorf("the request was sent %d times", sent)
	}
}
