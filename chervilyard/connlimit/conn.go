package connlimit

import (
	"container/list"
	"sync/atomic"
	"time"
)

// readAhead is added to the limit of a header: bytes that were read may belong to the body,
// and the request line counts only beyond usual lengths. http.Server reads 4 KB at a time.
const readAhead = 8 << 10

type phase int

const (
	phaseWaiting phase = iota // for the first byte, or the rest, of a header
	phaseBody                 // the request is in service, its body has not been received whole
	phaseServing
	phaseIdle // a response has ended, no byte of a next request was received
)

// Conn is a connection of a Limiter.
type Conn struct {
	limiter *Limiter
	close   func(now time.Time, r Reason) bool
	writing atomic.Int64 // when the current write began, in Unix nanoseconds; 0 if there is none

	// The lock of the Limiter guards the fields below.
	phase        phase
	since        time.Time // begin of the header, or end of the last response
	lastReceived time.Time
	received     int64 // bytes of the request
	expected     int64 // bytes of header and body; 0 for chunks
	held         int64 // bytes of the header
	perhapsIdle  bool  // what was received may belong to the request before
	claimed      bool  // being closed
	progressed   bool  // a request or a response has become whole since it was claimed
	ended        bool
	placed       bool // in the counts of the Limiter
	in           *list.List
	element      *list.Element
}

// Verdict tells what to do after bytes were received.
type Verdict int

// The verdicts of Received.
const (
	Within      Verdict = iota
	TooLarge            // the header exceeds the limit, the connection is to be closed
	MustEnforce         // all headers take too much memory, Enforce is to be called
)

// Received records n received bytes. lastChunk states whether they end like the last chunk of
// a body.
func (c *Conn) Received(now time.Time, n int, lastChunk bool) Verdict {
	l := c.limiter
	l.mu.Lock()
	defer l.mu.Unlock()
	c.move(func() {
		c.lastReceived = now
		switch c.phase {
		case phaseIdle:
			c.phase, c.since, c.received, c.held = phaseWaiting, now, 0, 0
		case phaseWaiting:
			if c.perhapsIdle {
				c.since, c.perhapsIdle = now, false
			}
		}
		c.received += int64(n)
		if c.phase == phaseWaiting {
			c.held = c.received
		}
		if c.phase == phaseBody && (c.expected > 0 && c.received >= c.expected || c.expected == 0 && lastChunk) {
			c.phase = phaseServing
		}
	})
	switch {
	case c.phase != phaseWaiting:
		return Within
	case l.limits.MaxHeaderBytes > 0 && c.held > l.limits.MaxHeaderBytes+readAhead:
		return TooLarge
	case l.limits.HeldBytes > 0 && l.held > l.limits.HeldBytes:
		return MustEnforce
	}
	return Within
}

// HeaderEnded records that a whole header was received.
func (c *Conn) HeaderEnded() {
	c.limiter.mu.Lock()
	defer c.limiter.mu.Unlock()
	c.move(func() { c.phase, c.perhapsIdle = phaseServing, false })
}

// BodyExpected records the size of the header and of the body that follows it, -1 for chunks.
func (c *Conn) BodyExpected(headerBytes, bodyBytes int64) {
	c.limiter.mu.Lock()
	defer c.limiter.mu.Unlock()
	c.move(func() {
		c.held = headerBytes
		if bodyBytes < 0 {
			c.phase, c.expected = phaseBody, 0
			return
		}
		c.expected = headerBytes + bodyBytes
		if bodyBytes > 0 && c.received < c.expected {
			c.phase = phaseBody
		}
	})
}

// ResponseEnded records that a response ended. next states whether bytes were received that
// may belong to a next request.
func (c *Conn) ResponseEnded(now time.Time, next bool) {
	c.limiter.mu.Lock()
	defer c.limiter.mu.Unlock()
	c.move(func() {
		c.phase, c.since, c.lastReceived, c.received, c.held, c.perhapsIdle = phaseIdle, now, now, 0, 0, false
		if next {
			c.phase, c.perhapsIdle = phaseWaiting, true
		}
	})
}

// WriteBegan records that a write of a response began.
func (c *Conn) WriteBegan(now time.Time) { c.writing.Store(now.UnixNano()) }

// WriteEnded records the end of the write.
func (c *Conn) WriteEnded() { c.writing.Store(0) }

// WriteStalled reports whether a write waits for so long that the connection may be closed.
func (c *Conn) WriteStalled(now time.Time) bool {
	begun := c.writing.Load()
	return begun != 0 && now.UnixNano()-begun >= int64(minWriteStall)
}

// Progressed reports whether a request or a response has become whole since the Limiter chose
// the connection. Then it is not closed.
func (c *Conn) Progressed() bool {
	c.limiter.mu.Lock()
	defer c.limiter.mu.Unlock()
	return c.progressed
}

// Closed records that the connection was closed.
func (c *Conn) Closed() {
	c.limiter.mu.Lock()
	defer c.limiter.mu.Unlock()
	c.limiter.remove(c)
	c.ended = true
}

// move changes the connection and its place in the lists. The caller must hold the lock of
// the Limiter.
func (c *Conn) move(change func()) {
	c.limiter.remove(c)
	before := c.phase
	change()
	c.progressed = c.progressed || c.phase != before && c.phase != phaseWaiting
	c.limiter.place(c)
}

// keep returns a claimed connection to the lists. Unread bytes of it have arrived, or it has
// progressed. The caller must hold the lock of the Limiter.
func (c *Conn) keep(now time.Time) {
	c.claimed = false
	if !c.progressed {
		c.lastReceived = now
		if c.phase == phaseIdle {
			c.phase, c.since, c.received, c.held = phaseWaiting, now, 0, 0
		}
	}
	c.limiter.place(c)
}
