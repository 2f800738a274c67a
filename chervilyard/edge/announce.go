package edge

import (
	"context"
	"time"

	"chervilyard.example/yard/pause"
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
		lost := false
		for ctx.Err() == nil {
			wait := renewTime
			err := e.keepEntry(ctx, &lease)
			if err != nil {
				wait = announceWait
			}
			if failed := err != nil; failed != lost && ctx.Err() == nil {
				lost = failed
				e.noteEntry(err)
			}
			pause.For(ctx, wait)
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

// noteEntry logs that the instance's entry cannot be kept, or can again.
func (e *Edge) noteEntry(err error) {
	if err != nil {
		e.note("dependency", "lost", "store, own entry: "+err.Error())
		return
	}
	e.note("dependency", "regained", "store, own entry")
}
