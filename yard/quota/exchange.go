package quota

import (
	"slices"
	"time"

	"chervilyard.example/yard/loan"
)

// Lend lends quota out of the bucket for the requested term. The loan has the
// requested rate, limited so that the bucket retains a rate of reserve in tokens
// per second, and a proportional burst and level. Lend is idempotent: a
// repeated request with the same ID returns the same loan. If req.Extend is set,
// Lend only extends the loan with that ID.
func (b *Bucket) Lend(now time.Time, req loan.Request, reserve float64) loan.Amount {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now)
	reclaimTime := b.reclaimTime(now, req.Term)
	if old, ok := b.lent.find(req.ID); ok {
		return b.extend(old, reclaimTime, req)
	}
	if req.Extend || b.rate <= 0 {
		return loan.Amount{}
	}
	available := b.spare(b.ownAt(reclaimTime), reserve)
	fraction := min(req.Amount.Absolute(b.limit).Rate, available.Rate) / b.rate
	if fraction <= 0 {
		return loan.Amount{}
	}
	amount := loan.Amount{
		Rate:  fraction * b.rate,
		Burst: min(fraction*b.burst, available.Burst),
		Level: max(fraction*b.level, 0),
	}
	amount.Level = min(amount.Level, amount.Burst)
	b.lend(req, amount, reclaimTime)
	return amount.Fractions(b.limit)
}

// Grant takes tokens out of the bucket for a request that waits at a peer, and
// leaves at least reserve tokens. The burst that the tokens occupied stays locked
// until the peer reports how many were used, or until the grant expires. Grant is
// idempotent: a repeated request with the same ID takes no further tokens.
func (b *Bucket) Grant(now time.Time, req loan.Request, reserve float64) float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now)
	if old, ok := b.grants.find(req.ID); ok {
		return old.Tokens
	}
	reclaimTime := b.reclaimTime(now, req.Term)
	held := b.ownAt(reclaimTime).Plus(b.borrowedAt(reclaimTime))
	tokens := min(req.Amount.Level, b.level-reserve, b.spare(held, 0).Burst)
	if tokens <= 0 {
		return 0
	}
	b.lend(req, loan.Amount{Burst: tokens, Level: tokens}, reclaimTime)
	b.grants.put(req.ID, Ticket{Tokens: tokens, event: b.headroom.event})
	return tokens
}

func (b *Bucket) lend(req loan.Request, amount loan.Amount, reclaimTime time.Time) {
	b.lent.put(loan.Loan{ID: req.ID, Customer: req.Customer, Peer: req.Borrower, Amount: amount.Fractions(b.limit), ExpiresAt: reclaimTime})
	b.recordHeadroom()
	b.level -= amount.Level
	b.derive()
}

// SettleGrant returns the unused tokens of a grant to the bucket. While the burst
// of the grant is locked, all of them fit. Afterwards only those are returned that
// would not have overflowed, as in Settle. It does nothing for an unknown grant.
func (b *Bucket) SettleGrant(now time.Time, r loan.Return) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now)
	g, ok := b.grants.find(r.ID)
	if !ok {
		return
	}
	unused := max(g.Tokens-max(r.UsedTokens, 0), 0)
	if _, locked := b.lent.find(r.ID); locked {
		b.lent.remove(r.ID)
		b.derive()
		b.level = min(b.level+unused, b.burst)
		b.recordHeadroom()
		g.event = b.headroom.event
	} else {
		b.refund(g.event, unused)
	}
	g.Tokens -= unused
	b.grants.put(r.ID, g)
}

// Deposit adds granted tokens up to the burst and returns how many it added.
func (b *Bucket) Deposit(now time.Time, tokens float64) float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now)
	added := max(min(tokens, b.burst-b.level), 0)
	b.level += added
	return added
}

// extend answers a request for a loan that is already outstanding. If the request
// asks for an extension, the loan is extended if the shares that are still valid
// at the new end cover all lent loans; otherwise the reply is the zero Amount. A
// repeated request for a new loan gets the same reply; the borrower counts the term
// from the time of its first request.
func (b *Bucket) extend(old loan.Loan, reclaimTime time.Time, req loan.Request) loan.Amount {
	if req.Extend {
		covered := b.ownAt(reclaimTime)
		if covered.Rate < b.sum(b.lent).Rate || covered.Burst < b.sum(b.lent).Burst {
			return loan.Amount{}
		}
		if reclaimTime.After(old.ExpiresAt) {
			old.ExpiresAt = reclaimTime
			b.lent.put(old)
			b.derive()
		}
	}
	return old.Amount
}

// Borrow adds a borrowed loan, which is usable until its ExpiresAt. A loan that is
// already held changes nothing, so its level is added only once.
func (b *Bucket) Borrow(now time.Time, l loan.Loan) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now)
	if !now.Before(l.ExpiresAt) {
		return
	}
	if _, ok := b.borrowed.find(l.ID); ok {
		return
	}
	b.borrowed.put(l)
	b.derive()
	b.level = min(b.level+l.Amount.Level, b.burst)
}

// ExtendLoan extends a borrowed loan to until. It does nothing if the loan is no
// longer held, such as one that was returned while its extension was in flight.
func (b *Bucket) ExtendLoan(now time.Time, id uint64, until time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now)
	l, ok := b.borrowed.find(id)
	if !ok || !until.After(l.ExpiresAt) {
		return
	}
	l.ExpiresAt = until
	b.borrowed.put(l)
	b.derive()
}

// ReturnLoan removes a borrowed loan and returns the message to send to its lender.
// The message carries the tokens that exceed the burst without the loan. ReturnLoan
// returns false if the loan is not held.
func (b *Bucket) ReturnLoan(now time.Time, id uint64) (loan.Return, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now)
	l, ok := b.borrowed.find(id)
	if !ok {
		return loan.Return{}, false
	}
	levelBefore := b.level
	b.borrowed.remove(id)
	b.derive()
	surplus := max(levelBefore-max(b.level, 0), 0)
	return loan.Return{ID: id, Customer: l.Customer, ReturnedTokens: min(surplus, l.Amount.Absolute(b.limit).Burst)}, true
}

// ReclaimLoan handles the return of a lent loan. It does nothing if the loan has
// expired or was already returned.
func (b *Bucket) ReclaimLoan(now time.Time, r loan.Return) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now)
	l, ok := b.lent.find(r.ID)
	if !ok {
		return
	}
	b.lent.remove(r.ID)
	b.derive()
	b.level = min(b.level+min(max(r.ReturnedTokens, 0), l.Amount.Absolute(b.limit).Burst), b.burst)
}

// Borrowed returns a copy of the loans borrowed from peers.
func (b *Bucket) Borrowed(now time.Time) []loan.Loan {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now)
	return slices.Clone(b.borrowed)
}

// Spare returns the rate and burst that the bucket could lend for the term while
// it retains a rate of reserve, and the tokens that it could grant.
func (b *Bucket) Spare(now time.Time, term time.Duration, reserve float64) loan.Amount {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now)
	reclaimTime := b.reclaimTime(now, term)
	out := b.spare(b.ownAt(reclaimTime), reserve)
	out.Level = max(b.level, 0)
	return out
}

// RemainingLoanTime returns the time until the last lent loan or grant ends, or 0
// if none is outstanding.
func (b *Bucket) RemainingLoanTime(now time.Time) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now)
	longest := time.Duration(0)
	for _, l := range b.lent {
		longest = max(longest, l.ExpiresAt.Sub(now))
	}
	return longest
}

// reclaimTime returns when a loan of the term can be reclaimed. It is later than
// the end of the loan by any borrower's clock within the drift bound.
func (b *Bucket) reclaimTime(now time.Time, term time.Duration) time.Time {
	return now.Add(term + time.Duration(2*b.maxDrift*float64(term)) + reclaimMargin)
}

// spare returns the rate and burst that may be lent out of held, which must be
// the quota that stays valid for the whole term of the loan.
func (b *Bucket) spare(held loan.Amount, reserve float64) loan.Amount {
	lent := b.sum(b.lent)
	return loan.Amount{
		Rate:  min(held.Rate-b.retainedFraction*b.own.Rate-lent.Rate, b.rate-reserve),
		Burst: min(held.Burst-b.retainedFraction*b.own.Burst-lent.Burst, b.burst),
	}.Positive()
}

// borrowedAt returns the sum of the borrowed loans that are still valid at a
// later time.
func (b *Bucket) borrowedAt(at time.Time) loan.Amount {
	var sum loan.Amount
	for _, l := range b.borrowed {
		if at.Before(l.ExpiresAt) {
			sum = sum.Plus(l.Amount.Absolute(b.limit))
		}
	}
	return sum
}

// ownAt returns the sum of the shares that are still valid at a later time,
// counted at what is usable of them now.
func (b *Bucket) ownAt(at time.Time) loan.Amount {
	fraction := 0.0
	for _, s := range b.shares {
		if at.Before(s.ExpiresAt) {
			fraction += b.usableFraction(s, b.updatedAt)
		}
	}
	return loan.Amount{Rate: fraction * b.limit.Rate, Burst: fraction * b.limit.Burst}
}
