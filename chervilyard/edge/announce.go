package edge

import (
	"context"
	"time"

	"chervilyard.example/yard/membership"
	"chervilyard.example/yard/pause"
)

const (
	// Of each data centre, entriesPerCentre instances keep an entry in the store; the
	// others are found through them, so that the calls do not grow with the fleet.
	entriesPerCentre   = 2
	leaseTTL           = 24 * time.Second       // time to live of an entry in the store
	renewInterval      = 8 * time.Second        // between renewals
	entryCheckInterval = time.Second            // between two checks of whether the instance keeps an entry
	entryStartDelay    = startReadPeriod        // after the start, in which the others are heard; aloneDelay if some may not be
	aloneDelay         = time.Second            // after the start
	announceRetryDelay = 400 * time.Millisecond // after a failed call; also bounds the release of the lease
	announceTimeout    = time.Second            // of one attempt to renew the lease or write the entry
)

// announce keeps the instance's entry in the store until the context ends, while it is among
// the first of its data centre, so that others find the fleet. The returned channel is closed
// after the attempt to revoke the lease.
func (e *Edge) announce(ctx context.Context) <-chan struct{} {
	done := make(chan struct{})
	go func() {
		defer close(done)
		var lease Lease
		var renewedAt time.Time
		failing := false
		e.awaitOthers(ctx)
		for ctx.Err() == nil {
			wait := entryCheckInterval
			switch {
			case !e.keepsEntry(e.now()):
				e.revoke(ctx, lease)
				lease = Lease{}
			case lease.ID == 0 || lease.Era != e.era.Load() || e.now().Sub(renewedAt) >= renewInterval:
				err := e.maintainEntry(ctx, &lease)
				if err != nil {
					wait = announceRetryDelay
				} else {
					renewedAt = e.now()
				}
				if failed := err != nil; failed != failing && ctx.Err() == nil {
					failing = failed
					e.logEntryState(err)
				}
			}
			e.pauseUnlessEraChanges(ctx, wait)
		}
		e.revoke(ctx, lease)
	}()
	return done
}

// awaitOthers waits for entryStartDelay, or for aloneDelay if no other instance of the region is
// heard or some may not be: the entries may be all by which they find each other.
func (e *Edge) awaitOthers(ctx context.Context) {
	pause.For(ctx, aloneDelay)
	for ctx.Err() == nil {
		now := e.now()
		if now.Sub(e.started) >= entryStartDelay || len(e.liveNeighbours(now)) == 0 || !e.introduced(now) {
			return
		}
		pause.For(ctx, announceRetryDelay)
	}
}

// keepsEntry reports whether this instance is one of the first entriesPerCentre live ones of
// its data centre.
func (e *Edge) keepsEntry(now time.Time) bool {
	centre := e.Settings().Centre
	return e.rank(now, func(m membership.Member) bool { return m.Centre == centre }) < entriesPerCentre
}

// entry returns the content of the instance's entry.
func (e *Edge) entry(now time.Time) membership.Member {
	m := e.self(now)
	m.Fleet, m.Neighbours = 1, 1
	for _, other := range e.sharingMembers(now) {
		m.Fleet++
		if other.Region == m.Region {
			m.Neighbours++
		}
	}
	return m
}

// revoke revokes a lease, which deletes the entry. It does nothing for the zero lease.
func (e *Edge) revoke(ctx context.Context, lease Lease) {
	if lease.ID == 0 || lease.Era != e.era.Load() { // in a later era the ID may be another's
		return
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), announceRetryDelay)
	defer cancel()
	_ = e.store.RevokeLease(ctx, lease) // on failure the lease expires by itself
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
	if err := e.store.Announce(ctx, e.entry(e.now()), granted); err != nil {
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
