package lender

import (
	"time"

	"chervilyard.example/yard/loan"
	"chervilyard.example/yard/quota"
)

const (
	needMargin    = 1.25            // forecast over measured demand
	needSpan      = 2 * time.Second // demand that the level should cover
	urgentSpan    = 200 * time.Millisecond
	shortBy       = 0.1 // part of the need below which nothing is asked
	surplusBy     = 1.6 // rate over need above which a loan is given back
	maxFan        = 4   // peers asked at once in the background, for one customer
	urgentFan     = 8   // peers asked at once for a request that waits
	hintLife      = 20 * time.Second
	askLife       = 5 * time.Second // an ask without a reply is forgotten
	maxBackoff    = 5               // doublings of the time between asks in vain
	minRate       = 0.01            // tokens a second below which no loan is asked
	overAsk       = 1.3
	idleHintBurst = 1.0
)

// need returns what the instance wants to keep of a customer for its own demand.
func need(s quota.State, span time.Duration) loan.Amount {
	level := s.Demand * span.Seconds()
	if span >= needSpan && s.Demand > minRate {
		level = max(level, s.Largest*needMargin)
	}
	return loan.Amount{Rate: s.Demand * needMargin, Burst: level, Level: level}
}

// Answer decides an ask of a peer.
func (l *Lender) Answer(now time.Time, ask loan.Ask) loan.Reply {
	a, ok := l.all()[ask.Customer]
	if !ok {
		return loan.Reply{ID: ask.ID, At: ask.At}
	}
	span := needSpan
	if ask.Urgent {
		span = urgentSpan
	}
	terms := l.terms()
	if ask.Term <= 0 || ask.Term > terms.Loan {
		ask.Term = terms.Loan
	}
	keep := need(a.bucket.Read(now), span)
	given := a.bucket.Lend(now, ask, keep)
	return loan.Reply{ID: ask.ID, At: ask.At, Amount: given, Spare: a.bucket.Spare(now, ask.Term, keep)}
}

// Regain takes a loan back that a peer returned.
func (l *Lender) Regain(now time.Time, r loan.Return) {
	if a, ok := l.all()[r.Customer]; ok {
		a.bucket.Regain(now, r)
	}
}

// Receive takes in the reply to an ask. A reply to an ask that is no longer
// open is dropped; the lender takes such a loan back by itself.
func (l *Lender) Receive(now time.Time, customer string, r loan.Reply) {
	a, ok := l.all()[customer]
	if !ok {
		return
	}
	a.mu.Lock()
	p, open := a.asked[r.ID]
	if !open || p.at.UnixNano() != r.At.UnixNano() {
		a.mu.Unlock()
		return
	}
	delete(a.asked, r.ID)
	a.learn(now, p.peer, r)
	a.mu.Unlock()
	if r.Amount.None() {
		return
	}
	a.bucket.Borrow(now, loan.Loan{
		ID:       r.ID,
		Customer: customer,
		Peer:     p.peer,
		Amount:   r.Amount,
		Until:    p.at.Add(p.ask.Term),
	})
}

func (a *account) learn(now time.Time, peer string, r loan.Reply) {
	h := hint{spare: r.Spare, at: now}
	if r.Amount.None() {
		h.tries = a.hints[peer].tries + 1
	}
	a.hints[peer] = h
}

// Round returns the messages of one background round: extensions of loans
// that are still needed, returns of those that are not, and asks for what the
// forecast is short of.
func (l *Lender) Round(now time.Time) []Letter {
	terms := l.terms()
	var letters []Letter
	for _, name := range l.names() {
		a := l.all()[name]
		a.forget(now)
		state := a.bucket.Read(now)
		wish := need(state, needSpan)
		letters = append(letters, l.tend(now, a, name, state, wish, terms.Loan)...)
		letters = append(letters, l.seek(now, a, name, state, wish, terms.Loan)...)
	}
	return letters
}

// forget drops asks whose reply is lost.
func (a *account) forget(now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for id, p := range a.asked {
		if now.Sub(p.at) > askLife {
			delete(a.asked, id)
			h := a.hints[p.peer]
			a.hints[p.peer] = hint{at: now, tries: h.tries + 1}
		}
	}
}

// tend extends or gives back the loans that the account holds.
func (l *Lender) tend(now time.Time, a *account, customer string, state quota.State, wish loan.Amount, term time.Duration) []Letter {
	var letters []Letter
	var surplus []uint64
	left := state.Now
	for _, one := range a.bucket.Borrowed(now) {
		if a.isPinned(one.ID) {
			letters = append(letters, l.renew(now, a, customer, one, term)...)
			continue
		}
		without := loan.Amount{Rate: left.Rate - one.Amount.Rate, Burst: left.Burst - one.Amount.Burst}
		if without.Rate >= wish.Rate*surplusBy/needMargin && without.Burst >= wish.Burst {
			left = without
			surplus = append(surplus, one.ID)
			continue
		}
		letters = append(letters, l.renew(now, a, customer, one, term)...)
	}
	return append(letters, a.giveBack(now, surplus)...)
}

// renew asks to extend a loan in the second half of its term.
func (l *Lender) renew(now time.Time, a *account, customer string, one loan.Loan, term time.Duration) []Letter {
	if one.Until.Sub(now) > term*6/10 {
		return nil
	}
	ask := loan.Ask{ID: one.ID, Customer: customer, Borrower: l.Address, Amount: one.Amount, Term: term, Extend: true}
	return a.send(now, one.Peer, ask)
}

// send notes the ask as open. One that is already open is sent again without
// moving the time from which its term counts.
func (a *account) send(now time.Time, peer string, ask loan.Ask) []Letter {
	a.mu.Lock()
	defer a.mu.Unlock()
	if open, ok := a.asked[ask.ID]; ok {
		return []Letter{{Peer: peer, Ask: open.ask}}
	}
	ask.At = now
	a.asked[ask.ID] = pending{ask: ask, peer: peer, at: now}
	return []Letter{{Peer: peer, Ask: ask}}
}

func (a *account) isPinned(id uint64) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	_, ok := a.pinned[id]
	return ok
}

// seek asks peers for what the forecast is short of.
func (l *Lender) seek(now time.Time, a *account, customer string, state quota.State, wish loan.Amount, term time.Duration) []Letter {
	short := loan.Amount{
		Rate:  wish.Rate - state.Now.Rate,
		Burst: wish.Burst - state.Now.Burst,
		Level: wish.Level - state.Now.Level,
	}.Positive()
	if state.Demand < minRate {
		return nil
	}
	lacksRate := short.Rate > wish.Rate*shortBy
	lacksBurst := short.Burst > wish.Burst*shortBy
	if !lacksRate && !lacksBurst {
		return nil
	}
	// A level comes only inside a burst that is lent with it.
	short.Burst = max(short.Burst, short.Rate*needSpan.Seconds())
	short.Level = min(short.Level, short.Burst)
	peers := a.choose(now, l.Holders(customer), maxFan, false)
	return l.askAll(now, a, customer, peers, short, term, false)
}

// askAll divides the amount among the peers by what they last could spare.
func (l *Lender) askAll(now time.Time, a *account, customer string, peers []Holder, short loan.Amount, term time.Duration, urgent bool) []Letter {
	var letters []Letter
	left := short
	for i, p := range peers {
		if left.None() {
			break
		}
		part := left
		if n := float64(len(peers) - i); n > 1 {
			part = a.portion(now, p.Address, left, n)
		}
		left = loan.Amount{Rate: left.Rate - part.Rate, Burst: left.Burst - part.Burst, Level: left.Level - part.Level}.Positive()
		ask := loan.Ask{ID: l.Random(), Customer: customer, Borrower: l.Address, Amount: part, Term: term, Urgent: urgent}
		letters = append(letters, a.send(now, p.Address, ask)...)
	}
	return letters
}

// portion returns what to ask of one of n peers: what it could spare lately
// where that is known, else an even part.
func (a *account) portion(now time.Time, peer string, left loan.Amount, n float64) loan.Amount {
	even := loan.Amount{Rate: left.Rate / n, Burst: left.Burst / n, Level: left.Level / n}
	a.mu.Lock()
	defer a.mu.Unlock()
	h, ok := a.hints[peer]
	if !ok || now.Sub(h.at) > hintLife {
		return even
	}
	return left.Min(loan.Amount{
		Rate:  max(h.spare.Rate, even.Rate),
		Burst: max(h.spare.Burst, even.Burst),
		Level: max(h.spare.Level, even.Level),
	})
}

// choose returns up to n peers to ask: those that lately had something to
// spare first, then the nearest, leaving out those asked in vain a moment ago.
func (a *account) choose(now time.Time, holders []Holder, n int, urgent bool) []Holder {
	a.mu.Lock()
	defer a.mu.Unlock()
	var rich, unknown []Holder
	for _, h := range holders {
		known, ok := a.hints[h.Address]
		switch {
		case !ok || now.Sub(known.at) > hintLife:
			unknown = append(unknown, h)
		case known.spare.Rate > minRate || known.spare.Burst > idleHintBurst && urgent:
			rich = append(rich, h)
		case now.Sub(known.at) >= backoff(known.tries):
			unknown = append(unknown, h)
		}
	}
	rich = append(rich, unknown...)
	return rich[:min(n, len(rich))]
}

func backoff(tries int) time.Duration {
	return time.Second << min(tries, maxBackoff)
}

// Gather returns the asks that may bring the n tokens of a waiting request
// together, or none where no peer is left to ask. Tried holds the peers that
// were asked for this request before, and is added to.
func (l *Lender) Gather(now time.Time, customer string, n float64, tried map[string]bool) []Letter {
	a, ok := l.all()[customer]
	if !ok {
		return nil
	}
	short := n - a.bucket.Read(now).Now.Level
	if short <= 0 {
		return nil
	}
	var peers []Holder
	for _, h := range l.Holders(customer) {
		if tried[h.Address] || len(peers) == urgentFan {
			continue
		}
		tried[h.Address] = true
		peers = append(peers, h)
	}
	short *= overAsk
	return l.askAll(now, a, customer, peers, loan.Amount{Burst: short, Level: short}, l.terms().Loan, true)
}

// Gathered tries a waiting request again after replies came in. The loans that
// came for it stay with its reservation, or go back at once where it is refused
// for good.
func (l *Lender) Gathered(now time.Time, customer string, n float64, asks []Letter, last bool) (Reservation, bool, []Letter) {
	a, ok := l.all()[customer]
	if !ok {
		return Reservation{}, false, nil
	}
	ids := make([]uint64, 0, len(asks))
	for _, letter := range asks {
		ids = append(ids, letter.Ask.ID)
	}
	t, ok := a.bucket.Retake(now, n)
	if !ok {
		if last {
			return Reservation{}, false, a.giveBack(now, ids)
		}
		return Reservation{}, false, nil
	}
	a.mu.Lock()
	for _, id := range ids {
		a.pinned[id] = struct{}{}
	}
	a.mu.Unlock()
	return Reservation{Customer: customer, ticket: t, loans: ids}, true, nil
}
