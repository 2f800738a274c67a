package handover_test

import (
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"chervilyard.example/chervilyard/connlimit"
	"chervilyard.example/chervilyard/handover"
)

// serveLimited runs a server whose connections are bounded and returns its address.
func serveLimited(t *testing.T, tracker *handover.Tracker, h http.HandlerFunc) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	refuse := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusRequestHeaderFieldsTooLarge) })
	server := &http.Server{Handler: tracker.Handler(h, refuse), ConnState: tracker.ConnState, ConnContext: tracker.ConnContext}
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

// The load: callers use three times as many kept connections as are allowed, so that one is
// closed for each that is opened. Guards against requests that run and whose callers get no
// answer, because their connections were closed as idle or silent.
func TestRunRequestsAreAnsweredAtLimit(t *testing.T) {
	const callers, requests, limit = 60, 20, 20
	var limiter connlimit.Limiter
	limiter.SetLimits(connlimit.Limits{Descriptors: limit, HeaderTimeout: time.Second, IdleTimeout: time.Second})
	tracker := handover.Tracker{Limiter: &limiter}
	var runs, answers atomic.Int64
	address := serveLimited(t, &tracker, func(http.ResponseWriter, *http.Request) { runs.Add(1) })
	var all sync.WaitGroup
	for range callers {
		all.Go(func() {
			for range requests {
				c, r := dial(t, address)
				for roundTrip(c, r) == nil { // until the connection is closed, or for a while
					answers.Add(1)
					if rand.N(5) == 0 {
						break
					}
					time.Sleep(rand.N(2 * time.Millisecond))
				}
			}
		})
	}
	all.Wait()
	if runs.Load() != answers.Load() || answers.Load() == 0 {
		t.Errorf("%d requests ran, %d were answered", runs.Load(), answers.Load())
	}
	if n := limiter.Open(); n > limit {
		t.Errorf("%d connections are open, %d allowed", n, limit)
	}
	if len(limiter.TakeClosed()) == 0 {
		t.Error("no connection was closed at the limit")
	}
}

// Guards against closing an idle connection of which a part of the next request has arrived,
// while an idle one without remains.
func TestStartedRequestOutlivesIdleOnes(t *testing.T) {
	var limiter connlimit.Limiter
	tracker := handover.Tracker{Limiter: &limiter}
	address := serveLimited(t, &tracker, func(http.ResponseWriter, *http.Request) {})
	started, startedReader := dial(t, address)
	idle, idleReader := dial(t, address)
	if err := roundTrip(started, startedReader); err != nil {
		t.Fatal(err)
	}
	if err := roundTrip(idle, idleReader); err != nil {
		t.Fatal(err)
	}
	_, _ = io.WriteString(started, request[:1])
	time.Sleep(50 * time.Millisecond) // until the byte has arrived
	limiter.SetLimits(connlimit.Limits{Descriptors: 1})
	limiter.Enforce(time.Now())
	if _, err := idleReader.Peek(1); err == nil {
		t.Error("the idle connection got bytes")
	}
	limiter.SetLimits(connlimit.Limits{})
	if _, err := io.WriteString(started, request[1:]); err != nil {
		t.Fatal(err)
	}
	resp, err := http.ReadResponse(startedReader, nil)
	if err != nil {
		t.Fatal(err)
	}
	_ = resp.Body.Close() // it is empty
}

// Guards against headers that are refused below the limit, and against those above it that are
// served, or refused without an answer that reaches a client which is still sending.
func TestHeaderLimit(t *testing.T) {
	const limit = 24 << 10
	var limiter connlimit.Limiter
	limiter.SetLimits(connlimit.Limits{MaxHeaderBytes: limit})
	tracker := handover.Tracker{Limiter: &limiter}
	address := serveLimited(t, &tracker, func(http.ResponseWriter, *http.Request) {})
	for _, tc := range []struct{ field, path, status int }{
		{limit - 50, 100, http.StatusOK},
		{100, limit - 300, http.StatusOK},
		{limit, 100, http.StatusRequestHeaderFieldsTooLarge},
		{100, limit + 2000, http.StatusRequestHeaderFieldsTooLarge},
		{4 * limit, 100, http.StatusRequestHeaderFieldsTooLarge},
		{600 << 10, 100, http.StatusRequestHeaderFieldsTooLarge},
	} {
		c, r := dial(t, address)
		sent := make(chan struct{})
		go func() {
			defer close(sent)
			_, _ = io.WriteString(c, "GET /"+strings.Repeat("p", tc.path)+" HTTP/1.1\r\nHost: h\r\nF: "+strings.Repeat("x", tc.field)+"\r\n\r\n") // the server may close the connection
		}()
		resp, err := http.ReadResponse(r, nil)
		if err != nil {
			t.Fatalf("%+v: %v", tc, err)
		}
		_ = resp.Body.Close() // its content does not matter
		if resp.StatusCode != tc.status {
			t.Errorf("%+v: status %d", tc, resp.StatusCode)
		}
		<-sent
	}
}

// Guards against an accept loop that pauses when the process has no descriptor left.
func TestAcceptWithoutDescriptors(t *testing.T) {
	var limiter connlimit.Limiter
	tracker := handover.Tracker{Limiter: &limiter}
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l := tracker.Listener(&exhaustedListener{Listener: inner})
	defer l.Close()
	for range 2 {
		dial(t, inner.Addr().String())
		if _, err := l.Accept(); err != nil {
			t.Fatal(err)
		}
	}
	if got := limiter.TakeClosed()[connlimit.LimitSilent]; got != 1 {
		t.Errorf("%d connections closed, want one", got)
	}
}

// exhaustedListener has no descriptor left at the second call of Accept.
type exhaustedListener struct {
	net.Listener
	calls int
}

func (l *exhaustedListener) Accept() (net.Conn, error) {
	if l.calls++; l.calls == 2 {
		return nil, &net.OpError{Op: "accept", Net: "tcp", Err: syscall.EMFILE}
	}
	return l.Listener.Accept()
}
