package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// engine is a stand-in for a model engine that follows the pages: it registers itself in the
// store, answers its health check, streams events, checks X-Expect-Instance, and says X-Not-Run
// where it did not run a request.
type engine struct {
	id, service, zone, addr string
	slots                   int
	memory                  float64 // tokens; 0 for no limit
	work                    time.Duration
	born                    int64
	rec                     *record
	// answer decides about a request or a health check that reaches the engine. It may be nil.
	answer func(now time.Time) verdict

	mu      sync.Mutex
	seq     int
	running int
}

// verdict is what an engine does with a request.
type verdict struct {
	turnAway   bool
	retryAfter time.Duration // 0 for none
	limit      float64       // Server-Limit; 0 for none
}

func (e *engine) start(ip string) error {
	ln, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return err
	}
	e.addr, e.born = ln.Addr().String(), time.Now().UnixMilli()
	go func() { _ = http.Serve(ln, e) }()
	return nil
}

// beat writes the engine's entry every 1.2 s until stop is closed. While the store is down, nothing
// is written.
func (e *engine) beat(s *store, stop <-chan struct{}) {
	ticker := time.NewTicker(1200 * time.Millisecond)
	defer ticker.Stop()
	for {
		s.mu.Lock()
		down := s.down
		s.mu.Unlock()
		if !down {
			e.seq++
			entry, _ := json.Marshal(map[string]any{
				"Service": e.service, "Addr": e.addr, "Zone": e.zone, "Version": "v1", "Slots": e.slots, "State": "ready", "ColdLeftMs": 0,
				"Stage": "colocated", "Models": []any{map[string]any{"Name": "m", "Version": 1, "Adapters": []string{}}}, "Seq": e.seq, "born": e.born,
			})
			s.put("servers/"+e.id, entry)
		}
		select {
		case <-ticker.C:
		case <-stop:
			return
		}
	}
}

func (e *engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	now := time.Now()
	health := r.URL.Path == "/healthz"
	id := r.Header.Get("X-Request-Id")
	h := w.Header()
	h["Date"] = nil
	if health {
		h.Set("X-Instance-Id", e.id)
	} else {
		h.Set("X-Request-Id", id)
	}
	if want := r.Header.Get("X-Expect-Instance"); want != "" && want != e.id {
		h.Set("X-Instance-Id", e.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	var v verdict
	if e.answer != nil {
		v = e.answer(now)
	}
	if v.limit > 0 {
		h.Set("Server-Limit", strconv.FormatFloat(v.limit, 'f', -1, 64))
	}
	if e.memory > 0 && !v.turnAway {
		var in, out float64
		if _, err := fmt.Sscanf(r.Header.Get("X-Token-Count"), "%g,%g", &in, &out); err == nil && in+out > e.memory {
			v.turnAway = true // as if it were full
		}
	}
	kind := "request"
	if health {
		kind = "health"
	}
	if v.turnAway {
		h.Set("X-Not-Run", "1")
		if v.retryAfter > 0 {
			h.Set("Retry-After", strconv.FormatFloat(v.retryAfter.Seconds(), 'f', 1, 64))
		}
		e.rec.add(event{at: now, what: kind, engine: e.id, id: id, result: "503", retryAfter: v.retryAfter})
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	e.rec.add(event{at: now, what: kind, engine: e.id, id: id, result: "taken"})
	if health {
		w.WriteHeader(http.StatusOK)
		return
	}
	h.Set("X-Server-Stamp", "s."+e.id+"."+id)
	h.Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	for n := 1; n <= 3; n++ {
		select {
		case <-time.After(e.work / 3):
		case <-r.Context().Done():
			return
		}
		fmt.Fprintf(w, "id: %d\ndata: piece %d of %s\n\n", n, n, id)
		w.(http.Flusher).Flush()
	}
}
