// Package retry implements a retry budget: it limits retries to a fraction of the
// first attempts over all instances, so that retries do not overload a failing
// service.
package retry

import (
	"sync"
	"time"
)

const buckets = 20 // per window; more buckets approximate a sliding window better

// Limits limit the retries of a service over all instances.
type Limits struct {
	Window            time.Duration // period to which the limit applies
	RetriesPerRequest float64       // retries allowed per first attempt
	ExtraRetries      float64       // additional retries per window, over all instances
}

// Budget counts the first attempts and retries of each service at one instance.
// The zero value is ready to use. It is safe for concurrent use.
type Budget struct {
	mu       sync.Mutex
	start    time.Time // of the first bucket
	services map[string]*counts
}

// counts holds ring buffers of the buckets of one window.
type counts struct {
	firsts  [buckets]int
	retries [buckets]int
	current int64 // number of the current bucket since start
}

// RecordRequest counts the first attempt of a request.
func (b *Budget) RecordRequest(now time.Time, t Limits, service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	c := b.counts(now, t, service)
	c.firsts[c.current%buckets]++
}

// AllowRetry counts a retry and returns true, or returns false if the retry would
// exceed the budget of this instance: the ratio of its own first attempts plus an
// equal share of the slack, which is divided by the number of instances.
func (b *Budget) AllowRetry(now time.Time, t Limits, service string, instances int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	c := b.counts(now, t, service)
	totalFirsts, totalRetries := 0, 0
	for i := range buckets {
		totalFirsts += c.firsts[i]
		totalRetries += c.retries[i]
	}
	if float64(totalRetries+1) > t.RetriesPerRequest*float64(totalFirsts)+t.ExtraRetries/float64(max(instances, 1)) {
		return false
	}
	c.retries[c.current%buckets]++
	return true
}

// counts returns the counts of the service after clearing expired buckets. The
// caller must hold b.mu.
func (b *Budget) counts(now time.Time, t Limits, service string) *counts {
	if b.services == nil {
		b.services = make(map[string]*counts)
		b.start = now
	}
	c := b.services[service]
	current := int64(now.Sub(b.start)) / max(int64(t.Window/buckets), 1)
	if c == nil {
		c = &counts{current: current}
		b.services[service] = c
	}
	for cleared := 0; c.current < current && cleared < buckets; cleared++ {
		c.current++
		c.firsts[c.current%buckets], c.retries[c.current%buckets] = 0, 0
	}
	c.current = max(c.current, current)
	return c
}
