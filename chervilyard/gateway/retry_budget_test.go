package gateway_test

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"chervilyard.example/yard/retry"
)

// Guards against more repeats over a fleet than its budget, because a request that is
// forwarded earns repeats at each instance that handles it.
func TestForwardedRequestEarnsRepeatsOnce(t *testing.T) {
	const requests, ratio = 100, 0.2
	var targets []*fakeTarget
	region := func(name string) *testInstance {
		pair := []*fakeTarget{newFakeTarget(t, name+"-1", "status 503"), newFakeTarget(t, name+"-2", "status 503")}
		targets = append(targets, pair...)
		return newTestInstance(t, name, pair)
	}
	far, farther := region("far"), region("farther")
	near := newTestInstance(t, "near", nil, far, farther)
	for _, n := range []*testInstance{near, far, farther} {
		n.gateway.RetryBudget = &retry.Budget{}
		n.gateway.RetryLimits = func() retry.Limits {
			return retry.Limits{Window: 10 * time.Second, RetriesPerRequest: ratio}
		}
	}
	for i := range requests {
		text := strings.Replace(getRequest("/read/x"), "Id: 1", "Id: "+itoa(i), 1)
		if status, body, _ := roundTrip(t, near, text); status == http.StatusOK {
			t.Fatalf("%d %s", status, body)
		}
	}
	arrived := make(map[string]bool) // by request
	repeats := 0
	for _, f := range targets {
		for _, r := range f.requests() {
			if arrived[r.Header.Get("Id")] {
				repeats++
			}
			arrived[r.Header.Get("Id")] = true
		}
	}
	t.Logf("%d requests arrived, %d repeats", len(arrived), repeats)
	if repeats > ratio*requests {
		t.Errorf("%d repeats of %d requests, at most %v", repeats, requests, ratio*requests)
	}
}

// Guards against a refusal because a retry was charged again after it had reached no
// target.
func TestUndeliveredRetryIsChargedOnce(t *testing.T) {
	full, ok := newFakeTarget(t, "full", "status 503"), newFakeTarget(t, "ok", "ok done")
	empty, sound := newTestInstance(t, "empty", nil), newTestInstance(t, "sound", []*fakeTarget{ok})
	near := newTestInstance(t, "near", []*fakeTarget{full}, empty, sound)
	limits := retry.Limits{Window: 10 * time.Second, RetriesPerRequest: 1.2}
	near.gateway.RetryLimits = func() retry.Limits { return limits }
	near.gateway.RetryBudget = &retry.Budget{} // the request earns one retry
	if status, body, _ := roundTrip(t, near, getRequest("/read/x")); status != http.StatusOK || body != "done" {
		t.Errorf("response %d %s", status, body)
	}
}
