// Package reader keeps the view of one part of the store current.
//
// Instances share what they read through gossip, and each ranks itself among
// them. An instance reads once its view reaches an age that grows with its rank,
// so the lowest rank usually reads for all, and the next one takes over if that
// instance fails. No leader election is needed.
package reader

import (
	"context"
	"errors"
	"strconv"
	"time"

	"chervilyard.example/chervilyard/decisionlog"
	"chervilyard.example/yard/pause"
	"chervilyard.example/yard/view"
)

const (
	// The view is checked every pollInterval, and less often, up to maxPollInterval, while
	// it is not due soon: it may become due earlier only as other instances fail.
	pollInterval    = 50 * time.Millisecond
	maxPollInterval = 250 * time.Millisecond
	// startPollInterval is the time between two checks of an empty view in StartDelay.
	startPollInterval = 10 * time.Millisecond
	readTimeout       = 900 * time.Millisecond // per full read; allows for a slow store
	// minBackoff and maxBackoff bound the delay after a failed read.
	minBackoff = 150 * time.Millisecond
	maxBackoff = 600 * time.Millisecond
)

// EraError is the error of a watch that the store answered in another era than that of the
// revision. The next read is a full read.
type EraError struct{ Era int64 }

// Error returns the era of the store.
func (e *EraError) Error() string {
	return "reader: the store is in era " + strconv.FormatInt(e.Era, 10)
}

// ErrCompacted is returned by Refresher.Watch when the store no longer keeps the
// changes after the given revision. The next read is a full read.
var ErrCompacted = errors.New("reader: history after the revision is no longer kept")

// Refresher refreshes the view of one part of the store. The exported fields must be
// set before Run and not be changed afterwards.
type Refresher struct {
	Part string // name of the part in the log
	View *view.View
	// Read returns the complete part.
	Read func(ctx context.Context) (view.Snapshot, error)
	// Watch waits for changes after a revision and returns them with the new
	// revision. If Watch is nil, every refresh is a full read.
	Watch func(ctx context.Context, after int64) (view.Changes, error)
	// Digest returns a hash that changes whenever OnChange has to be called.
	Digest func([]view.Item) uint64
	// MaxAge is the age of the view at which rank 0 reads. Each further rank
	// reads at an age that is higher by RankDelay. If MaxAge is 0, the next check
	// after a successful refresh does not wait for the poll interval, so that
	// rank 0 refreshes continuously.
	MaxAge, RankDelay time.Duration
	// StartDelay is how long Run waits before the first read for another instance to
	// provide the content.
	StartDelay time.Duration
	// WatchTimeout is the timeout of one call of Watch.
	WatchTimeout time.Duration
	// Rank returns the rank of this instance, from 0.
	Rank func(now time.Time) int
	// Due reports whether to read now, given the age of the view and whether it holds
	// anything. If it is nil, MaxAge, RankDelay and Rank decide.
	Due func(now time.Time, age time.Duration, loaded bool) bool
	Now func() time.Time
	// OnChange is called after a refresh that changed the content of the view.
	OnChange  func(now time.Time)
	Decisions *decisionlog.Log

	failures    int  // consecutive failed reads
	unavailable bool // the store is logged as unavailable
	fullRead    bool // the next refresh must not use Watch
}

// Run starts refreshing the view until ctx is done, and then closes the returned
// channel.
func (r *Refresher) Run(ctx context.Context) <-chan struct{} {
	done := make(chan struct{})
	go func() {
		defer close(done)
		for end := r.Now().Add(r.StartDelay); ctx.Err() == nil && !r.View.Loaded() && r.Now().Before(end); {
			pause.For(ctx, startPollInterval)
		}
		for ctx.Err() == nil {
			wait := r.timeToDue(r.Now())
			if wait <= 0 {
				wait = r.refresh(ctx)
			}
			pause.For(ctx, min(wait, maxPollInterval))
		}
	}()
	return done
}

// timeToDue returns 0 if the view is empty or has reached the read age of this instance's
// rank, or if Due reports that it is due. Otherwise it returns the time until then, at least
// pollInterval.
func (r *Refresher) timeToDue(now time.Time) time.Duration {
	age, loaded := r.View.Age(now)
	if r.Due != nil {
		if r.Due(now, age, loaded) {
			return 0
		}
		return maxPollInterval
	}
	left := r.MaxAge + time.Duration(r.Rank(now))*r.RankDelay - age
	if !loaded || left <= 0 {
		return 0
	}
	return max(left, pollInterval)
}

// refresh reads or watches once and returns the delay before the next check.
func (r *Refresher) refresh(ctx context.Context) time.Duration {
	snap, err := r.fetch(ctx)
	now := r.Now()
	var other *EraError
	if errors.As(err, &other) {
		r.fullRead = true
		if other.Era > r.View.Snapshot().Era {
			return time.Millisecond
		}
	}
	if err != nil {
		r.fullRead = r.fullRead || errors.Is(err, ErrCompacted)
		r.failures++
		r.logUnavailable(now, err)
		return min(minBackoff<<min(r.failures-1, 4), maxBackoff)
	}
	r.failures = 0
	r.fullRead = false
	r.logAvailable(now)
	if r.View.Update(snap) {
		r.OnChange(now)
	}
	if r.MaxAge == 0 {
		return time.Millisecond
	}
	return pollInterval
}

// fetch returns the content of the part, by Watch if possible.
func (r *Refresher) fetch(ctx context.Context) (view.Snapshot, error) {
	cached := r.View.Snapshot()
	if r.Watch == nil || cached.AsOf.IsZero() || r.fullRead {
		return r.readAll(ctx)
	}
	ctx, cancel := context.WithTimeout(ctx, r.WatchTimeout)
	defer cancel()
	changes, err := r.Watch(ctx, cached.Revision)
	if err != nil {
		return view.Snapshot{}, err
	}
	if changes.Era != cached.Era {
		return view.Snapshot{}, &EraError{Era: changes.Era}
	}
	items := cached.Items
	if len(changes.Items) > 0 {
		items = view.ApplyChanges(items, changes.Items)
	}
	now := r.Now()
	return view.Snapshot{Era: cached.Era, Revision: max(changes.Revision, cached.Revision), Digest: r.Digest(items), Items: items, AsOf: now, ReceivedAt: now}, nil
}

// readAll reads the complete part. Its AsOf is the start of the call, since the
// store may have read the content at any time from then on.
func (r *Refresher) readAll(ctx context.Context) (view.Snapshot, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	startedAt := r.Now()
	snap, err := r.Read(ctx)
	if err != nil {
		return view.Snapshot{}, err
	}
	snap.Digest = r.Digest(snap.Items)
	snap.AsOf, snap.ReceivedAt = startedAt, r.Now()
	return snap, nil
}

// logUnavailable logs the store as lost, once, after two consecutive failures.
func (r *Refresher) logUnavailable(now time.Time, err error) {
	if r.unavailable || r.failures < 2 {
		return
	}
	r.unavailable = true
	r.Decisions.Record(decisionlog.Decision{Time: now, Kind: "dependency", Choice: "lost", Reason: "store, " + r.Part + ": " + err.Error()})
}

func (r *Refresher) logAvailable(now time.Time) {
	if r.unavailable {
		r.unavailable = false
		r.Decisions.Record(decisionlog.Decision{Time: now, Kind: "dependency", Choice: "regained", Reason: "store, " + r.Part})
	}
}
