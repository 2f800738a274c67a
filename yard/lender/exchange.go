package lender

import (
	"time"

	"chervilyard.example/yard/loan"
	"chervilyard.example/yard/quota"
)

const (
	demandMargin         = 1.1              // ratio of the required rate to the forecast demand
	minShortfallFraction = 0.1              // fraction of the required rate; a smaller shortfall is not requested
	returnRatio          = 1.4              // a loan is returned if the rate without it is at least this multiple of the required rate
	highLevelFraction    = 0.5              // fraction of the burst; target of a prefetch, and level kept when a peer prefetches
	lowLevelFraction     = 0.25             // fraction of the burst; at or below this level tokens are prefetched
	oversizeRatio        = 3                // above this multiple of the required rate, loans are returned so that a smaller one can be requested
	minRequestsPerLoan   = 2                // largest requests that the burst of a loan must hold to be worth transferring
	borrowLevelFraction  = 0.5              // fraction of the burst; above this level no rate is requested
	maxBackgroundPeers   = 4                // peers asked at once in the background, per customer
	hintTTL              = 20 * time.Second // for the spare quota last reported by a peer
	requestTimeout       = 5 * time.Second  // a request without a reply is dropped
	maxBackoffDoublings  = 5                // of the delay between requests that get nothing
	minLoanRate          = 0.01             // tokens per second; a smaller rate is not requested
	extensionFraction    = 0.6              // a loan is extended once this fraction of its term or less remains
)

// requiredRate returns the rate, in tokens per second, that the instance needs
// for its own forecast demand.
func requiredRate(s quota.State) float64 { return s.Demand * demandMargin }

// HandleRequest handles a request of a peer for a loan, an extension or tokens.
// When the peer requests a new loan, HandleRequest also gives back the loans borrowed
// from it, so that two instances do not lend to each other. The caller sends the
// returned messages.
func (l *Lender) HandleRequest(now time.Time, req loan.Request) (loan.Reply, []Message) {
	a, ok := l.accountsByName()[req.Customer]
	if !ok {
		return loan.Reply{ID: req.ID, At: req.At}, nil
	}
	settings := l.quotaSettings()
	if req.Term <= 0 || req.Term > settings.LoanDuration {
		req.Term = settings.LoanDuration
	}
	if req.Urgent {
		req.Term = min(req.Term, grantTerm)
	}
	reply := loan.Reply{ID: req.ID, At: req.At, Term: req.Term}
	var messages []Message
	if req.Urgent {
		reply.Amount.Level = a.bucket.Grant(now, req, grantReserve(a.bucket.State(now), req.SpareOnly))
	} else {
		if !req.Extend {
			messages = a.returnLoansTo(now, req.Borrower)
		}
		reply.Amount = a.bucket.Lend(now, req, requiredRate(a.bucket.State(now)))
	}
	state := a.bucket.State(now)
	reply.Spare = a.bucket.Spare(now, req.Term, requiredRate(state))
	reply.Spare.Level = max(reply.Spare.Level-grantReserve(state, req.SpareOnly), 0)
	return reply, messages
}

// grantReserve returns the level, in tokens, that the instance retains when a
// peer requests tokens. An instance whose demand exceeds its rate retains part of
// its burst; otherwise the instances of a customer over its rate would only move
// tokens back and forth.
func grantReserve(s quota.State, spareOnly bool) float64 {
	switch {
	case spareOnly:
		return highLevelFraction * s.Effective.Burst
	case s.SlowDemand > s.Effective.Rate:
		return lowLevelFraction * s.Effective.Burst
	}
	return 0
}

// returnLoansTo removes all loans borrowed from the peer and returns the messages
// that give them back.
func (a *account) returnLoansTo(now time.Time, peer string) []Message {
	var ids []uint64
	for _, borrowed := range a.bucket.Borrowed(now) {
		if borrowed.Peer == peer {
			ids = append(ids, borrowed.ID)
		}
	}
	return a.returnLoans(now, ids)
}

// HandleReturn handles the return of a loan, or the usage report of a token grant, from
// a peer.
func (l *Lender) HandleReturn(now time.Time, r loan.Return) {
	a, ok := l.accountsByName()[r.Customer]
	if !ok {
		return
	}
	if r.Urgent {
		a.bucket.SettleGrant(now, r)
		return
	}
	a.bucket.ReclaimLoan(now, r)
}

// HandleReply handles the reply to a request that this instance sent. A reply to a
// request that is no longer pending is dropped, because the lending peer reclaims
// the loan when its term ends. The returned messages report to the peer how many
// of its tokens were deposited in the bucket, or give back tokens that arrive for
// a caller's request that no longer waits.
func (l *Lender) HandleReply(now time.Time, customer string, r loan.Reply) []Message {
	a, ok := l.accountsByName()[customer]
	if !ok {
		return nil
	}
	a.mu.Lock()
	p, found := a.pending[r.ID]
	if !found || p.sentAt.UnixNano() != r.At.UnixNano() {
		a.mu.Unlock()
		return nil
	}
	delete(a.pending, r.ID)
	a.updateHint(now, p.peer, r)
	g := grant{id: r.ID, peer: p.peer, tokens: r.Amount.Level, until: p.sentAt.Add(r.Term)}
	if p.collection != nil {
		defer a.mu.Unlock()
		return p.collection.add(customer, g)
	}
	a.mu.Unlock()
	if p.req.Urgent {
		return a.deposit(now, customer, g)
	}
	if r.Amount.IsEmpty() {
		return nil
	}
	if p.req.Extend {
		a.bucket.ExtendLoan(now, r.ID, p.sentAt.Add(r.Term))
		return nil
	}
	a.bucket.Borrow(now, loan.Loan{
		ID:        r.ID,
		Customer:  customer,
		Peer:      p.peer,
		Amount:    r.Amount,
		ExpiresAt: p.sentAt.Add(r.Term),
	})
	return nil
}

// updateHint stores what the peer reported as spare. Consecutive replies without
// any quota increase the backoff for the peer. The caller must hold a.mu.
func (a *account) updateHint(now time.Time, peer string, r loan.Reply) {
	h := hint{spare: r.Spare, reportedAt: now}
	if r.Amount.IsEmpty() && r.Spare.IsEmpty() {
		h.emptyReplies = a.hints[peer].emptyReplies + 1
	}
	a.hints[peer] = h
}

// Round returns the messages of one background round: extensions of loans that
// are still needed, returns of loans that are not, and requests for rate and
// tokens that the forecast lacks.
func (l *Lender) Round(now time.Time) []Message {
	settings := l.quotaSettings()
	var messages []Message
	for _, name := range l.customerNames() {
		a := l.accountsByName()[name]
		a.expireRequests(now)
		state := a.bucket.State(now)
		messages = append(messages, l.maintainLoans(now, a, name, state, settings.LoanDuration)...)
		messages = append(messages, l.requestRate(now, a, name, state, settings.LoanDuration)...)
		messages = append(messages, l.prefetchTokens(now, a, name, state)...)
	}
	return messages
}

// expireRequests drops requests that got no reply within requestTimeout. Each
// counts as an empty reply of the peer.
func (a *account) expireRequests(now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for id, p := range a.pending {
		if now.Sub(p.sentAt) > requestTimeout {
			delete(a.pending, id)
			h := a.hints[p.peer]
			a.hints[p.peer] = hint{reportedAt: now, emptyReplies: h.emptyReplies + 1}
		}
	}
}

// maintainLoans extends the borrowed loans that are still needed and returns the
// others.
func (l *Lender) maintainLoans(now time.Time, a *account, customer string, state quota.State, term time.Duration) []Message {
	if state.Borrowed.IsEmpty() {
		return nil
	}
	var messages []Message
	var surplus []uint64
	rate := state.Effective.Rate
	lowRate := a.isLowRate(state)
	limit := a.bucket.Limit()
	for _, borrowed := range a.bucket.Borrowed(now) {
		rateWithout := rate - borrowed.Amount.Absolute(limit).Rate
		if rateWithout+minLoanRate >= requiredRate(state)*returnRatio || rate > requiredRate(state)*oversizeRatio || lowRate {
			rate = rateWithout
			surplus = append(surplus, borrowed.ID)
			continue
		}
		messages = append(messages, l.requestExtension(now, a, customer, borrowed, term)...)
	}
	return append(messages, a.returnLoans(now, surplus)...)
}

// requestExtension requests an extension of the loan once at most extensionFraction of its
// term remains.
func (l *Lender) requestExtension(now time.Time, a *account, customer string, borrowed loan.Loan, term time.Duration) []Message {
	if float64(borrowed.ExpiresAt.Sub(now)) > extensionFraction*float64(term) {
		return nil
	}
	req := loan.Request{ID: borrowed.ID, Customer: customer, Borrower: l.Address, Amount: borrowed.Amount, Term: term, Extend: true}
	return []Message{a.register(now, borrowed.Peer, req, nil)}
}

// register records the request as pending and returns the message for the peer. A
// request that is already pending is sent again with its original time, from
// which the term of the loan counts.
func (a *account) register(now time.Time, peer string, req loan.Request, c *Collection) Message {
	a.mu.Lock()
	defer a.mu.Unlock()
	if existing, ok := a.pending[req.ID]; ok {
		return Message{Peer: peer, Request: existing.req}
	}
	req.At = now
	a.pending[req.ID] = pendingRequest{req: req, peer: peer, sentAt: now, collection: c}
	return Message{Peer: peer, Request: req}
}

// requestRate requests from peers the rate that the forecast lacks. It requests
// nothing while the bucket is well filled, so noise in the demand does not move
// quota. It also requests nothing if a loan for the demand would hold fewer than
// two requests; tokens are then collected for each request instead, because many
// small loans leave no peer with enough burst for a single request.
func (l *Lender) requestRate(now time.Time, a *account, customer string, state quota.State, term time.Duration) []Message {
	required := requiredRate(state)
	shortfall := required - state.Effective.Rate
	if state.Demand < minLoanRate || shortfall < required*minShortfallFraction || state.Effective.Level > borrowLevelFraction*state.Effective.Burst || a.isLowRate(state) {
		return nil
	}
	peers := a.choosePeers(now, l.Holders(customer), maxBackgroundPeers, func(h hint) bool { return h.spare.Rate > minLoanRate })
	limit := a.bucket.Limit()
	var messages []Message
	for i, p := range peers {
		if shortfall < minLoanRate {
			break
		}
		rate := a.requestedRate(now, p.Address, shortfall, float64(len(peers)-i))
		shortfall -= rate
		req := loan.Request{ID: l.NewID(), Customer: customer, Borrower: l.Address, Amount: loan.Amount{Rate: rate}.Fractions(limit), Term: term}
		messages = append(messages, a.register(now, p.Address, req, nil))
	}
	return messages
}

// prefetchTokens requests tokens from well-filled peers before the bucket is
// empty. Few requests then wait for tokens, and the buckets of peers do not
// overflow while this one is empty.
func (l *Lender) prefetchTokens(now time.Time, a *account, customer string, state quota.State) []Message {
	if state.Demand < minLoanRate || state.Effective.Level > lowLevelFraction*state.Effective.Burst || state.Effective.Burst <= 0 {
		return nil
	}
	shortfall := highLevelFraction*state.Effective.Burst - state.Effective.Level
	peers := a.choosePeers(now, l.Holders(customer), maxBackgroundPeers, func(h hint) bool { return h.spare.Level > shortfall/maxBackgroundPeers })
	var messages []Message
	for _, p := range peers {
		messages = append(messages, l.requestTokens(now, a, customer, p, shortfall/float64(len(peers)), nil))
	}
	return messages
}

// deposit adds granted tokens to the bucket up to its burst. The returned message
// reports the amount to the lending peer, whose burst stays locked until then.
func (a *account) deposit(now time.Time, customer string, g grant) []Message {
	if g.tokens <= 0 {
		return nil
	}
	added := 0.0
	if now.Before(g.until) {
		added = a.bucket.Deposit(now, g.tokens)
	}
	return []Message{g.usageReport(customer, added)}
}

// isLowRate reports whether a loan of the rate for the slow average of the demand
// has too little burst for minRequestsPerLoan of the largest request.
func (a *account) isLowRate(s quota.State) bool {
	limit := a.bucket.Limit()
	return s.SlowDemand*demandMargin*limit.Burst < minRequestsPerLoan*s.LargestRequest*limit.Rate
}

// requestedRate returns the rate to request from the peer, one of n that are left to
// ask: the rate that it last reported as spare, but at least an even share of the
// shortfall and at most all of it.
func (a *account) requestedRate(now time.Time, peer string, shortfall, n float64) float64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	evenShare := shortfall / n
	h, ok := a.hints[peer]
	if !ok || now.Sub(h.reportedAt) > hintTTL {
		return evenShare
	}
	return min(shortfall, max(h.spare.Rate, evenShare))
}

// choosePeers returns up to n peers to ask. Peers that recently reported spare
// quota come first, then the others by distance. Peers in backoff are left out.
func (a *account) choosePeers(now time.Time, holders []Holder, n int, hasSpare func(h hint) bool) []Holder {
	a.mu.Lock()
	defer a.mu.Unlock()
	var withSpare, others []Holder
	for _, h := range holders {
		last, ok := a.hints[h.Address]
		switch {
		case !ok || now.Sub(last.reportedAt) > hintTTL:
			others = append(others, h)
		case hasSpare(last):
			withSpare = append(withSpare, h)
		case now.Sub(last.reportedAt) >= backoff(last.emptyReplies):
			others = append(others, h)
		}
	}
	withSpare = append(withSpare, others...)
	return withSpare[:min(n, len(withSpare))]
}

// backoff returns the delay before a peer is asked again. It starts at one second
// and doubles with each empty reply up to a limit.
func backoff(emptyReplies int) time.Duration {
	return time.Second << min(emptyReplies, maxBackoffDoublings)
}
