// Package retrybudget limits retries to a fraction of the traffic, so that
// retries do not overload a failing target.
package retrybudget

import "sync"

const (
	retryRatio    = 0.2 // retries allowed per first attempt
	initialTokens = 10  // in a new bucket; one token allows one retry
	maxTokens     = 20  // capacity of the bucket
)

// Budget is a token bucket for retries that is filled by first attempts. The
// zero value is ready to use, with initialTokens in the bucket. It is safe for
// concurrent use.
type Budget struct {
	mu     sync.Mutex
	earned float64 // tokens added less tokens taken
}

// RecordRequest counts a first attempt.
func (b *Budget) RecordRequest() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.earned = min(b.earned+retryRatio, maxTokens-initialTokens)
}

// AllowRetry reports whether a retry is allowed. If so, it counts the retry.
func (b *Budget) AllowRetry() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if initialTokens+b.earned < 1 {
		return false
	}
	b.earned--
	return true
}
