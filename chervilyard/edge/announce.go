package edge

import (
	"context"
	"time"
)

const (
	leaseTime    = 10 * time.Second       // of the instance's entry in the store
	renewTime    = 3 * time.Second        // between renewals
	announceWait = 400 * time.Millisecond // after a failed call
	announceCall = time.Second
)

// announce keeps the instance's entry in the store, so that others find it.
func (e *Edge) announce(ctx context.Context) <-chan struct{} {
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		var lease int64
		for ctx.Err() == nil {
			pause := renewTime
			if err := e.keepEntry(ctx, &lease); err != nil {
				pause = announceWait
			}
			select {
			case <-ctx.Done():
			case <-time.After(pause):
			}
		}
		if lease != 0 {
			end, cancel := context.WithTimeout(context.WithoutCancel(ctx), announceWait)
			_ = e.store.End(end, lease) // it runs out by itself
			cancel()
		}
	}()
	return ended
}

// keepEntry renews the lease, or takes one and writes the entry under it.
func (e *Edge) keepEntry(ctx context.Context, lease *int64) error {
	ctx, cancel := context.WithTimeout(ctx, announceCall)
	defer cancel()
	if *lease != 0 {
		err := e.store.Renew(ctx, *lease)
		if err == nil {
			return nil
		}
		*lease = 0
	}
	fresh, err := e.store.Grant(ctx, leaseTime)
	if err != nil {
		return err
	}
	if err := e.store.Announce(ctx, e.self(e.now()), fresh); err != nil {
		return err
	}
	*lease = fresh
	return nil
}
