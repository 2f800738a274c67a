// Package pause waits without outliving its owner.
package pause

import (
	"context"
	"time"
)

// For returns after the time, or as soon as the context ends.
func For(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}

// Every calls do after each interval until the context ends, and closes the
// returned channel then.
func Every(ctx context.Context, interval time.Duration, do func()) <-chan struct{} {
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		ticker := time.NewTicker(interval)
		defer ticker.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case <-ticker.C:
				do()
			}
		}
	}()
	return ended
}
