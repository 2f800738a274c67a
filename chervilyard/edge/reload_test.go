package edge_test

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"chervilyard.example/chervilyard/decisionlog"
	"chervilyard.example/chervilyard/edge"
	"chervilyard.example/chervilyard/meter"
	"chervilyard.example/yard/retry"
)

// Retry settings must take effect on reload and not only after a restart.
func TestReloadChangesRetries(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.store.put("configuration/document", document{Version: 1, Rate: 1e6, Keys: []string{"k"}})
	var calls atomic.Int64
	failEveryOther := func(w http.ResponseWriter, _ *http.Request) {
		if calls.Add(1)%2 == 1 {
			w.WriteHeader(http.StatusInternalServerError)
		}
	}
	f.addTarget("a", "east-a", failEveryOther)
	f.addTarget("b", "east-a", failEveryOther)
	e := f.start("east", 0)
	f.waitReady()
	s := e.Settings()
	s.RetryLimits = retry.Limits{Window: 10 * time.Second}
	e.Reload(s)
	eventually(t, 3*time.Second, "failures reach the caller without retries", func() bool {
		status, _ := call(e, "k", 1)
		return status == http.StatusInternalServerError
	})
	calls.Store(0)
	s.RetryLimits.RetriesPerRequest = 2
	e.Reload(s)
	for range 10 {
		if status, _ := call(e, "k", 1); status != http.StatusOK {
			t.Fatalf("status %d although retries are allowed", status)
		}
	}
}

// A start that fails on one address must close the listeners on the others.
func TestFailedStartClosesListeners(t *testing.T) {
	t.Parallel()
	reserved := make(listeners)
	callers, forward := reserved.open(t), reserved.open(t)
	_, err := edge.Start(context.Background(), edge.Config{
		Settings: edge.Settings{Name: "a", Region: "east", Centre: "east-a", CallerAddr: callers, ForwardAddr: forward, PeerAddr: "taken"},
		Store:    newMemoryStore().storeFor("a"), Decisions: decisionlog.NewWithHistory(hclog.NewNullLogger(), 10), Meter: meter.New(), Now: time.Now,
		Listen: reserved.listen,
	})
	if !errors.Is(err, errAddressInUse) {
		t.Fatalf("start on an address in use: error %v", err)
	}
	for _, address := range []string{callers, forward} {
		if err := reserved[address].(*net.TCPListener).SetDeadline(time.Now()); !errors.Is(err, net.ErrClosed) {
			t.Errorf("%s is still open: %v", address, err)
		}
	}
}
