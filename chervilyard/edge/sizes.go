package edge

import (
	"sync"
	"time"

	"chervilyard.example/yard/membership"
)

// sizePeriod is how long after its start an instance takes the fleet for as large as the
// entries in the store say. Later it knows the others by their heartbeats.
const sizePeriod = 10 * time.Second

// listedSizes holds the sizes of the fleet and of this instance's region that entries in the
// store tell. Instances that restart together know few others for a moment: without the
// sizes, each would use the limits of the fleet as if it had them almost alone. It is safe
// for concurrent use.
type listedSizes struct {
	mu            sync.Mutex
	fleet, region int
}

// merge keeps the largest sizes of the listed members.
func (l *listedSizes) merge(members []membership.Member, region string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, m := range members {
		l.fleet = max(l.fleet, m.Fleet)
		if m.Region == region {
			l.region = max(l.region, m.Neighbours)
		}
	}
}

// get returns the sizes, or zeros once sizePeriod since the start is over.
func (l *listedSizes) get(now, started time.Time) (fleet, region int) {
	if now.Sub(started) >= sizePeriod {
		return 0, 0
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.fleet, l.region
}
