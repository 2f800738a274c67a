package handover_test

import (
	"bufio"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"chervilyard.example/chervilyard/handover"
)

const request = "GET / HTTP/1.1\r\nHost: h\r\n\r\n"

// serve runs an HTTP server with a Tracker and returns its address.
func serve(t *testing.T, tracker *handover.Tracker, h http.HandlerFunc) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{Handler: h, ReadHeaderTimeout: time.Second, ConnState: tracker.ConnState}
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = server.Serve(tracker.Listener(l)) // it ends when the server is closed
	}()
	t.Cleanup(func() {
		_ = server.Close() // the test has ended
		<-ended
	})
	return l.Addr().String()
}

func dial(t *testing.T, address string) (net.Conn, *bufio.Reader) {
	t.Helper()
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() }) // it may be closed already
	return c, bufio.NewReader(c)
}

func roundTrip(c net.Conn, r *bufio.Reader) error {
	if _, err := io.WriteString(c, request); err != nil {
		return err
	}
	resp, err := http.ReadResponse(r, nil)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	return err
}

// Callers send requests on kept connections while these are closed. Guards against
// requests that the server runs and whose caller gets no answer.
func TestRunRequestsAreAnswered(t *testing.T) {
	const conns, rounds = 60, 20
	var runs, answers atomic.Int64
	for range rounds {
		var tracker handover.Tracker
		address := serve(t, &tracker, func(http.ResponseWriter, *http.Request) { runs.Add(1) })
		var callers sync.WaitGroup
		start := make(chan struct{})
		for range conns {
			c, r := dial(t, address)
			if err := roundTrip(c, r); err != nil {
				t.Fatal(err)
			}
			answers.Add(1)
			callers.Go(func() {
				<-start
				time.Sleep(rand.N(2 * time.Millisecond))
				if roundTrip(c, r) == nil {
					answers.Add(1)
				}
			})
		}
		close(start)
		for deadline := time.Now().Add(3 * time.Second); tracker.CloseIdle(time.Now()) > 0; time.Sleep(100 * time.Microsecond) {
			if time.Now().After(deadline) {
				t.Fatalf("%d connections remain open", tracker.CloseIdle(time.Now()))
			}
		}
		callers.Wait()
	}
	if runs.Load() != answers.Load() {
		t.Errorf("%d requests ran, %d were answered", runs.Load(), answers.Load())
	}
}

// A connection must stay open while a part of a request has arrived, and while the
// response is being sent.
func TestConnectionInUseStaysOpen(t *testing.T) {
	var tracker handover.Tracker
	proceed := make(chan struct{})
	address := serve(t, &tracker, func(w http.ResponseWriter, _ *http.Request) {
		_ = http.NewResponseController(w).Flush() // sends the header
		<-proceed
		_, _ = io.WriteString(w, "end")
	})
	c, r := dial(t, address)
	_, _ = io.WriteString(c, request[:10])
	waitInUse(t, &tracker)
	if n := tracker.CloseIdle(time.Now().Add(time.Hour)); n != 1 {
		t.Fatalf("%d connections open after a part of a request", n)
	}
	_, _ = io.WriteString(c, request[10:])
	resp, err := http.ReadResponse(r, nil)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	if n := tracker.CloseIdle(time.Now().Add(time.Hour)); n != 1 {
		t.Fatalf("%d connections open during a response", n)
	}
	close(proceed)
	if body, err := io.ReadAll(resp.Body); err != nil || string(body) != "end" {
		t.Errorf("body %q, %v", body, err)
	}
}

// A new connection must stay open for a moment, an idle one must not.
func TestNewConnectionStaysOpen(t *testing.T) {
	var tracker handover.Tracker
	address := serve(t, &tracker, func(http.ResponseWriter, *http.Request) {})
	idle, r := dial(t, address)
	if err := roundTrip(idle, r); err != nil {
		t.Fatal(err)
	}
	fresh, freshReader := dial(t, address)
	for deadline := time.Now().Add(3 * time.Second); tracker.CloseIdle(time.Now()) != 1; time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("the idle connection stays open")
		}
	}
	if _, err := r.Peek(1); err == nil {
		t.Error("the idle connection is open")
	}
	if err := roundTrip(fresh, freshReader); err != nil {
		t.Errorf("a new connection: %v", err)
	}
	for deadline := time.Now().Add(3 * time.Second); tracker.CloseIdle(time.Now()) != 0; time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("a connection remains open after its response")
		}
	}
}

func waitInUse(t *testing.T, tracker *handover.Tracker) {
	t.Helper()
	for deadline := time.Now().Add(3 * time.Second); tracker.InUse() == 0; time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("no connection is in use")
		}
	}
}
