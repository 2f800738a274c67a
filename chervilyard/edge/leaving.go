package edge

import (
	"encoding/binary"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"chervilyard.example/yard/target"
)

const (
	// leavingRetention is how long a run of a target is remembered that said that it leaves.
	leavingRetention = 10 * time.Minute
	// leavingRelayTime is how long a hub tells on what another instance heard.
	leavingRelayTime = 5 * time.Second
)

// leavingRuns holds the runs of targets that said in a response that they leave, by
// targetRunHash. What the store says of a run does not change it. It is safe for
// concurrent use.
type leavingRuns struct {
	mu    sync.Mutex
	heard map[uint64]time.Time // from the target, when last
	told  map[uint64]time.Time // by another instance, when first
}

// targetRunHash returns the hash that identifies a run of a target in heartbeats.
func targetRunHash(t target.Target) uint64 {
	b := append([]byte(t.Name()), 0) // zero-terminated: no name contains a zero byte
	return xxhash.Sum64(binary.LittleEndian.AppendUint64(b, uint64(t.RunID())))
}

// hear records that the run of the target said at now that it leaves, and reports whether
// that is new.
func (l *leavingRuns) hear(now time.Time, t target.Target) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	run := targetRunHash(t)
	known := l.contains(run)
	if l.heard == nil {
		l.heard = make(map[uint64]time.Time)
	}
	l.heard[run] = now
	return !known
}

// tell records runs that another instance heard of.
func (l *leavingRuns) tell(now time.Time, runs []uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.told == nil {
		l.told = make(map[uint64]time.Time)
	}
	for _, run := range runs {
		if _, ok := l.told[run]; !ok {
			l.told[run] = now
		}
	}
}

// list returns the runs that this instance heard of itself and, if relay is set, those that
// it was first told of within leavingRelayTime.
func (l *leavingRuns) list(now time.Time, relay bool) []uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	runs := slices.Collect(maps.Keys(l.heard))
	for run, at := range l.told {
		if relay && now.Sub(at) <= leavingRelayTime {
			runs = append(runs, run)
		}
	}
	slices.Sort(runs)
	return slices.Compact(runs)
}

// includes reports whether the target's run has said that it leaves.
func (l *leavingRuns) includes(t target.Target) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.heard) == 0 && len(l.told) == 0 {
		return false
	}
	return l.contains(targetRunHash(t))
}

// contains reports whether the run is known to leave. The caller must hold l.mu.
func (l *leavingRuns) contains(run uint64) bool {
	_, heard := l.heard[run]
	_, told := l.told[run]
	return heard || told
}

// evict forgets the runs of which nothing was heard for leavingRetention.
func (l *leavingRuns) evict(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, runs := range []map[uint64]time.Time{l.heard, l.told} {
		maps.DeleteFunc(runs, func(_ uint64, at time.Time) bool { return now.Sub(at) > leavingRetention })
	}
}

// recordTargetLeaving takes the word of a target that it leaves: it gets no new requests
// from this instance, and the region's others are told.
func (e *Edge) recordTargetLeaving(now time.Time, t target.Target) {
	if e.targets.leaving.hear(now, t) {
		e.meter.CountLeavingTarget()
		e.logDecision("target", "leaving", t.Name()+" says so in its responses")
	}
}
