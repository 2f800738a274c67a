// Package retry keeps repeated requests to a share of the traffic over the
// whole fleet, so that a failing service is not buried under repeats.
package retry

import (
	"sync"
	"time"
)

const buckets = 20 // slices of the window; finer slices track the window closer

// Terms bound the repeats of a service over all instances.
type Terms struct {
	Window time.Duration // that the bound is stated for
	Ratio  float64       // repeats for each first request
	Slack  float64       // repeats beyond the ratio, over the whole fleet
}

// Budget counts first requests and repeats of each service at one instance.
// The zero value has seen none. It is safe for concurrent use.
type Budget struct {
	mu       sync.Mutex
	began    time.Time // of the first count; slices are counted from here
	services map[string]*counts
}

type counts struct {
	first  [buckets]int
	repeat [buckets]int
	at     int64 // index of the present slice
}

// First counts a request that is sent for the first time.
func (b *Budget) First(now time.Time, t Terms, service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	c := b.counts(now, t, service)
	c.first[c.at%buckets]++
}

// Repeat counts a repeat and returns true, unless the instance's part of the
// budget is spent. The slack is divided by the number of instances.
func (b *Budget) Repeat(now time.Time, t Terms, service string, instances int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	c := b.counts(now, t, service)
	firsts, repeats := 0, 0
	for i := range buckets {
		firsts += c.first[i]
		repeats += c.repeat[i]
	}
	if float64(repeats+1) > t.Ratio*float64(firsts)+t.Slack/float64(max(instances, 1)) {
		return false
	}
	c.repeat[c.at%buckets]++
	return true
}

// counts returns the service's counts with the slices that passed emptied.
func (b *Budget) counts(now time.Time, t Terms, service string) *counts {
	if b.services == nil {
		b.services = make(map[string]*counts)
		b.began = now
	}
	c := b.services[service]
	at := int64(now.Sub(b.began)) / max(int64(t.Window/buckets), 1)
	if c == nil {
		c = &counts{at: at}
		b.services[service] = c
	}
	for steps := 0; c.at < at && steps < buckets; steps++ {
		c.at++
		c.first[c.at%buckets], c.repeat[c.at%buckets] = 0, 0
	}
	c.at = max(c.at, at)
	return c
}
