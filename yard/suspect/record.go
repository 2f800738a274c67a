package suspect

import (
	"slices"
	"time"
)

// addEnd adds the end of a target, or what is new of it, and reports whether that changed
// anything.
func (r *record) addEnd(e End) bool {
	if !r.soundAt.IsZero() && e.At.Sub(r.soundAt) <= r.excusedTime() {
		return false
	}
	for i := range r.ends {
		old := &r.ends[i]
		if old.Target == e.Target && old.At.Sub(e.At).Abs() < sameEndTime {
			changed := e.Begun && !old.Begun || e.Trial && !old.Trial
			old.Begun = old.Begun || e.Begun
			old.Trial, old.Doubt = old.Trial || e.Trial, old.Doubt || e.Doubt
			return changed
		}
	}
	i, _ := slices.BinarySearchFunc(r.ends, e, func(a, b End) int { return a.At.Compare(b.At) })
	r.ends = slices.Insert(r.ends, i, e)
	if len(r.ends) > maxEnds {
		r.ends = slices.Delete(r.ends, 0, 1)
	}
	return true
}

// excusedTime returns how long after an answer that went well no end is attributed.
func (r *record) excusedTime() time.Duration {
	if r.request {
		return 0
	}
	return soundTime
}

// retention returns how long the record is kept after its last use.
func (r *record) retention() time.Duration {
	if r.request && r.isBlocked() {
		return requestRetention
	}
	return retention
}

// isBlocked reports whether enough targets ended under the part.
func (r *record) isBlocked() bool {
	begun := 0
	for _, e := range r.ends {
		if e.Begun {
			begun++
		}
	}
	return begun >= minBegunEnds || len(r.ends) >= minEnds
}

// failedTrials returns the number of targets that ended under trials of the part, and whether
// that confirms the verdict.
func (r *record) failedTrials() (n int, confirmed bool) {
	needed := minDoubtfulTrials
	if r.request {
		needed = minRequestTrials
	}
	for _, e := range r.ends {
		if e.Trial {
			n++
			confirmed = confirmed || !e.Doubt || n >= needed
		}
	}
	return n, confirmed
}

// hasSameEnds reports whether the same targets ended under both parts.
func (r *record) hasSameEnds(other *record) bool {
	return slices.EqualFunc(r.ends, other.ends, func(a, b End) bool { return a.Target == b.Target && a.At.Sub(b.At).Abs() < sameEndTime })
}

// lastSign returns the time of the last trial or end.
func (r *record) lastSign() time.Time {
	if n := len(r.ends); n > 0 && r.ends[n-1].At.After(r.lastTry) {
		return r.ends[n-1].At
	}
	return r.lastTry
}

// nextTrial returns the time from which a request may be let through.
func (r *record) nextTrial() time.Time {
	from := r.lastSign()
	n, confirmed := r.failedTrials()
	if r.request && n >= maxRequestTrials {
		return from.Add(requestRetention)
	}
	if confirmed {
		return from.Add(min(confirmedDelay<<min(n-1, 8), maxConfirmedDelay))
	}
	return r.nextDoubtfulTrial()
}

// nextDoubtfulTrial returns the time from which a request may be let through if no trial has
// confirmed the verdict.
func (r *record) nextDoubtfulTrial() time.Time {
	d := firstTrialDelay
	for range min(r.trials, 6) {
		d *= trialDelayFactor
	}
	return r.lastSign().Add(d)
}

func (r *record) verdict(now time.Time, part string) Verdict {
	_, confirmed := r.failedTrials()
	return Verdict{Part: part, Ends: slices.Clone(r.ends), Confirmed: confirmed, RetryAfter: max(r.nextTrial().Sub(now), 0)}
}

// clear voids the ends, since a request with the part was answered in full at the given time,
// and returns the verdict that no longer holds, if there is one.
func (r *record) clear(at time.Time, part string) []Verdict {
	var cleared []Verdict
	if r.blocked {
		cleared = append(cleared, r.verdict(at, part))
	}
	r.ends, r.blocked, r.trials, r.lastTry, r.soundAt = nil, false, 0, time.Time{}, at
	return cleared
}

// isExpired reports whether the record need not be kept any longer.
func (r *record) isExpired(now time.Time) bool { return now.Sub(r.lastUse()) > r.retention() }

func (r *record) lastChange() time.Time { return r.changedAt }

// lastUse returns the last time at which the record mattered.
func (r *record) lastUse() time.Time {
	last := r.changedAt
	for _, at := range []time.Time{r.soundAt, r.lastTry} {
		if at.After(last) {
			last = at
		}
	}
	if r.isBlocked() && r.lastAsked.After(last) {
		last = r.lastAsked
	}
	return last
}

// events are the changes of verdicts to report.
type events struct {
	blocked, cleared []Verdict
}

// updateBlocked notes which of the parts are blocked now, and returns what changed. The caller
// must hold l.mu.
func (l *Ledger) updateBlocked(now time.Time, parts []string) events {
	var e events
	for _, part := range parts {
		r := l.records[part]
		if r == nil || r.isBlocked() == r.blocked {
			continue
		}
		r.blocked = !r.blocked
		if r.blocked {
			e.blocked = append(e.blocked, r.verdict(now, part))
		} else {
			e.cleared = append(e.cleared, r.verdict(now, part))
		}
	}
	return e
}

func (e events) report(l *Ledger, now time.Time) {
	callEach(l.OnBlocked, now, e.blocked)
	callEach(l.OnCleared, now, e.cleared)
}
