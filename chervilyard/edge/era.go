package edge

import (
	"errors"
	"time"

	"chervilyard.example/chervilyard/reader"
	"chervilyard.example/yard/rollback"
	"chervilyard.example/yard/view"
)

// partState is what of a part of the store is in effect. It is used with the part's apply
// lock held.
type partState struct {
	loaded   bool
	era      int64 // of the snapshot applied last
	items    []view.Item
	rollback rollback.Rollback
}

// itemsInEffect returns the items of the snapshot or, for a while after the store came back
// from an older copy, those from before that nobody has written since.
func (e *Edge) itemsInEffect(now time.Time, part string, s view.Snapshot) []view.Item {
	p := e.parts[part]
	if p.loaded && s.Era > p.era {
		p.rollback.Begin(now, p.items, s.Revision)
		end := now.Add(rollback.Window)
		e.rollbackEnd.Store(&end)
		e.logDecision("store", "came back", part+": era "+itoa(s.Era)+" at revision "+itoa(s.Revision)+" after era "+itoa(p.era)+
			"; "+itoa(int64(len(p.items)))+" items kept for "+rollback.Window.String()+" unless written again, "+itoa(int64(len(s.Items)))+" in the copy")
	}
	p.loaded, p.era = true, s.Era
	p.items = p.rollback.Merge(now, s.Items)
	e.noteEra(s.Era)
	return p.items
}

// endRollbacks applies the store's own content of the parts for which the items from before
// it came back are no longer kept.
func (e *Edge) endRollbacks(now time.Time) {
	for part, p := range e.parts {
		e.applyLocks[part].Lock()
		if p.rollback.Ended(now) {
			e.apply[part](now, e.views[part].Snapshot())
		}
		e.applyLocks[part].Unlock()
	}
}

// inRollback reports whether the store came back from an older copy so recently that entries
// of targets may be from long before they were read.
func (e *Edge) inRollback(now time.Time) bool {
	end := e.rollbackEnd.Load()
	return end != nil && now.Before(*end)
}

// noteEra records an era of the store. If it is a later one, the instance's lease and entry
// are obtained and written anew at once.
func (e *Edge) noteEra(era int64) {
	for {
		known := e.era.Load()
		if era <= known {
			return
		}
		if e.era.CompareAndSwap(known, era) {
			break
		}
	}
	select {
	case e.eraChanged <- struct{}{}:
	default: // a change that has not been handled yet
	}
}

// noteEraOf records the era that an error of the store tells of, if it tells of one.
func (e *Edge) noteEraOf(err error) {
	var other *reader.EraError
	if errors.As(err, &other) {
		e.noteEra(other.Era)
	}
}
