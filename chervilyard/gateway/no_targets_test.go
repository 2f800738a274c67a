package gateway_test

import (
	"net/http"
	"testing"
)

// Failure: the list of targets is empty and no other region is known, as on all instances right
// after they started together. Guards against callers that are told to return in 292 years.
func TestNoTargetsKnown(t *testing.T) {
	n := newTestInstance(t, "near", nil)
	status, body, _ := roundTrip(t, n, getRequest("/order/x"))
	if got := retrySeconds(t, body); status != http.StatusServiceUnavailable || got < 0.1 || got > 0.3 {
		t.Errorf("%d %s", status, body)
	}
}
