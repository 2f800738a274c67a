// Package handover lets a stopping HTTP server close its connections without losing a
// request that it has begun to read.
package handover

import (
	"errors"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"chervilyard.example/chervilyard/connlimit"
)

// newConnGrace is how long a new connection is kept open for its first request.
const newConnGrace = 500 * time.Millisecond

// Tracker tracks the connections of an HTTP server and closes those that carry no
// request. http.Server counts a connection as idle until it has parsed a whole request
// header, and would close it while the request is being read.
//
// The zero value is ready to use. A Tracker is safe for concurrent use.
type Tracker struct {
	// Now returns the present time. If it is nil, time.Now is used.
	Now func() time.Time
	// Limiter bounds the connections. If it is nil, they are not bounded. The server must use
	// Handler and ConnContext too.
	Limiter *connlimit.Limiter

	mu    sync.Mutex
	conns map[*conn]struct{} // open connections
}

// Listener returns a listener that accepts connections of l and tracks them. The server
// that serves it must call ConnState.
func (t *Tracker) Listener(l net.Listener) net.Listener { return &listener{Listener: l, tracker: t} }

// ConnState records a state change of a connection. It has the signature of
// http.Server.ConnState, and ignores connections that are not tracked.
func (t *Tracker) ConnState(c net.Conn, s http.ConnState) {
	tracked, ok := c.(*conn)
	switch {
	case !ok:
	case s == http.StateActive:
		tracked.beginRequest()
		if t.Limiter != nil {
			t.Limiter.Enforce(t.now()) // a request in service counts for two descriptors
		}
	case s == http.StateIdle:
		tracked.endResponse(t.now())
	}
}

// CloseIdle closes the connections of which no byte of a next request has arrived,
// except those opened less than newConnGrace before now that wait for their first
// request. It returns the number of connections that remain open.
func (t *Tracker) CloseIdle(now time.Time) int {
	open := 0
	for _, c := range t.list() {
		if !c.closeIfIdle(now) {
			open++
		}
	}
	return open
}

// CloseConnIfIdle closes a connection of which no byte of a next request has arrived. It
// closes a connection that is not tracked in any case.
func (t *Tracker) CloseConnIfIdle(now time.Time, c net.Conn) {
	if tracked, ok := c.(*conn); ok {
		tracked.closeIfIdle(now)
		return
	}
	_ = c.Close() // it may be closed already
}

// Open returns the number of open connections.
func (t *Tracker) Open() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.conns)
}

func (t *Tracker) now() time.Time {
	if t.Now == nil {
		return time.Now()
	}
	return t.Now()
}

func (t *Tracker) list() []*conn {
	t.mu.Lock()
	defer t.mu.Unlock()
	list := make([]*conn, 0, len(t.conns))
	for c := range t.conns {
		list = append(list, c)
	}
	return list
}

func (t *Tracker) add(c *conn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.conns == nil {
		t.conns = make(map[*conn]struct{})
	}
	t.conns[c] = struct{}{}
}

func (t *Tracker) remove(c *conn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.conns, c)
}

type listener struct {
	net.Listener
	tracker *Tracker
	// accepting is held for reading until an accepted connection is tracked.
	accepting sync.RWMutex
}

// Accept returns the next connection within the limits. Those above are closed.
func (l *listener) Accept() (net.Conn, error) {
	for {
		c, err := l.accept()
		limiter := l.tracker.Limiter
		if err != nil && limiter != nil && outOfDescriptors(err) && limiter.Reclaim(l.tracker.now()) {
			continue
		}
		if err != nil {
			return nil, err
		}
		if limiter == nil || limiter.Enforce(l.tracker.now()) {
			return c, nil
		}
		if c.refuse() {
			limiter.Count(connlimit.LimitRefused)
		}
	}
}

// outOfDescriptors reports whether the process or the machine has no descriptor left.
func outOfDescriptors(err error) bool {
	return errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE)
}

func (l *listener) accept() (*conn, error) {
	l.accepting.RLock()
	defer l.accepting.RUnlock()
	raw, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := newConn(raw, l.tracker)
	l.tracker.add(c)
	return c, nil
}

// Close closes the listener. When it returns, all connections that were accepted are
// tracked.
func (l *listener) Close() error {
	err := l.Listener.Close() // ends a waiting Accept
	l.accepting.Lock()
	defer l.accepting.Unlock()
	return err
}
