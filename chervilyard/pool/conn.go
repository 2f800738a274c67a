package pool

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"chervilyard.example/yard/head"
)

const (
	readBufferSize = 4096 // bytes; fits a response header and a small body
	// maxHeaderBytes is the largest response header in bytes, with the informational responses
	// before it.
	maxHeaderBytes = 64 << 10
	// maxStaleResponses is how many responses to other requests are skipped before the one to
	// the request.
	maxStaleResponses = 2
	// A response to another request is skipped only if its body is shorter than
	// maxStaleBody bytes.
	maxStaleBody = 1 << 20
	// maxInlineBody is the largest body in bytes that is written before the
	// response is read. Longer ones are written concurrently, since the server may
	// respond before it has read them.
	maxInlineBody = 32 << 10
	// ackTimeout is how long sent bytes may stay unacknowledged before the kernel
	// closes the connection.
	ackTimeout = 2500 * time.Millisecond
)

// tcpUserTimeout is the Linux socket option TCP_USER_TIMEOUT, which package
// syscall lacks.
const tcpUserTimeout = 0x12

var errStaleResponses = errors.New("responses belong to other requests")

// conn is a connection to a server. It is used by one request at a time.
type conn struct {
	raw         net.Conn
	onReceived  func()            // of the current request; may be nil
	limit       *io.LimitedReader // reads the conn; bounds the size of a response header
	r           *bufio.Reader     // reads limit
	kept        bool              // it had a request before
	idleTimeout time.Duration     // how long the connection may be reused after it becomes idle
	idleSince   time.Time         // when the connection became idle
	expires     time.Time         // when the connection must no longer be reused
	pool        *Pool             // counts the connection; nil in tests
	closed      atomic.Bool
}

// close closes the connection. It may be called again, and beside its use.
func (c *conn) close() {
	if c.closed.Swap(true) {
		return
	}
	_ = c.raw.Close() // it is not used any more
	if c.pool != nil {
		c.pool.open.Add(-1)
	}
}

func newConn(raw net.Conn) *conn {
	c := &conn{raw: raw, idleTimeout: maxIdleTime}
	c.limit = &io.LimitedReader{R: c, N: maxHeaderBytes}
	c.r = bufio.NewReaderSize(c.limit, readBufferSize)
	return c
}

// Read reads from the connection and reports that bytes arrived.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.raw.Read(p)
	if n > 0 && c.onReceived != nil {
		c.onReceived()
	}
	return n, err
}

func setUserTimeout(_, _ string, c syscall.RawConn) error {
	var sockoptErr error
	err := c.Control(func(fd uintptr) {
		sockoptErr = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(ackTimeout.Milliseconds()))
	})
	return errors.Join(err, sockoptErr)
}

// idleAndOpen reports whether the connection is open and has no unread data.
func (c *conn) idleAndOpen() bool {
	if c.r.Buffered() > 0 {
		return false
	}
	sc, ok := c.raw.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	idleAndOpen := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		idleAndOpen = errors.Is(err, syscall.EAGAIN)
		return true
	})
	return err == nil && idleAndOpen
}

// roundTrip sends the request and reads the header of the response.
func (c *conn) roundTrip(r *Request) (*Response, error) {
	c.onReceived = r.OnReceived
	header := encodeHeader(r)
	var write *bodyWrite
	if r.bodyLength() <= maxInlineBody {
		header = append(header, r.Body...)
		for _, piece := range r.Pieces {
			header = append(header, piece...)
		}
		n, err := c.raw.Write(header)
		r.written()
		if err != nil {
			if !c.responseAvailable() {
				return nil, &Error{Op: "write", MaybeSent: n > 0, Err: err}
			}
			write = &bodyWrite{}
			write.end(err)
		}
	} else {
		n, err := c.raw.Write(header)
		r.written()
		if err != nil {
			return nil, &Error{Op: "write", MaybeSent: n > 0, Err: err}
		}
		write = &bodyWrite{}
		go func() {
			_, err := c.raw.Write(r.Body)
			for _, piece := range r.Pieces {
				if err == nil {
					_, err = c.raw.Write(piece)
				}
			}
			write.end(err)
		}()
	}
	resp, err := c.readResponse(r)
	if err != nil {
		return nil, &Error{Op: "read", MaybeSent: true, Err: err}
	}
	resp.bodyWrite = write
	return resp, nil
}

func (r *Request) written() {
	if r.OnWritten != nil {
		r.OnWritten()
	}
}

// responseAvailable reports whether a response arrived although the write failed.
// The server may reject a request before it has read all of it.
func (c *conn) responseAvailable() bool {
	_ = c.raw.SetReadDeadline(time.Now().Add(10 * time.Millisecond)) // an error shows in Peek
	_, err := c.r.Peek(1)
	_ = c.raw.SetReadDeadline(time.Time{}) // an error shows in the next read
	return err == nil
}

// readResponse reads the header of the response that belongs to the request. It
// skips informational responses and those to other requests.
func (c *conn) readResponse(r *Request) (*Response, error) {
	c.limit.N = maxHeaderBytes
	skipped := 0
	for skipped <= maxStaleResponses {
		resp, err := http.ReadResponse(c.r, &http.Request{Method: r.Method}) //nolint:bodyclose // the caller reads the body to its end or closes the connection
		if err != nil {
			return nil, err
		}
		if err := head.Check(resp.StatusCode, resp.Header); err != nil {
			return nil, err
		}
		if resp.StatusCode >= 100 && resp.StatusCode < 200 {
			continue // the limit holds for its header and the next one together
		}
		c.limit.N = 1<<63 - 1
		if r.Accepts == nil || r.Accepts(resp.Header, c.kept) {
			response := newResponse(c, resp)
			response.Skipped = skipped
			return response, nil
		}
		skipped++
		if n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxStaleBody)); err != nil || n == maxStaleBody || resp.Close {
			return nil, fmt.Errorf("%w: %w", errStaleResponses, errors.Join(err, io.ErrUnexpectedEOF))
		}
		c.limit.N = maxHeaderBytes
	}
	return nil, errStaleResponses
}

// encodeHeader returns the request line and the header. The buffer has room for
// a body that is written with it.
func encodeHeader(r *Request) []byte {
	var b bytes.Buffer
	length := r.bodyLength()
	if length <= maxInlineBody {
		b.Grow(1024 + length)
	}
	b.WriteString(r.Method + " " + r.RequestTarget + " HTTP/1.1\r\nHost: " + r.Host + "\r\n")
	_ = r.Header.Write(&b) // a bytes.Buffer accepts every write
	if length > 0 || r.Method != http.MethodGet && r.Method != http.MethodHead {
		b.WriteString("Content-Length: " + strconv.Itoa(length) + "\r\n")
	}
	b.WriteString("\r\n")
	return b.Bytes()
}

// keepAliveTimeout returns how long the server keeps an idle connection open, and
// whether it states that.
func keepAliveTimeout(h http.Header) (time.Duration, bool) {
	for field := range strings.SplitSeq(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if n, err := strconv.Atoi(strings.TrimSpace(value)); err == nil && n >= 0 {
			return time.Duration(n) * time.Second, true
		}
	}
	return 0, false
}
