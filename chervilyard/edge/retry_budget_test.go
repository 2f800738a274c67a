package edge_test

import (
	"net/http"
	"sync"
	"testing"
	"time"
)

// Guards against more repeats over a fleet than its budget, because an instance that has
// just started uses a whole share of the extra repeats that its last run used too, or all
// of them while it knows no other instance.
func TestRestartsEarnNoExtraRepeats(t *testing.T) {
	t.Parallel()
	const (
		restarts, requestsPerRun = 4, 20
		ratio, extra             = 0.2, 20.0 // of the instances' retry limits
	)
	f := newFleet(t)
	f.drain = time.Second
	f.store.put("configuration/document", document{Version: 1, Rate: 1e6, Keys: []string{"k"}})
	var mu sync.Mutex
	arrivals := 0
	for _, name := range []string{"a", "b", "c"} {
		f.addTarget(name, "east-a", func(w http.ResponseWriter, _ *http.Request) {
			mu.Lock()
			arrivals++
			mu.Unlock()
			w.WriteHeader(http.StatusInternalServerError)
		})
	}
	started := time.Now()
	f.start("east", 1)
	e := f.start("east", 0)
	f.waitReady()
	requests := 0
	for range restarts {
		for range requestsPerRun {
			if status, _ := call(e, "k", 1); status == http.StatusInternalServerError || status == http.StatusBadGateway {
				requests++
			}
		}
		e.Stop()
		e = f.start("east", 0)
		eventually(t, 3*time.Second, "the restarted instance is ready", e.Ready)
	}
	if d := time.Since(started); d > 10*time.Second {
		t.Fatalf("the runs took %v, longer than the window", d)
	}
	mu.Lock()
	defer mu.Unlock()
	t.Logf("%d requests arrived %d times", requests, arrivals)
	if repeats := arrivals - requests; float64(repeats) > ratio*restarts*requestsPerRun+extra {
		t.Errorf("%d repeats of %d requests, at most %v", repeats, restarts*requestsPerRun, ratio*restarts*requestsPerRun+extra)
	}
}
