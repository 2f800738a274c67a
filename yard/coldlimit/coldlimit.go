// Package coldlimit limits the rate of requests to a cold target with a sliding
// window, over all instances that may send to it.
package coldlimit

import (
	"slices"
	"time"
)

// WindowLength is how long a sent request counts. It is longer than the second to
// which a limit applies, since requests sent more than a second apart may arrive within
// one second.
const WindowLength = 1200 * time.Millisecond

// Window counts the requests that are about to be sent, and those sent within
// WindowLength. A reserved request counts from Reserve until WindowLength after Sent:
// connecting can take most of a second, and a process may stall at any point. The zero value
// is empty. It is not safe for concurrent use.
type Window struct {
	reserved int
	sent     []time.Time // ascending
}

// Clone returns a copy that shares nothing with w.
func (w *Window) Clone() Window { return Window{reserved: w.reserved, sent: slices.Clone(w.sent)} }

// Reserve counts a request that is about to be sent and returns true, unless the window
// already has limit requests. Those that were sent before since do not count. Sent or Release
// must follow.
func (w *Window) Reserve(now, since time.Time, limit int) bool {
	if !w.Allows(now, since, limit) {
		return false
	}
	w.reserved++
	return true
}

// Sent records that a reserved request has been sent, at now at the latest.
func (w *Window) Sent(now time.Time) {
	w.Release()
	w.Record(now)
}

// Record records that a request without a reservation has been sent, at now at the latest.
func (w *Window) Record(now time.Time) {
	w.expire(now)
	w.sent = append(w.sent, now)
}

// Forget stops counting one request that was recorded as sent at a time.
func (w *Window) Forget(at time.Time) {
	if i := slices.IndexFunc(w.sent, at.Equal); i >= 0 {
		w.sent = slices.Delete(w.sent, i, i+1)
	}
}

// Release stops counting a reserved request, which was not sent.
func (w *Window) Release() { w.reserved = max(w.reserved-1, 0) }

// Allows reports whether Reserve would return true. It drops expired requests.
func (w *Window) Allows(now, since time.Time, limit int) bool {
	w.expire(now)
	n := w.reserved
	for i := len(w.sent) - 1; i >= 0 && !w.sent[i].Before(since); i-- {
		n++
	}
	return n < limit
}

func (w *Window) expire(now time.Time) {
	expired := 0
	for expired < len(w.sent) && now.Sub(w.sent[expired]) >= WindowLength {
		expired++
	}
	w.sent = w.sent[expired:]
}

// InstanceLimit returns the share of a limit of perSecond requests per second for
// the instance with index rank, from 0, of size instances. The shares are whole
// numbers and add up to perSecond rounded down. The share is 0 if size or perSecond
// is not positive.
func InstanceLimit(perSecond float64, size, rank int) int {
	if size <= 0 || perSecond <= 0 {
		return 0
	}
	total := int(perSecond)
	share := total / size
	if rank < total%size {
		share++
	}
	return share
}
