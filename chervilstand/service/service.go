// Package service simulates a plain service whose requests are not idempotent:
// each POST creates an object, and GET returns how many were created.
package service

import (
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"
)

const maxBodyBytes = 1 << 20

// Service counts the objects that POSTs created, by path. It is an http.Handler.
// The zero value is ready to use. It is safe for concurrent use.
type Service struct {
	Latency time.Duration // processing time of a POST
	OnCrash func()        // ends the service's server and all its connections; may be nil

	mu     sync.Mutex
	counts map[string]int // objects by path
	keys   map[string]int // POSTs by idempotency key
	cut    bool           // cut the connections of POSTs
	raw    []byte         // response to POSTs; nil for the usual one

	crashPath string // requests for it crash the service, unless it is empty
	crashes   int
}

// CrashOn makes requests for the path crash the service before it answers.
func (s *Service) CrashOn(path string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.crashPath = path
}

// Crashes returns the number of requests that crashed the service.
func (s *Service) Crashes() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.crashes
}

// SetRawResponse sets the bytes that are sent in response to a POST after it has taken
// effect. The connection is then closed in good order.
func (s *Service) SetRawResponse(raw []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.raw = raw
}

// CutConnections sets whether the connection of a POST is cut after it has taken
// effect.
func (s *Service) CutConnections(enabled bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cut = enabled
}

// Count returns the number of objects that POSTs to a path created.
func (s *Service) Count(path string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts[path]
}

// RepeatedKeys returns the number of idempotency keys that came with more than one
// POST.
func (s *Service) RepeatedKeys() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for _, posts := range s.keys {
		if posts > 1 {
			n++
		}
	}
	return n
}

// createResponse is the response to a POST.
type createResponse struct {
	ID    int `json:"id"`
	Count int `json:"count"`
}

// countResponse is the response to a GET.
type countResponse struct {
	Count int `json:"count"`
}

// ServeHTTP serves GET and POST on any path except /load, since a service has no
// load reports.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/load" {
		http.NotFound(w, r)
		return
	}
	_, _ = io.Copy(io.Discard, http.MaxBytesReader(w, r.Body, maxBodyBytes)) // the body is not used
	if s.crash(r.URL.Path) {
		panic(http.ErrAbortHandler)
	}
	switch r.Method {
	case http.MethodGet:
		writeJSON(w, http.StatusOK, countResponse{Count: s.Count(r.URL.Path)})
	case http.MethodPost:
		time.Sleep(s.Latency)
		n, cut, raw := s.create(r)
		switch {
		case cut:
			panic(http.ErrAbortHandler)
		case raw != nil:
			writeRaw(w, raw)
		default:
			writeJSON(w, http.StatusCreated, createResponse{ID: n, Count: n})
		}
	default:
		http.Error(w, "use GET or POST", http.StatusMethodNotAllowed)
	}
}

// crash ends the service if a request for the path crashes it, and reports whether it does.
func (s *Service) crash(path string) bool {
	s.mu.Lock()
	crashes := s.crashPath != "" && path == s.crashPath
	if crashes {
		s.crashes++
	}
	s.mu.Unlock()
	if crashes && s.OnCrash != nil {
		s.OnCrash()
	}
	return crashes
}

// create counts a POST and the idempotency key, if any. It returns the number of
// objects of the path, whether to cut the connection, and the bytes to respond with
// if they are not the usual ones.
func (s *Service) create(r *http.Request) (n int, cut bool, raw []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.counts == nil {
		s.counts = make(map[string]int)
		s.keys = make(map[string]int)
	}
	s.counts[r.URL.Path]++
	if k := r.Header.Get("Idempotency-Key"); k != "" {
		s.keys[k]++
	}
	return s.counts[r.URL.Path], s.cut, s.raw
}

// writeRaw sends the bytes and closes the connection.
func writeRaw(w http.ResponseWriter, raw []byte) {
	c, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	_, _ = c.Write(raw) // fails only if the client has disconnected
	_ = c.Close()       // no request uses it
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v) // fails only if the client has disconnected
}
