// Package retry implements a retry budget: it limits retries to a fraction of the
// first attempts over all instances, so that retries do not overload a failing
// service.
package retry

import (
	"sync"
	"time"
)

const (
	bucketsPerWindow = 20
	// creditBuckets is the number of buckets, the current one included, whose first
	// attempts can be saved up for later retries.
	creditBuckets = 2
	// earnedFraction is the part of RetriesPerRequest that a first attempt earns. What is
	// saved up when a window begins comes on top of what is earned in it.
	earnedFraction = float64(bucketsPerWindow) / (bucketsPerWindow + creditBuckets)
	// savedFraction is the part of an instance's extra retries that can be saved up. The
	// rest accrues in the course of a window.
	savedFraction = 0.5
)

// Limits limit the retries of a service over all instances.
type Limits struct {
	Window            time.Duration // period to which the limit applies
	RetriesPerRequest float64       // retries allowed per first attempt
	ExtraRetries      float64       // additional retries per window, over all instances
}

// Budget limits the retries of each service at one instance. It begins without credit, so
// that an instance that restarts gains none. The zero value is ready to use. It is safe
// for concurrent use.
type Budget struct {
	mu       sync.Mutex
	services map[string]*account
}

// account is the credit of one service.
type account struct {
	credit        float64            // in retries; reduced to what can be saved up before it is used
	accrued       time.Time          // up to when extra retries have been added to the credit
	start         time.Time          // of the bucket with number 0
	current       int64              // number of the current bucket
	firstAttempts [creditBuckets]int // of the last buckets, in a ring
}

// RecordRequest counts the first attempt of a request.
func (b *Budget) RecordRequest(now time.Time, limits Limits, service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	a := b.account(now, limits, service)
	a.firstAttempts[a.current%creditBuckets]++
	a.credit += limits.RetriesPerRequest * earnedFraction
}

// AllowRetry takes a retry from the credit of this instance and returns true, or returns
// false if there is none left. In any window the retries of all instances stay within
// RetriesPerRequest for each first attempt, as long as those are about as many shortly
// before the window as in it, plus ExtraRetries, which are divided by the number of
// instances. If that is 0, the instance has no share of them. A single retry can be saved
// up in any case, or instances with few requests could never retry.
func (b *Budget) AllowRetry(now time.Time, limits Limits, service string, instances int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	a := b.account(now, limits, service)
	a.accrue(now, limits, instances)
	if a.credit < 1 {
		return false
	}
	a.credit--
	return true
}

// account returns the account of the service as of the bucket of now. The caller must
// hold b.mu.
func (b *Budget) account(now time.Time, limits Limits, service string) *account {
	if b.services == nil {
		b.services = make(map[string]*account)
	}
	a := b.services[service]
	if a == nil {
		a = &account{start: now, accrued: now}
		b.services[service] = a
	}
	current := int64(now.Sub(a.start) / max(limits.Window/bucketsPerWindow, 1))
	for cleared := 0; a.current < current && cleared < creditBuckets; cleared++ {
		a.current++
		a.firstAttempts[a.current%creditBuckets] = 0
	}
	a.current = max(a.current, current)
	return a
}

// accrue adds this instance's extra retries since the last call to the credit, and reduces
// the credit to what can be saved up.
func (a *account) accrue(now time.Time, limits Limits, instances int) {
	share := 0.0
	if instances > 0 {
		share = limits.ExtraRetries / float64(instances)
	}
	if elapsed := now.Sub(a.accrued); elapsed > 0 {
		a.accrued = now
		if limits.Window > 0 {
			a.credit += (1 - savedFraction) * share * elapsed.Seconds() / limits.Window.Seconds()
		}
	}
	saved := savedFraction * share
	for _, n := range a.firstAttempts {
		saved += limits.RetriesPerRequest * earnedFraction * float64(n)
	}
	a.credit = min(a.credit, max(saved, 1))
}
