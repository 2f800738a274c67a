package edge

import (
	"context"
	"errors"
	"math"
	"strconv"
	"strings"
	"time"

	"chervilyard.example/yard/suspect"
	"chervilyard.example/yard/view"
)

// settlePeriod is how long after its start an instance may not have heard the others of its
// region.
const settlePeriod = time.Second

const (
	suspectsInterval   = 250 * time.Millisecond // between two checks of the store's entry
	suspectsTimeout    = 500 * time.Millisecond // of one write
	suspectsRetryDelay = time.Second            // after a failed write
	suspectsWait       = time.Second            // after the start, in which the store or a peer should tell what it keeps
	maxSuspectWrites   = 3                      // attempts at one change if others write, too
)

// buildSuspects connects the ledger of suspect parts to the log and the heartbeats.
func (e *Edge) buildSuspects() {
	log := func(choice string) func(time.Time, suspect.Verdict) {
		return func(_ time.Time, v suspect.Verdict) {
			targets := make([]string, len(v.Ends))
			for i, end := range v.Ends {
				targets[i] = end.Target
			}
			reason := v.Part + "; targets that ended: " + strings.Join(targets, ",")
			if v.More > 0 {
				reason += "; and " + strconv.Itoa(v.More) + " more parts"
			}
			e.logDecision("part", choice, reason)
		}
	}
	e.suspects.OnBlocked, e.suspects.OnCleared, e.suspects.OnTrial = log("blocked"), log("cleared"), log("tried")
	e.suspects.OnNews = func() {
		e.gossiper.Broadcast(e.ctx)
		select {
		case e.suspectNews <- struct{}{}:
		default: // news that has not been handled yet
		}
	}
}

// applySuspects adds what the store keeps of suspects.
func (e *Edge) applySuspects(now time.Time, s view.Snapshot) {
	e.noteEra(s.Era)
	if err := e.suspects.MergeEntry(now, e.clock.Stamp(now), suspectsItem(s).Value); err != nil {
		e.logDecision("part", "entry not readable", err.Error())
	}
}

// suspectsItem returns the item of SuspectsKey, or one of revision 0.
func suspectsItem(s view.Snapshot) view.Item {
	for _, it := range s.Items {
		if view.Base(it.Key) == SuspectsKey {
			return it
		}
	}
	return view.Item{}
}

// suspectsLoaded reports whether it is known what the store keeps of suspects, or has not been
// for suspectsWait after the start.
func (e *Edge) suspectsLoaded() bool {
	return e.views[PartSuspects].Loaded() || e.now().Sub(e.started) >= suspectsWait
}

// keepSuspects keeps the store's entry of suspects current until the context ends: at once
// where this instance saw what is new, and as the first of its region otherwise.
func (e *Edge) keepSuspects(ctx context.Context) <-chan struct{} {
	done := make(chan struct{})
	go func() {
		defer close(done)
		ticker := time.NewTicker(suspectsInterval)
		defer ticker.Stop()
		for {
			hasNews := false
			select {
			case <-ctx.Done():
				return
			case <-e.suspectNews:
				hasNews = true
			case <-ticker.C:
			}
			if hasNews || e.readRank(e.now()) == 0 {
				e.writeSuspects(ctx)
			}
		}
	}()
	return done
}

// writeSuspects writes the store's entry of suspects if it is outdated. On failure the next
// check follows.
func (e *Edge) writeSuspects(ctx context.Context) {
	e.suspectWrite.Lock()
	defer e.suspectWrite.Unlock()
	now := e.now()
	if e.store.PutSuspects == nil || !e.views[PartSuspects].Loaded() || now.Before(e.suspectRetry) {
		return
	}
	it := suspectsItem(e.views[PartSuspects].Snapshot())
	for range maxSuspectWrites {
		now := e.now()
		if !e.suspects.IsOutdated(now, e.clock.Stamp(now), it.Value) {
			return
		}
		current, err := e.putSuspects(ctx, it.Revision)
		if err == nil {
			return
		}
		if current == nil {
			e.suspectRetry = now.Add(suspectsRetryDelay)
			return
		}
		it = *current
	}
}

// putSuspects writes the store's entry of suspects. If it has another revision than expected,
// it merges the entry and returns it. The caller must hold e.suspectWrite.
func (e *Edge) putSuspects(ctx context.Context, expected int64) (*view.Item, error) {
	ctx, cancel := context.WithTimeout(ctx, suspectsTimeout)
	defer cancel()
	now := e.now()
	data, err := e.suspects.Entry(now, e.clock.Stamp(now))
	if err == nil {
		err = e.store.PutSuspects(ctx, data, expected)
	}
	var conflict *ConflictError
	if !errors.As(err, &conflict) {
		if err != nil {
			e.noteEraOf(err)
			e.logDecision("part", "entry not written", err.Error())
		}
		return nil, err
	}
	now = e.now()
	if mergeErr := e.suspects.MergeEntry(now, e.clock.Stamp(now), conflict.Item.Value); mergeErr != nil {
		e.logDecision("part", "entry not readable", mergeErr.Error())
	}
	return &conflict.Item, err
}

// claimTrial reports whether this instance may send the request of a trial: the store's entry
// has the trial, and no other instance had entered one of that number. So regions that do not
// hear each other, and instances that started after all others ended, share the trials. While
// the store does not answer, only the ranks divide them, so that what was blocked without
// reason does not stay blocked.
func (e *Edge) claimTrial(ctx context.Context, t suspect.Trial) bool {
	if e.store.PutSuspects == nil {
		return true
	}
	if !e.suspectWrite.TryLock() {
		return false
	}
	defer e.suspectWrite.Unlock()
	if e.now().Before(e.suspectRetry) || !e.views[PartSuspects].Loaded() {
		return true
	}
	it := suspectsItem(e.views[PartSuspects].Snapshot())
	for range maxSuspectWrites {
		if suspect.HasTrial(it.Value, t.Part, t.Number) {
			return false
		}
		current, err := e.putSuspects(ctx, it.Revision)
		if err == nil {
			return true
		}
		if current == nil {
			e.suspectRetry = e.now().Add(suspectsRetryDelay)
			return true
		}
		it = *current
	}
	return false
}

// trialRank returns the rank of this instance among those that send requests with the part as
// trials. One that has just started sends none, since it may not have heard of others' trials
// yet.
func (e *Edge) trialRank(now time.Time, part string) int {
	if now.Sub(e.started) < settlePeriod {
		return math.MaxInt32
	}
	var others []string
	for _, m := range e.memberTable.Live(now, liveTimeout) {
		if m.Ready && !m.Leaving {
			others = append(others, m.Name)
		}
	}
	return suspect.Rank(part, e.Settings().Name, others)
}
