// Package warmup keeps what an instance knows of whether a target is cold: what the target
// said, as of when, and whether it may have restarted since.
package warmup

import "time"

// Report is what a target said of itself at some time from Earliest to Latest.
type Report struct {
	Earliest, Latest time.Time
	ColdUntil        time.Time // zero if it was warm
}

// isZero reports whether there is no report.
func (r Report) isZero() bool { return r.Latest.IsZero() }

// State is what is known of one run of a target. Of two reports the one that is certainly
// newer counts, and if neither is, the one with the longer cold time. The zero value knows
// nothing, and the target counts as warm. It is not safe for concurrent use.
type State struct {
	listed  Report // the newest one from the store
	checked Report // the newest one that the target gave in a health check
	// The first and the last sign that the target may have restarted; zero if it is not
	// suspected.
	suspectedFrom, lastSign time.Time
}

// List replaces the report that the store has of the target.
func (s *State) List(r Report) { s.listed = r }

// ConfirmListed records that the report in the store is still the newest, and that one
// written at earliest would have replaced it. What a target said of a cold time is not newer
// for being read again.
func (s *State) ConfirmListed(earliest time.Time) {
	if s.listed.ColdUntil.IsZero() {
		s.listed.Earliest, s.listed.Latest = later(s.listed.Earliest, earliest), later(s.listed.Latest, earliest)
	}
}

// Check takes a report of a health check, of this instance or another one, and returns false
// if it says nothing new.
func (s *State) Check(r Report) bool {
	last := s.checked
	switch {
	case last.isZero() || r.Earliest.After(last.Latest):
		s.checked = r
	case !r.Latest.Before(last.Earliest): // either may be newer
		s.checked = Report{
			Earliest: later(last.Earliest, r.Earliest), Latest: later(last.Latest, r.Latest), ColdUntil: later(last.ColdUntil, r.ColdUntil),
		}
	}
	return s.checked != last
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// ListOlder takes a report of an earlier run, such as from an older copy of the store. It may
// be of the present run after all, if the target's clock was set back.
func (s *State) ListOlder(r Report) {
	s.listed.ColdUntil = later(s.listed.ColdUntil, r.ColdUntil)
}

// Suspect records a sign that the target may have restarted, and returns true if it was not
// suspected before.
func (s *State) Suspect(now time.Time) bool {
	first := s.suspectedFrom.IsZero()
	if first {
		s.suspectedFrom = now
	}
	s.lastSign = now
	return first
}

// Dismiss ends the suspicion if the run was seen at a time that is not before the last sign of
// its end, and reports whether it did.
func (s *State) Dismiss(seenAt time.Time) bool {
	if s.suspectedFrom.IsZero() || seenAt.Before(s.lastSign) {
		return false
	}
	s.suspectedFrom, s.lastSign = time.Time{}, time.Time{}
	return true
}

// SuspectedFrom returns the first sign that the target may have restarted, and false if it is
// not suspected.
func (s *State) SuspectedFrom() (time.Time, bool) {
	return s.suspectedFrom, !s.suspectedFrom.IsZero()
}

// KnownAsOf returns the latest time at which the target is known to have been as reported,
// zero if there is no report.
func (s *State) KnownAsOf() time.Time {
	return later(s.listed.Earliest, s.checked.Earliest)
}

// ColdUntil returns the end of the cold time that was reported, which may be over, or zero if
// there was none.
func (s *State) ColdUntil() time.Time {
	switch l, c := s.listed, s.checked; {
	case c.isZero() || c.Latest.Before(l.Earliest):
		return l.ColdUntil
	case l.isZero() || l.Latest.Before(c.Earliest):
		return c.ColdUntil
	default:
		return later(l.ColdUntil, c.ColdUntil)
	}
}

// IsKnownSince reports whether there is a report of a later time than since.
func (s *State) IsKnownSince(since time.Time) bool { return s.KnownAsOf().After(since) }
