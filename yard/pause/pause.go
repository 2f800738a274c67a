// Package pause provides delays and periodic calls that end with a context.
package pause

import (
	"context"
	"time"
)

// For blocks for the duration d or until ctx is done, whichever is first.
func For(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// Every calls f in a new goroutine after each interval until ctx is done. The first
// call is after one interval. Every closes the returned channel when the goroutine
// has stopped. The interval must be positive.
func Every(ctx context.Context, interval time.Duration, f func()) <-chan struct{} {
	done := make(chan struct{})
	go func() {
		defer close(done)
		ticker := time.NewTicker(interval)
		defer ticker.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case <-ticker.C:
				f()
			}
		}
	}()
	return done
}
