package edge_test

import (
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// In a region with hubs, tokens are held by a customer's homes. Requests at any instance must
// get them, the fleet must not admit more than rate and burst, and the tokens of requests that
// no target processed must return.
func TestQuotaWithHubs(t *testing.T) {
	t.Parallel()
	const instances, rate, tokens = 20, 20_000.0, 500
	f := newFleet(t)
	f.store.put("configuration/document", document{Version: 1, Rate: rate, Keys: []string{"k"}})
	f.addTarget("a", "east-a", respondWith("a"))
	for n := range instances {
		f.start("east", 10+n)
	}
	f.waitReady()
	time.Sleep(4 * time.Second) // until the token buckets are full
	started := time.Now()
	var admitted, refused atomic.Int64
	var clients sync.WaitGroup
	for _, e := range f.edges {
		clients.Go(func() {
			for time.Since(started) < 3*time.Second {
				if s, _ := call(e, "k", tokens); s == http.StatusOK {
					admitted.Add(tokens)
				} else {
					refused.Add(1)
				}
				time.Sleep(100 * time.Millisecond)
			}
		})
	}
	clients.Wait()
	elapsed := time.Since(started).Seconds()
	if got, allowed := float64(admitted.Load()), rate*(elapsed+1)+2*tokens; got > allowed {
		t.Errorf("%v tokens admitted in %.1f s, at most %v", got, elapsed, allowed)
	}
	if got, inside := float64(admitted.Load()), rate*elapsed*0.9; got < inside {
		t.Errorf("%v tokens admitted in %.1f s of %v, %d requests refused", got, elapsed, rate*elapsed, refused.Load())
	}
}
