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
