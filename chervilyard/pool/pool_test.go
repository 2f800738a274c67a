package pool_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"chervilyard.example/chervilyard/pool"
)

// server answers each request on a connection with the next text; an empty one
// closes the connection before anything is read.
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

func read(r *bufio.Reader) bool {
	req, err := http.ReadRequest(r)
	if err != nil {
		return false
	}
	_, err = io.Copy(io.Discard, req.Body)
	return err == nil
}

func ask(t *testing.T, p *pool.Pool, address string, body string) (string, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	resp, err := p.Do(ctx, address, &pool.Request{Method: http.MethodPost, Target: "/x", Host: "h", Header: http.Header{}, Body: []byte(body)})
	if err != nil {
		return "", err
	}
	defer resp.Close()
	text, err := io.ReadAll(resp)
	return string(text), err
}

const ok = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

func TestReuse(t *testing.T) {
	address, conns := server(t, func(c net.Conn, r *bufio.Reader) {
		for read(r) {
			_, _ = io.WriteString(c, ok)
		}
	})
	var p pool.Pool
	for range 5 {
		if text, err := ask(t, &p, address, "b"); text != "ok" || err != nil {
			t.Fatal(text, err)
		}
	}
	if conns.Load() != 1 {
		t.Errorf("%d connections for five requests in turn", conns.Load())
	}
}

// A kept connection that the other side closed, or wrote to, is not used again:
// nothing of a request may go where it cannot be told whether it ran.
func TestStaleConnections(t *testing.T) {
	for name, after := range map[string]string{"closed": "", "extra bytes": ok} {
		t.Run(name, func(t *testing.T) {
			address, conns := server(t, func(c net.Conn, r *bufio.Reader) {
				if read(r) {
					_, _ = io.WriteString(c, ok)
					time.Sleep(10 * time.Millisecond)
					_, _ = io.WriteString(c, after)
					if after != "" {
						read(r)
					}
				}
			})
			var p pool.Pool
			for range 3 {
				if text, err := ask(t, &p, address, "b"); text != "ok" || err != nil {
					t.Fatal(text, err)
				}
				time.Sleep(30 * time.Millisecond)
			}
			if conns.Load() != 3 {
				t.Errorf("%d connections, want one for each request", conns.Load())
			}
		})
	}
}

// What the other side says of its idle time is kept to, with a margin.
func TestKeepAlive(t *testing.T) {
	address, conns := server(t, func(c net.Conn, r *bufio.Reader) {
		for read(r) {
			_, _ = io.WriteString(c, strings.Replace(ok, "\r\n\r\n", "\r\nKeep-Alive: timeout=0\r\n\r\n", 1))
		}
	})
	var p pool.Pool
	for range 2 {
		if _, err := ask(t, &p, address, "b"); err != nil {
			t.Fatal(err)
		}
	}
	if conns.Load() != 2 {
		t.Errorf("%d connections, want 2", conns.Load())
	}
}

func TestSent(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	nobody := l.Addr().String()
	_ = l.Close()
	closing, _ := server(t, func(_ net.Conn, r *bufio.Reader) { read(r) })
	for name, one := range map[string]struct {
		address string
		sent    bool
	}{"nobody listens": {nobody, false}, "closed without an answer": {closing, true}} {
		t.Run(name, func(t *testing.T) {
			var p pool.Pool
			_, err := ask(t, &p, one.address, "b")
			var f *pool.Failure
			if !errors.As(err, &f) || f.Sent != one.sent {
				t.Errorf("the failure is %v", err)
			}
		})
	}
}

// An answer may come before a long body was read; the rest of the body is still
// due on that connection, so that nothing else may follow on it.
func TestEarlyAnswer(t *testing.T) {
	address, conns := server(t, func(c net.Conn, r *bufio.Reader) {
		if _, err := http.ReadRequest(r); err != nil {
			return
		}
		_, _ = io.WriteString(c, ok)
		time.Sleep(200 * time.Millisecond)
		_, _ = io.Copy(io.Discard, r)
	})
	var p pool.Pool
	long := strings.Repeat("x", 32<<20)
	for range 2 {
		if text, err := ask(t, &p, address, long); text != "ok" || err != nil {
			t.Fatal(text, err)
		}
	}
	if conns.Load() != 2 {
		t.Errorf("%d connections, want 2", conns.Load())
	}
}

// The end of the context ends the connection at once.
func TestCancel(t *testing.T) {
	ended := make(chan struct{})
	address, _ := server(t, func(_ net.Conn, r *bufio.Reader) {
		read(r)
		_, _ = io.Copy(io.Discard, r)
		close(ended)
	})
	ctx, cancel := context.WithCancel(context.Background())
	time.AfterFunc(50*time.Millisecond, cancel)
	var p pool.Pool
	if _, err := p.Do(ctx, address, &pool.Request{Method: http.MethodGet, Target: "/", Host: "h", Header: http.Header{}}); err == nil {
		t.Error("an answer came")
	}
	select {
	case <-ended:
	case <-time.After(time.Second):
		t.Error("the connection stays open")
	}
}
