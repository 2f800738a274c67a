package gateway_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"chervilyard.example/yard/membership"
)

// leaveIn makes the instance stop; it cuts off open requests after d.
func (n *testInstance) leaveIn(d time.Duration) {
	cutoff := time.Now().Add(d)
	n.gateway.Cutoff = func() (time.Time, bool) { return cutoff, true }
}

// A stopping instance must refuse what it may have to cut off, as not run, and serve
// what it can finish.
func TestLeavingInstance(t *testing.T) {
	f := newFakeTarget(t, "e", "ok x")
	n := newTestInstance(t, "near", []*fakeTarget{f})
	n.leaveIn(time.Minute)
	if status, body, _ := roundTrip(t, n, getRequest("/read/x")); status != http.StatusOK || body != "x" {
		t.Errorf("response %d %q with enough time", status, body)
	}
	n.leaveIn(100 * time.Millisecond)
	status, _, header := roundTrip(t, n, getRequest("/read/x"))
	if status != http.StatusServiceUnavailable || header.Get("Retry-After") == "" {
		t.Errorf("response %d %v with too little time", status, header)
	}
	if len(f.requests()) != 1 {
		t.Errorf("the target received %d requests, want 1", len(f.requests()))
	}
}

// Guards against forwarded requests that are cut off by the stop of the other instance,
// and against taking its refusal for one of its region.
func TestLeavingRemoteIsReplaced(t *testing.T) {
	f, g := newFakeTarget(t, "e", "ok x"), newFakeTarget(t, "f", "ok y")
	leaving, staying := newTestInstance(t, "far", []*fakeTarget{f}), newTestInstance(t, "far", []*fakeTarget{g})
	leaving.leaveIn(100 * time.Millisecond)
	near := newTestInstance(t, "near", nil, leaving, staying)
	var told []string
	near.gateway.OnRemoteLeaving = func(_ time.Time, m membership.Member) { told = append(told, m.Name) }
	for n := range 20 { // far more than the retry budget allows
		if status, body, _ := roundTrip(t, near, getRequest("/order/x")); status != http.StatusOK || body != "y" {
			t.Fatalf("request %d: response %d %q", n, status, body)
		}
	}
	if len(told) != 20 || told[0] != "far-1" {
		t.Errorf("told that %v are stopping", told)
	}
	if len(f.requests()) != 0 {
		t.Errorf("the stopping instance sent %d requests to its target", len(f.requests()))
	}
}

// Guards against charging a customer for a request that was never sent, because its
// caller had left.
func TestUnsentRequestIsRefunded(t *testing.T) {
	f := newFakeTarget(t, "e", "ok x")
	n := newTestInstance(t, "near", []*fakeTarget{f})
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	for range 5 { // together more than the customer's burst
		r := httptest.NewRequestWithContext(ctx, http.MethodGet, "http://h.example/read/x", nil)
		r.RequestURI = "/read/x"
		r.Header.Set("Key", "k")
		r.Header.Set("Tokens", "500")
		func() {
			defer func() { _ = recover() }() // the handler cuts the connection
			n.gateway.ServeHTTP(httptest.NewRecorder(), r)
		}()
	}
	if status, body, _ := roundTrip(t, n, strings.Replace(getRequest("/read/x"), "Tokens: 1\r", "Tokens: 500\r", 1)); status != http.StatusOK {
		t.Errorf("response %d %s", status, body)
	}
}
