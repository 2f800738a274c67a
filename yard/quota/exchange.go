package quota

import (
	"slices"
	"time"

	"chervilyard.example/yard/loan"
)

// Lend takes a slice of the bucket out of it for the ask's term: the rate that
// was asked for as far as keep leaves it, with the burst and level that belong
// to it. Asking again with the same ID gives the same loan.
func (b *Bucket) Lend(now time.Time, ask loan.Ask, keep float64) loan.Amount {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now)
	back := b.back(now, ask.Term)
	if old, ok := b.lent.find(ask.ID); ok {
		return b.extend(old, back, ask)
	}
	if ask.Extend || b.rate <= 0 {
		return loan.Amount{}
	}
	can := b.spare(b.ownAt(back), keep)
	part := min(ask.Amount.Of(b.total).Rate, can.Rate) / b.rate
	if part <= 0 {
		return loan.Amount{}
	}
	give := loan.Amount{
		Rate:  part * b.rate,
		Burst: min(part*b.burst, can.Burst),
		Level: max(part*b.level, 0),
	}
	give.Level = min(give.Level, give.Burst)
	b.lend(ask, give, back)
	return give.Parts(b.total)
}

// Grant takes tokens out of the bucket for a request that waits at a peer. The
// burst that they filled stays locked until the peer says that they are used,
// or until they no longer may be.
func (b *Bucket) Grant(now time.Time, ask loan.Ask, keep float64) float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now)
	if old, ok := b.grants.find(ask.ID); ok {
		return old.Tokens
	}
	back := b.back(now, ask.Term)
	held := b.ownAt(back).Plus(b.borrowedAt(back))
	give := min(ask.Amount.Level, b.level-keep, b.spare(held, 0).Burst)
	if give <= 0 {
		return 0
	}
	b.lend(ask, loan.Amount{Burst: give, Level: give}, back)
	b.grants.keep(ask.ID, Ticket{Tokens: give, event: b.room.event})
	return give
}

func (b *Bucket) lend(ask loan.Ask, give loan.Amount, back time.Time) {
	b.lent.put(loan.Loan{ID: ask.ID, Customer: ask.Customer, Peer: ask.Borrower, Amount: give.Parts(b.total), Until: back})
	b.note()
	b.level -= give.Level
	b.derive()
}

// Ungrant takes back the tokens of a grant that are not used, as Settle does
// for a reservation. While the grant's burst is locked, all of them fit.
func (b *Bucket) Ungrant(now time.Time, r loan.Return) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now)
	g, ok := b.grants.find(r.ID)
	if !ok {
		return
	}
	unused := max(g.Tokens-max(r.Used, 0), 0)
	if _, locked := b.lent.find(r.ID); locked {
		b.lent.remove(r.ID)
		b.derive()
		b.level = min(b.level+unused, b.burst)
		b.note()
		g.event = b.room.event
	} else {
		b.refund(g.event, unused)
	}
	g.Tokens -= unused
	b.grants.keep(r.ID, g)
}

// Deposit adds granted tokens as far as they fit and returns how many did.
func (b *Bucket) Deposit(now time.Time, tokens float64) float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now)
	fit := max(min(tokens, b.burst-b.level), 0)
	b.level += fit
	return fit
}

// extend moves the time of an outstanding loan. A repeated plain ask gets the
// same answer, whose term the borrower counts from its own asking.
func (b *Bucket) extend(old loan.Loan, back time.Time, ask loan.Ask) loan.Amount {
	if ask.Extend {
		covered := b.ownAt(back)
		if covered.Rate < b.sum(b.lent).Rate || covered.Burst < b.sum(b.lent).Burst {
			return loan.Amount{}
		}
		if back.After(old.Until) {
			old.Until = back
			b.lent.put(old)
			b.derive()
		}
	}
	return old.Amount
}

// Borrow adds a loan that counts until its Until. Its level is added once.
func (b *Bucket) Borrow(now time.Time, l loan.Loan) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now)
	if !now.Before(l.Until) {
		return
	}
	if _, ok := b.borrowed.find(l.ID); ok {
		return
	}
	b.borrowed.put(l)
	b.derive()
	b.level = min(b.level+l.Amount.Level, b.burst)
}

// Prolong moves the end of a borrowed loan that is still held. One that was
// given back while its extension was under way stays given back.
func (b *Bucket) Prolong(now time.Time, id uint64, until time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now)
	l, ok := b.borrowed.find(id)
	if !ok || !until.After(l.Until) {
		return
	}
	l.Until = until
	b.borrowed.put(l)
	b.derive()
}

// GiveBack removes a borrowed loan and returns the message for its lender,
// with the tokens that the bucket cannot hold without it, or false where the
// loan is not held.
func (b *Bucket) GiveBack(now time.Time, id uint64) (loan.Return, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now)
	l, ok := b.borrowed.find(id)
	if !ok {
		return loan.Return{}, false
	}
	before := b.level
	b.borrowed.remove(id)
	b.derive()
	surplus := max(before-max(b.level, 0), 0)
	return loan.Return{ID: id, Customer: l.Customer, Level: min(surplus, l.Amount.Of(b.total).Burst)}, true
}

// Regain takes a returned loan back. A loan already taken back, or returned
// twice, changes nothing.
func (b *Bucket) Regain(now time.Time, r loan.Return) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now)
	l, ok := b.lent.find(r.ID)
	if !ok {
		return
	}
	b.lent.remove(r.ID)
	b.derive()
	b.level = min(b.level+min(max(r.Level, 0), l.Amount.Of(b.total).Burst), b.burst)
}

// Borrowed returns the loans that the bucket holds of others.
func (b *Bucket) Borrowed(now time.Time) []loan.Loan {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now)
	return slices.Clone(b.borrowed)
}

// Spare returns the rate that the bucket could lend beyond keep, and the tokens
// that it could grant.
func (b *Bucket) Spare(now time.Time, term time.Duration, keep float64) loan.Amount {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now)
	back := b.back(now, term)
	out := b.spare(b.ownAt(back), keep)
	out.Level = max(b.level, 0)
	return out
}

// Outstanding returns how long the last of the lent loans still runs.
func (b *Bucket) Outstanding(now time.Time) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now)
	longest := time.Duration(0)
	for _, l := range b.lent {
		longest = max(longest, l.Until.Sub(now))
	}
	return longest
}

func (b *Bucket) back(now time.Time, term time.Duration) time.Time {
	return now.Add(term + time.Duration(2*b.drift*float64(term)) + backMargin)
}

// spare returns what may go out until back of what is held until then, so that
// nothing is lent that lapses meanwhile.
func (b *Bucket) spare(held loan.Amount, keep float64) loan.Amount {
	lent := b.sum(b.lent)
	return loan.Amount{
		Rate:  min(held.Rate-b.floor*b.own.Rate-lent.Rate, b.rate-keep),
		Burst: min(held.Burst-b.floor*b.own.Burst-lent.Burst, b.burst),
	}.Positive()
}

// borrowedAt returns what the loans give that still run at a later time.
func (b *Bucket) borrowedAt(at time.Time) loan.Amount {
	var total loan.Amount
	for _, l := range b.borrowed {
		if at.Before(l.Until) {
			total = total.Plus(l.Amount.Of(b.total))
		}
	}
	return total
}

// ownAt returns what the parts give that are still held at a later time.
func (b *Bucket) ownAt(at time.Time) loan.Amount {
	fraction := 0.0
	for _, p := range b.parts {
		if at.Before(p.Until) {
			fraction += b.weight(p, b.last)
		}
	}
	return loan.Amount{Rate: fraction * b.total.Rate, Burst: fraction * b.total.Burst}
}
