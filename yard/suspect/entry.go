package suspect

import (
	"encoding/json"
	"fmt"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/encoding/protojson"

	"chervilyard.example/yard/fleet"
)

const (
	// A part is lasting once minLastingEnds targets ended under it. The end of a target that
	// crashed by itself makes no lasting parts, so that it costs no calls of the store.
	minLastingEnds = 2
	// maxLasting is the number of groups of parts in an entry, and maxLastingParts that of parts.
	maxLasting      = 64
	maxLastingParts = 4096
	// Two ends of a target that are less than sameEntryEndTime apart count as one if the entry
	// has one of them: it is dated by the time of day, which differs between machines.
	sameEntryEndTime = 30 * time.Second
)

// EntryError is the error of an entry that cannot be read.
type EntryError struct{ Cause error }

// Error returns the cause.
func (e *EntryError) Error() string { return fmt.Sprintf("suspect: entry not readable: %v", e.Cause) }

// Unwrap returns the cause.
func (e *EntryError) Unwrap() error { return e.Cause }

// entry is what the store keeps for instances that were cut off from the others, or that start
// after all others ended.
type entry struct {
	At    int64           `json:"at"` // time of day in Unix milliseconds, from which the ages count
	Parts json.RawMessage `json:"parts"`
}

// Entry returns what the store should keep, or nil if there is nothing. The time of day is that
// of now.
func (l *Ledger) Entry(now, timeOfDay time.Time) ([]byte, error) {
	l.mu.Lock()
	lasting := l.lasting(now)
	l.mu.Unlock()
	if len(lasting.GetParts()) == 0 {
		return nil, nil
	}
	parts, err := protojson.Marshal(lasting)
	if err != nil {
		return nil, &EntryError{Cause: err}
	}
	return json.Marshal(entry{At: timeOfDay.UnixMilli(), Parts: parts})
}

// lasting returns the parts that instances must know of after all others ended: those under
// which several targets ended, and those that were cleared since. The caller must hold l.mu.
func (l *Ledger) lasting(now time.Time) *fleet.Suspects {
	for _, r := range l.records {
		r.lasting = r.lasting || len(r.ends) >= minLastingEnds
	}
	list := l.sorted((*record).lastUse, func(r *record) bool {
		return len(r.ends) >= minLastingEnds || r.lasting && now.Sub(r.soundAt) < soundTime
	})
	return &fleet.Suspects{Parts: encode(now, list, maxLasting, maxLastingParts)}
}

// decodeEntry returns the parts of an entry with their ages at the given time of day.
func decodeEntry(timeOfDay time.Time, data []byte) ([]*fleet.Suspect, error) {
	if len(data) == 0 {
		return nil, nil
	}
	var e entry
	var m fleet.Suspects
	err := json.Unmarshal(data, &e)
	if err == nil {
		err = protojson.UnmarshalOptions{DiscardUnknown: true}.Unmarshal(e.Parts, &m)
	}
	if err != nil {
		return nil, &EntryError{Cause: err}
	}
	age := max(timeOfDay.UnixMilli()-e.At, 0)
	for _, s := range m.GetParts() {
		s.Sound, s.Try, s.Asked = s.GetSound()+age, s.GetTry()+age, s.GetAsked()+age
		for _, end := range s.GetEnds() {
			end.Age += age
		}
	}
	return m.GetParts()[:min(len(m.GetParts()), maxLasting)], nil
}

// MergeEntry adds what the store keeps. The error is an *EntryError.
func (l *Ledger) MergeEntry(now, timeOfDay time.Time, data []byte) error {
	parts, err := decodeEntry(timeOfDay, data)
	if err != nil || len(parts) == 0 {
		return err
	}
	before := func(age int64) time.Time { return now.Add(-time.Duration(max(age, 0)) * time.Millisecond) }
	l.mu.Lock()
	l.sweep(now)
	var changed []string
	var cleared []Verdict
	names := 0
	for _, s := range parts {
		if s.GetPart() == "" || now.Sub(before(s.GetAsked())) > requestRetention {
			continue
		}
		ends := decodeEnds(s, before)
		for _, part := range partsOf(s) {
			if names++; names > maxLastingParts {
				break
			}
			r := l.record(now, part)
			if s.GetCleared() {
				cleared = append(cleared, l.mergeSound(now, r, part, before(s.GetSound()))...)
			}
			for _, e := range ends {
				if l.addEntryEnd(r, part, e) {
					l.touch(now, r)
					changed = append(changed, part)
				}
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
	return nil
}

// addEntryEnd adds the end of a target that an entry has, and reports whether it is new. The
// caller must hold l.mu.
func (l *Ledger) addEntryEnd(r *record, part string, e End) bool {
	isSame := func(at time.Time) bool { return at.Sub(e.At).Abs() < sameEntryEndTime }
	if refuted, ok := l.refuted[e.Target]; ok && isSame(refuted.at) || l.isSound(e.At, part) {
		return false
	}
	if i := slices.IndexFunc(r.ends, func(old End) bool { return old.Target == e.Target && isSame(old.At) }); i >= 0 {
		e.At = r.ends[i].At
	}
	return r.addEnd(e)
}

// IsOutdated reports whether the entry lacks something that the store should keep, or keeps
// what it should not.
func (l *Ledger) IsOutdated(now, timeOfDay time.Time, data []byte) bool {
	parts, err := decodeEntry(timeOfDay, data)
	l.mu.Lock()
	lasting := l.lasting(now).GetParts()
	l.mu.Unlock()
	if err != nil {
		return len(lasting) > 0
	}
	return summarize(lasting) != summarize(parts)
}

// summary is what is significant of parts, without ages and in any order.
type summary struct {
	parts int
	sum   uint64 // of hashes
}

func summarize(list []*fleet.Suspect) summary {
	var all summary
	for _, s := range list {
		trials := 0
		for _, e := range s.GetEnds() {
			if e.GetTrial() {
				trials++
			}
		}
		text := " " + strconv.Itoa(len(s.GetEnds())) + " " + strconv.Itoa(trials) + " " + strconv.Itoa(int(s.GetTrials())) + " " + strconv.FormatBool(s.GetCleared())
		for _, part := range partsOf(s) {
			all.parts++
			all.sum += xxhash.Sum64String(part + text)
		}
	}
	return all
}

// HasTrial reports whether the entry has the n-th trial of the part.
func HasTrial(data []byte, part string, n int) bool {
	parts, err := decodeEntry(time.Time{}, data)
	return err == nil && slices.ContainsFunc(parts, func(s *fleet.Suspect) bool {
		return int(s.GetTrials()) >= n && slices.Contains(partsOf(s), part)
	})
}
