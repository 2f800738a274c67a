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
	"syscall"
	"time"
)

const (
	readBuffer = 4096 // bytes; an answer's head and a small body
	// maxHead bounds an answer's head in bytes.
	maxHead = 64 << 10
	// maxStrays is how many answers of other requests are skipped.
	maxStrays = 2
	// maxStray is how many bytes of a foreign answer's body are skipped.
	maxStray = 1 << 20
	// eager bodies are written before the answer is read; longer ones beside it,
	// since the other side may answer before it has read them.
	eager = 32 << 10
	// unacknowledged is how long sent bytes may stay unacknowledged.
	unacknowledged = 2500 * time.Millisecond
)

// tcpUserTimeout is TCP_USER_TIMEOUT of Linux, which package syscall lacks.
const tcpUserTimeout = 0x12

var errStray = errors.New("answers belong to other requests")

type conn struct {
	raw   net.Conn
	limit *io.LimitedReader
	r     *bufio.Reader
	idle  time.Duration
	kept  time.Time // since when it is not in use
	until time.Time // when it may not be used any more
}

func newConn(raw net.Conn) *conn {
	limit := &io.LimitedReader{R: raw, N: maxHead}
	return &conn{raw: raw, limit: limit, r: bufio.NewReaderSize(limit, readBuffer), idle: idleTime}
}

func userTimeout(_, _ string, c syscall.RawConn) error {
	var fault error
	err := c.Control(func(fd uintptr) {
		fault = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(unacknowledged.Milliseconds()))
	})
	return errors.Join(err, fault)
}

// quiet reports whether the connection is open with nothing to read on it.
func (c *conn) quiet() bool {
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
	quiet := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = errors.Is(err, syscall.EAGAIN)
		return true
	})
	return err == nil && quiet
}

// roundTrip sends the request and reads the head of its answer.
func (c *conn) roundTrip(r *Request) (*Response, error) {
	head := head(r)
	var written chan error
	if len(r.Body) <= eager {
		n, err := c.raw.Write(append(head, r.Body...))
		if err != nil && !c.answered() {
			return nil, &Failure{Op: "write", Sent: n > 0, Err: err}
		}
	} else {
		if n, err := c.raw.Write(head); err != nil {
			return nil, &Failure{Op: "write", Sent: n > 0, Err: err}
		}
		written = make(chan error, 1)
		go func() {
			_, err := c.raw.Write(r.Body)
			written <- err
		}()
	}
	resp, err := c.read(r)
	if err != nil {
		return nil, &Failure{Op: "read", Sent: true, Err: err}
	}
	resp.written = written
	return resp, nil
}

// answered reports whether an answer came in although the write failed: the
// other side may reject a request before it has read the whole.
func (c *conn) answered() bool {
	_ = c.raw.SetReadDeadline(time.Now().Add(10 * time.Millisecond)) // a failure shows in Peek
	_, err := c.r.Peek(1)
	_ = c.raw.SetReadDeadline(time.Time{}) // a failure shows in the next read
	return err == nil
}

// read returns the answer that belongs to the request.
func (c *conn) read(r *Request) (*Response, error) {
	for range maxStrays + 1 {
		c.limit.N = maxHead
		resp, err := http.ReadResponse(c.r, &http.Request{Method: r.Method}) //nolint:bodyclose // the caller reads the body to its end or closes the connection
		if err != nil {
			return nil, err
		}
		c.limit.N = 1<<63 - 1
		if resp.StatusCode >= 100 && resp.StatusCode < 200 {
			continue
		}
		if r.Owns == nil || r.Owns(resp.Header) {
			return newResponse(c, resp), nil
		}
		if n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxStray)); err != nil || n == maxStray || resp.Close {
			return nil, fmt.Errorf("%w: %w", errStray, errors.Join(err, io.ErrUnexpectedEOF))
		}
	}
	return nil, errStray
}

// head returns the request line and the header fields.
func head(r *Request) []byte {
	var b bytes.Buffer
	b.Grow(1024 + len(r.Body))
	b.WriteString(r.Method + " " + r.Target + " HTTP/1.1\r\nHost: " + r.Host + "\r\n")
	_ = r.Header.Write(&b) // a bytes.Buffer takes every write
	if len(r.Body) > 0 || r.Method != http.MethodGet && r.Method != http.MethodHead {
		b.WriteString("Content-Length: " + strconv.Itoa(len(r.Body)) + "\r\n")
	}
	b.WriteString("\r\n")
	return b.Bytes()
}

// keepAlive returns how long the other side keeps an idle connection.
func keepAlive(h http.Header) (time.Duration, bool) {
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
