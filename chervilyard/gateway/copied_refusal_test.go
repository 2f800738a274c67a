package gateway_test

import (
	"net/http"
	"testing"
)

// A faulty target writes an earlier refusal once more on a kept connection. Guards against
// telling the caller that a request has not run, or sending it to a second target, while the
// first one runs it.
func TestCopiedRefusalIsNotTheAnswer(t *testing.T) {
	for _, route := range []string{"stream", "resume", "read"} {
		t.Run(route, func(t *testing.T) {
			faulty := newFakeTarget(t, "e", "events a", "copied a,b")
			n := newTestInstance(t, "near", []*fakeTarget{faulty})
			if status, body, _ := roundTrip(t, n, getRequest("/"+route+"/x")); status != http.StatusOK {
				t.Fatalf("the first request gets %d %s", status, body)
			}
			status, body, _ := roundTrip(t, n, getRequest("/"+route+"/x"))
			if status != http.StatusOK || body != events("a,b") {
				t.Errorf("the request that a target runs gets %d %q", status, body)
			}
			if got := len(faulty.requests()); got != 2 {
				t.Errorf("the target received %d requests, want 2", got)
			}
		})
	}
}
