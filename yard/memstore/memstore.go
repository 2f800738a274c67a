// Package memstore implements a fake of the platform's key-value service. It keeps
// values in memory, serves the same protocol, and can inject faults.
package memstore

import (
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"chervilyard.example/yard/store"
)

// The faults that Store.SetFault can inject. FaultDown and FaultHang also close the
// connections of watches in progress.
const (
	FaultNone         = ""
	FaultDown         = "down" // every call fails with status 503 and has no effect
	FaultHang         = "hang" // calls block until the fault ends
	FaultLoseResponse = "lose" // PUT calls are carried out, but their connection is closed without a response
)

const (
	maxWatchWait  = time.Minute
	maxValueBytes = 1 << 20
)

// Store is a fake key-value store. It is an http.Handler. The zero value is empty
// and ready to use. It is safe for concurrent use.
type Store struct {
	mu           sync.Mutex
	values       map[string]store.Value
	revision     int64
	changed      chan struct{} // closed at the next successful Put
	fault        string
	faultChanged chan struct{}    // closed when the fault changes
	callCounts   map[string]int64 // by kind of call
}

// SetFault injects a fault that lasts until the next call of SetFault; FaultNone
// ends it.
func (s *Store) SetFault(fault string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = fault
	if s.faultChanged != nil {
		close(s.faultChanged)
	}
	s.faultChanged = make(chan struct{})
}

// CallCounts returns the number of HTTP calls by kind: list, watch, get, put and
// delete.
func (s *Store) CallCounts() map[string]int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	counts := make(map[string]int64, len(s.callCounts))
	for kind, n := range s.callCounts {
		counts[kind] = n
	}
	return counts
}

// Get returns the value of a key. Its revision is 0 if the key has no value.
func (s *Store) Get(key string) store.Value {
	s.mu.Lock()
	defer s.mu.Unlock()
	v := s.values[key]
	v.Key = key
	return v
}

// Put writes the value if the key is at the expected revision, 0 for a key without a
// value. It returns the current value and whether it was written.
func (s *Store) Put(key string, data []byte, expected int64) (store.Value, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	current := s.values[key]
	if current.Revision != expected {
		return current, false
	}
	if s.values == nil {
		s.values = make(map[string]store.Value)
	}
	s.revision++
	v := store.Value{Key: key, Data: data, Revision: s.revision}
	s.values[key] = v
	if s.changed != nil {
		close(s.changed)
	}
	s.changed = make(chan struct{})
	return v, true
}

// ServeHTTP serves the protocol of the key-value service, and
// PUT /fault?mode=MODE&for=DURATION, which injects a fault.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/fault" {
		s.serveFault(w, r)
		return
	}
	if !s.applyFault(w, r) {
		return
	}
	key, isKey := strings.CutPrefix(r.URL.Path, "/v1/kv/")
	switch {
	case r.URL.Path == "/v1/list":
		s.countCall("list")
		s.serveList(w, r.URL.Query().Get("prefix"))
	case isKey && r.Method == http.MethodGet && r.URL.Query().Has("after"):
		s.countCall("watch")
		s.serveWatch(w, r, key)
	case isKey && r.Method == http.MethodGet:
		s.countCall("get")
		writeValue(w, s.Get(key))
	case isKey && r.Method == http.MethodPut:
		s.countCall("put")
		s.servePut(w, r, key)
	case isKey && r.Method == http.MethodDelete:
		s.countCall("delete")
		s.serveDelete(w, r, key)
	default:
		http.Error(w, "no such call", http.StatusNotFound)
	}
}

// applyFault blocks or fails a call according to the injected fault. It reports
// whether the call should be served.
func (s *Store) applyFault(w http.ResponseWriter, r *http.Request) bool {
	for {
		s.mu.Lock()
		fault, faultChanged := s.fault, s.faultChanged
		s.mu.Unlock()
		switch fault {
		case FaultDown:
			http.Error(w, "the store is down", http.StatusServiceUnavailable)
			return false
		case FaultHang:
			select {
			case <-faultChanged:
			case <-r.Context().Done():
				return false
			}
		default:
			return true
		}
	}
}

func (s *Store) serveFault(w http.ResponseWriter, r *http.Request) {
	mode := r.URL.Query().Get("mode")
	if !slices.Contains([]string{FaultNone, FaultDown, FaultHang, FaultLoseResponse}, mode) {
		http.Error(w, "mode is none of down, hang, lose or empty", http.StatusBadRequest)
		return
	}
	s.SetFault(mode)
	if d, err := time.ParseDuration(r.URL.Query().Get("for")); err == nil {
		time.AfterFunc(d, func() { s.SetFault(FaultNone) })
	}
	w.WriteHeader(http.StatusNoContent)
}

func (s *Store) serveList(w http.ResponseWriter, prefix string) {
	s.mu.Lock()
	matches := []store.Value{}
	for key, v := range s.values {
		if strings.HasPrefix(key, prefix) {
			matches = append(matches, v)
		}
	}
	s.mu.Unlock()
	slices.SortFunc(matches, func(a, b store.Value) int { return strings.Compare(a.Key, b.Key) })
	writeJSON(w, http.StatusOK, matches)
}

func (s *Store) serveWatch(w http.ResponseWriter, r *http.Request, key string) {
	after, _ := strconv.ParseInt(r.URL.Query().Get("after"), 10, 64)
	wait, _ := time.ParseDuration(r.URL.Query().Get("wait"))
	timer := time.NewTimer(min(wait, maxWatchWait))
	defer timer.Stop()
	for {
		s.mu.Lock()
		if s.changed == nil {
			s.changed = make(chan struct{})
		}
		changed, faultChanged, v, fault := s.changed, s.faultChanged, s.values[key], s.fault
		s.mu.Unlock()
		if fault == FaultDown || fault == FaultHang {
			panic(http.ErrAbortHandler)
		}
		if v.Revision != after {
			writeValue(w, v)
			return
		}
		select {
		case <-changed:
		case <-faultChanged: // a fault began or ended
		case <-timer.C:
			writeValue(w, v)
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *Store) servePut(w http.ResponseWriter, r *http.Request, key string) {
	expected, err := strconv.ParseInt(r.URL.Query().Get("revision"), 10, 64)
	if err != nil {
		http.Error(w, "revision is not a number", http.StatusBadRequest)
		return
	}
	data, err := io.ReadAll(io.LimitReader(r.Body, maxValueBytes+1))
	if err != nil || len(data) > maxValueBytes {
		http.Error(w, "the value is over a megabyte", http.StatusRequestEntityTooLarge)
		return
	}
	v, ok := s.Put(key, data, expected)
	s.mu.Lock()
	loseResponse := s.fault == FaultLoseResponse
	s.mu.Unlock()
	if loseResponse {
		panic(http.ErrAbortHandler)
	}
	if !ok {
		writeJSON(w, http.StatusConflict, store.Value{Key: key, Revision: v.Revision})
		return
	}
	writeJSON(w, http.StatusOK, store.Value{Key: key, Revision: v.Revision})
}

func (s *Store) serveDelete(w http.ResponseWriter, r *http.Request, key string) {
	expected, err := strconv.ParseInt(r.URL.Query().Get("revision"), 10, 64)
	if err != nil {
		http.Error(w, "revision is not a number", http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	v := s.values[key]
	ok := v.Revision == expected
	if ok {
		delete(s.values, key)
	}
	s.mu.Unlock()
	if !ok {
		writeJSON(w, http.StatusConflict, store.Value{Key: key, Revision: v.Revision})
		return
	}
	writeJSON(w, http.StatusOK, store.Value{Key: key})
}

func (s *Store) countCall(kind string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.callCounts == nil {
		s.callCounts = make(map[string]int64)
	}
	s.callCounts[kind]++
}

// writeValue writes the value, or status 404 if it does not exist.
func writeValue(w http.ResponseWriter, v store.Value) {
	if v.Revision == 0 {
		http.Error(w, "no value", http.StatusNotFound)
		return
	}
	writeJSON(w, http.StatusOK, v)
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v) // the caller may have disconnected
}
