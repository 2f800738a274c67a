// Package targetrate holds the request rates that runs of targets name in their responses
// as the most that they take from all instances together.
package targetrate

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

// raiseDelay is how long a lower limit stays in effect after a higher one has replaced it.
// It is the period to which a limit applies, so that what was sent before the lower limit
// was known is not followed by more.
const raiseDelay = 4 * time.Second

// Word is the last that is known of what a run of a target said of its limit.
type Word struct {
	Run       uint64  // identifies the run of the target
	Limited   bool    // false if the limit has ended
	PerSecond float64 // requests per second from all instances together; 0 if Limited is false
	// At orders the words of a run. Of a limit it is the time at which the response
	// arrived, and of its end the time at which the request was sent: responses overtake
	// each other, and one to an earlier request says nothing about the time after a limit
	// was named.
	At time.Time
}

// Change says what a word changed.
type Change int

// The changes.
const (
	Unchanged Change = iota
	Named            // the run had no limit
	Raised
	Lowered
	Ended
)

// String returns the change in the words of the log.
func (c Change) String() string {
	return [...]string{"unchanged", "limit named", "limit raised", "limit lowered", "limit ended"}[c]
}

// Ledger holds the last word of each run. The zero value is ready to use. It is safe for
// concurrent use.
type Ledger struct {
	mu    sync.Mutex
	words map[uint64]*entry
	turn  int
}

type entry struct {
	Word
	changedAt  time.Time // when the value last changed here
	heardAt    time.Time // when the word was heard here
	lower      float64   // a lower limit that stays in effect until lowerUntil
	lowerUntil time.Time
}

// Hear takes a word, from a response or from another instance, and returns what it changed.
// A word that is not newer than the known one changes nothing.
func (l *Ledger) Hear(now time.Time, w Word) Change {
	l.mu.Lock()
	defer l.mu.Unlock()
	e := l.words[w.Run]
	switch {
	case e == nil:
		if l.words == nil {
			l.words = make(map[uint64]*entry)
		}
		l.words[w.Run] = &entry{Word: w, changedAt: now, heardAt: now}
		if !w.Limited {
			return Unchanged
		}
		return Named
	case !w.At.After(e.At):
		return Unchanged
	}
	before, effective := e.Word, e.effective(now)
	e.Word, e.heardAt = w, now
	change := Unchanged
	switch {
	case before.Limited && !w.Limited:
		change = Ended
	case !before.Limited && w.Limited:
		change = Named
		e.lowerUntil = time.Time{}
	case w.PerSecond > before.PerSecond:
		change = Raised
		e.lower, e.lowerUntil = effective, now.Add(raiseDelay)
	case w.PerSecond < before.PerSecond:
		change = Lowered
	}
	if change != Unchanged {
		e.changedAt = now
	}
	return change
}

// effective returns the limit in effect of a limited run.
func (e *entry) effective(now time.Time) float64 {
	if now.Before(e.lowerUntil) {
		return min(e.lower, e.PerSecond)
	}
	return e.PerSecond
}

// Limit returns the limit in effect of a run, and false if it has none. A higher limit
// replaces a lower one after a delay.
func (l *Ledger) Limit(now time.Time, run uint64) (float64, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	e := l.words[run]
	if e == nil || !e.Limited {
		return 0, false
	}
	return e.effective(now), true
}

// MayEnd reports whether a response without a limit, to a request sent at sentAt, ends the
// limit of the run: it has one, and its last word had been heard here when the request was sent.
func (l *Ledger) MayEnd(run uint64, sentAt time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	e := l.words[run]
	return e != nil && e.Limited && sentAt.After(e.heardAt)
}

// Get returns the last word of a run, and false if there is none.
func (l *Ledger) Get(run uint64) (Word, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if e := l.words[run]; e != nil {
		return e.Word, true
	}
	return Word{}, false
}

// Size returns the number of words.
func (l *Ledger) Size() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.words)
}

// InEffect returns the number of runs that have a limit.
func (l *Ledger) InEffect() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := 0
	for _, e := range l.words {
		if e.Limited {
			n++
		}
	}
	return n
}

const (
	// maxTold is the number of words up to which each message holds all of them. Of more, a
	// message holds those that changed within newsPeriod and one of turns of the others.
	maxTold    = 32
	newsPeriod = 2 * time.Second
	turns      = 8
)

// Tell returns the words to tell another instance, sorted by run, of the runs for which
// include returns true.
func (l *Ledger) Tell(now time.Time, include func(run uint64) bool) []Word {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.turn++
	var list []Word
	for run, e := range l.words {
		if !include(run) {
			continue
		}
		if len(l.words) <= maxTold || now.Sub(e.changedAt) < newsPeriod || (run+uint64(l.turn))%turns == 0 {
			list = append(list, e.Word)
		}
	}
	slices.SortFunc(list, func(a, b Word) int { return cmp.Compare(a.Run, b.Run) })
	return list
}

// Evict forgets the words that are older than maxAge of runs for which listed returns false.
func (l *Ledger) Evict(now time.Time, maxAge time.Duration, listed func(run uint64) bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for run, e := range l.words {
		if now.Sub(e.At) > maxAge && !listed(run) {
			delete(l.words, run)
		}
	}
}
