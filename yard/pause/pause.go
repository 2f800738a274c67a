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
