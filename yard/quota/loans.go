package quota

import (
	"slices"
	"time"

	"chervilyard.example/yard/loan"
)

// loans are kept in the order in which they were made, so that their sums, and
// with them every decision, are the same in each run. The zero value is empty.
type loans []loan.Loan

func (l loans) index(id uint64) int {
	return slices.IndexFunc(l, func(one loan.Loan) bool { return one.ID == id })
}

// find returns the loan of the ID.
func (l loans) find(id uint64) (loan.Loan, bool) {
	i := l.index(id)
	if i < 0 {
		return loan.Loan{}, false
	}
	return l[i], true
}

// put adds a loan, or replaces the one with its ID.
func (l *loans) put(one loan.Loan) {
	if i := l.index(one.ID); i >= 0 {
		(*l)[i] = one
		return
	}
	*l = append(*l, one)
}

// remove drops the loan of the ID.
func (l *loans) remove(id uint64) {
	*l = slices.DeleteFunc(*l, func(one loan.Loan) bool { return one.ID == id })
}

// expire drops the loans whose time is over.
func (l *loans) expire(now time.Time) {
	*l = slices.DeleteFunc(*l, func(one loan.Loan) bool { return !now.Before(one.Until) })
}

// parts returns the sums of what the loans give, as parts of the whole.
func (l loans) parts() loan.Amount {
	var sum loan.Amount
	for _, one := range l {
		sum.Rate += one.Amount.Rate
		sum.Burst += one.Amount.Burst
	}
	return sum
}
