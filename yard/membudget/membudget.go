// Package membudget bounds the memory that an instance holds for requests.
//
// Each request reserves bytes before it holds them. Once the budget is used up, the request
// that has received nothing for the longest time is ended, and others wait until bytes are
// returned. The package decides; its callers do the waiting.
package membudget

import (
	"container/list"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"
)

// Kind is what the bytes of a reservation are held for.
type Kind int

// The kinds of reservations.
const (
	Bodies    Kind = iota // of requests that callers send
	Retries               // bodies that are kept while a response arrives, for a retry
	Responses             // that are buffered, or not complete
	Forwarded             // bodies of requests that instances forward to each other
	kinds
)

var kindNames = [kinds]string{"bodies", "retries", "responses", "forwarded"}

// String returns the name of the kind in logs and metrics.
func (k Kind) String() string { return kindNames[k] }

// Kinds returns all kinds.
func Kinds() []Kind { return []Kind{Bodies, Retries, Responses, Forwarded} }

const (
	// StallTime is how long a request may receive nothing before it can be ended in favour of
	// others: more than a retransmission takes between regions.
	StallTime = 250 * time.Millisecond
	// UnreadTime is how long the caller of a response may take nothing of it before it can be
	// ended in favour of others. A caller that reads slowly lets bytes arrive in steps of up
	// to a sixteenth of its buffer, or of one segment.
	UnreadTime = 2 * time.Second
	// unreadScanInterval is the shortest time between two searches for such responses, which
	// look at all that are being written.
	unreadScanInterval = 100 * time.Millisecond
	// MinProgress is how many bytes count as progress. Callers that send single bytes hold
	// memory as long as those that send nothing.
	MinProgress = 1 << 10
	// FirstBytes is the size of the first reservation of a request that has a part of the
	// budget for itself, so that short requests are served while long ones use up the rest.
	FirstBytes = 4 << 10
)

// Budget counts and bounds the bytes that are held for requests. The zero value has no bound.
// A nil *Budget counts nothing. A Budget is safe for concurrent use.
type Budget struct {
	mu      sync.Mutex
	limit   int64 // 0 for no bound
	sum     int64
	held    [kinds]int64
	ending  int64          // bytes of reservations that were ended and not closed yet
	wanted  int64          // bytes that are waited for
	arrival list.List      // of *Reservation that can be ended, the one that has received nothing for longest first
	waiting []*Reservation // in the order in which they are served

	written  map[*Reservation]struct{} // responses that are being written, which can be ended
	nextScan time.Time                 // no search for unread ones before it
}

// Reservation is the memory of one request. A nil *Reservation holds nothing and is granted
// everything. It is used by one goroutine at a time.
type Reservation struct {
	budget   *Budget
	kind     Kind
	held     int64
	end      func()
	ended    bool
	element  *list.Element // in arrival; nil if it cannot be ended
	lastAt   time.Time     // of the last progress
	received int           // bytes since then
	wanted   int64
	granted  chan struct{} // closed when wanted has been granted; nil if it does not wait
	// unreadSince is set for a response that is being written; see Write.
	unreadSince func(now time.Time) (time.Time, bool)
}

// SetLimit sets the bound in bytes, 0 for none. It does not affect what is held already.
func (b *Budget) SetLimit(now time.Time, bytes int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.limit = bytes
	b.grantWaiting(now)
}

// Limit returns the bound in bytes, 0 for none.
func (b *Budget) Limit() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.limit
}

// Bounded reports whether there is a bound.
func (b *Budget) Bounded() bool { return b != nil && b.Limit() > 0 }

// Held returns the bytes that are held for a kind.
func (b *Budget) Held(k Kind) int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.held[k]
}

// Describe returns the bytes held by kind and the bound, for logs.
func (b *Budget) Describe() string {
	if b == nil {
		return ""
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	var text strings.Builder
	for _, k := range Kinds() {
		fmt.Fprintf(&text, "%s=%d ", k, b.held[k])
	}
	fmt.Fprintf(&text, "sum=%d of %d waiting=%d", b.sum, b.limit, len(b.waiting))
	return text.String()
}

// Open returns an empty reservation. If end is not nil, it may be called once, while the
// reservation is neither settled nor closed, to end the request; it must not block.
func (b *Budget) Open(now time.Time, k Kind, end func()) *Reservation {
	if b == nil {
		return nil
	}
	return &Reservation{budget: b, kind: k, end: end, lastAt: now}
}

// fits reports whether the reservation may hold n more bytes.
func (b *Budget) fits(r *Reservation, n int64) bool {
	if b.limit <= 0 {
		return true
	}
	if b.sum == r.held { // a request of legal size is served if it is alone
		return b.sum+n <= b.limit
	}
	spare := b.limit / 8 // for first reservations
	kindLimit := b.limit * 3 / 4
	if r.kind == Responses {
		kindLimit = b.limit / 2
	}
	if r.held == 0 && n <= FirstBytes {
		kindLimit += spare
		spare = 0
	}
	return b.sum+n <= b.limit-spare && b.held[r.kind]+n <= kindLimit
}

func (b *Budget) add(r *Reservation, n int64) {
	r.held += n
	b.held[r.kind] += n
	b.sum += n
	if r.ended {
		b.ending += n
	}
}

// TryReserve reserves n more bytes if the budget has them, and reports whether it did.
func (r *Reservation) TryReserve(n int) bool {
	if r == nil {
		return true
	}
	b := r.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.fits(r, int64(n)) {
		return false
	}
	b.add(r, int64(n))
	return true
}

// Reserve reserves n more bytes. It returns nil if the budget has them. Otherwise it ends
// requests that have stalled and returns a channel that is closed once the bytes are reserved.
// The caller then waits for it, or calls Withdraw.
func (r *Reservation) Reserve(now time.Time, n int) <-chan struct{} {
	if r == nil {
		return nil
	}
	b := r.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.fits(r, int64(n)) {
		b.add(r, int64(n))
		r.follow(now)
		return nil
	}
	r.unfollow() // it waits for this instance, not for its sender
	r.wanted, r.granted = int64(n), make(chan struct{})
	at, _ := slices.BinarySearchFunc(b.waiting, r, func(other, r *Reservation) int {
		if other.before(r) {
			return -1
		}
		return 1
	})
	b.waiting = slices.Insert(b.waiting, at, r)
	b.wanted += r.wanted
	b.endStalled(now)
	return r.granted
}

// before reports whether a waiting reservation is served before one that comes later: requests
// that begin, since most are short, and then those that hold most, since they are closest to
// their end.
func (r *Reservation) before(later *Reservation) bool {
	if r.held == 0 || later.held == 0 {
		return r.held == 0
	}
	return r.held >= later.held
}

// Withdraw ends the wait for bytes. It reports false if they were granted before.
func (r *Reservation) Withdraw() bool {
	if r == nil {
		return false
	}
	r.budget.mu.Lock()
	defer r.budget.mu.Unlock()
	return r.withdraw()
}

func (r *Reservation) withdraw() bool {
	b := r.budget
	if r.granted == nil {
		return false
	}
	b.waiting = slices.DeleteFunc(b.waiting, func(other *Reservation) bool { return other == r })
	b.wanted -= r.wanted
	r.granted = nil
	return true
}

// EndStalled ends requests that have stalled, as far as others wait for their bytes.
func (b *Budget) EndStalled(now time.Time) {
	if b == nil {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.endStalled(now)
}

func (b *Budget) endStalled(now time.Time) {
	if b.wanted <= b.ending {
		return
	}
	unread := b.unread(now)
	for b.wanted > b.ending {
		r, since := b.longestStalled(now)
		if len(unread) > 0 && (r == nil || unread[0].since.Before(since)) {
			r, unread = unread[0].r, unread[1:]
		}
		if r == nil {
			return
		}
		r.unfollow()
		r.ended = true
		b.ending += r.held
		r.end()
	}
}

// longestStalled returns the request that has received nothing for the longest time, and since
// when, or nil if none has for StallTime.
func (b *Budget) longestStalled(now time.Time) (*Reservation, time.Time) {
	front := b.arrival.Front()
	if front == nil {
		return nil, time.Time{}
	}
	r := front.Value.(*Reservation) //nolint:forcetypeassert // the list holds nothing else
	if now.Sub(r.lastAt) < StallTime {
		return nil, time.Time{}
	}
	return r, r.lastAt
}

// unreadResponse is a response of which the caller takes nothing.
type unreadResponse struct {
	r     *Reservation
	since time.Time
}

// unread returns the responses of which the callers have taken nothing for UnreadTime, the
// longest first. It returns none if the last search was less than unreadScanInterval ago.
func (b *Budget) unread(now time.Time) []unreadResponse {
	if now.Before(b.nextScan) {
		return nil
	}
	b.nextScan = now.Add(unreadScanInterval)
	var found []unreadResponse
	for r := range b.written {
		if since, ok := r.unreadSince(now); ok && r.held > 0 && now.Sub(since) >= UnreadTime {
			found = append(found, unreadResponse{r, since})
		}
	}
	slices.SortFunc(found, func(a, b unreadResponse) int { return a.since.Compare(b.since) })
	return found
}

// Write records that the bytes are held until a caller has taken them, until Settle or Close.
// The function unreadSince returns since when the caller has taken nothing, and false if none
// waits for it; it is asked while memory is short. The function end may be called once to end
// the response; neither may block.
func (r *Reservation) Write(unreadSince func(now time.Time) (time.Time, bool), end func()) {
	if r == nil || unreadSince == nil {
		return
	}
	b := r.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	r.unreadSince, r.end = unreadSince, end
	if b.written == nil {
		b.written = make(map[*Reservation]struct{})
	}
	b.written[r] = struct{}{}
}

// follow makes the reservation the one that has received something last.
func (r *Reservation) follow(now time.Time) {
	r.lastAt, r.received = now, 0
	switch {
	case r.end == nil || r.ended:
	case r.element == nil:
		r.element = r.budget.arrival.PushBack(r)
	default:
		r.budget.arrival.MoveToBack(r.element)
	}
}

func (r *Reservation) unfollow() {
	delete(r.budget.written, r)
	if r.element != nil {
		r.budget.arrival.Remove(r.element)
		r.element = nil
	}
}

// Progress records that n bytes of the request have arrived.
func (r *Reservation) Progress(now time.Time, n int) {
	if r == nil {
		return
	}
	if r.received += n; r.received < MinProgress {
		return
	}
	r.budget.mu.Lock()
	defer r.budget.mu.Unlock()
	if r.element != nil {
		r.follow(now)
	}
}

// Settle records that the request has arrived in full, or that the response has been written.
// From then on it is not ended. It reports false if it was ended before.
func (r *Reservation) Settle() bool {
	if r == nil {
		return true
	}
	r.budget.mu.Lock()
	defer r.budget.mu.Unlock()
	r.unfollow()
	r.end = nil
	return !r.ended
}

// Move makes the bytes count for another kind.
func (r *Reservation) Move(now time.Time, k Kind) {
	if r == nil {
		return
	}
	b := r.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	b.held[r.kind] -= r.held
	r.kind = k
	b.held[k] += r.held
	b.grantWaiting(now) // the first kind may have reached its part
}

// Return returns n bytes to the budget, at most those held.
func (r *Reservation) Return(now time.Time, n int) {
	if r == nil {
		return
	}
	r.budget.mu.Lock()
	defer r.budget.mu.Unlock()
	r.giveBack(now, min(int64(n), r.held))
}

// Close returns all bytes. The reservation may be used again, but no longer be ended.
func (r *Reservation) Close(now time.Time) {
	if r == nil {
		return
	}
	r.budget.mu.Lock()
	defer r.budget.mu.Unlock()
	r.withdraw()
	r.unfollow()
	r.giveBack(now, r.held)
	r.end, r.ended = nil, false
}

func (r *Reservation) giveBack(now time.Time, n int64) {
	b := r.budget
	r.held -= n
	b.held[r.kind] -= n
	b.sum -= n
	if r.ended {
		b.ending -= n
	}
	b.grantWaiting(now)
}

// grantWaiting reserves bytes for those that wait, as far as the budget has them.
func (b *Budget) grantWaiting(now time.Time) {
	if len(b.waiting) == 0 {
		return
	}
	b.waiting = slices.DeleteFunc(b.waiting, func(r *Reservation) bool {
		if !b.fits(r, r.wanted) {
			return false
		}
		b.add(r, r.wanted)
		b.wanted -= r.wanted
		r.follow(now) // its sender could not go on before
		close(r.granted)
		r.granted = nil
		return true
	})
}
