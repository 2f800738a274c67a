// Package renewal keeps an instance's seats in the store: it renews them, claims
// free ones, and releases them at a graceful stop.
package renewal

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"chervilyard.example/chervilyard/journal"
	"chervilyard.example/yard/document"
	"chervilyard.example/yard/lender"
	"chervilyard.example/yard/pause"
	"chervilyard.example/yard/seat"
	"chervilyard.example/yard/store"
)

const (
	renewals = 3 // renewals in one lease
	eager    = time.Second
	tries    = 6 // of a compare-and-swap that others' writes beat
	retryGap = 30 * time.Millisecond
)

// Duty keeps the seats of one instance. Its fields are set before Run.
type Duty struct {
	Key      string // of the data centre's entry in the store
	Table    *seat.Table
	Lender   *lender.Lender
	Document func() *document.Document
	Mates    func(now time.Time) seat.Mates
	Get      func(ctx context.Context, key string) (store.Value, error)
	Put      func(ctx context.Context, key string, data []byte, expected int64) (int64, error)
	Now      func() time.Time
	Journal  *journal.Journal
	// Changed is called when the seats that the instance holds changed.
	Changed func()

	table    sync.Mutex // guards Table and released
	released bool
	mu       sync.Mutex
	seats    []int
}

// Seats returns the seats that the instance holds now.
func (d *Duty) Seats() []int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return append([]int(nil), d.seats...)
}

// Promise notes that this instance answers a heartbeat of the holder, and so
// promises not to claim its parts for a while.
func (d *Duty) Promise(now time.Time, holder string) {
	drift := 0.0
	if doc := d.Document(); doc != nil {
		drift = doc.Terms().Drift
	}
	d.table.Lock()
	defer d.table.Unlock()
	d.Table.Promise(now, holder, drift)
}

// Promised notes a witness's answer to the heartbeat that was sent at the time.
func (d *Duty) Promised(sent time.Time, witness string) {
	doc := d.Document()
	if doc == nil {
		return
	}
	d.table.Lock()
	defer d.table.Unlock()
	d.Table.Promised(sent, witness)
	now := d.Now()
	d.hold(now, d.Table.Titles(now, doc.Terms()))
}

// Run renews and claims until the context ends.
func (d *Duty) Run(ctx context.Context) <-chan struct{} {
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		for ctx.Err() == nil {
			wait := eager / 10
			if doc := d.Document(); doc != nil {
				wait = d.step(ctx, doc)
			}
			pause.For(ctx, wait)
		}
	}()
	return ended
}

// step makes one round and returns the time to the next.
func (d *Duty) step(ctx context.Context, doc *document.Document) time.Duration {
	c, ok := doc.Centre(d.Table.Centre)
	if !ok {
		return eager
	}
	terms := doc.Terms()
	err := d.swap(ctx, terms, func(now time.Time, e seat.Entry) (seat.Entry, bool) {
		if d.released {
			return e, false // an instance that leaves claims nothing again
		}
		return d.Table.Plan(now, e, c.Seats(), terms, d.Mates(now))
	})
	if err != nil || len(d.Seats()) == 0 {
		return eager
	}
	return terms.Lease / renewals
}

// Release gives the seats up, so that others may take them at once.
func (d *Duty) Release(ctx context.Context) error {
	doc := d.Document()
	if doc == nil {
		return nil
	}
	d.table.Lock()
	d.released = true
	d.table.Unlock()
	now := d.Now()
	wait := d.Lender.Outstanding(now)
	drawn := d.Lender.Drawn(now)
	d.Lender.Hold(now, nil)
	return d.swap(ctx, doc.Terms(), func(_ time.Time, e seat.Entry) (seat.Entry, bool) {
		return d.Table.Release(e, wait, drawn)
	})
}

// swap changes the entry by compare-and-swap, again from the start where
// another instance's write came between.
func (d *Duty) swap(ctx context.Context, terms document.Terms, plan func(time.Time, seat.Entry) (seat.Entry, bool)) error {
	var last error
	for range tries {
		err := d.try(ctx, terms, plan)
		if err == nil || store.KindOf(err) != store.Conflict {
			return err
		}
		last = err
		pause.For(ctx, rand.N(retryGap))
	}
	return last
}

func (d *Duty) try(ctx context.Context, terms document.Terms, plan func(time.Time, seat.Entry) (seat.Entry, bool)) error {
	v, err := d.Get(ctx, d.Key)
	if err != nil {
		return err
	}
	before, err := seat.Decode(d.Table.Centre, v.Data)
	if err != nil {
		return err
	}
	next, sent, changed := d.prepare(before, terms, plan)
	if !changed {
		return nil
	}
	data, err := next.Encode()
	if err != nil {
		return err
	}
	if _, err = d.Put(ctx, d.Key, data, v.Revision); err != nil {
		return err
	}
	d.table.Lock()
	defer d.table.Unlock()
	d.Table.Landed(sent, next)
	now := d.Now()
	d.hold(now, d.Table.Confirm(now, next, before, terms))
	return nil
}

// prepare takes an entry in and returns the one to write. What it gives up is
// given up now.
func (d *Duty) prepare(
	before seat.Entry, terms document.Terms, plan func(time.Time, seat.Entry) (seat.Entry, bool),
) (next seat.Entry, sent time.Time, changed bool) {
	d.table.Lock()
	defer d.table.Unlock()
	now := d.Now()
	d.hold(now, d.Table.Confirm(now, before, seat.Entry{}, terms))
	next, changed = plan(now, before)
	if changed {
		d.hold(now, d.Table.Sent(now, next))
	}
	return next, now, changed
}

// hold gives the lender the parts that may be used, and notes what changed.
func (d *Duty) hold(now time.Time, titles []seat.Title) {
	d.Lender.Hold(now, titles)
	if d.note(titles) && d.Changed != nil {
		d.Changed()
	}
	for _, t := range titles {
		if t.Fresh {
			d.Journal.Note(journal.Decision{Time: now, Kind: "seat", Choice: "hold " + t.ID(), Reason: reason(t), Centre: d.Table.Centre})
		}
	}
}

// note keeps the numbers of the seats, and reports whether they changed.
func (d *Duty) note(titles []seat.Title) bool {
	var seats []int
	for _, t := range titles {
		if !slices.Contains(seats, t.Seat) {
			seats = append(seats, t.Seat)
		}
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	changed := !slices.Equal(seats, d.seats)
	d.seats = seats
	return changed
}

func reason(t seat.Title) string {
	switch {
	case t.Fence == 1:
		return "never held"
	case t.Full:
		return "released"
	}
	return "lapsed or own from an earlier run"
}
