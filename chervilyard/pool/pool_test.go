package pool_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"chervilyard.example/chervilyard/pool"
)

// server accepts connections, calls serve on each and then closes it. It returns
// the address and the number of connections accepted.
func server(t *testing.T, serve func(c net.Conn, r *bufio.Reader)) (string, *atomic.Int32) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	var conns atomic.Int32
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			conns.Add(1)
			go func() {
				defer c.Close()
				serve(c, bufio.NewReader(c))
			}()
		}
	}()
	return l.Addr().String(), &conns
}

func readRequest(r *bufio.Reader) bool {
	req, err := http.ReadRequest(r)
	if err != nil {
		return false
	}
	_, err = io.Copy(io.Discard, req.Body)
	return err == nil
}

func post(t *testing.T, p *pool.Pool, address string, body string) (string, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	resp, err := p.Do(ctx, address, &pool.Request{Method: http.MethodPost, RequestTarget: "/x", Host: "h", Header: http.Header{}, Body: []byte(body)})
	if err != nil {
		return "", err
	}
	defer resp.Close()
	got, err := io.ReadAll(resp)
	return string(got), err
}

const okResponse = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

func TestReuse(t *testing.T) {
	address, conns := server(t, func(c net.Conn, r *bufio.Reader) {
		for readRequest(r) {
			_, _ = io.WriteString(c, okResponse)
		}
	})
	var p pool.Pool
	for range 5 {
		if got, err := post(t, &p, address, "b"); got != "ok" || err != nil {
			t.Fatal(got, err)
		}
	}
	if conns.Load() != 1 {
		t.Errorf("%d connections for five requests in turn", conns.Load())
	}
}

// An idle connection that the server closed or wrote to must not be reused, since
// a request sent on it would fail without telling whether it ran.
func TestStaleConnections(t *testing.T) {
	for name, after := range map[string]string{"closed": "", "extra bytes": okResponse} {
		t.Run(name, func(t *testing.T) {
			address, conns := server(t, func(c net.Conn, r *bufio.Reader) {
				if readRequest(r) {
					_, _ = io.WriteString(c, okResponse)
					time.Sleep(10 * time.Millisecond)
					_, _ = io.WriteString(c, after)
					if after != "" {
						readRequest(r)
					}
				}
			})
			var p pool.Pool
			for range 3 {
				if got, err := post(t, &p, address, "b"); got != "ok" || err != nil {
					t.Fatal(got, err)
				}
				time.Sleep(30 * time.Millisecond)
			}
			if conns.Load() != 3 {
				t.Errorf("%d connections, want one for each request", conns.Load())
			}
		})
	}
}

// The Keep-Alive timeout that the server states is observed, with a margin.
func TestKeepAlive(t *testing.T) {
	address, conns := server(t, func(c net.Conn, r *bufio.Reader) {
		for readRequest(r) {
			_, _ = io.WriteString(c, strings.Replace(okResponse, "\r\n\r\n", "\r\nKeep-Alive: timeout=0\r\n\r\n", 1))
		}
	})
	var p pool.Pool
	for range 2 {
		if _, err := post(t, &p, address, "b"); err != nil {
			t.Fatal(err)
		}
	}
	if conns.Load() != 2 {
		t.Errorf("%d connections, want 2", conns.Load())
	}
}

// refusingAddress returns an address whose connections are refused until the test ends. Its port
// is bound, so that no other test can listen on it.
func refusingAddress(t *testing.T) string {
	t.Helper()
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = syscall.Close(fd) })
	if err := syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		t.Fatal(err)
	}
	bound, err := syscall.Getsockname(fd)
	if err != nil {
		t.Fatal(err)
	}
	return net.JoinHostPort("127.0.0.1", strconv.Itoa(bound.(*syscall.SockaddrInet4).Port))
}

func TestErrorMaybeSent(t *testing.T) {
	closing, _ := server(t, func(_ net.Conn, r *bufio.Reader) { readRequest(r) })
	for name, tc := range map[string]struct {
		address string
		sent    bool
	}{"nobody listens": {refusingAddress(t), false}, "closed without an answer": {closing, true}} {
		t.Run(name, func(t *testing.T) {
			var p pool.Pool
			_, err := post(t, &p, tc.address, "b")
			var poolErr *pool.Error
			if !errors.As(err, &poolErr) || poolErr.MaybeSent != tc.sent {
				t.Errorf("unexpected error: %v", err)
			}
		})
	}
}

// A response may arrive before a long request body has been read. The connection
// must not be reused then, since the rest of the body is still being written to it.
func TestEarlyResponse(t *testing.T) {
	address, conns := server(t, func(c net.Conn, r *bufio.Reader) {
		if _, err := http.ReadRequest(r); err != nil {
			return
		}
		_, _ = io.WriteString(c, okResponse)
		time.Sleep(200 * time.Millisecond)
		_, _ = io.Copy(io.Discard, r)
	})
	var p pool.Pool
	long := strings.Repeat("x", 32<<20)
	for range 2 {
		if got, err := post(t, &p, address, long); got != "ok" || err != nil {
			t.Fatal(got, err)
		}
	}
	if conns.Load() != 2 {
		t.Errorf("%d connections, want 2", conns.Load())
	}
}

// Guards against a body that is taken for written while a target that responded early has not
// read it, and against one that is never taken for written.
func TestWhenRequestSent(t *testing.T) {
	proceed := make(chan struct{})
	address, _ := server(t, func(c net.Conn, r *bufio.Reader) {
		if _, err := http.ReadRequest(r); err != nil {
			return
		}
		_, _ = io.WriteString(c, okResponse)
		<-proceed
		_, _ = io.Copy(io.Discard, r)
	})
	var p pool.Pool
	body := strings.Repeat("x", 32<<20)
	resp, err := p.Do(t.Context(), address, &pool.Request{Method: http.MethodPost, RequestTarget: "/", Host: "h", Header: http.Header{}, Body: []byte(body)})
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Close()
	sent := make(chan struct{})
	resp.WhenRequestSent(func() { close(sent) })
	select {
	case <-sent:
		t.Fatal("the body counts as sent although the target has not read it")
	case <-time.After(50 * time.Millisecond):
	}
	close(proceed)
	<-sent
	again := false
	resp.WhenRequestSent(func() { again = true })
	if !again {
		t.Error("a body that has been written does not count as sent")
	}
}

// The connection is closed as soon as the context is canceled.
func TestCancel(t *testing.T) {
	ended := make(chan struct{})
	address, _ := server(t, func(_ net.Conn, r *bufio.Reader) {
		readRequest(r)
		_, _ = io.Copy(io.Discard, r)
		close(ended)
	})
	ctx, cancel := context.WithCancel(context.Background())
	time.AfterFunc(50*time.Millisecond, cancel)
	var p pool.Pool
	if _, err := p.Do(ctx, address, &pool.Request{Method: http.MethodGet, RequestTarget: "/", Host: "h", Header: http.Header{}}); err == nil {
		t.Error("Do succeeded, want an error after cancellation")
	}
	select {
	case <-ended:
	case <-time.After(time.Second):
		t.Error("the connection is still open one second after cancellation")
	}
}

// A request whose caller has left must not be sent, also if a connection is idle.
func TestCanceledRequestIsNotSent(t *testing.T) {
	var requests atomic.Int32
	address, _ := server(t, func(c net.Conn, r *bufio.Reader) {
		for readRequest(r) {
			requests.Add(1)
			_, _ = io.WriteString(c, okResponse)
		}
	})
	var p pool.Pool
	defer p.Close()
	if _, err := post(t, &p, address, "b"); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	for range 200 {
		_, err := p.Do(ctx, address, &pool.Request{Method: http.MethodPost, RequestTarget: "/x", Host: "h", Header: http.Header{}, Body: []byte("b")})
		var poolErr *pool.Error
		if !errors.As(err, &poolErr) || poolErr.MaybeSent {
			t.Fatalf("error %v of a canceled request", err)
		}
		if _, err := post(t, &p, address, "b"); err != nil { // leaves an idle connection
			t.Fatal(err)
		}
	}
	if n := requests.Load(); n != 201 {
		t.Errorf("%d requests arrived, want 201", n)
	}
}
