package gateway_test

import (
	"encoding/json"
	"net/http"
	"strings"
	"testing"
	"time"
)

// Guards against requests to a target that turned one away with Retry-After before that
// time is over, and against a refusal that tells callers to return sooner.
func TestRequestedWaitIsKept(t *testing.T) {
	busy := newFakeTarget(t, "busy", "busy 1", "ok done")
	n := newTestInstance(t, "near", []*fakeTarget{busy})
	started := time.Now()
	for range 20 {
		status, body, _ := roundTrip(t, n, getRequest("/read/x"))
		if status != http.StatusServiceUnavailable || !strings.Contains(body, `"run":"no"`) {
			t.Fatalf("%d %s", status, body)
		}
		left := time.Until(started.Add(time.Second)).Seconds()
		if got := retrySeconds(t, body); got < left || got > left+0.5 {
			t.Fatalf("told to return in %.2f s with %.2f s left", got, left)
		}
	}
	if got := len(busy.requests()); got != 1 {
		t.Errorf("the target received %d requests while it wanted none", got)
	}
	time.Sleep(time.Until(started.Add(1100 * time.Millisecond)))
	if status, body, _ := roundTrip(t, n, getRequest("/read/x")); status != http.StatusOK || body != "done" {
		t.Errorf("after the wait: %d %s", status, body)
	}
}

// retrySeconds returns when a refusal tells the caller to return.
func retrySeconds(t *testing.T, body string) float64 {
	t.Helper()
	var r struct {
		Error struct {
			Retry float64 `json:"retry"`
		} `json:"error"`
	}
	if err := json.Unmarshal([]byte(body), &r); err != nil {
		t.Fatal(err)
	}
	return r.Error.Retry
}

// A request goes to another target, also in another region, while one wants none; of
// several waits callers are told the shortest.
func TestRequestedWaitOfOneTarget(t *testing.T) {
	busy, other := newFakeTarget(t, "busy", "busy 30"), newFakeTarget(t, "other", "ok other")
	n := newTestInstance(t, "near", []*fakeTarget{busy, other})
	for range 10 {
		if status, body, _ := roundTrip(t, n, getRequest("/order/x")); status != http.StatusOK || body != "other" {
			t.Fatalf("%d %s", status, body)
		}
	}
	if got := len(busy.requests()); got > 1 {
		t.Errorf("the target received %d requests while it wanted none", got)
	}
	far := newTestInstance(t, "far", []*fakeTarget{newFakeTarget(t, "far", "busy 7")})
	near := newTestInstance(t, "near", []*fakeTarget{newFakeTarget(t, "near", "busy 20")}, far)
	for range 3 {
		status, _, header := roundTrip(t, near, getRequest("/read/x"))
		if got := header.Get("Retry-After"); status != http.StatusServiceUnavailable || got != "7" {
			t.Errorf("status %d, Retry-After %s", status, got)
		}
	}
}

// A wait that cannot be read changes nothing, and an absurd one is bounded.
func TestRequestedWaitMalformed(t *testing.T) {
	for wait, want := range map[string]float64{"soon": 0.3, "-1": 0.3, "1e300": 600} {
		n := newTestInstance(t, "near", []*fakeTarget{newFakeTarget(t, "e", "busy "+wait)})
		var results []string
		n.gateway.Metrics.RequestedWait = func(result string) { results = append(results, result) }
		status, body, _ := roundTrip(t, n, getRequest("/read/x"))
		if got := retrySeconds(t, body); status != http.StatusServiceUnavailable || got != want || len(results) != 1 || results[0] == "kept" {
			t.Errorf("%s: status %d, return in %v s, want %v, counted %v", wait, status, got, want, results)
		}
	}
}
