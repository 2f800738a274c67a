// Package lender moves quota between instances to where the demand is. A Lender
// holds the buckets of all customers of an instance, requests missing quota from
// peers, answers the requests of peers, and returns quota that is no longer
// needed. The package makes decisions only; its caller transports the messages.
package lender

import (
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"chervilyard.example/yard/document"
	"chervilyard.example/yard/loan"
	"chervilyard.example/yard/quota"
	"chervilyard.example/yard/seat"
)

// Holder is a peer that may have quota of a customer to lend.
type Holder struct {
	Address string // peer address
}

// Message is a message to a peer. Exactly one of Request and Return is set.
type Message struct {
	Peer    string       // peer address
	Request loan.Request // set if Return.ID is 0
	Return  loan.Return  // set if Return.ID is not 0
}

// Lender holds the buckets of one instance. Its exported fields must be set
// before use and not changed afterwards. A Lender is safe for concurrent use.
type Lender struct {
	Address string // peer address of this instance
	Centre  string // data centre of this instance

	// Holders returns the peers that may hold quota of the customer, nearest first.
	Holders func(customer string) []Holder
	// NewID returns identifiers that are unique over all instances.
	NewID func() uint64

	accounts atomic.Pointer[map[string]*account] // by customer name; a stored map is not modified

	mu             sync.Mutex // guards the fields below and changes of accounts
	doc            *document.Document
	priorDocuments []priorDocument
	holdings       []seat.Holding
}

// priorDocument is an earlier document. An unreachable instance may still use its
// division of quota until the given time.
type priorDocument struct {
	doc   *document.Document
	until time.Time
}

// account is the bucket of one customer with its pending requests.
type account struct {
	bucket quota.Bucket

	mu        sync.Mutex                // guards the fields below and the collections of the customer
	pending   map[uint64]pendingRequest // by request ID
	hints     map[string]hint           // by peer address
	exhausted exhaustion
}

// exhaustion records that the peers recently could not provide a number of
// tokens. Until it expires, no peer is asked for a request of as many or more
// tokens.
type exhaustion struct {
	tokens float64
	until  time.Time
}

// pendingRequest is a request that a peer has not answered yet.
type pendingRequest struct {
	req        loan.Request
	peer       string
	sentAt     time.Time
	collection *Collection // of the waiting caller's request; nil for a background request
}

// hint is the spare quota that a peer last reported.
type hint struct {
	spare        loan.Amount
	reportedAt   time.Time
	emptyReplies int // consecutive requests that got nothing
}

// Reservation is the quota that one request holds until it is settled. The zero
// value holds nothing.
type Reservation struct {
	Customer string
	ticket   quota.Ticket
	tokens   float64 // total, including grants
	grants   []grant // from peers
}

// Apply applies a new document. A share that the document enlarges keeps its
// smaller size until no instance can still use an earlier document.
func (l *Lender) Apply(now time.Time, d *document.Document) {
	l.mu.Lock()
	defer l.mu.Unlock()
	previous := l.doc
	if previous != nil {
		l.priorDocuments = append(l.priorDocuments, priorDocument{doc: previous, until: now.Add(previous.Quota().KeptLease)})
	}
	l.priorDocuments = slices.DeleteFunc(l.priorDocuments, func(p priorDocument) bool { return !now.Before(p.until) })
	l.doc = d
	oldAccounts := l.accountsByName()
	newAccounts := make(map[string]*account)
	for _, c := range d.Customers() {
		a, ok := oldAccounts[c.Name()]
		if !ok {
			a = &account{
				pending: make(map[uint64]pendingRequest),
				hints:   make(map[string]hint),
			}
		}
		a.bucket.Configure(now, c.Rate(), c.Burst(), d.Quota().UnlentFraction, d.Quota().MaxClockDrift)
		newAccounts[c.Name()] = a
		l.updateShares(now, c.Name(), a, !ok && previous != nil && !l.knewCustomer(c.Name()))
	}
	l.accounts.Store(&newAccounts)
}

// knewCustomer reports whether an earlier document that is still in force has the
// customer.
func (l *Lender) knewCustomer(customer string) bool {
	return slices.ContainsFunc(l.priorDocuments, func(p priorDocument) bool {
		_, ok := p.doc.Customer(customer)
		return ok
	})
}

// SetHoldings replaces the holdings whose quota the instance may use.
func (l *Lender) SetHoldings(now time.Time, holdings []seat.Holding) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.holdings = holdings
	for name, a := range l.accountsByName() {
		l.updateShares(now, name, a, false)
	}
}

// updateShares sets the shares of the customer's bucket from the holdings. If isNew
// is true, no instance has had quota of the customer before, so the shares start
// full. The caller must hold l.mu.
func (l *Lender) updateShares(now time.Time, customer string, a *account, isNew bool) {
	shares := make([]quota.Share, 0, len(l.holdings))
	for _, h := range l.holdings {
		shares = append(shares, quota.Share{
			ID:                h.ID(),
			Fraction:          l.fraction(now, customer, h),
			ExpiresAt:         h.ExpiresAt,
			RetainedOnlyUntil: h.RetainedOnlyUntil,
			InitialFill:       initialFill(h, customer, isNew),
		})
	}
	a.bucket.SetShares(now, shares)
}

// initialFill returns the level with which the share of a holding starts, as a
// fraction of its burst.
func initialFill(h seat.Holding, customer string, isNew bool) float64 {
	if isNew {
		return 1
	}
	if !h.Fresh || !h.DefaultFull {
		return 0
	}
	if level, ok := h.InitialLevels[customer]; ok {
		return min(max(level, 0), 1)
	}
	return 1
}

// fraction returns the smallest fraction of the customer's quota that the
// documents in force assign to the held part of a seat. The caller must hold l.mu.
func (l *Lender) fraction(now time.Time, customer string, h seat.Holding) float64 {
	smallest := documentFraction(l.doc, customer, l.Centre, h)
	for _, p := range l.priorDocuments {
		if _, ok := p.doc.Customer(customer); ok && now.Before(p.until) {
			smallest = min(smallest, documentFraction(p.doc, customer, l.Centre, h))
		}
	}
	return smallest
}

// documentFraction returns the fraction of the customer's quota that the document
// assigns to the held part of a seat.
func documentFraction(d *document.Document, customer, centre string, h seat.Holding) float64 {
	seatFraction := d.Share(customer, centre, h.Seat)
	if h.Class == seat.ClassKept {
		return seatFraction * d.Quota().KeptFraction
	}
	return seatFraction * (1 - d.Quota().KeptFraction)
}

// Admit reserves n tokens of the customer. It returns false if the instance does
// not have them now or the customer is unknown.
func (l *Lender) Admit(now time.Time, customer string, n float64) (Reservation, bool) {
	a, ok := l.accountsByName()[customer]
	if !ok {
		return Reservation{}, false
	}
	t, ok := a.bucket.Take(now, n)
	return Reservation{Customer: customer, ticket: t, tokens: n}, ok
}

// RefillTime returns how long the instance's own rate takes to provide n tokens of
// the customer. It returns false if it never does or the customer is unknown.
func (l *Lender) RefillTime(now time.Time, customer string, n float64) (time.Duration, bool) {
	a, ok := l.accountsByName()[customer]
	if !ok {
		return 0, false
	}
	return a.bucket.RefillTime(now, n)
}

// Settle replaces a reservation by the tokens used. Unused tokens go back to the
// bucket and to the granting peers, in proportion to what each provided; the
// returned messages report the use to those peers. Use beyond the reservation is
// taken from the bucket.
func (l *Lender) Settle(now time.Time, r Reservation, used float64) []Message {
	a, ok := l.accountsByName()[r.Customer]
	if !ok {
		return nil
	}
	if len(r.grants) == 0 || used >= r.tokens {
		usedOwn := used - (r.tokens - r.ticket.Tokens)
		a.bucket.Settle(now, r.ticket, usedOwn)
		return nil
	}
	usedFraction := used / r.tokens
	a.bucket.Settle(now, r.ticket, r.ticket.Tokens*usedFraction)
	messages := make([]Message, 0, len(r.grants))
	for _, g := range r.grants {
		if g.tokens > 0 {
			messages = append(messages, g.usageReport(r.Customer, g.tokens*usedFraction))
		}
	}
	return messages
}

// State returns the state of a customer's bucket, or the zero State if the
// customer is unknown.
func (l *Lender) State(now time.Time, customer string) quota.State {
	a, ok := l.accountsByName()[customer]
	if !ok {
		return quota.State{}
	}
	return a.bucket.State(now)
}

// ReleaseLevels returns the level of each bucket that is not full, by customer, as a
// fraction of the larger of its seats' burst and its current burst. The fractions are
// stored when a seat is released and give the initial levels of the next holder. That
// holder never starts with more tokens than this bucket loses: borrowed burst holds
// its portion of the level, and a bucket without seats has a fraction of 0.
func (l *Lender) ReleaseLevels(now time.Time) map[string]float64 {
	levels := make(map[string]float64)
	for name, a := range l.accountsByName() {
		s := a.bucket.State(now)
		fraction := 0.0
		if s.Own.Burst > 0 {
			fraction = max(s.Effective.Level, 0) / max(s.Own.Burst, s.Effective.Burst)
		}
		if fraction < 1 {
			levels[name] = fraction
		}
	}
	return levels
}

// RemainingLoanTime returns the time until the last lent loan ends, or 0 if none is
// outstanding.
func (l *Lender) RemainingLoanTime(now time.Time) time.Duration {
	longest := time.Duration(0)
	for _, a := range l.accountsByName() {
		longest = max(longest, a.bucket.RemainingLoanTime(now))
	}
	return longest
}

// ReturnAllLoans removes all borrowed loans. The caller sends the returned messages,
// which give them back, to the lenders.
func (l *Lender) ReturnAllLoans(now time.Time) []Message {
	var messages []Message
	for _, a := range l.accountsByName() {
		var ids []uint64
		for _, borrowed := range a.bucket.Borrowed(now) {
			ids = append(ids, borrowed.ID)
		}
		messages = append(messages, a.returnLoans(now, ids)...)
	}
	return messages
}

func (l *Lender) accountsByName() map[string]*account {
	if p := l.accounts.Load(); p != nil {
		return *p
	}
	return nil
}

func (l *Lender) quotaSettings() document.QuotaSettings {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.doc == nil {
		return document.QuotaSettings{}
	}
	return l.doc.Quota()
}

// customerNames returns the customers in sorted order, which makes simulation runs
// reproducible.
func (l *Lender) customerNames() []string { return slices.Sorted(maps.Keys(l.accountsByName())) }

// returnLoans removes the borrowed loans with the given IDs and returns the
// messages for their lenders.
func (a *account) returnLoans(now time.Time, ids []uint64) []Message {
	if len(ids) == 0 {
		return nil
	}
	lenders := make(map[uint64]string)
	for _, borrowed := range a.bucket.Borrowed(now) {
		lenders[borrowed.ID] = borrowed.Peer
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	var messages []Message
	for _, id := range ids {
		r, ok := a.bucket.ReturnLoan(now, id)
		if !ok {
			continue
		}
		messages = append(messages, Message{Peer: lenders[id], Return: r})
	}
	return messages
}
