package outbound_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"chervilyard.example/chervilyard/call"
	"chervilyard.example/chervilyard/dispatch"
	"chervilyard.example/chervilyard/outbound"
	"chervilyard.example/yard/target"
)

// serve answers the first request of each connection, and reads further ones
// and closes it.
func serve(t *testing.T, seen *atomic.Int64) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				in := bufio.NewReader(c)
				for n := 0; ; n++ {
					r, err := http.ReadRequest(in)
					if err != nil {
						return
					}
					_, _ = io.Copy(io.Discard, r.Body)
					if r.Header.Get("X-Request-Id") == "second" {
						seen.Add(1)
					}
					if n > 0 {
						return
					}
					_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
				}
			}()
		}
	}()
	return l.Addr().String()
}

func get(id string) *call.Call {
	return &call.Call{ID: id, Method: http.MethodGet, TargetPath: "/x", Header: http.Header{}}
}

func send(c *outbound.Client, address, id string) error {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	res, err := c.Send(ctx, target.New("t", "c", address, nil, 1, 1, false), get(id))
	if err != nil {
		return err
	}
	defer res.Body.Close()
	_, err = io.Copy(io.Discard, res.Body)
	return err
}

// A kept connection that breaks under a call sends it no second time: whether it
// is sent again is decided where the budget for repeats is known.
func TestNothingIsSentAgain(t *testing.T) {
	var seen atomic.Int64
	address := serve(t, &seen)
	c := outbound.New()
	defer c.Close()
	if err := send(c, address, "first"); err != nil {
		t.Fatal(err)
	}
	err := send(c, address, "second")
	if n := seen.Load(); n != 1 {
		t.Errorf("the target got the call %d times, answer %v", n, err)
	}
	var unsent *dispatch.Unsent
	if err == nil || errors.As(err, &unsent) {
		t.Errorf("a call that the target read ends with %v", err)
	}
}

// A call to an address where nothing listens was not sent.
func TestUnsent(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := l.Addr().String()
	_ = l.Close()
	c := outbound.New()
	defer c.Close()
	var unsent *dispatch.Unsent
	if err := send(c, address, "first"); !errors.As(err, &unsent) {
		t.Errorf("the error is %v", err)
	}
}
