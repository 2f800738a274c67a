// Package lender moves quota between instances toward demand: it holds an
// instance's buckets of all customers, asks peers for what is short, answers
// their asks, and gives back what is no longer needed. It decides; carrying the
// messages is its owner's work.
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

// Letter is a message to a peer.
type Letter struct {
	Peer   string
	Ask    loan.Ask    // where Return.ID is 0
	Return loan.Return // where Return.ID is not 0
}

// Lender holds the buckets of one instance. Its fields are set before use and
// not changed. It is safe for concurrent use.
type Lender struct {
	Address string // peer address of this instance
	Centre  string

	// Holders returns the peers that may hold quota of the customer, nearest first.
	Holders func(customer string) []Holder
	// Random returns identifiers that no other instance returns.
	Random func() uint64

	accounts atomic.Pointer[map[string]*account]

	mu     sync.Mutex
	doc    *document.Document
	priors []prior
	titles []seat.Title
}

// prior is an earlier document whose division of quota an unreachable instance
// may still use.
type prior struct {
	doc   *document.Document
	until time.Time
}

// account is one customer's bucket with what is on the way.
type account struct {
	bucket quota.Bucket

	mu    sync.Mutex
	asked map[uint64]pending
	hints map[string]hint
	dry   dryness
}

// dryness remembers that the peers together lately could not bring a number of
// tokens together, so that the next request is refused without asking again.
type dryness struct {
	tokens float64
	until  time.Time
}

// pending is an ask without a reply.
type pending struct {
	ask  loan.Ask
	peer string
	at   time.Time
	pot  *Pot // of the request that waits, for an urgent ask
}

// hint is what a peer last said it could spare.
type hint struct {
	spare loan.Amount
	at    time.Time
	tries int // asks in a row that got nothing
}

// Reservation is what one request holds until it is settled. The zero value
// holds nothing.
type Reservation struct {
	Customer string
	ticket   quota.Ticket
	tokens   float64 // in all
	grants   []grant // of peers
}

// Apply takes a new document in. Parts that grow by it wait until no instance
// can still use the division of an earlier one.
func (l *Lender) Apply(now time.Time, d *document.Document) {
	l.mu.Lock()
	defer l.mu.Unlock()
	old := l.doc
	if old != nil {
		l.priors = append(l.priors, prior{doc: old, until: now.Add(old.Terms().Hold)})
	}
	l.priors = slices.DeleteFunc(l.priors, func(p prior) bool { return !now.Before(p.until) })
	l.doc = d
	before := l.all()
	next := make(map[string]*account)
	for _, c := range d.Customers() {
		a, ok := before[c.Name()]
		if !ok {
			a = &account{
				asked: make(map[uint64]pending),
				hints: make(map[string]hint),
			}
		}
		a.bucket.Configure(now, c.Rate(), c.Burst(), d.Terms().Floor, d.Terms().Drift)
		next[c.Name()] = a
		l.hold(now, c.Name(), a, !ok && old != nil && !l.knew(c.Name()))
	}
	l.accounts.Store(&next)
}

// knew reports whether an earlier document that still counts had the customer.
func (l *Lender) knew(customer string) bool {
	return slices.ContainsFunc(l.priors, func(p prior) bool {
		_, ok := p.doc.Customer(customer)
		return ok
	})
}

// Hold takes in the parts that the instance may use from now on.
func (l *Lender) Hold(now time.Time, titles []seat.Title) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.titles = titles
	for name, a := range l.all() {
		l.hold(now, name, a, false)
	}
}

// hold gives a bucket its parts; first means that no instance ever had quota
// of the customer, so that its parts start full.
func (l *Lender) hold(now time.Time, customer string, a *account, first bool) {
	parts := make([]quota.Part, 0, len(l.titles))
	for _, t := range l.titles {
		parts = append(parts, quota.Part{
			ID:       t.ID(),
			Fraction: l.fraction(now, customer, t),
			Until:    t.Until,
			Lean:     t.Lean,
			Level:    level(t, customer, first),
		})
	}
	a.bucket.Hold(now, parts)
}

func level(t seat.Title, customer string, first bool) float64 {
	if first {
		return 1
	}
	if !t.Fresh || !t.Full {
		return 0
	}
	if drawn, ok := t.Drawn[customer]; ok {
		return min(max(drawn, 0), 1)
	}
	return 1
}

// fraction returns the least fraction that the documents in force give.
func (l *Lender) fraction(now time.Time, customer string, t seat.Title) float64 {
	f := share(l.doc, customer, l.Centre, t)
	for _, p := range l.priors {
		if _, ok := p.doc.Customer(customer); ok && now.Before(p.until) {
			f = min(f, share(p.doc, customer, l.Centre, t))
		}
	}
	return f
}

func share(d *document.Document, customer, centre string, t seat.Title) float64 {
	whole := d.Part(customer, centre, t.Seat)
	if t.Class == seat.Kept {
		return whole * d.Terms().Kept
	}
	return whole * (1 - d.Terms().Kept)
}

// Admit reserves n tokens of the customer, or reports that the instance does
// not hold them now.
func (l *Lender) Admit(now time.Time, customer string, n float64) (Reservation, bool) {
	a, ok := l.all()[customer]
	if !ok {
		return Reservation{}, false
	}
	t, ok := a.bucket.Take(now, n)
	return Reservation{Customer: customer, ticket: t, tokens: n}, ok
}

// Refill returns how long the customer's tokens need to come by the instance's
// own rate, or false where they never do.
func (l *Lender) Refill(now time.Time, customer string, n float64) (time.Duration, bool) {
	a, ok := l.all()[customer]
	if !ok {
		return 0, false
	}
	return a.bucket.Wait(now, n)
}

// Settle replaces a reservation by the tokens used. What is not used goes back
// to where it came from, in proportion; the letters tell the peers among them.
func (l *Lender) Settle(now time.Time, r Reservation, used float64) []Letter {
	a, ok := l.all()[r.Customer]
	if !ok {
		return nil
	}
	if len(r.grants) == 0 || used >= r.tokens {
		own := used - (r.tokens - r.ticket.Tokens)
		a.bucket.Settle(now, r.ticket, own)
		return nil
	}
	part := used / r.tokens
	a.bucket.Settle(now, r.ticket, r.ticket.Tokens*part)
	letters := make([]Letter, 0, len(r.grants))
	for _, g := range r.grants {
		if g.tokens > 0 {
			letters = append(letters, g.letter(r.Customer, g.tokens*part))
		}
	}
	return letters
}

// State returns the reading of a customer's bucket.
func (l *Lender) State(now time.Time, customer string) quota.State {
	a, ok := l.all()[customer]
	if !ok {
		return quota.State{}
	}
	return a.bucket.Read(now)
}

// Drawn returns the level of each customer that is not full, as a fraction of
// what its seats hold, for the record that a release leaves. It is never more
// than what the bucket drops with a part: borrowed burst holds its share of the
// level, and where nothing is owned any more, nothing is left.
func (l *Lender) Drawn(now time.Time) map[string]float64 {
	drawn := make(map[string]float64)
	for name, a := range l.all() {
		s := a.bucket.Read(now)
		f := 0.0
		if s.Own.Burst > 0 {
			f = max(s.Now.Level, 0) / max(s.Own.Burst, s.Now.Burst)
		}
		if f < 1 {
			drawn[name] = f
		}
	}
	return drawn
}

// Outstanding returns how long the last loan that was lent still runs.
func (l *Lender) Outstanding(now time.Time) time.Duration {
	longest := time.Duration(0)
	for _, a := range l.all() {
		longest = max(longest, a.bucket.Outstanding(now))
	}
	return longest
}

// GiveAll gives every borrowed loan back.
func (l *Lender) GiveAll(now time.Time) []Letter {
	var letters []Letter
	for _, a := range l.all() {
		var ids []uint64
		for _, one := range a.bucket.Borrowed(now) {
			ids = append(ids, one.ID)
		}
		letters = append(letters, a.giveBack(now, ids)...)
	}
	return letters
}

func (l *Lender) all() map[string]*account {
	if p := l.accounts.Load(); p != nil {
		return *p
	}
	return nil
}

func (l *Lender) terms() document.Terms {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.doc == nil {
		return document.Terms{}
	}
	return l.doc.Terms()
}

// names returns the customers in a fixed order, so that a run repeats.
func (l *Lender) names() []string { return slices.Sorted(maps.Keys(l.all())) }

// giveBack returns the loans of the IDs to their lenders.
func (a *account) giveBack(now time.Time, ids []uint64) []Letter {
	if len(ids) == 0 {
		return nil
	}
	lenders := make(map[uint64]string)
	for _, one := range a.bucket.Borrowed(now) {
		lenders[one.ID] = one.Peer
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	var letters []Letter
	for _, id := range ids {
		r, ok := a.bucket.GiveBack(now, id)
		if !ok {
			continue
		}
		letters = append(letters, Letter{Peer: lenders[id], Return: r})
	}
	return letters
}
