package edge

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// newConnGrace is how long a stopping instance waits for the first request on a
// connection that was just opened.
const newConnGrace = 500 * time.Millisecond

// connTracker records which of the callers' connections may carry a request. Its zero
// value is ready to use. It is safe for concurrent use.
type connTracker struct {
	mu       sync.Mutex
	openedAt map[net.Conn]time.Time // when each was opened; zero while a request is active
}

// track records a state change of a connection. It is called from http.Server.ConnState.
func (c *connTracker) track(now time.Time, conn net.Conn, state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.openedAt == nil {
		c.openedAt = make(map[net.Conn]time.Time)
	}
	switch state {
	case http.StateNew:
		c.openedAt[conn] = now
	case http.StateActive:
		c.openedAt[conn] = time.Time{}
	case http.StateIdle, http.StateClosed, http.StateHijacked:
		delete(c.openedAt, conn)
	}
}

// anyInUse reports whether a request is active on a connection, or may still arrive on
// one that was opened less than newConnGrace ago.
func (c *connTracker) anyInUse(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, opened := range c.openedAt {
		if opened.IsZero() || now.Sub(opened) < newConnGrace {
			return true
		}
	}
	return false
}
