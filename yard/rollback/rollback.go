// Package rollback bridges the time after the store came back from an older copy, in which
// others write again what the store has lost.
package rollback

import (
	"slices"
	"strings"
	"time"

	"chervilyard.example/yard/view"
)

// Window is how long an item that the store has lost is kept: targets report within it.
const Window = 2200 * time.Millisecond

// Rollback holds the items of one part of the store that were in effect before the store
// came back. The zero value holds none. A Rollback is not safe for concurrent use.
type Rollback struct {
	before   []view.Item
	revision int64 // of the store when its new era was first seen
	end      time.Time
}

// Begin keeps the items for Window. The revision is the one at which the store's new era
// was first seen: an item with a higher one was written since.
func (r *Rollback) Begin(now time.Time, before []view.Item, revision int64) {
	r.before, r.revision, r.end = slices.Clone(before), revision, now.Add(Window)
}

// Active reports whether items are kept at now.
func (r *Rollback) Active(now time.Time) bool { return now.Before(r.end) }

// Ended reports whether items were kept and no longer are at now, and forgets them.
func (r *Rollback) Ended(now time.Time) bool {
	if r.before == nil || r.Active(now) {
		return false
	}
	r.before = nil
	return true
}

// Merge returns the items in effect, sorted by key: those written since the store came
// back and, while items are kept, these in place of what the older copy has.
func (r *Rollback) Merge(now time.Time, items []view.Item) []view.Item {
	if !r.Active(now) {
		return items
	}
	merged := slices.Clone(r.before)
	index := make(map[string]int, len(merged))
	for i, it := range merged {
		index[it.Key] = i
	}
	for _, it := range r.Written(items) {
		if i, ok := index[it.Key]; ok {
			merged[i] = it
		} else {
			merged = append(merged, it)
		}
	}
	slices.SortFunc(merged, func(a, b view.Item) int { return strings.Compare(a.Key, b.Key) })
	return merged
}

// Written returns the items that were written since the store came back.
func (r *Rollback) Written(items []view.Item) []view.Item {
	return slices.DeleteFunc(slices.Clone(items), func(it view.Item) bool { return it.Revision <= r.revision })
}
