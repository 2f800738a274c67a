// Package connlimit decides which connections of an HTTP server are closed, so that clients
// that open many, or send slowly, do not take the descriptors and the memory of others. It
// opens and closes nothing by itself.
package connlimit

import (
	"cmp"
	"container/list"
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"
)

const (
	// NextGrace is how long bytes that were received during a response count as the begin
	// of a next request. They may have been the rest of the request before.
	NextGrace = 500 * time.Millisecond
	// minBodySilence is how long a caller has sent nothing of a body before its connection
	// may be closed at the limit. Lost packets are sent again within this time.
	minBodySilence = time.Second
	// minWriteStall is how long a write of a response has waited for the caller before its
	// connection may be closed at the limit.
	minWriteStall = 2 * time.Second
	// stallScanInterval is the shortest time between two searches for such writes, which
	// look at all connections.
	stallScanInterval = 100 * time.Millisecond
	// minLargeHeader is the size of a received part of a header that is worth closing its
	// connection for when headers take too much memory. Those of ordinary requests are
	// received at once.
	minLargeHeader = 1 << 10
	// maxKept is how many connections that turn out to be in use are passed over in one call,
	// so that a call ends also if all are.
	maxKept = 16
	// descriptorsInService is the number of descriptors of a connection with a request in
	// service: its own and that of the connection to a target.
	descriptorsInService = 2
)

// Reason tells why a connection was closed.
type Reason string

// The reasons for closing a connection.
const (
	LimitIdle     Reason = "limit_idle"     // idle for longest, at the limit of descriptors
	LimitSilent   Reason = "limit_silent"   // sent nothing for longest, at that limit
	LimitUnread   Reason = "limit_unread"   // read nothing of a response for longest, at that limit
	LimitRefused  Reason = "limit_refused"  // new, at that limit, when no other could be closed
	HeaderMemory  Reason = "header_memory"  // all received headers take too much memory
	HeaderLarge   Reason = "header_large"   // the header is longer than the limit
	HeaderTimeout Reason = "header_timeout" // the header was not received in time
	IdleTimeout   Reason = "idle_timeout"
)

// Limits bound the connections. A zero value means no limit.
type Limits struct {
	Descriptors    int           // for connections, and for those to targets of the requests in service
	HeldBytes      int64         // of the headers that are being received or in service
	MaxHeaderBytes int64         // of one header
	HeaderTimeout  time.Duration // from the first byte of a header to its end; from the opening for the first
	IdleTimeout    time.Duration // from the end of a response to the next request
}

// Limiter tracks the connections of a server and chooses those to close. The zero value has
// no limits and is ready to use. A Limiter is safe for concurrent use.
type Limiter struct {
	// Others returns the number of descriptors in use that count toward the limit beside
	// the connections of the Limiter. It may be nil.
	Others func() int
	// OnClose is called for each connection that was closed. It may be nil.
	OnClose func(r Reason)

	mu       sync.Mutex
	limits   Limits
	idle     list.List          // by the end of the last response
	waiting  list.List          // without a whole header, by the last received byte
	bodies   list.List          // without a whole body, by the last received byte
	serving  map[*Conn]struct{} // with a whole header
	open     int                // connections, without those that are being closed
	held     int64              // bytes of headers
	stalled  []stalledWrite     // of the last search, by their begin
	nextScan time.Time          // no search for stalled writes before it
	closed   map[Reason]int     // since TakeClosed
}

// stalledWrite is a write of a response that waits for the caller.
type stalledWrite struct {
	conn  *Conn
	begun int64 // in Unix nanoseconds
}

// SetLimits replaces the limits. They apply to open connections too, from the next call of
// Enforce or Expire.
func (l *Limiter) SetLimits(limits Limits) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.limits = limits
}

// Limits returns the limits in effect.
func (l *Limiter) Limits() Limits {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.limits
}

// Open returns the number of open connections.
func (l *Limiter) Open() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.open
}

// TakeClosed returns how many connections were closed since the last call, by reason.
func (l *Limiter) TakeClosed() map[Reason]int {
	l.mu.Lock()
	defer l.mu.Unlock()
	closed := l.closed
	l.closed = nil
	return closed
}

// TakeReport returns a text that says how many connections were closed since the last call of
// TakeReport or TakeClosed, by reason, and how many are open. It is empty if none were closed
// but those that were idle for the timeout, which is usual.
func (l *Limiter) TakeReport() string {
	closed := l.TakeClosed()
	delete(closed, IdleTimeout)
	if len(closed) == 0 {
		return ""
	}
	var text strings.Builder
	for _, r := range slices.Sorted(maps.Keys(closed)) {
		fmt.Fprintf(&text, "%s=%d ", r, closed[r])
	}
	fmt.Fprintf(&text, "open=%d limit=%d", l.Open(), l.Limits().Descriptors)
	return text.String()
}

// Count counts a connection that its owner has closed for a reason.
func (l *Limiter) Count(r Reason) {
	l.mu.Lock()
	if l.closed == nil {
		l.closed = make(map[Reason]int)
	}
	l.closed[r]++
	l.mu.Unlock()
	if l.OnClose != nil {
		l.OnClose(r)
	}
}

// Add adds an open connection. The function closeConn is called without locks of the Limiter
// to close it. It returns false if the connection is to stay open, because a request has
// arrived in the meantime.
func (l *Limiter) Add(now time.Time, closeConn func(now time.Time, r Reason) bool) *Conn {
	c := &Conn{limiter: l, close: closeConn, since: now, lastReceived: now}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.place(c)
	return c
}

// Enforce closes connections until the limits are kept, and reports whether they are. First
// comes the connection that has been idle for longest, then the one that has sent nothing for
// longest while a request is awaited or received, then one whose caller does not read.
func (l *Limiter) Enforce(now time.Time) bool {
	for kept := 0; kept < maxKept; {
		c, reason, within := l.claimExcess(now)
		if c == nil {
			return within
		}
		if !l.closeClaimed(now, c, reason) {
			kept++
		}
	}
	return false
}

// Reclaim closes one connection although the limits are kept, because the process has no
// descriptor left. It reports whether it did.
func (l *Limiter) Reclaim(now time.Time) bool {
	for range maxKept {
		l.mu.Lock()
		c, reason := l.longest(now)
		l.claim(c)
		l.mu.Unlock()
		if c == nil {
			return false
		}
		if l.closeClaimed(now, c, reason) {
			return true
		}
	}
	return false
}

// Expire closes the connections whose time for a header or for being idle is over, and those
// above the limits.
func (l *Limiter) Expire(now time.Time) {
	for c, reason := range l.claimExpired(now) {
		l.closeClaimed(now, c, reason)
	}
	l.Enforce(now)
}

// closeClaimed closes a claimed connection and reports whether it was closed.
func (l *Limiter) closeClaimed(now time.Time, c *Conn, r Reason) bool {
	if c.close(now, r) {
		l.Count(r)
		return true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	c.keep(now)
	return false
}

// claimExcess claims the connection to close next. It returns nil if the limits are kept, or
// no connection can be closed for them.
func (l *Limiter) claimExcess(now time.Time) (*Conn, Reason, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.aboveDescriptors() {
		c, reason := l.longest(now)
		l.claim(c)
		return c, reason, false
	}
	if l.limits.HeldBytes <= 0 || l.held <= l.limits.HeldBytes {
		return nil, "", true
	}
	for e := l.waiting.Front(); e != nil; e = e.Next() {
		if c := e.Value.(*Conn); c.held >= minLargeHeader {
			l.claim(c)
			return c, HeaderMemory, false
		}
	}
	return nil, "", true // requests in service are not cut off for their headers
}

// aboveDescriptors reports whether more descriptors are in use than allowed. The caller must
// hold mu.
func (l *Limiter) aboveDescriptors() bool {
	if l.limits.Descriptors <= 0 {
		return false
	}
	used := l.open + (descriptorsInService-1)*len(l.serving)
	if l.Others != nil {
		used += l.Others()
	}
	return used > l.limits.Descriptors
}

// longest returns the connection to close first, or nil. The caller must hold mu.
func (l *Limiter) longest(now time.Time) (*Conn, Reason) {
	if e := l.idle.Front(); e != nil {
		return e.Value.(*Conn), LimitIdle
	}
	found, since, reason := (*Conn)(nil), now, Reason("")
	if e := l.waiting.Front(); e != nil {
		found, reason = e.Value.(*Conn), LimitSilent
		since = found.lastReceived
	}
	if e := l.bodies.Front(); e != nil {
		c := e.Value.(*Conn)
		if now.Sub(c.lastReceived) >= minBodySilence && c.lastReceived.Before(since) {
			found, since, reason = c, c.lastReceived, LimitSilent
		}
	}
	if c, begun := l.longestStalled(now); c != nil && begun.Before(since) {
		return c, LimitUnread
	}
	return found, reason
}

// longestStalled returns the connection of which a write has waited for longest, and since
// when, or nil if none has waited for minWriteStall. The caller must hold mu.
func (l *Limiter) longestStalled(now time.Time) (*Conn, time.Time) {
	if !now.Before(l.nextScan) {
		l.nextScan = now.Add(stallScanInterval)
		l.stalled = l.stalled[:0]
		for c := range l.serving {
			if begun := c.writing.Load(); begun != 0 && now.UnixNano()-begun >= int64(minWriteStall) {
				l.stalled = append(l.stalled, stalledWrite{c, begun})
			}
		}
		slices.SortFunc(l.stalled, func(a, b stalledWrite) int { return cmp.Compare(a.begun, b.begun) })
	}
	for len(l.stalled) > 0 {
		first := l.stalled[0]
		if _, ok := l.serving[first.conn]; ok && first.conn.writing.Load() == first.begun {
			return first.conn, time.Unix(0, first.begun)
		}
		l.stalled = l.stalled[1:]
	}
	return nil, time.Time{}
}

// claimExpired claims all connections whose time is over.
func (l *Limiter) claimExpired(now time.Time) map[*Conn]Reason {
	l.mu.Lock()
	defer l.mu.Unlock()
	expired := make(map[*Conn]Reason)
	var falseStarts []*Conn
	for e := l.waiting.Front(); e != nil; e = e.Next() {
		switch c := e.Value.(*Conn); {
		case c.perhapsIdle && now.Sub(c.since) >= NextGrace:
			falseStarts = append(falseStarts, c)
		case l.limits.HeaderTimeout > 0 && now.Sub(c.since) >= l.limits.HeaderTimeout:
			expired[c] = HeaderTimeout
		}
	}
	for _, c := range falseStarts {
		c.move(func() { c.phase, c.perhapsIdle, c.held = phaseIdle, false, 0 })
	}
	for e := l.idle.Front(); e != nil && l.limits.IdleTimeout > 0; e = e.Next() {
		c := e.Value.(*Conn)
		if now.Sub(c.since) < l.limits.IdleTimeout {
			break
		}
		expired[c] = IdleTimeout
	}
	for c := range expired {
		l.claim(c)
	}
	return expired
}

// claim takes a connection out of the choice and out of the counts, until it has been closed
// or is kept. It does nothing if c is nil. The caller must hold mu.
func (l *Limiter) claim(c *Conn) {
	if c == nil {
		return
	}
	l.remove(c)
	c.claimed, c.progressed = true, false
}

// place adds the connection to the counts and to the list of its phase. The caller must hold
// mu.
func (l *Limiter) place(c *Conn) {
	if c.claimed || c.ended {
		return
	}
	c.placed = true
	l.open++
	switch c.phase {
	case phaseWaiting:
		c.in, c.element = &l.waiting, l.waiting.PushBack(c)
	case phaseIdle:
		c.in, c.element = &l.idle, l.insertIdle(c)
	case phaseBody:
		c.in, c.element = &l.bodies, l.bodies.PushBack(c)
	}
	if c.phase == phaseBody || c.phase == phaseServing {
		if l.serving == nil {
			l.serving = make(map[*Conn]struct{})
		}
		l.serving[c] = struct{}{}
	}
	l.held += c.held
}

// insertIdle inserts a connection by the end of its last response.
func (l *Limiter) insertIdle(c *Conn) *list.Element {
	for e := l.idle.Back(); e != nil; e = e.Prev() {
		if !c.since.Before(e.Value.(*Conn).since) {
			return l.idle.InsertAfter(c, e)
		}
	}
	return l.idle.PushFront(c)
}

// remove reverses place. The caller must hold mu.
func (l *Limiter) remove(c *Conn) {
	if !c.placed {
		return
	}
	c.placed = false
	l.open--
	l.held -= c.held
	delete(l.serving, c)
	if c.element != nil {
		c.in.Remove(c.element)
		c.in, c.element = nil, nil
	}
}
