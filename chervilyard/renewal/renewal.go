// Package renewal maintains the leases of an instance's seats in the store. A seat
// is one share of the quota of a data centre. The package renews the leases,
// claims free seats, and releases the seats at a graceful shutdown.
package renewal

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"chervilyard.example/chervilyard/decisionlog"
	"chervilyard.example/yard/document"
	"chervilyard.example/yard/lender"
	"chervilyard.example/yard/pause"
	"chervilyard.example/yard/seat"
	"chervilyard.example/yard/store"
)

const (
	renewalsPerLease = 3
	// claimInterval is the interval of attempts while the instance holds no seat or
	// the last attempt failed.
	claimInterval   = time.Second
	maxSwapAttempts = 6 // of one change, while other instances' writes cause conflicts
	maxSwapJitter   = 30 * time.Millisecond
)

// Renewer maintains the seats of one instance. The exported fields must be set before
// Run and not be changed afterwards. A Renewer is safe for concurrent use.
type Renewer struct {
	Key      string // store key of the data centre's entry
	Table    *seat.Table
	Lender   *lender.Lender            // uses the quota of the seats
	Document func() *document.Document // returns the accepted document, or nil if there is none
	Liveness func(now time.Time) seat.Liveness
	// Get and Put have the meaning of the methods of store.Client.
	Get       func(ctx context.Context, key string) (store.Value, error)
	Put       func(ctx context.Context, key string, data []byte, expected int64) (int64, error)
	Now       func() time.Time
	Decisions *decisionlog.Log
	// OnChange, if not nil, is called after each change of the set of seats that
	// the instance holds. It must not call methods of the Renewer other than Seats.
	OnChange func()

	tableMu  sync.Mutex // protects Table and released
	released bool
	mu       sync.Mutex // protects seats
	seats    []int
}

// Seats returns a copy of the numbers of the seats that the instance holds.
func (r *Renewer) Seats() []int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]int(nil), r.seats...)
}

// RecordGivenPromise records that this instance answers a heartbeat of the holder.
// The answer promises not to claim the holder's seats for a limited time; see
// seat.Table.
func (r *Renewer) RecordGivenPromise(now time.Time, holder string) {
	drift := 0.0
	if doc := r.Document(); doc != nil {
		drift = doc.Quota().MaxClockDrift
	}
	r.tableMu.Lock()
	defer r.tableMu.Unlock()
	r.Table.RecordGivenPromise(now, holder, drift)
}

// RecordReceivedPromise records that a witness answered the heartbeat sent at the
// given time, which extends the right to the seats that the witness could claim.
func (r *Renewer) RecordReceivedPromise(sent time.Time, witness string) {
	doc := r.Document()
	if doc == nil {
		return
	}
	r.tableMu.Lock()
	defer r.tableMu.Unlock()
	r.Table.RecordReceivedPromise(sent, witness)
	now := r.Now()
	r.applyHoldings(now, r.Table.Holdings(now, doc.Quota()))
}

// Run starts a goroutine that renews and claims seats until ctx is done. The returned
// channel is closed when the goroutine has stopped.
func (r *Renewer) Run(ctx context.Context) <-chan struct{} {
	done := make(chan struct{})
	go func() {
		defer close(done)
		for ctx.Err() == nil {
			wait := claimInterval / 10
			if doc := r.Document(); doc != nil {
				wait = r.runOnce(ctx, doc)
			}
			pause.For(ctx, wait)
		}
	}()
	return done
}

// runOnce renews and claims once, and returns the delay before the next time.
func (r *Renewer) runOnce(ctx context.Context, doc *document.Document) time.Duration {
	centre, ok := doc.Centre(r.Table.Centre)
	if !ok {
		return claimInterval
	}
	settings := doc.Quota()
	err := r.compareAndSwap(ctx, settings, func(now time.Time, e seat.Entry) (seat.Entry, bool) {
		if r.released {
			return e, false // an instance that shuts down must not claim seats again
		}
		return r.Table.Plan(now, e, centre.Seats(), settings, r.Liveness(now))
	})
	if err != nil || len(r.Seats()) == 0 {
		return claimInterval
	}
	return settings.FloatingLease / renewalsPerLease
}

// Release releases all seats in the store, so that other instances can claim them
// without waiting for the leases to expire. It records how long the instance's
// loans still run and the levels of its quota. Run claims no seat afterwards.
// Release does nothing if no document has been accepted.
func (r *Renewer) Release(ctx context.Context) error {
	doc := r.Document()
	if doc == nil {
		return nil
	}
	r.tableMu.Lock()
	r.released = true
	r.tableMu.Unlock()
	now := r.Now()
	wait := r.Lender.RemainingLoanTime(now)
	levels := r.Lender.ReleaseLevels(now)
	r.Lender.SetHoldings(now, nil)
	return r.compareAndSwap(ctx, doc.Quota(), func(_ time.Time, e seat.Entry) (seat.Entry, bool) {
		return r.Table.Release(e, wait, levels)
	})
}

// compareAndSwap changes the entry as planWrite decides. After a conflict it waits
// for a random time, reads the entry and calls planWrite again, for at most
// maxSwapAttempts attempts in all.
func (r *Renewer) compareAndSwap(ctx context.Context, settings document.QuotaSettings, planWrite func(time.Time, seat.Entry) (seat.Entry, bool)) error {
	var lastErr error
	for range maxSwapAttempts {
		err := r.swapOnce(ctx, settings, planWrite)
		if err == nil || store.KindOf(err) != store.Conflict {
			return err
		}
		lastErr = err
		pause.For(ctx, rand.N(maxSwapJitter))
	}
	return lastErr
}

// swapOnce makes one attempt of compareAndSwap.
func (r *Renewer) swapOnce(ctx context.Context, settings document.QuotaSettings, planWrite func(time.Time, seat.Entry) (seat.Entry, bool)) error {
	v, err := r.Get(ctx, r.Key)
	if err != nil {
		return err
	}
	current, err := seat.Decode(r.Table.Centre, v.Data)
	if err != nil {
		return err
	}
	next, sent, changed := r.planAndBeginWrite(current, settings, planWrite)
	if !changed {
		return nil
	}
	data, err := next.Encode()
	if err != nil {
		return err
	}
	if _, err = r.Put(ctx, r.Key, data, v.Revision); err != nil {
		return err
	}
	r.tableMu.Lock()
	defer r.tableMu.Unlock()
	r.Table.WriteConfirmed(sent, next)
	now := r.Now()
	r.applyHoldings(now, r.Table.ApplyEntry(now, next, current, settings))
	return nil
}

// planAndBeginWrite applies an entry read from the store. It returns the entry to write
// and the time from which its renewals count. The instance stops using the parts
// that the new entry releases before the write is sent, because the write may take
// effect at any moment after that.
func (r *Renewer) planAndBeginWrite(
	current seat.Entry, settings document.QuotaSettings, planWrite func(time.Time, seat.Entry) (seat.Entry, bool),
) (next seat.Entry, sent time.Time, changed bool) {
	r.tableMu.Lock()
	defer r.tableMu.Unlock()
	now := r.Now()
	r.applyHoldings(now, r.Table.ApplyEntry(now, current, seat.Entry{}, settings))
	next, changed = planWrite(now, current)
	if changed {
		r.applyHoldings(now, r.Table.BeginWrite(now, next))
	}
	return next, now, changed
}

// applyHoldings passes the parts of seats that the instance may use to the lender,
// and logs the newly taken ones. The caller holds r.tableMu.
func (r *Renewer) applyHoldings(now time.Time, holdings []seat.Holding) {
	r.Lender.SetHoldings(now, holdings)
	if r.setSeats(holdings) && r.OnChange != nil {
		r.OnChange()
	}
	for _, h := range holdings {
		if h.Fresh {
			r.Decisions.Record(decisionlog.Decision{Time: now, Kind: "seat", Choice: "hold " + h.ID(), Reason: holdReason(h), Centre: r.Table.Centre})
		}
	}
}

// setSeats stores the distinct seat numbers of the holdings, and reports whether they
// changed.
func (r *Renewer) setSeats(holdings []seat.Holding) bool {
	var seats []int
	for _, h := range holdings {
		if !slices.Contains(seats, h.Seat) {
			seats = append(seats, h.Seat)
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	changed := !slices.Equal(seats, r.seats)
	r.seats = seats
	return changed
}

// holdReason explains in the log why the instance could take a part.
func holdReason(h seat.Holding) string {
	switch {
	case h.Fence == 1:
		return "never held"
	case h.DefaultFull:
		return "released"
	}
	return "lapsed or own from an earlier run"
}
