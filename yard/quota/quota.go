// Package quota decides how many tokens of one customer an instance may admit,
// so that all instances together never pass the customer's rate and burst.
//
// An instance owns parts of the rate and burst for as long as it holds seats,
// lends pieces of them to peers and borrows pieces from peers. At every moment
// the rates, bursts and levels of all instances add up to no more than the
// customer's, so the fleet conforms to one token bucket.
package quota

import (
	"math"
	"slices"
	"sync"
	"time"

	"chervilyard.example/yard/loan"
)

// Part is a fraction of a customer's rate and burst that comes with a seat.
type Part struct {
	ID       string
	Fraction float64
	Until    time.Time // the part is not used from then on
	Lean     time.Time // until then only Floor of it is used, since an earlier run may have lent the rest
	Level    float64   // fraction of its burst that it holds when it is first taken, 0 to 1
}

// Bucket is one instance's share of one customer's quota. The zero value
// admits nothing. It is safe for concurrent use.
type Bucket struct {
	mu       sync.Mutex
	total    loan.Amount // the customer's whole rate and burst
	floor    float64     // fraction of each part that is never lent
	drift    float64
	parts    []Part
	lent     loans
	borrowed loans
	grants   memory // of tokens given to requests at peers

	own     loan.Amount // what the parts give, derived
	rate    float64     // tokens a second, derived
	burst   float64     // derived
	level   float64
	last    time.Time
	next    time.Time // when a derived value changes by itself; zero for never
	room    headroom
	wanted  demand
	largest peak
}

// backMargin is added to the time after which a lender takes a loan back.
const backMargin = 50 * time.Millisecond

// Ticket is what one request reserved. It is settled once.
type Ticket struct {
	Tokens float64

	event uint64 // of the bucket's headroom
}

// Configure sets the customer's whole rate and burst, the fraction of a part
// that is never lent, and the bound on clock drift.
func (b *Bucket) Configure(now time.Time, rate, burst, floor, drift float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now)
	// A clock that runs fast by the bound refills no faster than the rate.
	b.total = loan.Amount{Rate: rate / (1 + drift), Burst: burst}
	b.floor = floor
	b.drift = drift
	b.derive()
}

// Hold replaces the parts that the instance owns. A part that was not held
// before starts with its Level; a part held before keeps what it has.
func (b *Bucket) Hold(now time.Time, parts []Part) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now)
	b.level -= b.dropped(parts) * max(b.level, 0)
	gained := 0.0
	for _, p := range parts {
		if !b.holds(p.ID) {
			gained += p.Level * p.Fraction * b.total.Burst
		}
	}
	b.parts = b.parts[:0]
	for _, p := range parts {
		if b.last.Before(p.Until) {
			b.parts = append(b.parts, p)
		}
	}
	b.derive()
	b.level = min(b.level+gained, b.burst)
}

// dropped returns the part of what the instance holds that belongs to parts
// which it gives up; their level goes with them.
func (b *Bucket) dropped(parts []Part) float64 {
	if b.burst <= 0 {
		return 0
	}
	gone := 0.0
	for _, old := range b.parts {
		if !slices.ContainsFunc(parts, func(p Part) bool { return p.ID == old.ID }) {
			gone += old.Fraction
		}
	}
	return min(gone*b.total.Burst/b.burst, 1)
}

// Take reserves n tokens if the bucket holds them. A refused request counts as
// demand all the same.
func (b *Bucket) Take(now time.Time, n float64) (Ticket, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now)
	b.wanted.add(now, n)
	b.largest.add(now, n)
	return b.take(n)
}

// Retake tries a refused request again without counting its demand twice.
func (b *Bucket) Retake(now time.Time, n float64) (Ticket, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now)
	return b.take(n)
}

func (b *Bucket) take(n float64) (Ticket, bool) {
	if n < 0 || n > b.level {
		return Ticket{}, false
	}
	b.note()
	b.level -= n
	b.note()
	return Ticket{Tokens: n, event: b.room.event}, true
}

// Settle replaces a reservation by the tokens that were used. The bucket ends
// with the level that it would have, had only the used tokens been taken at
// the ticket's time: what would have overflowed since is not given back, so
// that refunds never admit more than rate and burst allow. Use beyond the
// reservation is owed, and lowers the level below zero.
func (b *Bucket) Settle(now time.Time, t Ticket, used float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now)
	back := t.Tokens - max(used, 0)
	b.wanted.add(now, -back)
	if back <= 0 {
		b.level += back
		return
	}
	b.refund(t.event, back)
}

// refund adds tokens that were taken at an earlier time and not used, as far
// as they would not have overflowed since.
func (b *Bucket) refund(event uint64, back float64) {
	b.note()
	back = min(back, b.room.least(event))
	if back <= 0 {
		return
	}
	b.level += back
	b.room.lower(event, back)
}

// State is a reading of a bucket.
type State struct {
	Own      loan.Amount // from seats
	Now      loan.Amount // own less lent plus borrowed
	Lent     loan.Amount
	Borrowed loan.Amount
	Demand   float64 // tokens a second that were asked for lately
	Steady   float64 // the same over a longer time
	Largest  float64 // tokens of the largest request lately
}

// Read returns the bucket's state.
func (b *Bucket) Read(now time.Time) State {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now)
	return State{
		Own:      b.own,
		Now:      loan.Amount{Rate: b.rate, Burst: b.burst, Level: b.level},
		Lent:     b.sum(b.lent),
		Borrowed: b.sum(b.borrowed),
		Demand:   b.wanted.rate(now),
		Steady:   b.wanted.slow,
		Largest:  b.largest.value(now),
	}
}

// Total returns the customer's whole rate and burst.
func (b *Bucket) Total() loan.Amount {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.total
}

func (b *Bucket) weight(p Part, now time.Time) float64 {
	if now.Before(p.Lean) {
		return p.Fraction * b.floor
	}
	return p.Fraction
}

func (b *Bucket) holds(id string) bool {
	for _, p := range b.parts {
		if p.ID == id {
			return true
		}
	}
	return false
}

func (b *Bucket) sum(l loans) loan.Amount { return l.parts().Of(b.total) }

// advance moves the bucket to now, one change of its parts and loans at a
// time, so that a process that slept through an expiry refills only up to it.
func (b *Bucket) advance(now time.Time) {
	if b.last.IsZero() {
		b.last = now
		b.derive()
	}
	for !b.next.IsZero() && !b.next.After(now) {
		b.refill(b.next)
		b.expire(b.last)
		b.derive()
	}
	b.refill(now)
}

func (b *Bucket) refill(now time.Time) {
	passed := now.Sub(b.last)
	if passed <= 0 {
		return
	}
	b.level = min(b.level+b.rate*passed.Seconds(), b.burst)
	b.last = now
	b.note()
}

func (b *Bucket) expire(now time.Time) {
	kept := b.parts[:0]
	for _, p := range b.parts {
		if now.Before(p.Until) {
			kept = append(kept, p)
		}
	}
	b.parts = kept
	b.lent.expire(now)
	b.borrowed.expire(now)
}

// derive works out rate, burst and the time of the next change at b.last.
func (b *Bucket) derive() {
	b.next = time.Time{}
	fraction := 0.0
	for _, p := range b.parts {
		fraction += b.weight(p, b.last)
		b.soonest(p.Until)
		if b.last.Before(p.Lean) {
			b.soonest(p.Lean)
		}
	}
	for _, l := range b.lent {
		b.soonest(l.Until)
	}
	for _, l := range b.borrowed {
		b.soonest(l.Until)
	}
	lent, borrowed := b.sum(b.lent), b.sum(b.borrowed)
	b.own = loan.Amount{Rate: fraction * b.total.Rate, Burst: fraction * b.total.Burst}
	b.rate = max(b.own.Rate-lent.Rate, 0) + borrowed.Rate
	b.burst = max(b.own.Burst+borrowed.Burst-lent.Burst, 0) // tokens of borrowed burst may be granted on
	b.level = min(b.level, b.burst)
	b.note()
}

func (b *Bucket) note() { b.room.note(b.burst - b.level) }

func (b *Bucket) soonest(at time.Time) {
	if b.next.IsZero() || at.Before(b.next) {
		b.next = at
	}
}

// Wait returns how long the bucket needs to gather n tokens by itself, or
// false where it never will.
func (b *Bucket) Wait(now time.Time, n float64) (time.Duration, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now)
	if n <= b.level {
		return 0, true
	}
	if n > b.burst || b.rate <= 0 {
		return 0, false
	}
	return time.Duration(math.Ceil((n - b.level) / b.rate * float64(time.Second))), true
}
