package gateway_test

import (
	"context"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"chervilyard.example/yard/catalog"
	"chervilyard.example/yard/fairshare"
	"chervilyard.example/yard/placement"
	"chervilyard.example/yard/service"
)

// newEngineInstance returns an instance with one engine, at which others have some prompt
// tokens waiting, and a ledger.
func newEngineInstance(t *testing.T, waitingTokens int) (*testInstance, *fakeTarget) {
	t.Helper()
	f := newFakeTarget(t, "e", "ok hello")
	n := newTestInstance(t, "near", []*fakeTarget{f})
	c := testCatalogOf(service.New("s").WithEngine(8, 1e9))
	n.gateway.Catalog = func() *catalog.Catalog { return c }
	n.gateway.Shares = &fairshare.Ledger{}
	n.gateway.Picker.UpdatePeerLoads(time.Now(), time.Now(), "peer", []placement.Load{{Target: "e", Open: 4, WaitingTokens: waitingTokens, MemoryTokens: waitingTokens}})
	return n, f
}

// Load: more than the engine takes in time. Guards against retry delays that callers do not
// honour, against refusals that do not count as asked, and against ones that the log does not
// explain.
func TestRefusalInShortage(t *testing.T) {
	n, f := newEngineInstance(t, 1_000_000)
	n.gateway.Random = func() float64 { return 0.5 }
	ctx, cancel := context.WithCancel(context.Background())
	logged := n.gateway.Decisions.Run(ctx)
	var overShare bool
	var delay time.Duration
	n.gateway.Metrics.CapacityRefused = func(_ string, over bool, d time.Duration) { overShare, delay = over, d }
	for range 2 {
		n.gateway.Shares.Admit(time.Now(), "s", "c", 10)
		n.gateway.Shares.Admit(time.Now(), "s", "other", 1)
		n.gateway.Shares.Refuse(time.Now(), "s", "other", 1000)
		n.gateway.Shares.Refuse(time.Now(), "s", "c", 1000)
		status, body, h := roundTrip(t, n, getRequest("/order/x"))
		after, err := strconv.ParseFloat(h.Get("Retry-After"), 64)
		if len(f.requests()) > 0 || status != http.StatusServiceUnavailable || err != nil || after < 0.1 {
			t.Errorf("%d %s, Retry-After %q", status, body, h.Get("Retry-After"))
		}
	}
	if delay > 700*time.Millisecond/3 || delay < 700*time.Millisecond/6 || !overShare {
		t.Errorf("a delay of %v of the 700 ms left, above the share: %v", delay, overShare)
	}
	cancel()
	<-logged
	list := n.gateway.Decisions.History("1")
	if got := list[len(list)-1].Reason; !strings.Contains(got, "share=") || !strings.Contains(got, "backlog=") {
		t.Errorf("logged %q", got)
	}
	if c, _ := n.gateway.Shares.Share(time.Now().Add(30*time.Millisecond), "s", "c"); c.Refused != 2002 {
		t.Errorf("counted %+v", c)
	}
}

// Guards against a retry delay that does not depend on the backlog where the region has no target
// that may serve the request: its wait is not known, and was taken for an infinite one.
func TestDelayWithoutTarget(t *testing.T) {
	n, _ := newEngineInstance(t, 0)
	ctx, cancel := context.WithCancel(context.Background())
	logged := n.gateway.Decisions.Run(ctx)
	n.gateway.Shares.Admit(time.Now(), "s", "c", 2000)
	n.gateway.Shares.Refuse(time.Now(), "s", "c", 1000)
	status, body, _ := roundTrip(t, n, strings.Replace(getRequest("/order/x"), "Key: k", "Key: kb", 1)) // may be served in region far alone
	cancel()
	<-logged
	list := n.gateway.Decisions.History("1")
	if got := list[len(list)-1].Reason; status != http.StatusServiceUnavailable || !strings.Contains(got, "backlog=1000 admitted_a_second=1000 drain=1s") {
		t.Errorf("%d %s, logged %q", status, body, got)
	}
}

// Load: a shortage in which callers come back that were refused. Guards against requests that can
// only be late and take the place of ones that would be in time: the queue at the engine is within
// the limit of a new caller, and above that of one that has waited longer than the objective. Without
// a shortage both are served.
func TestReturningCallerWaitsLess(t *testing.T) {
	for _, short := range []bool{false, true} {
		n, f := newEngineInstance(t, 20_000) // 250 ms, of 400 and 157 allowed
		if short {
			n.gateway.Shares.Refuse(time.Now(), "s", "other", 1000)
		}
		for _, c := range []struct {
			left   string
			served bool
		}{{"Wait: 700", true}, {"Wait: 450", !short}} {
			status, body, _ := roundTrip(t, n, getRequest("/order/x", c.left))
			if served := status == http.StatusOK; served != c.served {
				t.Errorf("shortage %v, %s: %d %s, want served %v", short, c.left, status, body, c.served)
			}
		}
		if len(f.requests()) == 0 {
			t.Error("no request reached the engine")
		}
	}
}
