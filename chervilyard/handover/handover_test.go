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
	time.Sleep(100 * time.Millisecond) // until the connection has been accepted
	_, _ = io.WriteString(c, request[:10])
	time.Sleep(100 * time.Millisecond) // until the bytes have arrived
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
	closed := make(chan error, 1)
	go func() {
		_, err := r.Peek(1)
		closed <- err
	}()
	for deadline := time.Now().Add(3 * time.Second); len(closed) == 0; time.Sleep(time.Millisecond) {
		tracker.CloseIdle(time.Now())
		if time.Now().After(deadline) {
			t.Fatal("the idle connection stays open")
		}
	}
	if err := <-closed; err == nil {
		t.Error("the idle connection got bytes")
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

// Two requests arrive together. Guards against closing the connection while the second
// one is served.
func TestRequestsReadTogether(t *testing.T) {
	var tracker handover.Tracker
	second, proceed := make(chan struct{}), make(chan struct{})
	var runs atomic.Int32
	address := serve(t, &tracker, func(http.ResponseWriter, *http.Request) {
		if runs.Add(1) == 2 {
			close(second)
			<-proceed
		}
	})
	c, r := dial(t, address)
	_, _ = io.WriteString(c, request+request)
	<-second
	if n := tracker.CloseIdle(time.Now().Add(time.Hour)); n != 1 {
		t.Errorf("%d connections open while the second request is served", n)
	}
	close(proceed)
	for n := range 2 {
		resp, err := http.ReadResponse(r, nil)
		if err != nil {
			t.Fatalf("response %d: %v", n+1, err)
		}
		_ = resp.Body.Close() // it is empty
	}
}

// Guards against a connection that stays in use because a body followed an interim
// response.
func TestInterimResponse(t *testing.T) {
	var tracker handover.Tracker
	address := serve(t, &tracker, func(_ http.ResponseWriter, r *http.Request) { _, _ = io.Copy(io.Discard, r.Body) })
	c, r := dial(t, address)
	for _, part := range []struct {
		request string
		status  int // of the response to it
	}{
		{"POST / HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\n", http.StatusContinue},
		{"ab", http.StatusOK},
	} {
		_, _ = io.WriteString(c, part.request)
		resp, err := http.ReadResponse(r, nil)
		if err != nil || resp.StatusCode != part.status {
			t.Fatalf("response %v, %v, want status %d", resp, err, part.status)
		}
		_ = resp.Body.Close() // it is empty
	}
	closed := func() bool { return tracker.CloseIdle(time.Now()) == 0 }
	for deadline := time.Now().Add(3 * time.Second); !closed(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("the idle connection stays open")
		}
	}
}

// slowListener returns a connection some time after it has accepted it.
type slowListener struct{ net.Listener }

func (l slowListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	time.Sleep(100 * time.Millisecond)
	return c, err
}

// Guards against a stop that does not know of a connection which is being accepted as the
// listener is closed, and cuts it off without an answer.
func TestCloseAwaitsAcceptedConnection(t *testing.T) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var tracker handover.Tracker
	l := tracker.Listener(slowListener{inner})
	accepted := make(chan net.Conn, 1)
	go func() {
		c, err := l.Accept()
		if err != nil {
			t.Error(err)
		}
		accepted <- c
	}()
	dial(t, inner.Addr().String())
	time.Sleep(30 * time.Millisecond) // until it has been accepted
	_ = l.Close()                     // its error shows in Accept
	if n := tracker.CloseIdle(time.Now()); n != 1 {
		t.Errorf("%d open connections after the listener was closed, want the accepted one", n)
	}
	if c := <-accepted; c != nil {
		_ = c.Close() // the test has ended
	}
}
