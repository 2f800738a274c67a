package edge_test

import (
	"io"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"
)

// healthTarget is a target that says in health checks how long it stays cold.
type healthTarget struct {
	mu        sync.Mutex
	coldUntil time.Time
	arrivals  []time.Time // of all requests and health checks
}

func (h *healthTarget) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.mu.Lock()
	now := time.Now()
	h.arrivals = append(h.arrivals, now)
	left := h.coldUntil.Sub(now)
	h.mu.Unlock()
	if r.URL.Path == "/health" {
		w.Header().Set("Name", "a")
		w.Header().Set("Cold-Ms", strconv.FormatInt(max(left.Milliseconds(), 0), 10))
	}
	_, _ = io.WriteString(w, "a")
}

// turnCold makes the target cold for d from now on.
func (h *healthTarget) turnCold(d time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.coldUntil, h.arrivals = time.Now().Add(d), nil
}

// mostInSecond returns the largest number of requests within a second since it became cold.
func (h *healthTarget) mostInSecond() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	most, first := 0, 0
	for n, at := range h.arrivals {
		for at.Sub(h.arrivals[first]) >= time.Second {
			first++
		}
		most = max(most, n-first+1)
	}
	return most
}

// The store is down, so that the lists are old. Guards against an instance that holds back
// requests to a target that says that it is warm, and against a flood once it says that it
// has become cold, of which nobody else tells.
func TestTargetCheckedWhileStoreIsDown(t *testing.T) {
	t.Parallel()
	const (
		coldPerS = 4.4
		limit    = coldPerS*1.5 + 3
		pause    = 60 * time.Millisecond // between two requests at an instance
		period   = 2500 * time.Millisecond
	)
	f := newFleet(t)
	f.store.put("configuration/document", document{Version: 1, Rate: 1e9, Keys: []string{"k"}, Cold: coldPerS, Health: "/health"})
	h := &healthTarget{}
	f.addTarget("a", "east-a", h.ServeHTTP)
	for n := range 3 {
		f.start("east", n)
	}
	f.waitReady()
	time.Sleep(2 * time.Second) // until each instance knows its place
	f.store.setDown(true)
	time.Sleep(2500 * time.Millisecond) // until the lists are old
	// send sends requests at all instances for period and returns how many were served of all.
	send := func() (served, all int) {
		var mu sync.Mutex
		var callers sync.WaitGroup
		for _, e := range f.edges {
			callers.Go(func() {
				for began := time.Now(); time.Since(began) < period; time.Sleep(pause) {
					status, _ := call(e, "k", 1)
					mu.Lock()
					all++
					if status == http.StatusOK {
						served++
					}
					mu.Unlock()
				}
			})
		}
		callers.Wait()
		return served, all
	}
	if served, all := send(); float64(served) < 0.9*float64(all) {
		t.Errorf("%d of %d requests were served by a warm target while the store was down", served, all)
	}
	h.turnCold(time.Minute)
	send()
	if most := h.mostInSecond(); most == 0 || float64(most) > limit {
		t.Errorf("%d requests within a second to a target that became cold while the store was down, at most %v", most, limit)
	}
}
