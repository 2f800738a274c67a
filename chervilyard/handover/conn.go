package handover

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// nextGrace is how long bytes that were received during a response count as the begin of
// a next request.
const nextGrace = 500 * time.Millisecond

// conn is a tracked connection. Bytes are received with mu held, so that a connection
// is closed as idle either before a byte of a request is received or not at all.
type conn struct {
	net.Conn
	tracker *Tracker
	raw     syscall.RawConn // nil if Conn has no file descriptor

	mu         sync.Mutex
	openedAt   time.Time // zero once a byte has been received
	received   bool      // a byte of a request was received, and its response has not ended
	responding bool      // a byte of that response was sent
	next       bool      // a byte was received after that, perhaps of the next request
	idleSince  time.Time // when the last response ended; zero while a request is active
	closing    bool      // closed as idle; no more bytes may be received
}

func newConn(c net.Conn, t *Tracker) *conn {
	tracked := &conn{Conn: c, tracker: t, openedAt: t.now()}
	if sc, ok := c.(syscall.Conn); ok {
		if raw, err := sc.SyscallConn(); err == nil {
			tracked.raw = raw
		}
	}
	return tracked
}

// Read reads from the connection and records that a request is arriving.
func (c *conn) Read(p []byte) (int, error) {
	if c.raw == nil || len(p) == 0 {
		n, err := c.Conn.Read(p)
		c.mu.Lock()
		defer c.mu.Unlock()
		c.recordReceived(n)
		return n, err
	}
	var n int
	var readErr error
	err := c.raw.Read(func(fd uintptr) bool {
		n, readErr = c.receive(int(fd), p)
		return !errors.Is(readErr, syscall.EAGAIN)
	})
	if err != nil {
		return 0, c.readError(err)
	}
	if readErr != nil {
		return 0, c.readError(readErr)
	}
	if n == 0 {
		return 0, io.EOF
	}
	return n, nil
}

// receive reads from the descriptor without blocking.
func (c *conn) receive(fd int, p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closing {
		return 0, net.ErrClosed
	}
	for {
		n, err := syscall.Read(fd, p)
		if errors.Is(err, syscall.EINTR) {
			continue
		}
		if err != nil {
			return 0, err
		}
		c.recordReceived(n)
		return n, nil
	}
}

// recordReceived records the receipt of n bytes. The caller must hold mu.
func (c *conn) recordReceived(n int) {
	if n <= 0 {
		return
	}
	c.openedAt = time.Time{}
	c.received, c.idleSince = true, time.Time{}
	c.next = c.next || c.responding
}

// readError returns an error as (*net.TCPConn).Read does.
func (c *conn) readError(err error) error {
	var opErr *net.OpError
	if errors.As(err, &opErr) {
		err = opErr.Err
	}
	var errno syscall.Errno
	if errors.As(err, &errno) {
		err = os.NewSyscallError("read", errno)
	}
	return &net.OpError{Op: "read", Net: c.LocalAddr().Network(), Source: c.LocalAddr(), Addr: c.RemoteAddr(), Err: err}
}

// Write writes to the connection and records that a response has begun.
func (c *conn) Write(p []byte) (int, error) {
	c.mu.Lock()
	c.responding = true
	c.mu.Unlock()
	return c.Conn.Write(p)
}

// CloseWrite shuts down the writing side if the connection supports it, as http.Server
// does before it closes a connection with unread data.
func (c *conn) CloseWrite() error {
	if w, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return w.CloseWrite()
	}
	return nil
}

// SetLinger sets how Close treats unsent data, as (*net.TCPConn).SetLinger does. It does
// nothing if the connection does not support it.
func (c *conn) SetLinger(seconds int) error {
	if l, ok := c.Conn.(interface{ SetLinger(seconds int) error }); ok {
		return l.SetLinger(seconds)
	}
	return nil
}

// Close closes the connection, which is not tracked any more.
func (c *conn) Close() error {
	c.tracker.remove(c)
	return c.Conn.Close()
}

// beginRequest records that a whole request header was received, which may have been
// read together with an earlier request.
func (c *conn) beginRequest() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.received, c.idleSince = true, time.Time{}
}

// endResponse records that a response ended at now.
func (c *conn) endResponse(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.received, c.responding, c.next, c.idleSince = c.next, false, false, now
}

// inUse reports whether a request is arriving or being served. Bytes received during a
// response count as a request for nextGrace only, as they may have been the rest of the
// request before. The caller must hold mu.
func (c *conn) inUse(now time.Time) bool {
	return c.received && (c.idleSince.IsZero() || now.Sub(c.idleSince) < nextGrace)
}

// closeIfIdle closes the connection unless a request is arriving or being served on
// it, or it is a new one that waits for its first request. It reports whether the
// connection was closed.
func (c *conn) closeIfIdle(now time.Time) bool {
	if !c.beginClose(now) {
		return false
	}
	_ = c.Close() // not with mu held: it waits for a concurrent Read, which takes mu
	return true
}

func (c *conn) beginClose(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	waitsForFirst := !c.openedAt.IsZero() && now.Sub(c.openedAt) < newConnGrace
	if c.inUse(now) || waitsForFirst || c.hasUnreadData() {
		return false
	}
	c.closing = true
	return true
}

// hasUnreadData reports whether bytes have arrived that have not been received yet.
func (c *conn) hasUnreadData() bool {
	if c.raw == nil {
		return false
	}
	unread := false
	err := c.raw.Control(func(fd uintptr) {
		var b [1]byte
		n, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		unread = err == nil && n > 0
	})
	return err == nil && unread
}
