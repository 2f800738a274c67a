// Package permit paces the requests that all instances of a region together send to a target
// with a rate limit. One instance, the issuer of the target, keeps its Schedule; the others
// ask it for a permit for each request.
package permit

import (
	"maps"
	"time"
)

const (
	// minPerSecond is the lowest pace of permits, also for a target that takes no requests:
	// without any, nobody would hear that its limit is over.
	minPerSecond = 0.2
	// A slot that nobody asked for in time may be assigned for up to an interval between
	// slots, but at least for minCatchUp and at most for maxCatchUp.
	minCatchUp = 250 * time.Millisecond
	maxCatchUp = 2 * time.Second
	// asksPerSlot is how many instances ask for each slot, if all have requests waiting.
	asksPerSlot = 3
	// period is the period to which a limit applies. Slots are counted in slices of it.
	period      = 4 * time.Second
	sliceLength = 250 * time.Millisecond
	sliceCount  = int(period/sliceLength) + 1
	// countSlack is the part of the permits of a period that slots may exceed it by, since
	// the oldest slice is only partly within the period.
	countSlack = 0.125
	// askerMemory is how long an instance that asked counts as one that asks.
	askerMemory = 5 * time.Second
	// maxRetry bounds the time after which a refused instance asks again.
	maxRetry = 5 * time.Second
)

// Schedule assigns slots of time to the requests to one target. The zero value has assigned
// none. It is not safe for concurrent use.
type Schedule struct {
	next   time.Time            // when the next slot begins at the earliest
	counts [sliceCount]int      // slots, by slice modulo sliceCount
	newest int64                // slice of the latest slot
	askers map[string]time.Time // when each instance last asked
}

// Ask is a request for a permit.
type Ask struct {
	Instance  string        // that asks
	PerSecond float64       // limit of the target, or the part of it that the issuer may issue
	Patience  time.Duration // longest wait for a slot
	Spread    float64       // random number in [0, 1) that spreads the times of the next asks
}

// Issue assigns a slot and returns the time until it begins, or false and the time after which
// the instance should ask again.
func (s *Schedule) Issue(now time.Time, a Ask) (time.Duration, bool) {
	perSecond := max(a.PerSecond, minPerSecond)
	interval := time.Duration(float64(time.Second) / perSecond)
	catchUp := min(max(interval, minCatchUp), maxCatchUp)
	begin := later(s.next, now.Add(-catchUp))
	slot := s.firstFree(later(begin, now), perSecond, catchUp)
	wait := slot.Sub(now)
	s.recordAsker(now, a.Instance)
	if wait > a.Patience {
		spread := time.Duration(2 * a.Spread * float64(len(s.askers)) * float64(interval) / asksPerSlot)
		return min(wait-a.Patience+spread, max(maxRetry, wait-a.Patience)), false
	}
	if slot.After(now) {
		begin = slot
	}
	s.next = begin.Add(interval)
	s.count(slot, 1)
	return wait, true
}

// firstFree returns the first time from slot on at which another slot does not exceed the
// limit in the period before. Only after the limit was lowered does it return a later time.
func (s *Schedule) firstFree(slot time.Time, perSecond float64, catchUp time.Duration) time.Time {
	most := perSecond*(period.Seconds()*(1+countSlack)+catchUp.Seconds()) + 1
	for range sliceCount {
		if float64(s.countBefore(slot)+1) <= most {
			break
		}
		slot = time.Unix(0, 0).Add(time.Duration(sliceOf(slot)+1) * sliceLength)
	}
	return slot
}

// countBefore returns the number of slots in the period before at.
func (s *Schedule) countBefore(at time.Time) int {
	sum := 0
	last := sliceOf(at)
	for n := max(last, s.newest) - int64(sliceCount) + 1; n <= s.newest; n++ {
		if n >= last-int64(sliceCount)+1 {
			sum += s.counts[index(n)]
		}
	}
	return sum
}

// count counts n slots at a time.
func (s *Schedule) count(at time.Time, n int) {
	slice := sliceOf(at)
	for i := max(s.newest+1, slice-int64(sliceCount)+1); i <= slice; i++ {
		s.counts[index(i)] = 0
	}
	s.newest = max(s.newest, slice)
	if slice > s.newest-int64(sliceCount) {
		s.counts[index(slice)] += n
	}
}

// recordAsker records that the instance asks, and forgets those that no longer do.
func (s *Schedule) recordAsker(now time.Time, name string) {
	if s.askers == nil {
		s.askers = make(map[string]time.Time)
	}
	s.askers[name] = now
	maps.DeleteFunc(s.askers, func(_ string, at time.Time) bool { return now.Sub(at) > askerMemory })
}

// Cancel frees the slots that begin after the given time.
func (s *Schedule) Cancel(after time.Time, perSecond float64) {
	if latest := after.Add(time.Duration(float64(time.Second) / max(perSecond, minPerSecond))); s.next.After(latest) {
		s.next = latest
	}
	last := sliceOf(after)
	for n := max(last, s.newest-int64(sliceCount)) + 1; n <= s.newest; n++ {
		s.counts[index(n)] = 0
	}
	s.newest = min(s.newest, last)
}

// Start lets no slot begin before now. An issuer that could not take over the slots of the one
// before starts so: what that one left unused is not made up for.
func (s *Schedule) Start(now time.Time) { s.next = later(s.next, now) }

// Handover is what the next issuer of a target has to know of the slots of the last one.
type Handover struct {
	Next   time.Duration // until the next slot
	Counts []int         // slots by age, in slices of a period, the latest first; slots to come count as the latest
}

// Handover returns what the next issuer has to know.
func (s *Schedule) Handover(now time.Time) Handover {
	h := Handover{Next: max(s.next.Sub(now), -maxCatchUp), Counts: make([]int, sliceCount)}
	last := sliceOf(now)
	for n := s.newest - int64(sliceCount) + 1; n <= s.newest; n++ {
		if age := max(last-n, 0); age < int64(sliceCount) {
			h.Counts[age] += s.counts[index(n)]
		}
	}
	return h
}

// TakeOver adds the slots of the last issuer, as of now at the latest.
func (s *Schedule) TakeOver(now time.Time, h Handover) {
	s.next = later(s.next, now.Add(h.Next))
	for age := min(len(h.Counts), sliceCount) - 1; age >= 0; age-- {
		if h.Counts[age] > 0 {
			s.count(now.Add(-time.Duration(age)*sliceLength), h.Counts[age])
		}
	}
}

func sliceOf(t time.Time) int64 { return t.UnixNano() / int64(sliceLength) }

func index(slice int64) int {
	return int((slice%int64(sliceCount) + int64(sliceCount)) % int64(sliceCount))
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
