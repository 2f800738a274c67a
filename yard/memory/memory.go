// Package memory is a stand-in for the platform's key-value service: it keeps
// values in memory, answers the same protocol, and fails on demand.
package memory

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

// The faults that a Store can be told to have.
const (
	FaultNone = ""
	FaultDown = "down" // every call is refused with 503 before it has an effect
	FaultHang = "hang" // calls are not answered until the fault ends
	FaultLose = "lose" // writes take effect, and their connection is cut without an answer
)

const (
	maxWatch = time.Minute
	maxValue = 1 << 20
)

// Store is the stand-in. The zero value is empty and ready; it is an
// http.Handler and safe for concurrent use.
type Store struct {
	mu       sync.Mutex
	values   map[string]store.Value
	revision int64
	changed  chan struct{} // closed at the next change
	fault    string
	healed   chan struct{} // closed when the fault ends
	counts   map[string]int64
}

// Fail sets the fault, FaultNone for none.
func (s *Store) Fail(fault string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = fault
	if s.healed != nil {
		close(s.healed)
	}
	s.healed = make(chan struct{})
}

// Counts returns how many calls of each kind the store took.
func (s *Store) Counts() map[string]int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make(map[string]int64, len(s.counts))
	for k, n := range s.counts {
		out[k] = n
	}
	return out
}

// Get returns the value of a key.
func (s *Store) Get(key string) store.Value {
	s.mu.Lock()
	defer s.mu.Unlock()
	v := s.values[key]
	v.Key = key
	return v
}

// Put writes the value if the key has the expected revision, and returns the
// value that stands and whether it was written.
func (s *Store) Put(key string, data []byte, expected int64) (store.Value, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	old := s.values[key]
	if old.Revision != expected {
		return old, false
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

// ServeHTTP answers the store's protocol, and PUT /fault?mode=MODE&for=TIME.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/fault" {
		s.serveFault(w, r)
		return
	}
	if !s.pass(w, r) {
		return
	}
	key, isKey := strings.CutPrefix(r.URL.Path, "/v1/kv/")
	switch {
	case r.URL.Path == "/v1/list":
		s.count("list")
		s.serveList(w, r.URL.Query().Get("prefix"))
	case isKey && r.Method == http.MethodGet && r.URL.Query().Has("after"):
		s.count("watch")
		s.serveWatch(w, r, key)
	case isKey && r.Method == http.MethodGet:
		s.count("get")
		answer(w, s.Get(key))
	case isKey && r.Method == http.MethodPut:
		s.count("put")
		s.servePut(w, r, key)
	case isKey && r.Method == http.MethodDelete:
		s.count("delete")
		s.serveDelete(w, r, key)
	default:
		http.Error(w, "no such call", http.StatusNotFound)
	}
}

// pass holds a call up or refuses it where the fault says so.
func (s *Store) pass(w http.ResponseWriter, r *http.Request) bool {
	for {
		s.mu.Lock()
		fault, healed := s.fault, s.healed
		s.mu.Unlock()
		switch fault {
		case FaultDown:
			http.Error(w, "the store is down", http.StatusServiceUnavailable)
			return false
		case FaultHang:
			select {
			case <-healed:
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
	if !slices.Contains([]string{FaultNone, FaultDown, FaultHang, FaultLose}, mode) {
		http.Error(w, "mode is none of down, hang, lose or empty", http.StatusBadRequest)
		return
	}
	s.Fail(mode)
	if d, err := time.ParseDuration(r.URL.Query().Get("for")); err == nil {
		time.AfterFunc(d, func() { s.Fail(FaultNone) })
	}
	w.WriteHeader(http.StatusNoContent)
}

func (s *Store) serveList(w http.ResponseWriter, prefix string) {
	s.mu.Lock()
	found := []store.Value{}
	for key, v := range s.values {
		if strings.HasPrefix(key, prefix) {
			found = append(found, v)
		}
	}
	s.mu.Unlock()
	slices.SortFunc(found, func(a, b store.Value) int { return strings.Compare(a.Key, b.Key) })
	reply(w, http.StatusOK, found)
}

func (s *Store) serveWatch(w http.ResponseWriter, r *http.Request, key string) {
	after, _ := strconv.ParseInt(r.URL.Query().Get("after"), 10, 64)
	wait, _ := time.ParseDuration(r.URL.Query().Get("wait"))
	timer := time.NewTimer(min(wait, maxWatch))
	defer timer.Stop()
	for {
		s.mu.Lock()
		if s.changed == nil {
			s.changed = make(chan struct{})
		}
		changed, healed, v, fault := s.changed, s.healed, s.values[key], s.fault
		s.mu.Unlock()
		if fault == FaultDown || fault == FaultHang {
			panic(http.ErrAbortHandler)
		}
		if v.Revision != after {
			answer(w, v)
			return
		}
		select {
		case <-changed:
		case <-healed: // a fault began or ended
		case <-timer.C:
			answer(w, v)
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
	data, err := io.ReadAll(io.LimitReader(r.Body, maxValue+1))
	if err != nil || len(data) > maxValue {
		http.Error(w, "the value is over a megabyte", http.StatusRequestEntityTooLarge)
		return
	}
	v, ok := s.Put(key, data, expected)
	s.mu.Lock()
	lose := s.fault == FaultLose
	s.mu.Unlock()
	if lose {
		panic(http.ErrAbortHandler)
	}
	if !ok {
		reply(w, http.StatusConflict, store.Value{Key: key, Revision: v.Revision})
		return
	}
	reply(w, http.StatusOK, store.Value{Key: key, Revision: v.Revision})
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
		reply(w, http.StatusConflict, store.Value{Key: key, Revision: v.Revision})
		return
	}
	reply(w, http.StatusOK, store.Value{Key: key})
}

func (s *Store) count(op string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.counts == nil {
		s.counts = make(map[string]int64)
	}
	s.counts[op]++
}

func answer(w http.ResponseWriter, v store.Value) {
	if v.Revision == 0 {
		http.Error(w, "no value", http.StatusNotFound)
		return
	}
	reply(w, http.StatusOK, v)
}

func reply(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v) // the caller may be gone
}
