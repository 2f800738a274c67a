package edge

import (
	"sync"
	"time"

	"chervilyard.example/yard/entrance"
)

const (
	// maxNamed is how many instances an answer of the directory names.
	maxNamed = 64
	// trafficHalf is the time in which a route's requests count half.
	trafficHalf = 30 * time.Second
)

// Locate returns the callers' addresses of the instances that a caller should
// use for a host, and how long it may keep the answer.
func (e *Edge) Locate(now time.Time, host, region, centre string) ([]string, time.Duration) {
	members := append(e.table.Live(now, liveTime), e.self(now))
	picked := entrance.Pick(members, entrance.Caller{Region: region, Centre: centre}, func(region string) float64 {
		return e.hostShare(host, region)
	})
	var list []string
	for _, m := range picked {
		if len(list) < maxNamed {
			list = append(list, m.Callers)
		}
	}
	return list, e.Settings().Answer
}

// hostShare returns the part of a host's requests that may be served in the region.
func (e *Edge) hostShare(host, region string) float64 {
	c := e.catalog.Load()
	if c == nil {
		return 1
	}
	all, permitted := 0.0, 0.0
	for _, r := range c.Routes(host) {
		weight := e.traffic.weight(r.Name())
		all += weight
		if r.Permits(region, "") {
			permitted += weight
		}
	}
	if all == 0 {
		return 1
	}
	return permitted / all
}

// traffic counts the requests of each route, older ones less.
type traffic struct {
	mu     sync.Mutex
	counts map[string]float64
	halved time.Time
}

func (t *traffic) note(now time.Time, route string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.counts == nil {
		t.counts = make(map[string]float64)
	}
	if now.Sub(t.halved) > trafficHalf {
		t.halved = now
		for name := range t.counts {
			t.counts[name] /= 2
		}
	}
	t.counts[route]++
}

// weight returns a route's part in the traffic; one without requests counts as one.
func (t *traffic) weight(route string) float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return 1 + t.counts[route]
}
