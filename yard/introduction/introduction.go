// Package introduction tells whether an instance that has started knows the instances of its
// region. Until it does, it must not take a share of a limit that they divide: instances that
// start together may know only some of the others, and the parts of the region that do not
// know each other would each use the whole limit.
package introduction

import (
	"slices"
	"sync"
	"time"
)

const (
	// Period is how long after its start an instance may still be unknown to others.
	Period = 500 * time.Millisecond
	// Limit is the time after the start from which an instance relies on the instances that it
	// knows, even if nobody told it of all. It exceeds the time of two connection attempts, as
	// a seed may start just after the first one. A longer one would keep an instance from
	// serving that is alone.
	Limit = 2500 * time.Millisecond
)

// Tracker tracks what a started instance was told of its region. The zero value has been told
// nothing. A Tracker is safe for concurrent use.
type Tracker struct {
	mu         sync.Mutex
	answered   map[string]bool // addresses of seeds that answered
	listed     bool            // by an instance of the region that knows all of it
	localSize  int             // largest number of instances of the region that one of them knew
	remoteSize int             // and that one of another region knew
	reason     reason          // unknown until the introduction is over
}

// reason is why the introduction of an instance is over.
type reason int

// The reasons, in the order in which they are looked at.
const (
	unknown  reason = iota // it is not over
	told                   // an instance of the region listed all that it knows
	answered               // all seeds answered, of which each instance of the region asks the same
	timedOut               // the limit has passed
)

// Reason returns for the log why the introduction is over.
func (t *Tracker) Reason() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return [...]string{"not over", "told by the region", "all seeds answered", "timed out"}[t.reason]
}

// RecordAnswer records that the seed with the address answered, and that the instances of the
// region that it listed are known.
func (t *Tracker) RecordAnswer(address string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.answered == nil {
		t.answered = make(map[string]bool)
	}
	t.answered[address] = true
}

// RecordList records that an instance of the region, whose own introduction is over, listed the
// instances that it knows, and that all of them are known.
func (t *Tracker) RecordList() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.listed = true
}

// RecordRegionSize records the number of instances of the region that another instance, of this
// region or of another one, knows.
func (t *Tracker) RecordRegionSize(n int, local bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if local {
		t.localSize = max(t.localSize, n)
	} else {
		t.remoteSize = max(t.remoteSize, n)
	}
}

// Unanswered returns the seeds that have not answered. It omits the address of the instance
// itself.
func (t *Tracker) Unanswered(seeds []string, self string) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.unanswered(seeds, self)
}

func (t *Tracker) unanswered(seeds []string, self string) []string {
	return slices.DeleteFunc(slices.Clone(seeds), func(address string) bool { return address == self || t.answered[address] })
}

// Update reports whether the introduction is over, given the time since the start, the seeds and
// the instance's own address, which may be one of them. Once it is over it stays so.
func (t *Tracker) Update(sinceStart time.Duration, seeds []string, self string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.reason != unknown || sinceStart < Period {
		return t.reason != unknown
	}
	switch {
	case t.listed:
		t.reason = told
	case len(t.unanswered(seeds, self)) == 0:
		t.reason = answered
	case sinceStart >= Limit:
		t.reason = timedOut
	}
	return t.reason != unknown
}

// RegionSize returns the number of instances that the region has by what others told. What other
// regions told does not count once the instance has been told of all: some may be gone.
func (t *Tracker) RegionSize() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.reason == told || t.reason == answered {
		return t.localSize
	}
	return max(t.localSize, t.remoteSize)
}
