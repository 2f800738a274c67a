// Package loan is quota that one instance lends another for a bounded time,
// and the messages that ask for it and give it back.
package loan

import "time"

// Amount is a piece of a customer's quota. The zero value is none.
type Amount struct {
	Rate  float64 // tokens a second
	Burst float64 // tokens that may be held
	Level float64 // tokens held now, at most Burst
}

// None reports whether the amount moves nothing.
func (a Amount) None() bool { return a.Rate <= 0 && a.Burst <= 0 && a.Level <= 0 }

// Plus returns the sum of two amounts.
func (a Amount) Plus(b Amount) Amount {
	return Amount{Rate: a.Rate + b.Rate, Burst: a.Burst + b.Burst, Level: a.Level + b.Level}
}

// Positive returns the amount with its negative pieces as 0.
func (a Amount) Positive() Amount {
	return Amount{Rate: max(a.Rate, 0), Burst: max(a.Burst, 0), Level: max(a.Level, 0)}
}

// Of returns the tokens of an amount whose Rate and Burst are parts of a whole.
func (a Amount) Of(whole Amount) Amount {
	return Amount{Rate: a.Rate * whole.Rate, Burst: a.Burst * whole.Burst, Level: a.Level}
}

// Parts returns the amount with Rate and Burst as parts of a whole.
func (a Amount) Parts(whole Amount) Amount {
	out := Amount{Level: a.Level}
	if whole.Rate > 0 {
		out.Rate = a.Rate / whole.Rate
	}
	if whole.Burst > 0 {
		out.Burst = a.Burst / whole.Burst
	}
	return out
}

// Loan is an amount lent for a time. Rate and Burst of its Amount are parts of
// the customer's whole, so that lender and borrower follow a document that
// changes the whole at different times; Level is in tokens. Until is on the clock of whoever holds
// the value: a borrower counts from when it asked, a lender takes back later.
type Loan struct {
	ID       uint64
	Customer string
	Peer     string // the other side's peer address
	Amount   Amount
	Until    time.Time
}

// Ask asks a peer for a new loan, or to extend the one with the same ID. An
// Urgent ask is for tokens alone, which a waiting request uses at once. Rate and
// Burst of Amount are parts of the customer's whole, as in the Reply. Repeating an Ask is harmless. The
// loan's term counts for the borrower from At, so that an answer to an earlier
// extension never passes for one to a later.
type Ask struct {
	ID       uint64
	Customer string
	Borrower string
	Amount   Amount
	Term     time.Duration
	At       time.Time // on the borrower's clock, echoed by the Reply
	Extend   bool
	Urgent   bool
	Spare    bool // of an urgent ask: only what the lender does not need soon
}

// Reply answers an Ask with what was lent, which may be nothing, and with what
// the lender could still spare.
type Reply struct {
	ID     uint64
	At     time.Time     // of the Ask
	Term   time.Duration // that the lender granted, from At
	Amount Amount
	Spare  Amount
}

// Return gives a loan back before its time, with the tokens left of it. For
// tokens that an urgent ask brought, it tells how many are used in all; repeats
// and crossings of such a message are harmless, since the least Used counts.
type Return struct {
	ID       uint64
	Customer string
	Urgent   bool
	Level    float64 // of a loan
	Used     float64 // of tokens that an urgent ask brought
}
