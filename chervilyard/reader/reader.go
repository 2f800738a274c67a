// Package reader keeps the view of one part of the store fresh. Every instance
// may read; whose rank is lowest reads first, and the others only when the
// shared view grows old, so that few read and none is elected.
package reader

import (
	"context"
	"errors"
	"time"

	"chervilyard.example/chervilyard/journal"
	"chervilyard.example/yard/pause"
	"chervilyard.example/yard/view"
)

const (
	tick     = 50 * time.Millisecond
	callTime = 900 * time.Millisecond // a read of a slow store
	// pauseFirst and pauseMost bound the pause after a failed read.
	pauseFirst = 150 * time.Millisecond
	pauseMost  = 600 * time.Millisecond
)

// ErrCompacted is returned by a watch whose history is no longer kept.
var ErrCompacted = errors.New("reader: the history is no longer kept")

// Duty reads one part of the store. Its fields are set before Run.
type Duty struct {
	Part string
	View *view.View
	// Read returns the whole part.
	Read func(ctx context.Context) (view.Snapshot, error)
	// Watch returns the changes after a revision, waiting for some; nil where
	// the part is read whole each time.
	Watch func(ctx context.Context, after int64) ([]view.Item, int64, error)
	// Digest returns a hash of what matters of the content.
	Digest func([]view.Item) uint64
	// Every is the age at which the first rank reads, and Step is added for each
	// rank after it.
	Every, Step time.Duration
	// WatchTime bounds one watch.
	WatchTime time.Duration
	Rank      func(now time.Time) int
	Now       func() time.Time
	Changed   func(now time.Time)
	Journal   *journal.Journal

	failures int
	lost     bool
	whole    bool // the next read takes the whole part
}

// Run reads until the context ends and closes the returned channel then.
func (d *Duty) Run(ctx context.Context) <-chan struct{} {
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		for ctx.Err() == nil {
			wait := tick
			if d.due(d.Now()) {
				wait = d.once(ctx)
			}
			pause.For(ctx, wait)
		}
	}()
	return ended
}

func (d *Duty) due(now time.Time) bool {
	age, known := d.View.Age(now)
	return !known || age >= d.Every+time.Duration(d.Rank(now))*d.Step
}

// once reads once and returns the pause before the next look.
func (d *Duty) once(ctx context.Context) time.Duration {
	snap, err := d.fetch(ctx)
	now := d.Now()
	if err != nil {
		d.whole = d.whole || errors.Is(err, ErrCompacted)
		d.failures++
		d.noteLost(now, err)
		return min(pauseFirst<<min(d.failures-1, 4), pauseMost)
	}
	d.failures = 0
	d.whole = false
	d.noteRegained(now)
	if d.View.Learn(snap) {
		d.Changed(now)
	}
	if d.Every == 0 {
		return time.Millisecond
	}
	return tick
}

func (d *Duty) fetch(ctx context.Context) (view.Snapshot, error) {
	known := d.View.Snapshot()
	if d.Watch == nil || known.AsOf.IsZero() || d.whole {
		return d.read(ctx)
	}
	ctx, cancel := context.WithTimeout(ctx, d.WatchTime)
	defer cancel()
	changes, revision, err := d.Watch(ctx, known.Revision)
	if err != nil {
		return view.Snapshot{}, err
	}
	items := known.Items
	if len(changes) > 0 {
		items = view.Apply(items, changes)
	}
	now := d.Now()
	return view.Snapshot{Revision: max(revision, known.Revision), Digest: d.Digest(items), Items: items, AsOf: now, Arrived: now}, nil
}

// read takes the whole part; the content is as old as the call's start.
func (d *Duty) read(ctx context.Context) (view.Snapshot, error) {
	ctx, cancel := context.WithTimeout(ctx, callTime)
	defer cancel()
	began := d.Now()
	snap, err := d.Read(ctx)
	if err != nil {
		return view.Snapshot{}, err
	}
	snap.Digest = d.Digest(snap.Items)
	snap.AsOf, snap.Arrived = began, d.Now()
	return snap, nil
}

func (d *Duty) noteLost(now time.Time, err error) {
	if d.lost || d.failures < 2 {
		return
	}
	d.lost = true
	d.Journal.Note(journal.Decision{Time: now, Kind: "dependency", Choice: "lost", Reason: "store, " + d.Part + ": " + err.Error()})
}

func (d *Duty) noteRegained(now time.Time) {
	if d.lost {
		d.lost = false
		d.Journal.Note(journal.Decision{Time: now, Kind: "dependency", Choice: "regained", Reason: "store, " + d.Part})
	}
}
