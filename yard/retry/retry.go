// Package retry implements a retry budget: it limits retries to a fraction of the
// first attempts over all instances, so that retries do not overload a failing
// service.
package retry

import (
	"sync"
	"time"
)

const bucketsPerWindow = 20 // more buckets approximate a sliding window better

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
	firstAttempts [bucketsPerWindow]int
	retries       [bucketsPerWindow]int
	current       int64 // number of the current bucket since start
}

// RecordRequest counts the first attempt of a request.
func (b *Budget) RecordRequest(now time.Time, limits Limits, service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	c := b.counts(now, limits, service)
	c.firstAttempts[c.current%bucketsPerWindow]++
}

// AllowRetry counts a retry and returns true, or returns false if the retry would
// exceed the budget of this instance: RetriesPerRequest for each of its own first
// attempts in the window, plus ExtraRetries divided by the number of instances.
func (b *Budget) AllowRetry(now time.Time, limits Limits, service string, instances int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	c := b.counts(now, limits, service)
	totalFirstAttempts, totalRetries := 0, 0
	for i := range bucketsPerWindow {
		totalFirstAttempts += c.firstAttempts[i]
		totalRetries += c.retries[i]
	}
	if float64(totalRetries+1) > limits.RetriesPerRequest*float64(totalFirstAttempts)+limits.ExtraRetries/float64(max(instances, 1)) {
		return false
	}
	c.retries[c.current%bucketsPerWindow]++
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
	for cleared := 0; c.current < current && cleared < bucketsPerWindow; cleared++ {
		c.current++
		c.firstAttempts[c.current%bucketsPerWindow], c.retries[c.current%bucketsPerWindow] = 0, 0
	}
	c.current = max(c.current, current)
	return c
}
