// Package classmix divides the slots and the prefill time of a service's engines between its
// most urgent requests and the lesser ones, in proportion to what they ask for. Without it,
// long prompts and generations fill the engines in a burst, since they may wait longer and hold
// a slot for seconds, and short requests that are more urgent find no room.
package classmix

import (
	"math"
	"time"

	"chervilyard.example/yard/latency"
)

const (
	// arrivalHalfLife is the age at which an arrival has lost half of its weight. A burst shows
	// within about as long.
	arrivalHalfLife = time.Second
	// urgentWeight is the weight of the demand of urgent requests. Lesser ones may wait longer, so
	// with equal weights they are served more often where an engine's queue varies.
	urgentWeight = 3
	// minRefusedShare is the part of urgent requests below which their refusals do not count.
	minRefusedShare = 0.01
	// needMargin is by how much more often lesser requests are refused where they are not bounded
	// for the sake of urgent ones. A deployment's long prompts may be worth ten short ones.
	needMargin = 0.1
	// minSlotTimeMS is the shortest time that a request is taken to hold a slot.
	minSlotTimeMS = 1
	// untoldShare is the part of the slots that lesser requests may hold before the slot times are
	// known, unless most of the prompt tokens are theirs. Without it, they filled the engines
	// within the second after all instances had been started again, for as long as they run.
	untoldShare = 0.25
	// minArrivals is the weight of arrivals below which a class asks for nothing.
	minArrivals = 0.5
)

// Mix is the recent demand for the engines of one service by class, as one instance sees it. The
// zero value has no demand. It is not safe for concurrent use.
type Mix struct {
	urgent, lesser class
}

// class is the demand of one class.
type class struct {
	arrivals float64 // weighted by age, as of lastAt
	refused  float64 // of these
	tokens   float64 // prompt tokens of these
	lastAt   time.Time
	slotTime latency.Average // milliseconds that a request holds a slot
	maxWait  latency.Average // milliseconds that a request may wait for its first byte
}

// weight returns the factor by which the sums have decayed.
func (c *class) weight(now time.Time) float64 {
	return math.Exp2(-max(now.Sub(c.lastAt).Seconds(), 0) / arrivalHalfLife.Seconds())
}

// asks reports whether requests of the class arrive.
func (c *class) asks(now time.Time) bool { return c.arrivals*c.weight(now) >= minArrivals }

func (m *Mix) class(lesser bool) *class {
	if lesser {
		return &m.lesser
	}
	return &m.urgent
}

// RecordArrival records a request, whether it is served or refused, with its prompt tokens and
// the longest time that it may wait for its first byte, 0 for no limit.
func (m *Mix) RecordArrival(now time.Time, lesser bool, promptTokens int, maxWait time.Duration) {
	c := m.class(lesser)
	weight := c.weight(now)
	c.arrivals, c.refused, c.tokens, c.lastAt = c.arrivals*weight+1, c.refused*weight, c.tokens*weight+float64(promptTokens), now
	if maxWait > 0 {
		c.maxWait.Add(now, maxWait.Seconds()*1000)
	}
}

// RecordRefusal records that a request whose arrival was recorded was refused for lack of
// capacity.
func (m *Mix) RecordRefusal(lesser bool) {
	c := m.class(lesser)
	c.refused = min(c.refused+1, c.arrivals)
}

// refusedShare returns the part of the recent requests of the class that was refused.
func (c *class) refusedShare() float64 { return c.refused / max(c.arrivals, minArrivals) }

// need returns how far urgent requests need that lesser ones wait elsewhere: 1 if as many of them
// are refused as of the lesser ones, falling to 0 at needMargin fewer, and 0 if hardly any are.
func (m *Mix) need() float64 {
	urgent, lesser := m.urgent.refusedShare(), m.lesser.refusedShare()
	if urgent < minRefusedShare {
		return 0
	}
	return min(max(1-(lesser-urgent)/needMargin, 0), 1)
}

// RecordEnd records how long an answered request held its slot.
func (m *Mix) RecordEnd(now time.Time, lesser bool, slotTime time.Duration) {
	m.class(lesser).slotTime.Add(now, slotTime.Seconds()*1000)
}

// PromptTokens returns the average prompt tokens of recent requests of the class, 0 if there were
// none.
func (m *Mix) PromptTokens(lesser bool) float64 {
	c := m.class(lesser)
	if c.arrivals <= 0 {
		return 0
	}
	return c.tokens / c.arrivals
}

// HasBoth reports whether requests of both classes have been answered.
func (m *Mix) HasBoth() bool {
	return !m.urgent.slotTime.LastAt().IsZero() && !m.lesser.slotTime.LastAt().IsZero()
}

// SlotTimeMS returns the average milliseconds that a request of the class holds a slot, or
// minSlotTimeMS if none has been answered.
func (m *Mix) SlotTimeMS(lesser bool) float64 {
	return max(m.class(lesser).slotTime.Mean(0), minSlotTimeMS)
}

// LesserShare returns the part of an engine's slots that lesser requests may hold: their part of
// the demand, and 1 if no urgent requests arrive. Before the slot times of both classes are known,
// it is their part of the prompt tokens, and at least untoldShare.
func (m *Mix) LesserShare(now time.Time) float64 {
	if !m.urgent.asks(now) {
		return 1
	}
	if !m.HasBoth() {
		return max(m.lesserPart(now, m.lesser.tokens, m.urgent.tokens), untoldShare)
	}
	return m.lesserPart(now, m.lesser.arrivals*m.SlotTimeMS(true), m.urgent.arrivals*m.SlotTimeMS(false))
}

// Slots returns how many of an engine's slots a share is: at least one.
func Slots(share float64, slots int) int { return max(int(math.Ceil(share*float64(slots))), 1) }

// LesserTokens returns how many prompt tokens of lesser requests may wait at an engine that
// needs perTokenMS milliseconds for one: their part of the tokens that the engine reads while an
// urgent request may wait, and more the less these need it. If it returns false, there is no
// bound.
func (m *Mix) LesserTokens(now time.Time, perTokenMS float64) (tokens float64, bounded bool) {
	need := m.need()
	if need <= 0 || !m.urgent.asks(now) || m.urgent.maxWait.LastAt().IsZero() || perTokenMS <= 0 {
		return 0, false
	}
	share := m.lesserPart(now, m.lesser.tokens, m.urgent.tokens)
	share += (1 - share) * (1 - need)
	return share * m.urgent.maxWait.Mean(0) / perTokenMS, true
}

// lesserPart returns the part of lesser demand in the sum of both.
func (m *Mix) lesserPart(now time.Time, lesser, urgent float64) float64 {
	lesser, urgent = lesser*m.lesser.weight(now), urgent*m.urgent.weight(now)*urgentWeight
	if lesser+urgent <= 0 {
		return 1
	}
	return lesser / (lesser + urgent)
}
