package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// historyTime is how long the store keeps changes for watches.
const historyTime = 20 * time.Second

// item is a key of the store as calls encode it.
type item struct {
	Key        string `json:"Key"`
	Value      []byte `json:"Value"`
	Rev        int64  `json:"Rev"`
	CreatedRev int64  `json:"CreatedRev"`
	Lease      int64  `json:"Lease"`
	Tombstone  bool   `json:"Tombstone,omitempty"`
	at         time.Time
}

type lease struct {
	ttl  time.Duration
	ends time.Time
}

// Store is the platform's metadata store, in memory. All its responses are linearizable.
type Store struct {
	mu        sync.Mutex
	rev       int64
	items     map[string]item
	history   []item
	compacted int64 // changes up to this revision are no longer kept
	leases    map[int64]*lease
	lastLease int64
	changed   chan struct{} // closed at each change
}

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{rev: 100, items: map[string]item{}, leases: map[int64]*lease{}, changed: make(chan struct{})}
}

// Serve serves the store at the listener.
func (s *Store) Serve(l net.Listener) *http.Server {
	server := &http.Server{Handler: s}
	go func() { _ = server.Serve(l) }()
	return server
}

func (s *Store) record(it item) {
	it.at = time.Now()
	s.history = append(s.history, it)
	for len(s.history) > 0 && time.Since(s.history[0].at) > historyTime {
		s.compacted = s.history[0].Rev
		s.history = s.history[1:]
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Store) put(key string, value []byte, leaseID int64) int64 {
	s.rev++
	it := item{Key: key, Value: value, Rev: s.rev, CreatedRev: s.rev, Lease: leaseID}
	if old, ok := s.items[key]; ok {
		it.CreatedRev = old.CreatedRev
	}
	s.items[key] = it
	s.record(it)
	return s.rev
}

func (s *Store) remove(key string) {
	if _, ok := s.items[key]; !ok {
		return
	}
	s.rev++
	delete(s.items, key)
	s.record(item{Key: key, Rev: s.rev, Tombstone: true})
}

// Put writes a key as the operator or a server does.
func (s *Store) Put(key string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.put(key, data, 0)
}

// Remove removes a key.
func (s *Store) Remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.remove(key)
}

func (s *Store) expire() {
	now := time.Now()
	for id, l := range s.leases {
		if now.After(l.ends) {
			s.endLease(id)
		}
	}
}

func (s *Store) endLease(id int64) {
	delete(s.leases, id)
	for key, it := range s.items {
		if it.Lease == id {
			s.remove(key)
		}
	}
}

func answer(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

// ServeHTTP serves a call.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	path := r.URL.Path
	switch {
	case path == "/v1/kv-watch":
		s.watch(w, r)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	switch {
	case path == "/v1/kv-key":
		it, ok := s.items[q.Get("Key")]
		if !ok {
			answer(w, http.StatusNotFound, map[string]any{"StoreRevision": s.rev})
			return
		}
		answer(w, http.StatusOK, map[string]any{
			"Key": it.Key, "Value": it.Value, "Rev": it.Rev, "CreatedRev": it.CreatedRev, "Lease": it.Lease, "StoreRevision": s.rev,
		})
	case path == "/v1/kv-range":
		list, truncated := s.page(q.Get("PathPrefix"), q.Get("after"))
		answer(w, http.StatusOK, map[string]any{"items": list, "Truncated": truncated, "StoreRevision": s.rev})
	case path == "/v1/kv-txn":
		s.transact(w, r)
	case path == "/v1/kv-lease":
		var in struct{ TtlMs int64 }
		_ = json.NewDecoder(r.Body).Decode(&in)
		s.lastLease++
		ttl := time.Duration(min(max(in.TtlMs, 1000), 600000)) * time.Millisecond
		s.leases[s.lastLease] = &lease{ttl: ttl, ends: time.Now().Add(ttl)}
		answer(w, http.StatusOK, map[string]any{"Lease": s.lastLease, "TtlMs": ttl.Milliseconds()})
	case strings.HasPrefix(path, "/v1/kv-keep/"):
		id, _ := strconv.ParseInt(strings.TrimPrefix(path, "/v1/kv-keep/"), 10, 64)
		l := s.leases[id]
		if l == nil {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		l.ends = time.Now().Add(l.ttl)
		answer(w, http.StatusOK, map[string]any{"TtlMs": l.ttl.Milliseconds()})
	case strings.HasPrefix(path, "/v1/kv-lease-end/"):
		id, _ := strconv.ParseInt(strings.TrimPrefix(path, "/v1/kv-lease-end/"), 10, 64)
		s.endLease(id)
		answer(w, http.StatusOK, map[string]any{})
	default:
		http.NotFound(w, r)
	}
}

func (s *Store) page(prefix, after string) ([]item, bool) {
	keys := []string{}
	for key := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	list, size := []item{}, 0
	for _, key := range keys {
		if len(list) == 500 || size > 1<<20 {
			return list, true
		}
		list = append(list, s.items[key])
		size += len(s.items[key].Value)
	}
	return list, false
}

func (s *Store) transact(w http.ResponseWriter, r *http.Request) {
	var in struct {
		ExpectRev []struct {
			Key string
			Rev int64
		}
		Puts []struct {
			Key   string
			Value []byte
			Lease int64
		}
		Delete []string
	}
	if err := json.NewDecoder(r.Body).Decode(&in); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	current, holds := []item{}, true
	for _, e := range in.ExpectRev {
		it, ok := s.items[e.Key]
		if !ok {
			it = item{Key: e.Key}
		}
		current = append(current, it)
		holds = holds && it.Rev == e.Rev
	}
	if !holds {
		answer(w, http.StatusPreconditionFailed, map[string]any{"items": current, "StoreRevision": s.rev})
		return
	}
	for _, p := range in.Puts {
		if strings.HasPrefix(p.Key, "op/") || strings.HasPrefix(p.Key, "servers/") {
			w.WriteHeader(http.StatusForbidden)
			return
		}
		if p.Lease != 0 && s.leases[p.Lease] == nil {
			w.WriteHeader(http.StatusNotFound)
			return
		}
	}
	for _, p := range in.Puts {
		s.put(p.Key, p.Value, p.Lease)
	}
	for _, key := range in.Delete {
		s.remove(key)
	}
	answer(w, http.StatusOK, map[string]any{"Rev": s.rev})
}

func (s *Store) watch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	prefix := q.Get("PathPrefix")
	after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
	wait, _ := strconv.ParseInt(q.Get("WaitMs"), 10, 64)
	timer := time.NewTimer(time.Duration(min(wait, 30000)) * time.Millisecond)
	defer timer.Stop()
	over := false
	for {
		s.mu.Lock()
		s.expire()
		if after < s.compacted {
			s.mu.Unlock()
			w.WriteHeader(http.StatusGone)
			return
		}
		events := []item{}
		for _, it := range s.history {
			if it.Rev > after && strings.HasPrefix(it.Key, prefix) {
				events = append(events, it)
			}
		}
		rev, changed := s.rev, s.changed
		s.mu.Unlock()
		if len(events) > 0 || over {
			answer(w, http.StatusOK, map[string]any{"events": events, "StoreRevision": rev})
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			over = true
		case <-r.Context().Done():
			return
		}
	}
}
