package gateway_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"chervilyard.example/yard/membudget"
)

func post(path string, body string) string {
	return fmt.Sprintf("POST /%s/x HTTP/1.1\r\nHost: h.example\r\nKey: k\r\nId: m\r\nTokens: 1\r\nContent-Length: %d\r\n\r\n%s", path, len(body), body)
}

// Guards against a body without room that is dropped without an answer, or whose caller is
// told that the request may have run, and against one that keeps its bytes afterwards.
func TestBodyWithoutRoom(t *testing.T) {
	f := newFakeTarget(t, "t", "ok fine")
	n := newTestInstance(t, "near", []*fakeTarget{f})
	var b membudget.Budget
	b.SetLimit(time.Now(), 16<<10)
	n.gateway.Memory = &b
	status, body, h := roundTrip(t, n, post("read", strings.Repeat("x", 32<<10)))
	if status != http.StatusServiceUnavailable || !strings.Contains(body, `"memory"`) || h.Get("Retry-After") == "" || len(f.requests()) != 0 {
		t.Errorf("answered with %d %s %v after %d requests", status, body, h, len(f.requests()))
	}
	if status, body, _ := roundTrip(t, n, post("read", strings.Repeat("x", 8<<10))); status != http.StatusOK {
		t.Errorf("a body with room was answered with %d %s", status, body)
	}
	if got := b.Describe(); !strings.Contains(got, "sum=0 ") {
		t.Errorf("held afterwards: %s", got)
	}
}

// Guards against bodies that are held while a response arrives although no other target may
// run the request, and against released ones that a retry needs.
func TestReleasedBody(t *testing.T) {
	const size = 128 << 10
	for route, kept := range map[string]bool{"read": true, "order": false} {
		f := newFakeTarget(t, "t", "slow fine")
		n := newTestInstance(t, "near", []*fakeTarget{f})
		var b membudget.Budget
		n.gateway.Memory = &b
		done := make(chan int)
		go func() {
			status, _, _ := roundTrip(t, n, post(route, strings.Repeat("x", size)))
			done <- status
		}()
		want := func() bool {
			return b.Held(membudget.Bodies) == 0 && (b.Held(membudget.Retries) >= size) == kept && b.Held(membudget.Responses) > 0
		}
		seen := false // while the target waits before its last byte
		for status := 0; status == 0; {
			select {
			case status = <-done:
				if status != http.StatusOK {
					t.Errorf("%s: answered with %d", route, status)
				}
			case <-time.After(time.Millisecond):
				seen = seen || want()
			}
		}
		if !seen {
			t.Errorf("%s: the body was not accounted for as it should be: %s", route, b.Describe())
		}
	}
}
