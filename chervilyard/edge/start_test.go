package edge_test

import (
	"testing"
	"time"
)

// Pattern: a fleet starts at once. Its instances must be ready soon, and all but the seeds
// must get what the store holds from others, so that the calls do not grow with the fleet.
func TestFleetStartsWithFewCalls(t *testing.T) {
	t.Parallel()
	for _, n := range []int{6, 24} {
		f := newFleet(t)
		f.store.put("configuration/document", document{Version: 1, Keys: []string{"k"}})
		f.addTarget("a", "east-a", respondWith("a"))
		f.start("east", 10)
		before := f.store.callCount()
		seeds := f.seeds[:1:1]
		started := time.Now()
		for i := range n {
			f.seeds = seeds
			f.start("east", 11+i)
		}
		f.waitReady()
		if took := time.Since(started); took > time.Second {
			t.Errorf("%d instances are ready after %v", n, took)
		}
		time.Sleep(3 * time.Second)
		if calls := f.store.callCount() - before; calls > 24 { // the first one alone makes some 3 a second
			t.Errorf("the start of %d instances took %d calls", n, calls)
		}
	}
}
