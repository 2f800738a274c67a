package edge_test

import (
	"fmt"
	"maps"
	"testing"
	"time"

	"chervilyard.example/chervilyard/edge"
)

// Load: one instance of a region refuses a request, all admit some; directly and with hubs.
// Guards against instances that do not learn of a shortage elsewhere, and against counts that
// are lost or count twice on their way over hubs.
func TestSharesReachTheRegion(t *testing.T) {
	for _, instances := range []int{3, 16} {
		t.Run(fmt.Sprint(instances), func(t *testing.T) {
			t.Parallel()
			f := newFleet(t)
			f.store.put("configuration/document", document{Version: 1, Rate: 1000, Keys: []string{"k"}})
			f.addTarget("a", "east-a", respondWith("a"))
			for n := range instances {
				f.start("east", 10+n)
			}
			f.waitReady()
			time.Sleep(2 * time.Second) // until the hubs are known
			// Counts leave the window after two seconds, so those that are not known everywhere by then
			// on a busy machine are recorded again.
			const window, rounds = 2 * time.Second, 5
			unaware := maps.Clone(f.edges)
			for range rounds {
				now := time.Now()
				refused := false
				for _, e := range f.edges {
					e.Shares().Admit(now, "s", "c", 1000)
					if !refused {
						e.Shares().Refuse(now, "s", "c", 700)
						refused = true
					}
				}
				for len(unaware) > 0 && time.Since(now) < window {
					maps.DeleteFunc(unaware, func(_ string, e *edge.Edge) bool {
						refused, admittedPerSecond := e.Shares().Total(time.Now(), "s")
						return refused == 700 && admittedPerSecond == float64(instances)*500
					})
					time.Sleep(10 * time.Millisecond)
				}
				if len(unaware) == 0 {
					return
				}
				time.Sleep(2 * window) // reports of the last round count for another second
			}
			t.Errorf("%d instances never knew the counts of all", len(unaware))
		})
	}
}
