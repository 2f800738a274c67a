package main

import (
	"context"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Arrival is a request as an engine got it.
type Arrival struct {
	At      time.Time
	Engine  string
	Service string
	ID      string
	Method  string
	Target  string
	Header  http.Header
	Body    uint64 // hash
	Length  int
	Run     bool
}

// Journal holds all arrivals.
type Journal struct {
	mu   sync.Mutex
	list []*Arrival
}

// Add adds an arrival.
func (j *Journal) Add(a *Arrival) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.list = append(j.list, a)
}

// All returns the arrivals so far.
func (j *Journal) All() []*Arrival {
	j.mu.Lock()
	defer j.mu.Unlock()
	return append([]*Arrival(nil), j.list...)
}

// Hash returns the hash by which bodies are compared.
func Hash(b []byte) uint64 {
	h := fnv.New64a()
	_, _ = h.Write(b) // never fails
	return h.Sum64()
}

// Engine is a stand-in of an engine or of a plain service.
type Engine struct {
	Service, Zone, Address string
	Slots                  int
	Queue                  int
	Work                   time.Duration
	WorkOf                 func() time.Duration // in place of Work; may be nil
	Events                 int                  // of a stream; 0 for a plain answer
	Gap                    time.Duration        // between events
	Beat                   time.Duration
	ColdS                  float64 // how long it is cold after a start
	Store                  *Store
	Journal                *Journal
	Record                 *Record
	// Before is called for each request that is about to run. If it returns true, it has
	// answered.
	Before func(e *Engine, w http.ResponseWriter, r *http.Request, a *Arrival) bool
	// Headers returns header fields that are added to each answer.
	Headers func(e *Engine) map[string]string

	mu       sync.Mutex
	id       string
	born     int64
	state    string
	seq      int
	listener net.Listener
	server   *http.Server
	stopBeat chan struct{}
	silent   atomic.Bool
	running  atomic.Int64
	waiting  atomic.Int64
	slots    chan struct{}
	Arrived  atomic.Int64
}

var engineNumber atomic.Int64

// Start starts a new run of the engine with a new ID, or the old one if keepID is set.
func (e *Engine) Start(keepID bool) error {
	l, err := net.Listen("tcp", e.Address)
	if err != nil {
		return err
	}
	e.mu.Lock()
	if e.id == "" || !keepID {
		e.id = fmt.Sprintf("i-%06x", 0x3a0000+engineNumber.Add(1))
	}
	e.born, e.state, e.seq = time.Now().UnixMilli(), "ready", 0
	e.listener, e.stopBeat = l, make(chan struct{})
	e.Address = l.Addr().String()
	e.slots = make(chan struct{}, max(e.Slots, 1))
	e.server = &http.Server{Handler: e, IdleTimeout: 30 * time.Second}
	server, stop := e.server, e.stopBeat
	e.mu.Unlock()
	go func() { _ = server.Serve(l) }()
	e.Write()
	go func() {
		ticker := time.NewTicker(e.Beat)
		defer ticker.Stop()
		for {
			select {
			case <-stop:
				return
			case <-ticker.C:
				e.Write()
			}
		}
	}()
	return nil
}

// ID returns the ID of the present run.
func (e *Engine) ID() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.id
}

// SetState changes the state and writes it.
func (e *Engine) SetState(state string) {
	e.mu.Lock()
	e.state = state
	e.mu.Unlock()
	e.Write()
}

// Write writes the engine's entry.
func (e *Engine) Write() {
	if e.silent.Load() {
		return
	}
	e.mu.Lock()
	e.seq++
	value, _ := json.Marshal(map[string]any{
		"Service": e.Service, "Addr": e.Address, "Zone": e.Zone, "Version": "v1", "Slots": e.Slots, "State": e.state,
		"ColdLeftMs": max(e.ColdS*1000-float64(time.Now().UnixMilli()-e.born), 0), "Seq": e.seq, "born": e.born,
	})
	key := "servers/" + e.id
	e.mu.Unlock()
	e.Store.Put(key, value)
}

// Crash closes everything at once. The entry is left.
func (e *Engine) Crash() {
	e.mu.Lock()
	server, stop := e.server, e.stopBeat
	e.stopBeat = nil
	e.mu.Unlock()
	if stop == nil {
		return
	}
	close(stop)
	_ = server.Close() // the engine has crashed
}

// Leave removes the entry and ends the beats; the engine goes on serving.
func (e *Engine) Leave() {
	e.mu.Lock()
	stop := e.stopBeat
	e.stopBeat = nil
	e.mu.Unlock()
	if stop != nil {
		close(stop)
	}
	e.Store.Delete("servers/" + e.ID())
}

func (e *Engine) setHeaders(w http.ResponseWriter, r *http.Request) {
	h := w.Header()
	h.Set("X-Instance-Id", e.ID())
	if id := r.Header.Get("X-Request-Id"); id != "" {
		h.Set("X-Request-Id", id)
	}
	if e.Headers != nil {
		for name, value := range e.Headers(e) {
			h.Set(name, value)
		}
	}
}

// ServeHTTP serves a request.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e.setHeaders(w, r)
	if r.URL.Path == "/healthz" {
		w.WriteHeader(http.StatusOK)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	a := &Arrival{At: time.Now(), Engine: e.ID(), Service: e.Service, ID: r.Header.Get("X-Request-Id"), Method: r.Method, Target: r.RequestURI, Header: r.Header.Clone(), Body: Hash(body), Length: len(body)}
	if expect := r.Header.Get("X-Expect-Instance"); expect != "" && expect != e.ID() {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	e.Arrived.Add(1)
	e.Journal.Add(a)
	if e.Before != nil && e.Before(e, w, r, a) {
		return
	}
	if int(e.waiting.Load()) >= e.Queue+e.Slots {
		e.refuse(w, a)
		return
	}
	e.waiting.Add(1)
	defer e.waiting.Add(-1)
	select {
	case e.slots <- struct{}{}:
	case <-r.Context().Done():
		return
	}
	defer func() { <-e.slots }()
	a.Run = true
	e.running.Add(1)
	defer e.running.Add(-1)
	e.Record.Printf("engine %s runs %s %s %s", a.Engine, a.ID, a.Method, a.Target)
	work := e.Work
	if e.WorkOf != nil {
		work = e.WorkOf()
	}
	if !sleep(r.Context(), work) {
		return
	}
	if e.Events > 0 {
		e.stream(w, r, a)
		return
	}
	e.answer(w, a)
}

func (e *Engine) refuse(w http.ResponseWriter, a *Arrival) {
	e.Record.Printf("engine %s turns away %s %s %s", a.Engine, a.ID, a.Method, a.Target)
	w.Header().Set("X-Not-Run", "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}

// Body returns the body of a plain answer.
func Body(id string) string { return "answer to " + id + " " + strings.Repeat("x", 800) }

func (e *Engine) answer(w http.ResponseWriter, a *Arrival) {
	text := Body(a.ID)
	w.Header().Set("X-Server-Stamp", "3e1b."+a.ID)
	w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	w.WriteHeader(http.StatusOK)
	_, _ = io.WriteString(w, text) // the caller may have gone
}

func (e *Engine) stream(w http.ResponseWriter, r *http.Request, a *Arrival) {
	w.Header().Set("X-Server-Stamp", "3e1b."+a.ID)
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	first := 1
	if last, err := strconv.Atoi(r.Header.Get("Last-Event-Id")); err == nil {
		first = last + 1
	}
	for n := first; n <= e.Events; n++ {
		if n > first && !sleep(r.Context(), e.Gap) {
			return
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s %d\n\n", n, a.ID, n); err != nil {
			return
		}
		_ = http.NewResponseController(w).Flush() // as above
	}
}

func sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}
