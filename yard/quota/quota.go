// Package quota implements one instance's portion of a distributed token bucket
// that limits the tokens admitted for a customer.
//
// An instance owns fractions of the customer's rate and burst through the seats
// that it holds under lease. It can lend some of its quota to peers and borrow
// quota from them. At any time the rates, bursts and levels of all instances add
// up to at most those of the customer, so the fleet as a whole conforms to a
// single token bucket.
package quota

import (
	"math"
	"slices"
	"sync"
	"time"

	"chervilyard.example/yard/loan"
)

// Share is the fraction of a customer's rate and burst that comes with a seat.
type Share struct {
	ID                string
	Fraction          float64
	ExpiresAt         time.Time // not usable from this time on
	RetainedOnlyUntil time.Time // until this time only the retained fraction is used, because an earlier run may have lent the rest
	InitialFill       float64   // initial level as a fraction of the share's burst, 0 to 1
}

// Bucket is one instance's portion of one customer's token bucket. The zero value
// admits nothing. A Bucket is safe for concurrent use.
type Bucket struct {
	mu               sync.Mutex
	limit            loan.Amount // rate, reduced by the drift bound, and burst of the customer over all instances
	retainedFraction float64     // fraction of each share that is never lent
	maxDrift         float64     // bound on clock drift, as a fraction
	shares           []Share
	lent             loans
	borrowed         loans
	grants           grantHistory // tokens granted to requests at peers

	own            loan.Amount // sum of the usable shares; derived
	rate           float64     // tokens per second; derived
	burst          float64     // tokens; derived
	level          float64     // tokens; negative if more were used than reserved
	updatedAt      time.Time
	nextChange     time.Time // when a share or loan next expires or changes; zero if none does
	headroom       headroomTracker
	demand         demandEstimator
	largestRequest windowedMax
}

// reclaimMargin is added to the time at which a lender reclaims a loan.
const reclaimMargin = 50 * time.Millisecond

// Ticket is the reservation of one request. It must be settled at most once.
type Ticket struct {
	Tokens float64

	event uint64 // headroom event at which the tokens were taken
}

// Configure sets the customer's rate in tokens per second and burst in tokens,
// both over all instances, the fraction of each share that is never lent, and the
// bound on clock drift as a fraction.
func (b *Bucket) Configure(now time.Time, rate, burst, retainedFraction, maxDrift float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now)
	// Keeps the refill at or below the rate if the clock runs fast by the bound.
	b.limit = loan.Amount{Rate: rate / (1 + maxDrift), Burst: burst}
	b.retainedFraction = retainedFraction
	b.maxDrift = maxDrift
	b.derive()
}

// SetShares replaces the shares that the instance owns. A new share starts with
// its InitialFill. A share that was already held keeps its tokens. A share that is
// no longer in the list is removed with a proportional part of the level.
func (b *Bucket) SetShares(now time.Time, shares []Share) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now)
	b.level -= b.droppedFraction(shares) * max(b.level, 0)
	gained := 0.0
	for _, s := range shares {
		if !b.holds(s.ID) {
			gained += s.InitialFill * s.Fraction * b.limit.Burst
		}
	}
	b.shares = b.shares[:0]
	for _, s := range shares {
		if b.updatedAt.Before(s.ExpiresAt) {
			b.shares = append(b.shares, s)
		}
	}
	b.derive()
	b.level = min(b.level+gained, b.burst)
}

// droppedFraction returns the fraction of the burst that belongs to shares that
// are not in the new list. The same fraction of the level is dropped with them.
func (b *Bucket) droppedFraction(shares []Share) float64 {
	if b.burst <= 0 {
		return 0
	}
	fraction := 0.0
	for _, old := range b.shares {
		if !slices.ContainsFunc(shares, func(s Share) bool { return s.ID == old.ID }) {
			fraction += old.Fraction
		}
	}
	return min(fraction*b.limit.Burst/b.burst, 1)
}

// Take reserves n tokens and reports whether the bucket had enough. A refused
// request also counts as demand.
func (b *Bucket) Take(now time.Time, n float64) (Ticket, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now)
	b.demand.add(now, n)
	b.largestRequest.add(now, n)
	return b.take(n)
}

// RetryTake is like Take, for a request that Take has refused. It does not count
// the demand again.
func (b *Bucket) RetryTake(now time.Time, n float64) (Ticket, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now)
	return b.take(n)
}

func (b *Bucket) take(n float64) (Ticket, bool) {
	if n < 0 || n > b.level {
		return Ticket{}, false
	}
	b.recordHeadroom()
	b.level -= n
	b.recordHeadroom()
	return Ticket{Tokens: n, event: b.headroom.event}, true
}

// Settle replaces a reservation by the tokens that were used. The resulting
// level is the same as if only the used tokens had been taken when the ticket
// was issued. Tokens that would have overflowed since then are not refunded, so
// refunds never admit more than the rate and burst allow. Use beyond the
// reservation becomes debt and can lower the level below zero.
func (b *Bucket) Settle(now time.Time, t Ticket, used float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now)
	unused := t.Tokens - max(used, 0)
	b.demand.add(now, -unused)
	if unused <= 0 {
		b.level += unused
		return
	}
	b.refund(t.event, unused)
}

// refund returns unused tokens that were taken at the event, except those that
// would have overflowed since.
func (b *Bucket) refund(event uint64, unused float64) {
	b.recordHeadroom()
	unused = min(unused, b.headroom.minSince(event))
	if unused <= 0 {
		return
	}
	b.level += unused
	b.headroom.reduce(event, unused)
}

// State is a snapshot of a bucket.
type State struct {
	Own            loan.Amount // quota from seats
	Effective      loan.Amount // Own minus Lent plus Borrowed, with the current level
	Lent           loan.Amount
	Borrowed       loan.Amount
	Demand         float64 // forecast of requested tokens per second
	SlowDemand     float64 // slow moving average of requested tokens per second
	LargestRequest float64 // tokens of the largest request in the last one to two minutes
}

// State returns the state of the bucket at now.
func (b *Bucket) State(now time.Time) State {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now)
	return State{
		Own:            b.own,
		Effective:      loan.Amount{Rate: b.rate, Burst: b.burst, Level: b.level},
		Lent:           b.sum(b.lent),
		Borrowed:       b.sum(b.borrowed),
		Demand:         b.demand.rate(now),
		SlowDemand:     b.demand.slow,
		LargestRequest: b.largestRequest.value(now),
	}
}

// Limit returns the customer's rate and burst over all instances. The rate is reduced
// by the bound on clock drift.
func (b *Bucket) Limit() loan.Amount {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.limit
}

// usableFraction returns the fraction of the customer's limits that the share
// gives at now.
func (b *Bucket) usableFraction(s Share, now time.Time) float64 {
	if now.Before(s.RetainedOnlyUntil) {
		return s.Fraction * b.retainedFraction
	}
	return s.Fraction
}

func (b *Bucket) holds(id string) bool {
	for _, s := range b.shares {
		if s.ID == id {
			return true
		}
	}
	return false
}

func (b *Bucket) sum(l loans) loan.Amount { return l.fractions().Absolute(b.limit) }

// advance brings the bucket up to now. It stops at each change of the shares and
// loans in between, so a process that was suspended over an expiry refills from
// the expired quota only up to that expiry.
func (b *Bucket) advance(now time.Time) {
	if b.updatedAt.IsZero() {
		b.updatedAt = now
		b.derive()
	}
	for !b.nextChange.IsZero() && !b.nextChange.After(now) {
		b.refill(b.nextChange)
		b.expire(b.updatedAt)
		b.derive()
	}
	b.refill(now)
}

func (b *Bucket) refill(now time.Time) {
	elapsed := now.Sub(b.updatedAt)
	if elapsed <= 0 {
		return
	}
	b.level = min(b.level+b.rate*elapsed.Seconds(), b.burst)
	b.updatedAt = now
	b.recordHeadroom()
}

func (b *Bucket) expire(now time.Time) {
	kept := b.shares[:0]
	for _, s := range b.shares {
		if now.Before(s.ExpiresAt) {
			kept = append(kept, s)
		}
	}
	b.shares = kept
	b.lent.expire(now)
	b.borrowed.expire(now)
}

// derive recomputes the derived fields as of b.updatedAt.
func (b *Bucket) derive() {
	b.nextChange = time.Time{}
	fraction := 0.0
	for _, s := range b.shares {
		fraction += b.usableFraction(s, b.updatedAt)
		b.noteChange(s.ExpiresAt)
		if b.updatedAt.Before(s.RetainedOnlyUntil) {
			b.noteChange(s.RetainedOnlyUntil)
		}
	}
	for _, l := range b.lent {
		b.noteChange(l.ExpiresAt)
	}
	for _, l := range b.borrowed {
		b.noteChange(l.ExpiresAt)
	}
	lent, borrowed := b.sum(b.lent), b.sum(b.borrowed)
	b.own = loan.Amount{Rate: fraction * b.limit.Rate, Burst: fraction * b.limit.Burst}
	b.rate = max(b.own.Rate-lent.Rate, 0) + borrowed.Rate
	b.burst = max(b.own.Burst+borrowed.Burst-lent.Burst, 0) // borrowed burst may be granted to peers
	b.level = min(b.level, b.burst)
	b.recordHeadroom()
}

// recordHeadroom adds a headroom sample for the current burst and level.
func (b *Bucket) recordHeadroom() { b.headroom.record(b.burst - b.level) }

// noteChange lowers nextChange to t if t is earlier.
func (b *Bucket) noteChange(t time.Time) {
	if b.nextChange.IsZero() || t.Before(b.nextChange) {
		b.nextChange = t
	}
}

// RefillTime returns how long the bucket takes to refill to n tokens at its
// current rate. It returns false if n exceeds the burst or the bucket does not
// refill.
func (b *Bucket) RefillTime(now time.Time, n float64) (time.Duration, bool) {
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
