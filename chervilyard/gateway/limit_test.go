package gateway_test

import (
	"context"
	"net/http"
	"strconv"
	"testing"
	"time"

	"chervilyard.example/chervilyard/gateway"
	"chervilyard.example/yard/target"
)

// newLimitedTestInstance returns an instance with the given targets, of which the first one
// has a rate limit. The function obtain answers requests for permits.
func newLimitedTestInstance(t *testing.T, targets []*fakeTarget, obtain func(patience time.Duration) (gateway.Permit, bool)) *testInstance {
	t.Helper()
	n := newTestInstance(t, "near", targets)
	var retryAt time.Time
	n.gateway.Picker.RateLimit = func(now time.Time, t target.Target) (time.Duration, bool) {
		if t.Name() != targets[0].name {
			return 0, false
		}
		return max(retryAt.Sub(now), 0), true
	}
	n.gateway.ObtainPermit = func(_ context.Context, _ target.Target, patience time.Duration) (gateway.Permit, bool) {
		p, ok := obtain(patience)
		if !ok {
			retryAt = time.Now().Add(2 * time.Second)
		}
		return p, ok
	}
	return n
}

// Guards against sending a request to a target with a limit after its permit has expired,
// because the process stood still or the connection took long.
func TestExpiredPermitIsNotUsed(t *testing.T) {
	f := newFakeTarget(t, "e", "ok hello")
	n := newLimitedTestInstance(t, []*fakeTarget{f}, func(time.Duration) (gateway.Permit, bool) {
		return gateway.Permit{Until: time.Now().Add(20 * time.Millisecond)}, true
	})
	n.gateway.Pool.OnDial = func(string) { time.Sleep(50 * time.Millisecond) }
	status, body, _ := roundTrip(t, n, getRequest("/read/x"))
	if got := len(f.requests()); got != 0 || status != http.StatusServiceUnavailable {
		t.Errorf("the target received %d requests, the response is %d %s", got, status, body)
	}
}

// Guards against requests that wait for a permit while another target is idle.
func TestNoPermitMeansAnotherTarget(t *testing.T) {
	limited, idle := newFakeTarget(t, "e", "ok limited"), newFakeTarget(t, "i", "ok idle")
	patience := time.Duration(-1)
	n := newLimitedTestInstance(t, []*fakeTarget{limited, idle}, func(p time.Duration) (gateway.Permit, bool) {
		patience = p
		return gateway.Permit{}, false
	})
	for range 8 {
		if status, body, _ := roundTrip(t, n, getRequest("/read/x")); status != http.StatusOK || body != "idle" {
			t.Errorf("the response is %d %s", status, body)
		}
	}
	if len(limited.requests()) != 0 || patience > 10*time.Millisecond {
		t.Errorf("%d requests without a permit, patience %v", len(limited.requests()), patience)
	}
}

// Guards against a refusal that comes late, or that tells the caller to come back before
// there can be a permit.
func TestRefusedForLackOfPermits(t *testing.T) {
	f := newFakeTarget(t, "e", "ok hello")
	n := newLimitedTestInstance(t, []*fakeTarget{f}, func(time.Duration) (gateway.Permit, bool) { return gateway.Permit{}, false })
	began := time.Now()
	status, body, h := roundTrip(t, n, getRequest("/read/x"))
	after, err := strconv.ParseFloat(h.Get("Retry-After"), 64)
	if status != http.StatusServiceUnavailable || err != nil || after < 1.5 || after > 2.5 {
		t.Errorf("%d %s, Retry-After %q, want about 2", status, body, h.Get("Retry-After"))
	}
	if took := time.Since(began); took > time.Second {
		t.Errorf("refused after %v", took)
	}
}
