package edge_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"chervilyard.example/chervilyard/decisionlog"
	"chervilyard.example/chervilyard/edge"
)

const (
	keptRequestID = "kept"
	keptRequest   = "GET /x HTTP/1.1\r\nHost: h.example\r\nId: " + keptRequestID + "\r\nKey: k\r\nTokens: 1\r\n\r\n"
)

// keptConn is a caller's connection that is kept for several requests.
type keptConn struct {
	net.Conn
	r *bufio.Reader
}

func dialKept(t *testing.T, e *edge.Edge) *keptConn {
	t.Helper()
	c, err := net.Dial("tcp", e.Settings().CallerAddr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() }) // it may be closed already
	return &keptConn{Conn: c, r: bufio.NewReader(c)}
}

// send sends a request. It fails if the instance has closed the connection.
func (c *keptConn) send() error {
	_, err := io.WriteString(c, keptRequest)
	return err
}

// receive reads a whole response and returns its status.
func (c *keptConn) receive() (int, error) {
	resp, err := http.ReadResponse(c.r, nil)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, err
}

// Guards against requests that a stopping instance accepts and then cuts off, because
// they last longer than the rest of the drain timeout. The target may run a request only
// if its caller gets the answer.
func TestStopRefusesWhatItCannotFinish(t *testing.T) {
	t.Parallel()
	const drain, serviceTime = 1600 * time.Millisecond, 600 * time.Millisecond
	f := newFleet(t)
	f.drain = drain
	f.store.put("configuration/document", document{Version: 1, Rate: 1e6, Keys: []string{"k"}})
	var runs, answers atomic.Int64
	f.addTarget("a", "east-a", func(w http.ResponseWriter, _ *http.Request) {
		runs.Add(1)
		time.Sleep(serviceTime)
		_, _ = io.WriteString(w, "a")
	})
	e := f.start("east", 0)
	f.waitReady()
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		e.Stop()
	}()
	var callers []chan error
	for { // until the instance stops listening
		c, err := net.Dial("tcp", e.Settings().CallerAddr)
		if err != nil {
			break
		}
		k := &keptConn{Conn: c, r: bufio.NewReader(c)}
		done := make(chan error, 1)
		callers = append(callers, done)
		go func() {
			defer k.Close()
			err := k.send()
			if err == nil {
				var status int
				if status, err = k.receive(); status == http.StatusOK {
					answers.Add(1)
				}
			}
			done <- err
		}()
		time.Sleep(50 * time.Millisecond)
	}
	for n, done := range callers {
		if err := <-done; err != nil {
			t.Errorf("request %d of %d got no answer: %v", n+1, len(callers), err)
		}
	}
	<-stopped
	if runs.Load() != answers.Load() {
		t.Errorf("the target ran %d requests, %d were answered", runs.Load(), answers.Load())
	}
}

// Guards against closing a kept connection as idle while a request that has arrived on
// it is being read: the target would run it, and its caller would get no answer.
func TestStopAnswersRequestBeingRead(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.store.put("configuration/document", document{Version: 1, Rate: 1e6, Keys: []string{"k"}})
	f.addTarget("a", "east-a", respondWith("a"))
	gate := &readGate{released: make(chan struct{})}
	f.wrapListener = gate.listener
	e := f.start("east", 0)
	f.waitReady()
	c := dialKept(t, e)
	if err := c.send(); err != nil {
		t.Fatal(err)
	}
	if status, err := c.receive(); err != nil || status != http.StatusOK {
		t.Fatalf("status %d, %v before the stop", status, err)
	}
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		e.Stop()
	}()
	gate.armed.Store(true)
	if err := c.send(); err != nil {
		t.Fatal(err)
	}
	eventually(t, time.Second, "the request arrives", gate.reached.Load)
	eventually(t, 3*time.Second, "the instance stops listening", func() bool {
		probe, err := net.Dial("tcp", e.Settings().CallerAddr)
		if err == nil {
			_ = probe.Close()
		}
		return err != nil
	})
	time.Sleep(200 * time.Millisecond) // while it closes idle connections
	close(gate.released)
	if status, err := c.receive(); err != nil || status != http.StatusOK {
		t.Errorf("status %d, %v of a request that the instance had received", status, err)
	}
	<-stopped
}

// startWithOpenRequest starts an instance with a request at a target that does not answer.
func startWithOpenRequest(t *testing.T) (*fleet, *edge.Edge) {
	t.Helper()
	f := newFleet(t)
	f.drain = 1100 * time.Millisecond
	f.store.put("configuration/document", document{Version: 1, Rate: 1e6, Keys: []string{"k"}})
	arrived := make(chan struct{})
	f.addTarget("a", "east-a", func(_ http.ResponseWriter, r *http.Request) {
		close(arrived)
		<-r.Context().Done()
	})
	e := f.start("east", 0)
	f.waitReady()
	if err := dialKept(t, e).send(); err != nil {
		t.Fatal(err)
	}
	select {
	case <-arrived:
	case <-time.After(5 * time.Second): // longer than the request's timeout
		t.Fatalf("the request did not reach the target: %+v", f.logs["east-0"].History(keptRequestID))
	}
	return f, e
}

// Guards against logging that the caller left when the instance cut the request off.
func TestStopLogsCutRequests(t *testing.T) {
	t.Parallel()
	f, e := startWithOpenRequest(t)
	e.Stop()
	var history []decisionlog.Decision
	eventually(t, time.Second, "the outcome is logged", func() bool {
		history = f.logs["east-0"].History(keptRequestID)
		return len(history) > 0
	})
	if history[0].Choice != "refused 499 cut_off" || !strings.Contains(history[0].Reason, "cutoff=") {
		t.Errorf("decisions on the request: %+v", history)
	}
}

// Guards against a stop that outlasts the drain timeout, because it waits for one
// background task after the other; the platform then kills the process.
func TestStopEndsInTime(t *testing.T) {
	t.Parallel()
	f, e := startWithOpenRequest(t)
	f.store.setStall(2 * time.Second)
	started := time.Now()
	e.Stop()
	if d := time.Since(started); d > f.drain {
		t.Errorf("the stop took %v of %v", d, f.drain)
	}
}

// readGate delays received data while it is armed, as a busy processor would: between
// its receipt from the kernel and the reader.
type readGate struct {
	armed    atomic.Bool
	reached  atomic.Bool
	released chan struct{}
}

func (g *readGate) pass() {
	if g.armed.Load() {
		g.reached.Store(true)
		<-g.released
	}
}

func (g *readGate) listener(l net.Listener) net.Listener { return &gatedListener{Listener: l, gate: g} }

type gatedListener struct {
	net.Listener
	gate *readGate
}

func (l *gatedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &gatedConn{TCPConn: c.(*net.TCPConn), gate: l.gate}, nil
}

type gatedConn struct {
	*net.TCPConn
	gate *readGate
}

func (c *gatedConn) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	c.gate.pass()
	return n, err
}

func (c *gatedConn) SyscallConn() (syscall.RawConn, error) {
	raw, err := c.TCPConn.SyscallConn()
	return &gatedRawConn{RawConn: raw, gate: c.gate}, err
}

type gatedRawConn struct {
	syscall.RawConn
	gate *readGate
}

func (r *gatedRawConn) Read(f func(fd uintptr) bool) error {
	err := r.RawConn.Read(f)
	r.gate.pass()
	return err
}
