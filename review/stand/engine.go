package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// beat is the time between two writes of a server's entry.
const beat = 1200 * time.Millisecond

// Arrival is a request that reached a server.
type Arrival struct {
	At     time.Time
	ID     string // X-Request-Id
	Path   string
	Server string
	Ran    bool
}

// Engine is a server of a service. It behaves as PROTOCOL.md says.
type Engine struct {
	Store   *Store
	Service string
	Zone    string
	Slots   int
	Work    time.Duration
	Queue   int // how many requests may wait for a slot
	// Stream makes the server answer with an event stream: an event each Work, Events of them.
	Stream bool
	Events int
	// Refuses reports whether a new or open connection is to be reset. It may be nil.
	Refuses func(c net.Conn) bool
	// OnArrival is called for each request. It must be safe for concurrent use.
	OnArrival func(a Arrival)

	mu       sync.Mutex
	address  string
	id       string
	born     int64
	seq      int
	server   *http.Server
	conns    map[net.Conn]bool
	running  int
	waiting  int
	slotFree chan struct{}
	silent   time.Time // until when the server is silent
	ended    bool
}

var engineNumber atomic.Int64

// Start starts the server at a free port of the address.
func (e *Engine) Start(ip string) error {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return err
	}
	e.address, e.id = l.Addr().String(), fmt.Sprintf("i-%08x", 0x1000+engineNumber.Add(1)*0x35a7)
	e.born, e.conns = time.Now().UnixMilli(), make(map[net.Conn]bool)
	e.slotFree = make(chan struct{}, e.Slots)
	for range e.Slots {
		e.slotFree <- struct{}{}
	}
	e.server = &http.Server{Handler: http.HandlerFunc(e.serve), ConnState: e.connState}
	go func() {
		_ = e.server.Serve(&engineListener{Listener: l, engine: e, conns: make(chan net.Conn), closed: make(chan struct{})})
	}()
	go func() {
		for ; e.beat(); time.Sleep(beat) {
		}
	}()
	return nil
}

// beat writes the server's entry, and returns false once the server has ended.
func (e *Engine) beat() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.ended {
		return false
	}
	e.seq++
	e.announce()
	return true
}

// engineListener resets the connections that Refuses names.
type engineListener struct {
	net.Listener
	engine *Engine
	once   sync.Once
	conns  chan net.Conn
	closed chan struct{}
}

// Accept returns the next connection that is not reset.
func (l *engineListener) Accept() (net.Conn, error) {
	l.once.Do(func() { go l.sort() })
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *engineListener) sort() {
	defer close(l.closed)
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return
		}
		go func() {
			if l.engine.Refuses != nil && l.engine.Refuses(c) {
				reset(c)
				return
			}
			select {
			case l.conns <- c:
			case <-l.closed:
				reset(c)
			}
		}()
	}
}

func reset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}

// ResetRefused resets the open connections that Refuses names.
func (e *Engine) ResetRefused() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for c := range e.conns {
		if e.Refuses != nil && e.Refuses(c) {
			reset(c)
		}
	}
}

func (e *Engine) connState(c net.Conn, s http.ConnState) {
	e.mu.Lock()
	defer e.mu.Unlock()
	switch s {
	case http.StateNew:
		e.conns[c] = true
	case http.StateClosed, http.StateHijacked:
		delete(e.conns, c)
	}
}

func (e *Engine) announce() {
	e.Store.Put("servers/"+e.id, map[string]any{
		"Service": e.Service, "Addr": e.address, "Zone": e.Zone, "Version": "v1", "Slots": e.Slots, "State": "ready",
		"ColdLeftMs": 0, "Seq": e.seq, "born": e.born,
	})
}

// Stop ends the server for good.
func (e *Engine) Stop() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.ended = true
	_ = e.server.Close()
}

func (e *Engine) serve(w http.ResponseWriter, r *http.Request) {
	id := e.id
	if r.URL.Path == "/healthz" {
		w.Header().Set("X-Instance-Id", id)
		w.WriteHeader(http.StatusOK)
		return
	}
	a := Arrival{At: time.Now(), ID: r.Header.Get("X-Request-Id"), Path: r.URL.Path, Server: e.Service + "/" + id}
	if want := r.Header.Get("X-Expect-Instance"); want != "" && want != id {
		e.OnArrival(a)
		w.Header().Set("X-Instance-Id", id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	if !e.enter() {
		e.OnArrival(a)
		w.Header().Set("X-Not-Run", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer e.leave()
	a.Ran = true
	e.OnArrival(a)
	if e.Stream {
		w.Header().Set("X-Request-Id", a.ID)
		w.Header().Set("X-Server-Stamp", "stamp."+id)
		w.Header().Set("Content-Type", "text/event-stream")
		for n := 1; n <= e.Events; n++ {
			if _, err := fmt.Fprintf(w, "id: %d\ndata: %s\n\n", n, a.ID); err != nil {
				return
			}
			_ = http.NewResponseController(w).Flush()
			select {
			case <-time.After(e.Work):
			case <-r.Context().Done():
				return
			}
		}
		return
	}
	time.Sleep(e.Work)
	e.awaitVoice()
	out := "answer of " + id + " to " + a.ID
	w.Header().Set("X-Request-Id", a.ID)
	w.Header().Set("X-Server-Stamp", "stamp."+id)
	w.Header().Set("Content-Length", strconv.Itoa(len(out)))
	_, _ = io.WriteString(w, out)
}

// enter waits for a slot. It returns false if the server turns the request away for want of
// room.
func (e *Engine) enter() bool {
	e.mu.Lock()
	switch {
	case e.running < e.Slots:
		e.running++
		e.mu.Unlock()
		<-e.slotFree
	case e.waiting < e.Queue:
		e.waiting++
		e.mu.Unlock()
		<-e.slotFree
		e.mu.Lock()
		e.waiting--
		e.running++
		e.mu.Unlock()
	default:
		e.mu.Unlock()
		return false
	}
	return true
}

func (e *Engine) leave() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.running--
	e.slotFree <- struct{}{}
}

// FallSilent makes the server silent for d: it accepts connections and requests, and answers
// nothing until then.
func (e *Engine) FallSilent(d time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.silent = time.Now().Add(d)
}

func (e *Engine) awaitVoice() {
	e.mu.Lock()
	d := time.Until(e.silent)
	e.mu.Unlock()
	time.Sleep(d)
}
