package suspect

import (
	"slices"
	"time"

	"chervilyard.example/yard/fleet"
)

const (
	// A change is told to each peer at once, again every repeatTime until spreadTime, in
	// case messages are lost, and all that is known every refreshTime.
	spreadTime  = 5 * time.Second
	repeatTime  = time.Second
	refreshTime = 30 * time.Second
	// maxTold is the number of groups of parts in one message of which the same is known, and
	// maxToldParts that of parts.
	maxTold      = 64
	maxRefuted   = 1024 // ends of targets that answered later, in one message
	maxToldParts = 4096
)

// toldState is when a run of a peer was last told anything, when it was told again of late
// changes, and when it was told all.
type toldState struct {
	run            int64
	at, again, all time.Time
}

// Message returns what to tell a run of a peer, or nil if there is nothing new.
func (l *Ledger) Message(now time.Time, peer string, run int64) *fleet.Suspects {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sweep(now)
	if len(l.records) == 0 && len(l.refuted) == 0 {
		return nil
	}
	told := l.told[peer]
	all := told.run != run || now.Sub(told.all) >= refreshTime
	again := all || now.Sub(l.lastChange) < spreadTime && now.Sub(told.again) >= repeatTime
	if !again && l.lastChange.Before(told.at) {
		return nil
	}
	isNews := func(changedAt time.Time) bool {
		return !changedAt.Before(told.at) || again && now.Sub(changedAt) < spreadTime
	}
	m := &fleet.Suspects{Parts: encode(now, l.sorted((*record).lastChange, func(r *record) bool { return isNews(r.changedAt) || all && r.isBlocked() }), maxTold, maxToldParts)}
	for target, r := range l.refuted {
		if isNews(r.changedAt) {
			m.Alive = append(m.Alive, &fleet.End{Target: target, Age: ageMillis(now, r.at)})
		}
	}
	l.setTold(now, peer, run, again, all)
	if len(m.Parts) == 0 && len(m.Alive) == 0 {
		return nil
	}
	return m
}

// setTold records what a run of a peer is told now. The caller must hold l.mu.
func (l *Ledger) setTold(now time.Time, peer string, run int64, again, all bool) {
	if l.told == nil {
		l.told = make(map[string]toldState)
	}
	t := l.told[peer]
	t.run, t.at = run, now
	if again {
		t.again = now
	}
	if all {
		t.all = now
	}
	l.told[peer] = t
}

// encode returns the first of the records in at most maxGroups messages, with at most maxParts
// parts in all. Those of which the same is known share a message: a target that ended under a
// long prompt makes as many suspects as the prompt has parts that are not known to be sound.
func encode(now time.Time, records []namedRecord, maxGroups, maxParts int) []*fleet.Suspect {
	var list []*fleet.Suspect
	var groups []*record // one record of each message
	last := 0            // the group of the previous record, which that of the next one mostly is
	for _, r := range records[:min(len(records), maxParts)] {
		i := last
		if i >= len(groups) || !groups[i].sameAs(r.record) {
			i = slices.IndexFunc(groups, r.sameAs)
		}
		switch {
		case i >= 0:
			list[i].Others = append(list[i].Others, r.name)
			list[i].Asked = min(list[i].GetAsked(), ageMillis(now, r.lastAsked))
			last = i
		case len(groups) < maxGroups:
			last = len(groups)
			list, groups = append(list, r.toProto(now, r.name)), append(groups, r.record)
		}
	}
	return list
}

// sameAs reports whether the same is known of both parts, apart from the requests with them.
func (r *record) sameAs(other *record) bool {
	return r.trials == other.trials && r.lastTry.Equal(other.lastTry) && r.soundAt.Equal(other.soundAt) && slices.Equal(r.ends, other.ends)
}

func (r *record) toProto(now time.Time, part string) *fleet.Suspect {
	s := &fleet.Suspect{Part: part, Trials: int32(r.trials), Asked: ageMillis(now, r.lastAsked)}
	for _, e := range r.ends {
		s.Ends = append(s.Ends, &fleet.End{Target: e.Target, Age: ageMillis(now, e.At), Begun: e.Begun, Trial: e.Trial, Doubt: e.Doubt})
	}
	if r.trials > 0 {
		s.Try = ageMillis(now, r.lastTry)
	}
	if !r.soundAt.IsZero() {
		s.Cleared, s.Sound = true, ageMillis(now, r.soundAt)
	}
	return s
}

// ageMillis returns the milliseconds from at to now.
func ageMillis(now, at time.Time) int64 { return now.Sub(at).Milliseconds() }

// Merge adds what a peer told. Its ages count from now, so that an end is never dated before
// an answer that preceded it.
func (l *Ledger) Merge(now time.Time, m *fleet.Suspects) {
	if len(m.GetParts()) == 0 && len(m.GetAlive()) == 0 {
		return
	}
	before := func(age int64) time.Time { return now.Add(-time.Duration(max(age, 0)) * time.Millisecond) }
	l.mu.Lock()
	l.sweep(now)
	cleared := l.settlePending(now)
	var changed []string
	for _, e := range m.GetAlive()[:min(len(m.GetAlive()), maxRefuted)] {
		changed = append(changed, l.refute(now, e.GetTarget(), before(e.GetAge()))...)
	}
	names := 0
	for _, s := range m.GetParts()[:min(len(m.GetParts()), maxTold)] {
		ends := decodeEnds(s, before)
		for _, e := range ends {
			changed = append(changed, l.blameShortAnswers(now, e.Target, e.At)...)
		}
		for _, part := range partsOf(s) {
			if names++; names > maxToldParts {
				break
			}
			r := l.record(now, part)
			if s.GetCleared() {
				cleared = append(cleared, l.mergeSound(now, r, part, before(s.GetSound()))...)
			}
			for _, e := range ends {
				changed = append(changed, l.addEnd(now, e, []string{part})...)
				l.answerSound(now, r, part, e)
			}
			if r.mergeTrials(int(s.GetTrials()), before(s.GetTry())) {
				l.touch(now, r)
			}
			if asked := before(s.GetAsked()); asked.After(r.lastAsked) {
				r.lastAsked = asked
			}
		}
	}
	events := l.updateBlocked(now, changed)
	l.mu.Unlock()
	l.reportCleared(now, cleared)
	events.report(l, now)
}

// partsOf returns the parts that a message is about.
func partsOf(s *fleet.Suspect) []string { return append([]string{s.GetPart()}, s.GetOthers()...) }

// decodeEnds returns the ends of a message, of which before returns the time for an age.
func decodeEnds(s *fleet.Suspect, before func(age int64) time.Time) []End {
	var ends []End
	for _, e := range s.GetEnds()[:min(len(s.GetEnds()), maxEnds)] {
		ends = append(ends, End{Target: e.GetTarget(), At: before(e.GetAge()), Begun: e.GetBegun(), Trial: e.GetTrial(), Doubt: e.GetDoubt()})
	}
	return ends
}

// mergeSound records that a peer saw an answer in full. The caller must hold l.mu.
func (l *Ledger) mergeSound(now time.Time, r *record, part string, at time.Time) []Verdict {
	if at.Sub(r.soundAt) < sameEndTime {
		return nil
	}
	l.touch(now, r)
	kept := slices.DeleteFunc(slices.Clone(r.ends), func(e End) bool { return e.At.Sub(at) <= r.excusedTime() })
	if len(kept) > 0 {
		r.soundAt, r.ends = at, kept
		return nil
	}
	return r.clear(at, part)
}

// answerSound lets the peers hear that the part is sound, if this instance saw an answer in
// full shortly before the end that they attribute to it. The caller must hold l.mu.
func (l *Ledger) answerSound(now time.Time, r *record, part string, e End) {
	if soundAt, ok := l.sound[part]; ok && e.At.Sub(soundAt) <= soundTime && soundAt.Sub(r.soundAt) >= sameEndTime {
		r.soundAt = soundAt
		l.touch(now, r)
	}
}

// mergeTrials takes over the trials that a peer knows of, and reports whether any is new.
func (r *record) mergeTrials(trials int, last time.Time) bool {
	if trials <= 0 || !last.After(r.soundAt) || trials < r.trials || trials == r.trials && !last.After(r.lastTry.Add(sameEndTime)) {
		return false
	}
	changed := trials > r.trials
	r.trials = trials
	if last.After(r.lastTry) {
		r.lastTry = last
	}
	return changed
}
