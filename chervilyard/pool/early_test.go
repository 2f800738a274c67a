package pool_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"chervilyard.example/chervilyard/pool"
)

// longUpload is more than the buffers of a connection hold.
var longUpload = strings.Repeat("x", 32<<20)

const (
	lengthHead = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n"
	chunksHead = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\n"
	closeHead  = "HTTP/1.1 200 OK\r\n\r\n"
	streamHead = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\ndata: a\n\n"
)

// receivingConn is a connection that tells when the first bytes of the response have been read. A
// server that resets it after that cannot discard them.
type receivingConn struct {
	net.Conn
	received chan struct{} // gets a value after the first read; has room for it
	read     bool
}

func (c *receivingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if !c.read {
		c.read = true
		c.received <- struct{}{}
	}
	return n, err
}

// failedWriteConn is a connection whose reads after the first wait until a write has failed, which
// is then the call that gets the error of a reset.
type failedWriteConn struct {
	receivingConn
	failed     chan struct{} // closed after a write has failed
	failedOnce sync.Once
}

func (c *failedWriteConn) Read(p []byte) (int, error) {
	if c.read {
		<-c.failed
	}
	return c.receivingConn.Read(p)
}

func (c *failedWriteConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	if err != nil {
		c.failedOnce.Do(func() { close(c.failed) })
	}
	return n, err
}

// earlyServer answers the request of each connection with the response before it has read the
// body, calls end, and closes the connection.
func earlyServer(t *testing.T, response string, end func(c *net.TCPConn, r *bufio.Reader)) string {
	t.Helper()
	address, _ := server(t, func(c net.Conn, r *bufio.Reader) {
		if _, err := http.ReadRequest(r); err != nil {
			return
		}
		_, _ = io.WriteString(c, response)
		end(c.(*net.TCPConn), r)
	})
	return address
}

// receivingPool returns a pool whose connections tell when the first bytes have been read.
func receivingPool() (p *pool.Pool, received chan struct{}) {
	received = make(chan struct{}, 1)
	return &pool.Pool{Dial: func(ctx context.Context, address string) (net.Conn, error) {
		c, err := pool.Dial(ctx, address)
		return &receivingConn{Conn: c, received: received}, err
	}}, received
}

// Guards against a part of a response that looks complete, because the write of the request got
// the error of the reset connection and the read did not.
func TestResetDuringUpload(t *testing.T) {
	for name, response := range map[string]string{"close": closeHead + "part", "stream": streamHead, "no body": closeHead} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			received := make(chan struct{}, 1)
			address := earlyServer(t, response, func(c *net.TCPConn, _ *bufio.Reader) {
				<-received
				_ = c.SetLinger(0) // Close then sends a reset
			})
			p := pool.Pool{Dial: func(ctx context.Context, address string) (net.Conn, error) {
				c, err := pool.Dial(ctx, address)
				return &failedWriteConn{receivingConn: receivingConn{Conn: c, received: received}, failed: make(chan struct{})}, err
			}}
			checkIncomplete(t, &p, address)
		})
	}
}

// The same without a forced order, in which the read gets the error or the write does.
func TestResetDuringUploadInAnyOrder(t *testing.T) {
	const rounds = 100
	p, received := receivingPool()
	address := earlyServer(t, closeHead+"part", func(c *net.TCPConn, _ *bufio.Reader) {
		<-received
		_ = c.SetLinger(0)
	})
	for range rounds {
		checkIncomplete(t, p, address)
	}
}

func checkIncomplete(t *testing.T, p *pool.Pool, address string) {
	t.Helper()
	got, err := post(t, p, address, longUpload)
	if err == nil {
		t.Errorf("the part %q looks complete", got)
	}
}

// resetConn is a connection whose writes go on until they fail, since its server resets it.
type resetConn struct{ net.Conn }

func (c resetConn) Write(p []byte) (int, error) {
	for {
		if _, err := c.Conn.Write(p); err != nil {
			return 0, err
		}
		time.Sleep(time.Millisecond)
	}
}

// A request that is written in full before the response is read may fail in the same way.
func TestResetDuringShortRequest(t *testing.T) {
	for name, response := range map[string]string{"close": closeHead + "part", "stream": streamHead} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			received := make(chan struct{})
			address, _ := server(t, func(c net.Conn, _ *bufio.Reader) {
				_, _ = io.WriteString(c, response)
				<-received
				_ = c.(*net.TCPConn).SetLinger(0)
			})
			p := pool.Pool{Dial: func(ctx context.Context, address string) (net.Conn, error) {
				c, err := pool.Dial(ctx, address)
				if err != nil {
					return nil, err
				}
				err = awaitData(c)
				close(received)
				return resetConn{c}, err
			}}
			if got, err := post(t, &p, address, "short"); err == nil {
				t.Errorf("the part %q looks complete", got)
			}
		})
	}
}

// awaitData waits until the connection has data to read.
func awaitData(c net.Conn) error {
	raw, err := c.(*net.TCPConn).SyscallConn()
	if err != nil {
		return err
	}
	return raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		return !errors.Is(err, syscall.EAGAIN)
	})
}

// A response that came before the request was read is complete if its framing shows that, or if
// its connection is closed in order once the request has been read.
func TestEarlyResponseIsComplete(t *testing.T) {
	readAll := func(_ *net.TCPConn, r *bufio.Reader) { _, _ = io.CopyN(io.Discard, r, int64(len(longUpload))) }
	resetUnread := func(c *net.TCPConn, _ *bufio.Reader) { _ = c.SetLinger(0) }
	for name, tc := range map[string]struct {
		response string
		end      func(c *net.TCPConn, r *bufio.Reader) // once the response has arrived
		want     string
	}{
		"length, reset":                {lengthHead + "body", resetUnread, "body"},
		"chunks, reset":                {chunksHead + "body\r\n0\r\n\r\n", resetUnread, "body"},
		"length, read":                 {lengthHead + "body", readAll, "body"},
		"close, read":                  {closeHead + "body", readAll, "body"},
		"close without a body, read":   {closeHead, readAll, ""},
		"stream, read":                 {streamHead, readAll, "data: a\n\n"},
		"close, read after half-close": {closeHead + "body", func(c *net.TCPConn, r *bufio.Reader) { _ = c.CloseWrite(); readAll(c, r) }, "body"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			p, received := receivingPool()
			address := earlyServer(t, tc.response, func(c *net.TCPConn, r *bufio.Reader) {
				<-received
				tc.end(c, r)
			})
			if got, err := post(t, p, address, longUpload); got != tc.want || err != nil {
				t.Errorf("got %q, %v; want %q", got, err, tc.want)
			}
		})
	}
}

// Guards against a request that waits for the end of its upload for longer than its time.
func TestUnreadUploadEndsInTime(t *testing.T) {
	const limit = 300 * time.Millisecond
	release := make(chan struct{})
	defer close(release)
	address := earlyServer(t, closeHead+"body", func(c *net.TCPConn, _ *bufio.Reader) {
		_ = c.CloseWrite()
		<-release
	})
	ctx, cancel := context.WithTimeout(t.Context(), limit)
	defer cancel()
	var p pool.Pool
	resp, err := p.Do(ctx, address, &pool.Request{Method: http.MethodPost, RequestTarget: "/", Host: "h", Header: http.Header{}, Body: []byte(longUpload)})
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Close()
	_, err = io.ReadAll(resp)
	var unsent *pool.UnsentError
	if !errors.As(err, &unsent) {
		t.Errorf("unexpected error: %v", err)
	}
}
