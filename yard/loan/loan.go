// Package loan defines quota that one instance lends to another for a bounded
// time, and the messages that request and return it.
package loan

import "time"

// Amount is an amount of a customer's quota. The zero value is no quota. Where
// its user says so, Rate and Burst are fractions of the customer's limits.
type Amount struct {
	Rate  float64 // tokens per second
	Burst float64 // capacity in tokens
	Level float64 // tokens available now, at most Burst
}

// IsEmpty reports whether no field of the amount is positive.
func (a Amount) IsEmpty() bool { return a.Rate <= 0 && a.Burst <= 0 && a.Level <= 0 }

// Plus returns the sum of a and b.
func (a Amount) Plus(b Amount) Amount {
	return Amount{Rate: a.Rate + b.Rate, Burst: a.Burst + b.Burst, Level: a.Level + b.Level}
}

// Positive returns the amount with its negative fields set to 0.
func (a Amount) Positive() Amount {
	return Amount{Rate: max(a.Rate, 0), Burst: max(a.Burst, 0), Level: max(a.Level, 0)}
}

// Absolute converts an amount whose Rate and Burst are fractions of limit into absolute
// values. It is the inverse of Fractions.
func (a Amount) Absolute(limit Amount) Amount {
	return Amount{Rate: a.Rate * limit.Rate, Burst: a.Burst * limit.Burst, Level: a.Level}
}

// Fractions returns the amount with Rate and Burst as fractions of limit. Level stays
// in tokens. A fraction is 0 where limit is not positive.
func (a Amount) Fractions(limit Amount) Amount {
	out := Amount{Level: a.Level}
	if limit.Rate > 0 {
		out.Rate = a.Rate / limit.Rate
	}
	if limit.Burst > 0 {
		out.Burst = a.Burst / limit.Burst
	}
	return out
}

// Loan is quota lent until a given time. Rate and Burst of its Amount are
// fractions of the customer's limits, because lender and borrower may apply a
// document that changes the limits at different times. Level is in tokens.
// ExpiresAt is on the clock of the instance that holds the value: the borrower
// counts the term from the time of its request, and the lender reclaims the loan
// later.
type Loan struct {
	ID        uint64
	Customer  string
	Peer      string // peer address of the other instance
	Amount    Amount
	ExpiresAt time.Time
}

// Request asks a peer for a new loan, or for an extension of the loan with the same
// ID. An Urgent request is for tokens only, such as those that a waiting request
// uses at once. Rate and Burst of Amount are fractions of the customer's limits,
// as in Loan. A Request is idempotent. The borrower counts the term of the loan
// from At. Because the reply echoes At, the reply to an earlier extension is never
// taken for the reply to a later one.
type Request struct {
	ID        uint64
	Customer  string
	Borrower  string // peer address
	Amount    Amount
	Term      time.Duration
	At        time.Time // on the borrower's clock
	Extend    bool
	Urgent    bool
	SpareOnly bool // for an urgent request: only tokens that the lender does not need soon
}

// Reply answers a Request. Amount is the quota that was lent, which may be none; its
// Rate and Burst are fractions of the customer's limits. Spare is what the lender
// could lend in addition; its Rate and Burst are not fractions.
type Reply struct {
	ID     uint64
	At     time.Time     // copied from the Request
	Term   time.Duration // granted by the lender, counted from At
	Amount Amount
	Spare  Amount
}

// Return gives a loan back to its lender before the loan ends, with the tokens left
// of it. For tokens from an urgent request, it reports how many were used in total.
// Repeated or reordered reports are harmless, because the smallest UsedTokens
// counts.
type Return struct {
	ID             uint64
	Customer       string
	Urgent         bool
	ReturnedTokens float64 // for a loan: tokens returned
	UsedTokens     float64 // for an urgent request: tokens used
}
