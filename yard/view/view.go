// Package view caches the newest known content of one part of the store. The
// cache records when an instance last read that content from the store, so that
// instances can share one read and detect a view that has become stale.
package view

import (
	"hash/fnv"
	"strings"
	"sync"
	"time"
)

// Item is one key of the store and its value.
type Item struct {
	Key      string
	Value    []byte
	Revision int64
}

// Changes are the changes of a part of the store up to a revision. An item with a nil
// value was deleted.
type Changes struct {
	Era      int64 // see Snapshot
	Revision int64
	Items    []Item
}

// Snapshot is the complete content of a part of the store at one revision.
type Snapshot struct {
	Era        int64  // rises each time the store comes back from an older copy, and gives out revisions again
	Revision   int64  // store revision of the read; comparable within its era only
	Digest     uint64 // hash of the content, from Digest
	Items      []Item
	AsOf       time.Time // time of the latest read or confirmation by any instance; zero if there was none
	ReceivedAt time.Time // when this instance received the items; they were current then or before
}

// Digest returns a hash of the items' keys and of the string that summary returns
// for each item.
func Digest(items []Item, summary func(Item) string) uint64 {
	h := fnv.New64a()
	for _, item := range items {
		for _, s := range []string{item.Key, "\x00", summary(item), "\x00"} {
			_, _ = h.Write([]byte(s)) // hash.Hash never returns an error
		}
	}
	return h.Sum64()
}

// View holds the newest snapshot. The zero value is an empty view. A View is safe
// for concurrent use.
type View struct {
	mu   sync.Mutex
	snap Snapshot
}

// newerThan reports whether the snapshot is from a later era, or from a later revision of
// the same one.
func (s Snapshot) newerThan(era, revision int64) bool {
	return s.Era > era || s.Era == era && s.Revision > revision
}

// Update replaces the snapshot, unless the view holds a newer one. It reports whether the
// content or its era changed. The AsOf of the view never goes back. If s has no items and
// the digest of the view, the view keeps its items.
func (v *View) Update(s Snapshot) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	known := !v.snap.AsOf.IsZero()
	if known && v.snap.newerThan(s.Era, s.Revision) {
		return false
	}
	changed := !known || s.Digest != v.snap.Digest || s.Era != v.snap.Era
	if known && s.AsOf.Before(v.snap.AsOf) {
		s.AsOf = v.snap.AsOf
	}
	if known && s.Digest == v.snap.Digest && s.Items == nil {
		s.Items, s.ReceivedAt = v.snap.Items, v.snap.ReceivedAt
	}
	v.snap = s
	return changed
}

// Confirm records that the content with the given digest was still current at the
// given time and revision. It returns false if the view is empty or holds other
// content or that of another era.
func (v *View) Confirm(era, revision int64, digest uint64, asOf time.Time) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.snap.AsOf.IsZero() || era != v.snap.Era || digest != v.snap.Digest {
		return false
	}
	v.snap.Revision = max(v.snap.Revision, revision)
	if asOf.After(v.snap.AsOf) {
		v.snap.AsOf = asOf
	}
	return true
}

// ApplyChanges returns items with the changes applied in order. A change with a nil
// value removes its key. The caller computes the digest of the result.
func ApplyChanges(items, changes []Item) []Item {
	merged := make(map[string]Item, len(items)+len(changes))
	order := make([]string, 0, len(items)+len(changes))
	for _, list := range [][]Item{items, changes} {
		for _, item := range list {
			if _, ok := merged[item.Key]; !ok {
				order = append(order, item.Key)
			}
			merged[item.Key] = item
		}
	}
	out := make([]Item, 0, len(order))
	for _, key := range order {
		if item := merged[key]; item.Value != nil {
			out = append(out, item)
		}
	}
	return out
}

// OlderThan reports whether the view is empty or holds an older snapshot than that of the
// revision.
func (v *View) OlderThan(era, revision int64) bool {
	s := v.Snapshot()
	return s.AsOf.IsZero() || (Snapshot{Era: era, Revision: revision}).newerThan(s.Era, s.Revision)
}

// Snapshot returns the current snapshot. The caller must not change its items.
func (v *View) Snapshot() Snapshot {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.snap
}

// Loaded reports whether the view holds a snapshot.
func (v *View) Loaded() bool { return !v.Snapshot().AsOf.IsZero() }

// Age returns the time since the content was last read or confirmed, at least 0,
// and false if the view is empty.
func (v *View) Age(now time.Time) (time.Duration, bool) {
	s := v.Snapshot()
	if s.AsOf.IsZero() {
		return 0, false
	}
	return max(now.Sub(s.AsOf), 0), true
}

// Base returns the last element of a slash-separated key.
func Base(key string) string {
	return key[strings.LastIndexByte(key, '/')+1:]
}
