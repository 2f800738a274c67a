// Package pace bounds how many requests go to a cold target in any second,
// over all instances that may send to it.
package pace

import (
	"slices"
	"time"
)

// span is a little over the second that the bound is stated for, since a
// request sent at its end may arrive in the next.
const span = 1200 * time.Millisecond

// Window counts the requests of the last span. The zero value is empty. It is
// not safe for concurrent use.
type Window struct {
	sent []time.Time
}

// Take counts a request and returns true, unless the span has limit of them.
func (w *Window) Take(now time.Time, limit int) bool {
	if !w.Free(now, limit) {
		return false
	}
	w.sent = append(w.sent, now)
	return true
}

// Sent notes that a request that was taken at one time was sent later: making a
// connection may take the better part of a second, and the target counts from
// when the request is sent.
func (w *Window) Sent(taken, sent time.Time) {
	if i := slices.IndexFunc(w.sent, taken.Equal); i >= 0 {
		w.sent = slices.Delete(w.sent, i, i+1)
	}
	w.sent = append(w.sent, sent)
	slices.SortFunc(w.sent, time.Time.Compare)
}

// Free reports whether Take would return true.
func (w *Window) Free(now time.Time, limit int) bool {
	n := 0
	for n < len(w.sent) && now.Sub(w.sent[n]) >= span {
		n++
	}
	w.sent = w.sent[n:]
	return len(w.sent) < limit
}

// Limit returns the part of a fleet-wide bound of perSecond requests that the
// instance of the given rank has among size instances. The parts never add up
// to more than the bound.
func Limit(perSecond float64, size, rank int) int {
	if size <= 0 || perSecond <= 0 {
		return 0
	}
	whole := int(perSecond)
	part := whole / size
	if rank < whole%size {
		part++
	}
	return part
}
