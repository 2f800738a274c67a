package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const beatInterval = 1200 * time.Millisecond

// arrival is a request that reached an engine.
type arrival struct {
	at          time.Time
	id, tenant  string
	engine      string
	result      string // "run", "not run", "421", "lost", "left"
	healthCheck bool
	coldAt      bool
}

// engine is a stand-in for an engine of one service. Each start is a new run with a new Id.
type engine struct {
	w       *world
	service string
	zone    string
	address string
	slots   int
	queue   int
	// queueNow returns how many requests may wait. If it is nil, queue counts.
	queueNow func() int
	// events returns how many events the response to a path has, 0 for a plain one, and how
	// long it takes.
	events func(path string) (int, time.Duration)
	// onRun is called as a request begins to run. It reports whether the engine crashes.
	onRun func(e *engine, r *http.Request) bool
	// onArrival is called for each request that reaches the engine and is meant for it.
	onArrival func(e *engine, a *arrival)
	// onTurnedAway is called for each request that is turned away for want of room.
	onTurnedAway func(e *engine, at time.Time)

	hold      sync.Mutex // held while onArrival is called, and by crash for runLost
	mu        sync.Mutex
	id        string
	born      int64
	seq       int
	coldUntil time.Time
	headers   map[string]string // in all responses
	down      bool
	listener  net.Listener
	server    *http.Server
	conns     map[net.Conn]struct{}
	free      chan struct{}
	held      int // waiting and running
	runs      int // requests that run now
	runLost   int // requests that ran as the engine crashed
}

func (e *engine) start() error {
	l, err := net.Listen("tcp", e.address)
	if err != nil {
		return err
	}
	e.mu.Lock()
	e.listener, e.down = l, false
	e.id = fmt.Sprintf("i-%08x", rand.Uint32())
	e.born, e.seq = time.Now().UnixMilli(), 0
	e.conns = make(map[net.Conn]struct{})
	e.free = make(chan struct{}, e.slots)
	e.held, e.runs = 0, 0
	free, id := e.free, e.id
	server := &http.Server{
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { e.handle(w, r, free, id) }),
		ConnState: func(c net.Conn, s http.ConnState) {
			e.mu.Lock()
			defer e.mu.Unlock()
			if s == http.StateNew {
				e.conns[c] = struct{}{}
			} else if s == http.StateClosed {
				delete(e.conns, c)
			}
		},
		IdleTimeout: 15 * time.Second,
	}
	e.server = server
	e.mu.Unlock()
	e.register()
	go func() { _ = server.Serve(l) }()
	go func() {
		for range time.Tick(beatInterval) {
			e.mu.Lock()
			current := e.id == id && !e.down
			e.seq++
			e.mu.Unlock()
			if !current {
				return
			}
			e.register()
		}
	}()
	return nil
}

// register writes the engine's entry.
func (e *engine) register() {
	e.mu.Lock()
	entry := map[string]any{
		"Service": e.service, "Addr": e.address, "Zone": e.zone, "Version": "v1", "Slots": e.slots, "State": "ready",
		"ColdLeftMs": max(time.Until(e.coldUntil).Milliseconds(), 0), "Seq": e.seq, "born": e.born,
	}
	key, down := "servers/"+e.id, e.down
	e.mu.Unlock()
	if !down {
		e.w.store.put(key, entry)
	}
}

// setHeader sets a header field of all responses from now on; "" removes it.
func (e *engine) setHeader(name, value string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	headers := make(map[string]string)
	for k, v := range e.headers {
		headers[k] = v
	}
	headers[name] = value
	if value == "" {
		delete(headers, name)
	}
	e.headers = headers
}

// turnCold makes the engine cold for a time, and tells so in its entry at once.
func (e *engine) turnCold(d time.Duration) {
	e.mu.Lock()
	e.coldUntil = time.Now().Add(d)
	e.mu.Unlock()
	e.register()
}

// crash ends the engine: its connections are reset, and its address refuses new ones until it
// starts again after a time. Its entry stays until three beats are missing.
func (e *engine) crash(down time.Duration, cold time.Duration) {
	e.mu.Lock()
	if e.down {
		e.mu.Unlock()
		return
	}
	e.down = true
	e.runLost += e.runs
	lost := e.runs
	key := "servers/" + e.id
	_ = e.listener.Close()
	for c := range e.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = c.Close()
	}
	server := e.server
	e.mu.Unlock()
	e.w.log("engine %s (%s) is down for %v; %d requests were running there", e.id, e.service, down, lost)
	go func() {
		_ = server.Close()
		time.AfterFunc(3*beatInterval, func() { e.w.store.remove(key) })
		time.Sleep(down)
		e.mu.Lock()
		e.coldUntil = time.Time{}
		if cold > 0 {
			e.coldUntil = time.Now().Add(cold)
		}
		e.mu.Unlock()
		for e.start() != nil {
			time.Sleep(20 * time.Millisecond)
		}
		e.w.log("engine %s (%s) is back", e.id, e.service)
	}()
}

func (e *engine) isCold(now time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return now.Before(e.coldUntil)
}

func (e *engine) handle(w http.ResponseWriter, r *http.Request, free chan struct{}, id string) {
	at := time.Now()
	a := arrival{at: at, id: r.Header.Get("X-Request-Id"), tenant: r.Header.Get("X-Tenant"), engine: id, healthCheck: r.URL.Path == "/healthz", coldAt: e.isCold(at), result: "lost"}
	defer func() { e.w.recordArrival(a) }()
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		a.result = "left"
		return
	}
	e.mu.Lock()
	for name, value := range e.headers {
		w.Header().Set(name, value)
	}
	cold := max(time.Until(e.coldUntil).Milliseconds(), 0)
	e.mu.Unlock()
	w.Header().Set("Keep-Alive", "timeout=15")
	w.Header().Set("X-Instance-Id", id)
	if a.id != "" {
		w.Header().Set("X-Request-Id", a.id)
	}
	notRun := func(status int) {
		a.result = "not run"
		w.Header().Set("X-Not-Run", "1")
		w.WriteHeader(status)
	}
	switch expected := r.Header.Get("X-Expect-Instance"); {
	case expected != "" && expected != id:
		a.result = "421"
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	case a.id == "" && !a.healthCheck:
		notRun(http.StatusBadRequest)
		return
	}
	if e.onArrival != nil {
		e.hold.Lock()
		e.onArrival(e, &a)
		e.hold.Unlock()
	}
	queue := e.queue
	if e.queueNow != nil {
		queue = e.queueNow()
	}
	e.mu.Lock()
	full := e.held >= e.slots+queue
	if !full {
		e.held++
	}
	e.mu.Unlock()
	if full {
		if e.onTurnedAway != nil {
			e.onTurnedAway(e, at)
		}
		notRun(http.StatusServiceUnavailable)
		return
	}
	defer func() {
		e.mu.Lock()
		e.held--
		e.mu.Unlock()
	}()
	ctx := r.Context()
	deadline := at.Add(time.Minute)
	if ms, err := strconv.Atoi(r.Header.Get("X-Deadline-Ms")); err == nil {
		deadline = at.Add(time.Duration(ms) * time.Millisecond)
	}
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	select {
	case free <- struct{}{}:
	case <-ctx.Done():
		if r.Context().Err() != nil {
			a.result = "left"
			return
		}
		notRun(http.StatusServiceUnavailable)
		return
	}
	defer func() { <-free }()
	if a.healthCheck {
		a.result = "health"
		if cold > 0 {
			w.Header().Set("X-Cold-Ms", strconv.FormatInt(cold, 10))
		}
		w.WriteHeader(http.StatusOK)
		return
	}
	a.result = "run"
	if e.onRun != nil && e.onRun(e, r) {
		panic(http.ErrAbortHandler)
	}
	e.mu.Lock()
	e.runs++
	e.mu.Unlock()
	defer func() {
		e.mu.Lock()
		e.runs--
		e.mu.Unlock()
	}()
	w.Header().Set("X-Server-Stamp", "3e1b.07.5a2.600.0."+id)
	events, work := e.events(r.URL.Path)
	pauses := max(events, 1)
	for n := range pauses {
		select {
		case <-time.After(work / time.Duration(pauses)):
		case <-ctx.Done():
			if r.Context().Err() == nil && n == 0 {
				w.WriteHeader(http.StatusGatewayTimeout)
			}
			return
		}
		if events > 0 {
			if n == 0 {
				w.Header().Set("Content-Type", "text/event-stream")
			}
			_, _ = fmt.Fprintf(w, "id: %d\ndata: %s\n\n", n+1, "seven tokens of an answer to the request that came here")
			_ = http.NewResponseController(w).Flush()
		}
	}
	if events == 0 {
		w.Header().Set("Content-Type", "text/plain")
		_, _ = w.Write(make([]byte, 800))
	}
}
