package edge

import (
	"fmt"
	"strconv"
	"sync"
	"time"

	"chervilyard.example/yard/fleet"
	"chervilyard.example/yard/target"
	"chervilyard.example/yard/targetrate"
)

// rateRetention is how long the last word on the limit of a run that is not listed is kept.
const rateRetention = 10 * time.Minute

// recordRateLimit takes what a response of a target, to a request sent at sentAt, says of
// its rate limit. No values mean that it has none. Values that cannot be read change nothing.
func (e *Edge) recordRateLimit(sentAt, now time.Time, t target.Target, values []string) {
	run := targetRunHash(t)
	perSecond, limited, err := targetrate.Parse(values)
	if err != nil {
		if e.malformed.add(run) {
			e.logDecision("target", "limit not readable", t.Name()+": "+err.Error())
		}
		return
	}
	w := targetrate.Word{Run: run, Limited: limited, PerSecond: perSecond, At: now}
	if !limited {
		if !e.rates.MayEnd(run, sentAt) {
			return
		}
		w.At = sentAt
	}
	e.hearRate(now, t, w, "its response")
}

// tellRates returns the words to tell an instance of the region or of another one. Other
// regions keep what this one told them and tell it to its instances that start, in case all
// that know it restart.
func (e *Edge) tellRates(now time.Time, local bool) []*fleet.Limit {
	if e.rates.Size() == 0 {
		return nil
	}
	listed := e.targets.runs()
	words := e.rates.Tell(now, func(run uint64) bool {
		_, ok := listed[run]
		return ok || !local
	})
	var list []*fleet.Limit
	for _, w := range words {
		list = append(list, encodeWord(now, w))
	}
	return list
}

// hearRates takes the words in a message of an instance that was written no earlier than
// written.
func (e *Edge) hearRates(now, written time.Time, words []*fleet.Limit, source string) {
	if len(words) == 0 {
		return
	}
	listed := e.targets.runs()
	for _, l := range words {
		w := decodeWord(written, l)
		t, ok := listed[w.Run]
		if !ok { // of another region, or the run may be listed soon
			e.rates.Hear(now, w)
			continue
		}
		e.hearRate(now, t, w, source)
	}
}

// hearRate takes a word on the limit of a target and logs what it changes.
func (e *Edge) hearRate(now time.Time, t target.Target, w targetrate.Word, source string) {
	change := e.rates.Hear(now, w)
	if change == targetrate.Unchanged {
		return
	}
	e.logDecision("target", change.String(), fmt.Sprintf("%s run %d: %s a second, from %s, age %v",
		t.Name(), t.RunID(), strconv.FormatFloat(w.PerSecond, 'f', -1, 64), source, now.Sub(w.At).Round(time.Millisecond)))
}

// evictRates forgets the words on the limits of runs that were not listed for long.
func (e *Edge) evictRates(now time.Time) {
	if e.rates.Size() == 0 && e.malformed.size() == 0 {
		return
	}
	listed := e.targets.runs()
	e.rates.Evict(now, rateRetention, func(run uint64) bool {
		_, ok := listed[run]
		return ok
	})
	e.malformed.retain(listed)
}

// runSet is a set of runs of targets. The zero value is empty. It is safe for concurrent use.
type runSet struct {
	mu   sync.Mutex
	runs map[uint64]bool
}

// add adds a run and reports whether it is new.
func (s *runSet) add(run uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.runs[run] {
		return false
	}
	if s.runs == nil {
		s.runs = make(map[uint64]bool)
	}
	s.runs[run] = true
	return true
}

func (s *runSet) size() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.runs)
}

// retain removes the runs that are not in keep.
func (s *runSet) retain(keep map[uint64]target.Target) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for run := range s.runs {
		if _, ok := keep[run]; !ok {
			delete(s.runs, run)
		}
	}
}
