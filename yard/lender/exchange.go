package lender

import (
	"time"

	"chervilyard.example/yard/loan"
	"chervilyard.example/yard/quota"
)

const (
	needMargin  = 1.1              // forecast over measured demand
	shortBy     = 0.1              // part of the need below which nothing is asked
	surplusBy   = 1.4              // rate over need above which a loan is given back
	richLevel   = 0.5              // part of the burst that a bucket keeps from others' pulls
	poorLevel   = 0.25             // part of the burst below which a bucket pulls
	farOver     = 3                // rate over need above which a loan is given back, to be asked anew in part
	smallSlice  = 2                // largest requests that a slice's burst has to hold, or else it is not worth moving
	lowLevel    = 0.5              // part of the burst above which nothing is asked
	maxFan      = 4                // peers asked at once in the background, for one customer
	hintLife    = 20 * time.Second // of what a peer said it could spare
	askLife     = 5 * time.Second  // an ask without a reply is forgotten
	maxBackoff  = 5                // doublings of the time between asks in vain
	minRate     = 0.01             // tokens a second below which no loan is asked
	renewBefore = 0.6              // part of the term from which a loan is extended
)

// need returns the rate that the instance wants to keep for its own demand.
func need(s quota.State) float64 { return s.Demand * needMargin }

// Answer decides an ask of a peer. The letters give back what the peer itself
// had lent here, in place of a loan in the other direction.
func (l *Lender) Answer(now time.Time, ask loan.Ask) (loan.Reply, []Letter) {
	a, ok := l.all()[ask.Customer]
	if !ok {
		return loan.Reply{ID: ask.ID, At: ask.At}, nil
	}
	terms := l.terms()
	if ask.Term <= 0 || ask.Term > terms.Loan {
		ask.Term = terms.Loan
	}
	if ask.Urgent {
		ask.Term = min(ask.Term, grantTerm)
	}
	reply := loan.Reply{ID: ask.ID, At: ask.At, Term: ask.Term}
	var returns []Letter
	if ask.Urgent {
		reply.Amount.Level = a.bucket.Grant(now, ask, grantKeep(a.bucket.Read(now), ask.Spare))
	} else {
		if !ask.Extend {
			returns = a.giveBackTo(now, ask.Borrower)
		}
		reply.Amount = a.bucket.Lend(now, ask, need(a.bucket.Read(now)))
	}
	state := a.bucket.Read(now)
	reply.Spare = a.bucket.Spare(now, ask.Term, need(state))
	reply.Spare.Level = max(reply.Spare.Level-grantKeep(state, ask.Spare), 0)
	return reply, returns
}

// grantKeep returns the level that the instance keeps for itself when a peer
// asks for tokens. One whose own demand is over its rate gives little away, or
// else instances of a customer over its rate would only take from each other.
func grantKeep(s quota.State, spare bool) float64 {
	switch {
	case spare:
		return richLevel * s.Now.Burst
	case s.Steady > s.Now.Rate:
		return poorLevel * s.Now.Burst
	}
	return 0
}

// giveBackTo gives the loans of one lender back.
func (a *account) giveBackTo(now time.Time, peer string) []Letter {
	var ids []uint64
	for _, one := range a.bucket.Borrowed(now) {
		if one.Peer == peer {
			ids = append(ids, one.ID)
		}
	}
	return a.giveBack(now, ids)
}

// Regain takes back what a peer returned.
func (l *Lender) Regain(now time.Time, r loan.Return) {
	a, ok := l.all()[r.Customer]
	if !ok {
		return
	}
	if r.Urgent {
		a.bucket.Ungrant(now, r)
		return
	}
	a.bucket.Regain(now, r)
}

// Receive takes in the reply to an ask. A reply to an ask that is no longer
// open is dropped: the lender takes a loan back by itself. Tokens that come for
// a request that no longer waits are returned by the letters.
func (l *Lender) Receive(now time.Time, customer string, r loan.Reply) []Letter {
	a, ok := l.all()[customer]
	if !ok {
		return nil
	}
	a.mu.Lock()
	p, open := a.asked[r.ID]
	if !open || p.at.UnixNano() != r.At.UnixNano() {
		a.mu.Unlock()
		return nil
	}
	delete(a.asked, r.ID)
	a.learn(now, p.peer, r)
	g := grant{id: r.ID, peer: p.peer, tokens: r.Amount.Level, until: p.at.Add(r.Term)}
	if p.pot != nil {
		defer a.mu.Unlock()
		return p.pot.add(customer, g)
	}
	a.mu.Unlock()
	if p.ask.Urgent {
		return a.deposit(now, customer, g)
	}
	if r.Amount.None() {
		return nil
	}
	if p.ask.Extend {
		a.bucket.Prolong(now, r.ID, p.at.Add(r.Term))
		return nil
	}
	a.bucket.Borrow(now, loan.Loan{
		ID:       r.ID,
		Customer: customer,
		Peer:     p.peer,
		Amount:   r.Amount,
		Until:    p.at.Add(r.Term),
	})
	return nil
}

func (a *account) learn(now time.Time, peer string, r loan.Reply) {
	h := hint{spare: r.Spare, at: now}
	if r.Amount.None() && r.Spare.None() {
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
		letters = append(letters, l.tend(now, a, name, state, terms.Loan)...)
		letters = append(letters, l.seek(now, a, name, state, terms.Loan)...)
		letters = append(letters, l.pull(now, a, name, state)...)
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
func (l *Lender) tend(now time.Time, a *account, customer string, state quota.State, term time.Duration) []Letter {
	if state.Borrowed.None() {
		return nil
	}
	var letters []Letter
	var surplus []uint64
	left := state.Now.Rate
	small := a.isSmall(state)
	whole := a.bucket.Total()
	for _, one := range a.bucket.Borrowed(now) {
		without := left - one.Amount.Of(whole).Rate
		if without+minRate >= need(state)*surplusBy || left > need(state)*farOver || small {
			left = without
			surplus = append(surplus, one.ID)
			continue
		}
		letters = append(letters, l.renew(now, a, customer, one, term)...)
	}
	return append(letters, a.giveBack(now, surplus)...)
}

// renew asks to extend a loan whose term is partly over.
func (l *Lender) renew(now time.Time, a *account, customer string, one loan.Loan, term time.Duration) []Letter {
	if float64(one.Until.Sub(now)) > renewBefore*float64(term) {
		return nil
	}
	ask := loan.Ask{ID: one.ID, Customer: customer, Borrower: l.Address, Amount: one.Amount, Term: term, Extend: true}
	return []Letter{a.send(now, one.Peer, ask, nil)}
}

// send notes the ask as open. One that is already open is sent again without
// moving the time from which its term counts.
func (a *account) send(now time.Time, peer string, ask loan.Ask, p *Pot) Letter {
	a.mu.Lock()
	defer a.mu.Unlock()
	if open, ok := a.asked[ask.ID]; ok {
		return Letter{Peer: peer, Ask: open.ask}
	}
	ask.At = now
	a.asked[ask.ID] = pending{ask: ask, peer: peer, at: now, pot: p}
	return Letter{Peer: peer, Ask: ask}
}

// seek asks peers for the rate that the forecast is short of. A bucket that is
// well filled asks for nothing, so that noise moves nothing. Demand so small
// that its slice would hold no two requests gathers for each of them instead,
// since many small slices leave no peer enough for one.
func (l *Lender) seek(now time.Time, a *account, customer string, state quota.State, term time.Duration) []Letter {
	wish := need(state)
	short := wish - state.Now.Rate
	if state.Demand < minRate || short < wish*shortBy || state.Now.Level > lowLevel*state.Now.Burst || a.isSmall(state) {
		return nil
	}
	peers := a.choose(now, l.Holders(customer), maxFan, func(h hint) bool { return h.spare.Rate > minRate })
	whole := a.bucket.Total()
	var letters []Letter
	for i, p := range peers {
		if short < minRate {
			break
		}
		part := a.portion(now, p.Address, short, float64(len(peers)-i))
		short -= part
		ask := loan.Ask{ID: l.Random(), Customer: customer, Borrower: l.Address, Amount: loan.Amount{Rate: part}.Parts(whole), Term: term}
		letters = append(letters, a.send(now, p.Address, ask, nil))
	}
	return letters
}

// pull asks peers that are well filled for tokens before a bucket runs dry, so
// that few requests have to wait for them, and full buckets do not overflow
// while others are empty.
func (l *Lender) pull(now time.Time, a *account, customer string, state quota.State) []Letter {
	if state.Demand < minRate || state.Now.Level > poorLevel*state.Now.Burst || state.Now.Burst <= 0 {
		return nil
	}
	short := richLevel*state.Now.Burst - state.Now.Level
	peers := a.choose(now, l.Holders(customer), maxFan, func(h hint) bool { return h.spare.Level > short/maxFan })
	var letters []Letter
	for _, p := range peers {
		letters = append(letters, l.askTokens(now, a, customer, p, short/float64(len(peers)), nil))
	}
	return letters
}

// deposit puts granted tokens into the bucket as far as they fit, and tells the
// lender, whose burst they lock until then.
func (a *account) deposit(now time.Time, customer string, g grant) []Letter {
	if g.tokens <= 0 {
		return nil
	}
	fit := 0.0
	if now.Before(g.until) {
		fit = a.bucket.Deposit(now, g.tokens)
	}
	return []Letter{g.letter(customer, fit)}
}

// isSmall reports whether the slice that steady demand needs would hold too few
// requests.
func (a *account) isSmall(s quota.State) bool {
	total := a.bucket.Total()
	return s.Steady*needMargin*total.Burst < smallSlice*s.Largest*total.Rate
}

// portion returns what to ask of one of n peers: what it could spare lately
// where that is known, else an even part.
func (a *account) portion(now time.Time, peer string, short, n float64) float64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	even := short / n
	h, ok := a.hints[peer]
	if !ok || now.Sub(h.at) > hintLife {
		return even
	}
	return min(short, max(h.spare.Rate, even))
}

// choose returns up to n peers to ask: those that lately had something to
// spare first, then the nearest, leaving out those asked in vain a moment ago.
func (a *account) choose(now time.Time, holders []Holder, n int, isRich func(h hint) bool) []Holder {
	a.mu.Lock()
	defer a.mu.Unlock()
	var rich, unknown []Holder
	for _, h := range holders {
		known, ok := a.hints[h.Address]
		switch {
		case !ok || now.Sub(known.at) > hintLife:
			unknown = append(unknown, h)
		case isRich(known):
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
