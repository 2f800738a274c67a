// Package retrybudget limits retries to a fraction of the traffic, so that
// retries do not overload a failing target.
package retrybudget

import "sync"

const (
	retryRatio = 0.2 // retries allowed per first attempt
	maxTokens  = 20  // capacity of the bucket; one token allows one retry
)

// Budget is a token bucket for retries that is filled by first attempts. The
// zero value is ready to use: it allows no retry before the first RecordRequest,
// which fills the bucket to half of its capacity. It is safe for concurrent use.
type Budget struct {
	mu          sync.Mutex
	tokens      float64
	initialized bool
}

// RecordRequest counts a first attempt.
func (b *Budget) RecordRequest() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.initialized {
		b.initialized = true
		b.tokens = maxTokens / 2
	}
	b.tokens = min(b.tokens+retryRatio, maxTokens)
}

// AllowRetry reports whether a retry is allowed. If so, it counts the retry.
func (b *Budget) AllowRetry() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
