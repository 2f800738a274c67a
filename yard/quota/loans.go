package quota

import (
	"slices"
	"time"

	"chervilyard.example/yard/loan"
)

// loans is a list of loans in the order of their creation. The fixed order makes
// the floating-point sums, and all decisions that depend on them, reproducible.
// The zero value is empty.
type loans []loan.Loan

func (l loans) index(id uint64) int {
	return slices.IndexFunc(l, func(item loan.Loan) bool { return item.ID == id })
}

// find returns the loan with the given ID.
func (l loans) find(id uint64) (loan.Loan, bool) {
	i := l.index(id)
	if i < 0 {
		return loan.Loan{}, false
	}
	return l[i], true
}

// put adds a loan or replaces the loan that has the same ID.
func (l *loans) put(item loan.Loan) {
	if i := l.index(item.ID); i >= 0 {
		(*l)[i] = item
		return
	}
	*l = append(*l, item)
}

// remove deletes the loan with the given ID, if present.
func (l *loans) remove(id uint64) {
	*l = slices.DeleteFunc(*l, func(item loan.Loan) bool { return item.ID == id })
}

// expire deletes the loans whose ExpiresAt is not after now.
func (l *loans) expire(now time.Time) {
	*l = slices.DeleteFunc(*l, func(item loan.Loan) bool { return !now.Before(item.ExpiresAt) })
}

// fractions returns the summed Rate and Burst of the loans as fractions of the
// customer's limits.
func (l loans) fractions() loan.Amount {
	var sum loan.Amount
	for _, item := range l {
		sum.Rate += item.Amount.Rate
		sum.Burst += item.Amount.Burst
	}
	return sum
}
