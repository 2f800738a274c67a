// Package coldlimit limits the rate of requests to a cold target with a sliding
// window, over all instances that may send to it.
package coldlimit

import (
	"slices"
	"time"
)

// windowLength is longer than the second to which a limit applies, since requests
// sent more than a second apart may arrive within one second.
const windowLength = 1200 * time.Millisecond

// Window records the requests sent within windowLength. The zero value is empty.
// It is not safe for concurrent use.
type Window struct {
	sent []time.Time // ascending
}

// Take records a request and returns true, unless the window already has limit
// requests.
func (w *Window) Take(now time.Time, limit int) bool {
	if !w.Allows(now, limit) {
		return false
	}
	w.sent = append(w.sent, now)
	return true
}

// MoveTo moves the request that was recorded at taken to sent, the time at which it
// was actually sent. Connecting can take most of a second, and the limit applies
// to the time of sending.
func (w *Window) MoveTo(taken, sent time.Time) {
	if i := slices.IndexFunc(w.sent, taken.Equal); i >= 0 {
		w.sent = slices.Delete(w.sent, i, i+1)
	}
	w.Add(sent)
}

// Add records a request sent at sent, even if the window is full. It is for a request
// that was allowed before the target became cold.
func (w *Window) Add(sent time.Time) {
	w.sent = append(w.sent, sent)
	slices.SortFunc(w.sent, time.Time.Compare)
}

// Allows reports whether Take would return true. It drops expired requests.
func (w *Window) Allows(now time.Time, limit int) bool {
	expired := 0
	for expired < len(w.sent) && now.Sub(w.sent[expired]) >= windowLength {
		expired++
	}
	w.sent = w.sent[expired:]
	return len(w.sent) < limit
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
