// Package retry implements a retry budget: it limits retries to a fraction of the
// first attempts over all instances, so that retries do not overload a failing
// service.
package retry

import (
	"sync"
	"time"
)

const (
	bucketsPerWindow = 20 // more buckets approximate a sliding window better
	// retryBuckets is the number of buckets whose retries count. A window may begin
	// inside a bucket, and a retry reaches its target up to a bucket after it is allowed.
	retryBuckets = bucketsPerWindow + 2
)

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
	firstAttempts [retryBuckets]int
	retries       [retryBuckets]int
	current       int64 // number of the current bucket since start
}

// sums returns the first attempts of at most one window and the retries of at least one.
func (c *counts) sums() (firstAttempts, retries int) {
	for age := range int64(retryBuckets) {
		i := (c.current - age + retryBuckets) % retryBuckets
		retries += c.retries[i]
		if age < bucketsPerWindow {
			firstAttempts += c.firstAttempts[i]
		}
	}
	return firstAttempts, retries
}

// RecordRequest counts the first attempt of a request.
func (b *Budget) RecordRequest(now time.Time, limits Limits, service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	c := b.counts(now, limits, service)
	c.firstAttempts[c.current%retryBuckets]++
}

// AllowRetry counts a retry and returns true, or returns false if the retry would
// exceed the budget of this instance: RetriesPerRequest for each of its own first
// attempts in the window, plus ExtraRetries divided by the number of instances. If that
// is 0, the instance has no share of them.
func (b *Budget) AllowRetry(now time.Time, limits Limits, service string, instances int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	c := b.counts(now, limits, service)
	firstAttempts, retries := c.sums()
	allowed := limits.RetriesPerRequest * float64(firstAttempts)
	if instances > 0 {
		allowed += limits.ExtraRetries / float64(instances)
	}
	if float64(retries+1) > allowed {
		return false
	}
	c.retries[c.current%retryBuckets]++
	return true
}

// counts returns the counts of the service after clearing expired buckets. The
// caller must hold b.mu.
func (b *Budget) counts(now time.Time, limits Limits, service string) *counts {
	if b.services == nil {
		b.services = make(map[string]*counts)
		b.start = now
	}
	c := b.services[service]
	current := int64(now.Sub(b.start)) / max(int64(limits.Window/bucketsPerWindow), 1)
	if c == nil {
		c = &counts{current: current}
		b.services[service] = c
	}
	for cleared := 0; c.current < current && cleared < retryBuckets; cleared++ {
		c.current++
		c.firstAttempts[c.current%retryBuckets], c.retries[c.current%retryBuckets] = 0, 0
	}
	c.current = max(c.current, current)
	return c
}
