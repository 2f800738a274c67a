package edge

import (
	"sync"
	"time"

	"chervilyard.example/yard/discovery"
)

const (
	// maxLocated bounds the number of addresses in an answer of the directory.
	maxLocated = 64
	// trafficHalfLife is the interval after which the request counts are halved.
	trafficHalfLife = 30 * time.Second
)

// Locate returns the addresses of the instances that a caller should use for a host, and how
// long the caller may cache them.
func (e *Edge) Locate(now time.Time, host string, caller discovery.Caller) ([]string, time.Duration) {
	members := append(e.memberTable.Live(now, liveTimeout), e.self(now))
	picked := discovery.Pick(members, caller, func(region string) float64 {
		return e.permittedShare(host, region)
	})
	var list []string
	for _, m := range discovery.Balance(picked, caller) {
		if len(list) < maxLocated {
			list = append(list, m.Callers)
		}
	}
	return list, e.Settings().DirectoryTTL
}

// permittedShare returns the share of a host's requests, weighted by traffic, whose
// routes permit the region. It is 1 if no configuration or no route of the host is known.
func (e *Edge) permittedShare(host, region string) float64 {
	c := e.catalog.Load()
	if c == nil {
		return 1
	}
	total, permitted := 0.0, 0.0
	for _, r := range c.Routes(host) {
		weight := e.traffic.weight(r.Name())
		total += weight
		if r.AllowsRegion(region, "") {
			permitted += weight
		}
	}
	if total == 0 {
		return 1
	}
	return permitted / total
}

// traffic counts the requests of each route with exponential decay. It is safe for
// concurrent use.
type traffic struct {
	mu       sync.Mutex
	counts   map[string]float64 // by route
	halvedAt time.Time
}

func (t *traffic) count(now time.Time, route string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.counts == nil {
		t.counts = make(map[string]float64)
	}
	if now.Sub(t.halvedAt) > trafficHalfLife {
		t.halvedAt = now
		for name := range t.counts {
			t.counts[name] /= 2
		}
	}
	t.counts[route]++
}

// weight returns one more than a route's decayed count, so that a route without
// requests still has a weight.
func (t *traffic) weight(route string) float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return 1 + t.counts[route]
}
