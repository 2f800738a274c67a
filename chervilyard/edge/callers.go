package edge

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// newTime is how long a connection that was made just before a stop may take to
// send its request.
const newTime = 500 * time.Millisecond

// callers knows which of the callers' connections are in use. Its zero value is
// ready to use. It is safe for concurrent use.
type callers struct {
	mu    sync.Mutex
	since map[net.Conn]time.Time // when each of them was made; zero for those that sent a request
}

// state takes in what the server tells of a connection.
func (c *callers) state(now time.Time, conn net.Conn, s http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.since == nil {
		c.since = make(map[net.Conn]time.Time)
	}
	switch s {
	case http.StateNew:
		c.since[conn] = now
	case http.StateActive:
		c.since[conn] = time.Time{}
	case http.StateIdle, http.StateClosed, http.StateHijacked:
		delete(c.since, conn)
	}
}

// busy reports whether a request is open, or may still come on a new connection.
func (c *callers) busy(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, since := range c.since {
		if since.IsZero() || now.Sub(since) < newTime {
			return true
		}
	}
	return false
}
