package edge

import (
	"slices"
	"sync"
	"time"

	"chervilyard.example/yard/membership"
)

// sizePeriod is how long after its start an instance takes the fleet for as large as the
// entries in the store say. Later it knows the others by their heartbeats.
const sizePeriod = 10 * time.Second

// unknownFleetSize is the number of instances that a fleet is taken to have while a started
// instance has been told of no other one of its region. If each took the limits of the fleet for
// its own, a fleet that starts would exceed them; an instance that is alone can serve with this
// part.
const unknownFleetSize = 64

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

// toldSizes returns how many instances the fleet and this instance's region have by what the
// store and other regions told after the start, or zeros where neither did. Some may be gone.
func (e *Edge) toldSizes(now time.Time) (fleet, region int) {
	fleet, region = e.sizes.get(now, e.started)
	if now.Sub(e.started) >= sizePeriod {
		return fleet, region
	}
	told := e.introduction.RegionSize()
	if told <= region {
		return fleet, region
	}
	others := 0 // instances of other regions
	for _, m := range e.sharingMembers(now) {
		if m.Region != e.Settings().Region {
			others++
		}
	}
	return max(fleet, told+others), told
}

// leastFleetSize returns the number of instances that the fleet has at least, besides those that
// are known.
func (e *Edge) leastFleetSize(now time.Time) int {
	fleet, region := e.toldSizes(now)
	own := e.Settings().Region
	isNeighbour := func(m membership.Member) bool { return m.Region == own }
	if region <= 1 && !e.introduced(now) && !slices.ContainsFunc(e.sharingMembers(now), isNeighbour) {
		return max(fleet, unknownFleetSize)
	}
	return fleet
}
