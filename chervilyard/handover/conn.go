package handover

import (
	"bytes"
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
	"unsafe"

	"chervilyard.example/chervilyard/connlimit"
)

// nextGrace is how long bytes that were received during a response count as the begin of
// a next request.
const nextGrace = connlimit.NextGrace

const (
	// lastChunk ends a chunked body without trailers.
	lastChunk = "\r\n0\r\n\r\n"
	// tooLargeResponse is sent in place of the server's, whose limit of a header is fixed.
	tooLargeResponse = "HTTP/1.1 431 Request Header Fields Too Large\r\nContent-Type: text/plain; charset=utf-8\r\nConnection: close\r\n\r\n431 Request Header Fields Too Large"
	// tooLargeLinger is how long the rest of a header that is too large is discarded after
	// the response. Closing the connection with unread data would discard the response.
	tooLargeLinger      = 500 * time.Millisecond
	tooLargeLingerBytes = 1 << 20
)

// conn is a tracked connection. Bytes are received with mu held, so that a connection
// is closed as idle either before a byte of a request is received or not at all.
type conn struct {
	net.Conn
	tracker *Tracker
	raw     syscall.RawConn // nil if Conn has no file descriptor
	limited *connlimit.Conn // nil if the tracker has no limiter

	mu         sync.Mutex
	openedAt   time.Time // zero once a byte has been received
	received   bool      // a byte of a request was received, and its response has not ended
	responding bool      // a byte of that response was sent
	next       bool      // a byte was received after that, perhaps of the next request
	idleSince  time.Time // when the last response ended; zero while a request is active
	closing    bool      // closed as idle or by the limiter; no more bytes may be received

	writing atomic.Int64 // when the current write began, in Unix nanoseconds; 0 if there is none
	unread  unreadBytes
}

// unreadBytes is what the kernel holds of a response while a write waits.
type unreadBytes struct {
	write int64 // when the write began
	bytes int
	since time.Time // when the number was seen first
}

func newConn(c net.Conn, t *Tracker) *conn {
	tracked := &conn{Conn: c, tracker: t, openedAt: t.now()}
	if sc, ok := c.(syscall.Conn); ok {
		if raw, err := sc.SyscallConn(); err == nil {
			tracked.raw = raw
		}
	}
	if t.Limiter != nil {
		tracked.mu.Lock() // the limiter may choose the connection at once
		defer tracked.mu.Unlock()
		tracked.limited = t.Limiter.Add(tracked.openedAt, tracked.closeFor)
	}
	return tracked
}

// Read reads from the connection and records that a request is arriving. A header above the
// limit of the tracker is refused.
func (c *conn) Read(p []byte) (int, error) {
	n, verdict, err := c.read(p)
	switch verdict {
	case connlimit.TooLarge:
		c.refuseHeader()
		return 0, c.readError(net.ErrClosed)
	case connlimit.MustEnforce:
		c.tracker.Limiter.Enforce(c.tracker.now())
	}
	return n, err
}

// refuseHeader answers a header that is too large. The connection is closed afterwards.
func (c *conn) refuseHeader() {
	c.tracker.Limiter.Count(connlimit.HeaderLarge)
	_ = c.SetDeadline(time.Now().Add(tooLargeLinger)) // an error shows in the write
	if _, err := io.WriteString(c.Conn, tooLargeResponse); err != nil || c.CloseWrite() != nil {
		return
	}
	_, _ = io.CopyN(io.Discard, c.Conn, tooLargeLingerBytes) // ends with an error if the client leaves, or in time
}

func (c *conn) read(p []byte) (int, connlimit.Verdict, error) {
	if c.raw == nil || len(p) == 0 {
		n, err := c.Conn.Read(p)
		c.mu.Lock()
		defer c.mu.Unlock()
		return n, c.recordReceived(p[:n]), err
	}
	var n int
	var verdict connlimit.Verdict
	var readErr error
	err := c.raw.Read(func(fd uintptr) bool {
		n, verdict, readErr = c.receive(int(fd), p)
		return !errors.Is(readErr, syscall.EAGAIN)
	})
	if err != nil {
		return 0, connlimit.Within, c.readError(err)
	}
	if readErr != nil {
		return 0, connlimit.Within, c.readError(readErr)
	}
	if n == 0 {
		return 0, connlimit.Within, io.EOF
	}
	return n, verdict, nil
}

// receive reads from the descriptor without blocking.
func (c *conn) receive(fd int, p []byte) (int, connlimit.Verdict, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closing {
		return 0, connlimit.Within, net.ErrClosed
	}
	for {
		n, err := syscall.Read(fd, p)
		if errors.Is(err, syscall.EINTR) {
			continue
		}
		if err != nil {
			return 0, connlimit.Within, err
		}
		return n, c.recordReceived(p[:n]), nil
	}
}

// recordReceived records the receipt of bytes. The caller must hold mu.
func (c *conn) recordReceived(p []byte) connlimit.Verdict {
	if len(p) == 0 {
		return connlimit.Within
	}
	c.openedAt = time.Time{}
	c.received, c.idleSince = true, time.Time{}
	c.next = c.next || c.responding
	if c.limited == nil {
		return connlimit.Within
	}
	return c.limited.Received(c.tracker.now(), len(p), bytes.HasSuffix(p, []byte(lastChunk)))
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
	now := c.tracker.now()
	if c.limited != nil {
		c.limited.WriteBegan(now)
		defer c.limited.WriteEnded()
	}
	c.writing.Store(now.UnixNano())
	defer c.writing.Store(0)
	return c.Conn.Write(p)
}

// unreadSince returns since when, as far as it was asked, the other side has taken nothing of a
// write that waits for it. It returns false if no write waits, or something was taken since the
// call before: the bytes that the kernel holds change with all that is taken.
func (c *conn) unreadSince(now time.Time) (time.Time, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	begun := c.writing.Load()
	if begun == 0 || c.raw == nil {
		return time.Time{}, false
	}
	held := 0
	var errno syscall.Errno
	err := c.raw.Control(func(fd uintptr) {
		var n int32
		_, _, errno = syscall.Syscall(syscall.SYS_IOCTL, fd, syscall.TIOCOUTQ, uintptr(unsafe.Pointer(&n)))
		held = int(n)
	})
	if err != nil || errno != 0 {
		return time.Time{}, false
	}
	if c.unread.write != begun || c.unread.bytes != held {
		c.unread = unreadBytes{write: begun, bytes: held, since: now}
	}
	return c.unread.since, true
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
	if c.limited != nil {
		c.limited.Closed()
	}
	return c.Conn.Close()
}

// beginRequest records that a whole request header was received, which may have been
// read together with an earlier request.
func (c *conn) beginRequest() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.received, c.idleSince = true, time.Time{}
	if c.limited != nil {
		c.limited.HeaderEnded()
	}
}

// beginService records the size of the header and of the body of a request, -1 for chunks. It
// returns false if the connection is being closed; the request must not run then.
func (c *conn) beginService(headerBytes, bodyBytes int64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closing {
		return false
	}
	c.limited.BodyExpected(headerBytes, bodyBytes)
	return true
}

// endResponse records that a response ended at now.
func (c *conn) endResponse(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.limited != nil {
		c.limited.ResponseEnded(now, c.next)
	}
	c.received, c.responding, c.next, c.idleSince = c.next, false, false, now
}

// closeFor closes the connection for a reason of the limiter and reports whether it was closed.
func (c *conn) closeFor(now time.Time, r connlimit.Reason) bool {
	if !c.beginCloseFor(now, r) {
		return false
	}
	_ = c.Close() // as in closeIfIdle
	return true
}

// refuse closes a new connection that was not returned by Accept yet, and reports whether it
// was open.
func (c *conn) refuse() bool {
	c.mu.Lock()
	open := !c.closing
	c.closing = true
	c.mu.Unlock()
	_ = c.Close() // as in closeIfIdle
	return open
}

func (c *conn) beginCloseFor(now time.Time, r connlimit.Reason) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	keep := c.limited.Progressed()
	switch r {
	case connlimit.LimitIdle, connlimit.IdleTimeout:
		keep = keep || c.inUse(now) || c.hasUnreadData()
	case connlimit.LimitSilent:
		keep = keep || c.hasUnreadData() // it was not read yet, the caller is not silent
	case connlimit.LimitUnread:
		keep = keep || !c.limited.WriteStalled(now)
	}
	if c.closing || keep {
		return false
	}
	c.closing = true
	return true
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
