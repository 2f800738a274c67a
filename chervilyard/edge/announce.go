package edge

import (
	"context"
	"time"
)

const (
	leaseTTL           = 10 * time.Second       // time to live of the instance's entry in the store
	renewInterval      = 3 * time.Second        // between renewals
	announceRetryDelay = 400 * time.Millisecond // after a failed call; also bounds the release of the lease
	announceTimeout    = time.Second            // of one attempt to renew the lease or write the entry
)

// announce keeps the instance's entry in the store until the context ends, so that
// other instances find this one. The returned channel is closed after the attempt to
// revoke the lease.
func (e *Edge) announce(ctx context.Context) <-chan struct{} {
	done := make(chan struct{})
	go func() {
		defer close(done)
		var lease Lease
		failing := false
		for ctx.Err() == nil {
			wait := renewInterval
			err := e.maintainEntry(ctx, &lease)
			if err != nil {
				wait = announceRetryDelay
			}
			if failed := err != nil; failed != failing && ctx.Err() == nil {
				failing = failed
				e.logEntryState(err)
			}
			e.pauseUnlessEraChanges(ctx, wait)
		}
		if lease.ID != 0 && lease.Era == e.era.Load() { // in a later era the ID may be another's
			endCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), announceRetryDelay)
			_ = e.store.RevokeLease(endCtx, lease) // on failure the lease expires by itself
			cancel()
		}
	}()
	return done
}

// pauseUnlessEraChanges waits for d, until the context ends or until the store is known to
// be in a later era.
func (e *Edge) pauseUnlessEraChanges(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	case <-e.eraChanged:
	}
}

// maintainEntry renews the lease. If there is none, it is of an earlier era or the renewal
// fails, it obtains a new lease and writes the entry under it.
func (e *Edge) maintainEntry(ctx context.Context, lease *Lease) error {
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	if lease.ID != 0 && lease.Era == e.era.Load() {
		err := e.store.RenewLease(ctx, *lease)
		if err == nil {
			return nil
		}
		e.noteEraOf(err)
	}
	if lease.ID != 0 && lease.Era != e.era.Load() {
		e.logDecision("store", "came back", "own entry: lease "+itoa(lease.ID)+" of era "+itoa(lease.Era)+" discarded, written again in era "+itoa(e.era.Load()))
	}
	*lease = Lease{}
	granted, err := e.store.GrantLease(ctx, leaseTTL)
	if err != nil {
		return err
	}
	e.noteEra(granted.Era)
	if err := e.store.Announce(ctx, e.self(e.now()), granted); err != nil {
		e.noteEraOf(err)
		return err
	}
	*lease = granted
	return nil
}

// logEntryState logs that the instance's entry cannot be maintained, or, if err is nil,
// that it can be again.
func (e *Edge) logEntryState(err error) {
	if err != nil {
		e.logDecision("dependency", "lost", "store, own entry: "+err.Error())
		return
	}
	e.logDecision("dependency", "regained", "store, own entry")
}
