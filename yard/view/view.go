// Package view keeps the newest known content of one part of the store, with
// the time at which a reader last saw it, so that instances can share what one
// of them read and notice when nobody reads any more.
package view

import (
	"hash/fnv"
	"strings"
	"sync"
	"time"
)

// Item is one key of the store with its value.
type Item struct {
	Key      string
	Value    []byte
	Revision int64
}

// Snapshot is the whole content of a part of the store.
type Snapshot struct {
	Revision int64  // of the store when it was read
	Digest   uint64 // of the content that matters
	Items    []Item
	AsOf     time.Time // when it was read at the latest
	Arrived  time.Time // when the items came in here: what they say was true at the latest then
}

// Digest returns a hash of keys and of what the summary keeps of each value.
func Digest(items []Item, summary func(Item) string) uint64 {
	h := fnv.New64a()
	for _, it := range items {
		for _, s := range []string{it.Key, "\x00", summary(it), "\x00"} {
			_, _ = h.Write([]byte(s)) // a hash never fails
		}
	}
	return h.Sum64()
}

// View holds the newest snapshot. The zero value knows nothing. It is safe for
// concurrent use.
type View struct {
	mu   sync.Mutex
	snap Snapshot
}

// Learn takes a snapshot in. It returns true where the content changed. An
// older revision never replaces a newer one.
func (v *View) Learn(s Snapshot) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	known := !v.snap.AsOf.IsZero()
	if known && s.Revision < v.snap.Revision {
		return false
	}
	changed := !known || s.Digest != v.snap.Digest
	if known && s.AsOf.Before(v.snap.AsOf) {
		s.AsOf = v.snap.AsOf
	}
	if !changed && s.Items == nil {
		s.Items, s.Arrived = v.snap.Items, v.snap.Arrived
	}
	v.snap = s
	return changed
}

// Confirm notes that content with this digest was still in force at the given
// time and revision. It returns false where the view holds something else.
func (v *View) Confirm(revision int64, digest uint64, asOf time.Time) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.snap.AsOf.IsZero() || digest != v.snap.Digest {
		return false
	}
	v.snap.Revision = max(v.snap.Revision, revision)
	if asOf.After(v.snap.AsOf) {
		v.snap.AsOf = asOf
	}
	return true
}

// Apply changes single items on top of what is known: a nil value removes the
// key. It returns the new snapshot's items, with the digest left to the caller.
func Apply(items, changes []Item) []Item {
	merged := make(map[string]Item, len(items)+len(changes))
	order := make([]string, 0, len(items)+len(changes))
	for _, list := range [][]Item{items, changes} {
		for _, it := range list {
			if _, ok := merged[it.Key]; !ok {
				order = append(order, it.Key)
			}
			merged[it.Key] = it
		}
	}
	out := make([]Item, 0, len(order))
	for _, key := range order {
		if it := merged[key]; it.Value != nil {
			out = append(out, it)
		}
	}
	return out
}

// Snapshot returns what is known.
func (v *View) Snapshot() Snapshot {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.snap
}

// Known reports whether anything was ever read.
func (v *View) Known() bool { return !v.Snapshot().AsOf.IsZero() }

// Age returns how long ago a reader last saw the content, and false where
// nothing was ever read.
func (v *View) Age(now time.Time) (time.Duration, bool) {
	s := v.Snapshot()
	if s.AsOf.IsZero() {
		return 0, false
	}
	return max(now.Sub(s.AsOf), 0), true
}

// Base returns the last element of a key's path.
func Base(key string) string {
	return key[strings.LastIndexByte(key, '/')+1:]
}
