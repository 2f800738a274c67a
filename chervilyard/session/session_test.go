package session_test

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"chervilyard.example/chervilyard/handover"
	"chervilyard.example/chervilyard/session"
)

// A key is withdrawn while a request with it arrives on a connection on which it was
// used before. Guards against closing that connection without an answer.
func TestRevokeWhileRequestArrives(t *testing.T) {
	var tracker handover.Tracker
	registry := &session.Registry{CloseIdle: func(c net.Conn) { tracker.CloseConnIfIdle(time.Now(), c) }}
	server := &http.Server{
		Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
			_, end := registry.Register(r.Context(), "key")
			end()
		}),
		ReadHeaderTimeout: time.Second,
		ConnContext:       registry.ConnContext,
		ConnState: func(c net.Conn, state http.ConnState) {
			registry.ConnState(c, state)
			tracker.ConnState(c, state)
		},
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = server.Serve(tracker.Listener(l)) // it ends when the server is closed
	}()
	defer func() {
		_ = server.Close() // the test has ended
		<-ended
	}()
	c, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	r := bufio.NewReader(c)
	const head, rest = "GET / HTTP/1.1\r\n", "Host: h\r\n\r\n"
	receive := func() error {
		resp, err := http.ReadResponse(r, nil)
		if err != nil {
			return err
		}
		return resp.Body.Close()
	}
	_, _ = io.WriteString(c, head+rest)
	if err := receive(); err != nil {
		t.Fatal(err)
	}
	time.Sleep(50 * time.Millisecond) // until the connection is idle
	_, _ = io.WriteString(c, head)
	time.Sleep(50 * time.Millisecond) // until the bytes have arrived
	registry.RevokeInvalid(func(string) bool { return false })
	_, _ = io.WriteString(c, rest)
	if err := receive(); err != nil {
		t.Errorf("the request got no answer: %v", err)
	}
	time.Sleep(50 * time.Millisecond)
	registry.RevokeInvalid(func(string) bool { return false })
	_ = c.SetReadDeadline(time.Now().Add(time.Second))
	if _, err := r.Peek(1); !errors.Is(err, io.EOF) {
		t.Errorf("the idle connection is not closed: %v", err)
	}
}
