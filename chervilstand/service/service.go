// Package service is a stand-in for a plain service whose calls may not be
// repeated: each POST makes one thing, and GET tells how many were made.
package service

import (
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"
)

const maxBody = 1 << 20

// Service counts what POSTs made, by path. The zero value is ready; it is an
// http.Handler and safe for concurrent use.
type Service struct {
	Latency time.Duration

	mu     sync.Mutex
	counts map[string]int
	keys   map[string]int // POSTs by idempotency key, for tests
	drop   bool
}

// Drop has POSTs take effect and then cut their connection, or not.
func (s *Service) Drop(yes bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.drop = yes
}

// Count returns how many POSTs the path took.
func (s *Service) Count(path string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts[path]
}

// Repeated returns how many idempotency keys came more than once.
func (s *Service) Repeated() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for _, times := range s.keys {
		if times > 1 {
			n++
		}
	}
	return n
}

type made struct {
	ID    int `json:"id"`
	Count int `json:"count"`
}

type counted struct {
	Count int `json:"count"`
}

// ServeHTTP answers GET and POST on any path.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/load" {
		http.NotFound(w, r)
		return
	}
	_, _ = io.Copy(io.Discard, http.MaxBytesReader(w, r.Body, maxBody)) // the content is not used
	switch r.Method {
	case http.MethodGet:
		reply(w, http.StatusOK, counted{Count: s.Count(r.URL.Path)})
	case http.MethodPost:
		time.Sleep(s.Latency)
		n, drop := s.make(r)
		if drop {
			panic(http.ErrAbortHandler)
		}
		reply(w, http.StatusCreated, made{ID: n, Count: n})
	default:
		http.Error(w, "use GET or POST", http.StatusMethodNotAllowed)
	}
}

func (s *Service) make(r *http.Request) (n int, drop bool) {
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
	return s.counts[r.URL.Path], s.drop
}

func reply(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v) // the caller may be gone
}
