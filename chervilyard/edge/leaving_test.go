package edge_test

import (
	"io"
	"net/http"
	"sync/atomic"
	"testing"
	"time"
)

// Guards against requests to a target that said in a response that it leaves, though its
// entry in the store says that it is ready: from the instance that got the response, and
// from the others of its region once they have been told.
func TestLeavingTargetGetsNoRequests(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.store.put("configuration/document", document{Version: 1, Rate: 1e6, Keys: []string{"k"}})
	var leaves atomic.Bool
	var received atomic.Int64
	entry := f.addTarget("a", "east-a", func(w http.ResponseWriter, _ *http.Request) {
		received.Add(1)
		if leaves.Load() {
			w.Header().Set("Leaving", "yes")
		}
		_, _ = io.WriteString(w, "a")
	})
	f.addTarget("b", "east-a", respondWith("b"))
	first, second := f.start("east", 0), f.start("east", 1)
	f.waitReady()
	gets := func(n int) {
		for range n {
			if status, body := call(first, "k", 1); status != http.StatusOK {
				t.Fatalf("%d %s", status, body)
			}
		}
	}
	eventually(t, 3*time.Second, "the target gets requests", func() bool {
		gets(1)
		return received.Load() > 0
	})
	leaves.Store(true)
	before := received.Load()
	eventually(t, 3*time.Second, "the target gets the request that it answers as leaving", func() bool {
		gets(1)
		return received.Load() > before
	})
	gets(30)
	if n := received.Load() - before; n != 1 {
		t.Errorf("the target received %d requests after it had said that it leaves", n-1)
	}
	// The other instance is told by a heartbeat.
	time.Sleep(500 * time.Millisecond)
	before = received.Load()
	for range 30 {
		if status, body := call(second, "k", 1); status != http.StatusOK {
			t.Fatalf("%d %s", status, body)
		}
	}
	if n := received.Load() - before; n != 0 {
		t.Errorf("the target received %d requests from the other instance", n)
	}
	// The store lists the same run anew, then a new run.
	entry.Beat++
	f.store.put("targets/a", entry)
	time.Sleep(300 * time.Millisecond)
	gets(30)
	if n := received.Load() - before; n != 0 {
		t.Errorf("the target received %d requests after the store listed the same run again", n)
	}
	leaves.Store(false)
	entry.Run = 2
	f.store.put("targets/a", entry)
	eventually(t, 3*time.Second, "a new run of the target gets requests", func() bool {
		gets(1)
		return received.Load() > before
	})
}
