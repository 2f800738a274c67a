package main

import (
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// storeDelay is how long the store takes for an answer.
const storeDelay = 4 * time.Millisecond

type storeItem struct {
	Key        string
	Value      []byte
	Rev        int64
	CreatedRev int64
	Lease      int64
}

type storeEvent struct {
	Key       string
	Value     []byte `json:",omitempty"`
	Rev       int64
	Tombstone bool `json:",omitempty"`
}

type storeLease struct {
	ttl time.Duration
	end time.Time
}

// store is a stand-in for the platform's metadata store.
type store struct {
	mu      sync.Mutex
	rev     int64
	items   map[string]storeItem
	events  []storeEvent
	leases  map[int64]*storeLease
	changed chan struct{} // closed at the next change
	refuse  func(r *http.Request) bool
}

func newStore() *store {
	return &store{rev: 100, items: map[string]storeItem{}, leases: map[int64]*storeLease{}, changed: make(chan struct{})}
}

func (s *store) serve(l net.Listener) {
	go func() {
		for range time.Tick(100 * time.Millisecond) {
			s.expire(time.Now())
		}
	}()
	go func() { _ = http.Serve(l, s) }()
}

// put writes a key and returns the revision, as the operator and the engines do.
func (s *store) put(key string, v any) int64 {
	text, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rev++
	s.write(key, text, 0)
	return s.rev
}

func (s *store) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.items[key]; ok {
		s.rev++
		s.erase(key)
	}
}

func (s *store) write(key string, value []byte, lease int64) {
	it := storeItem{Key: key, Value: value, Rev: s.rev, CreatedRev: s.rev, Lease: lease}
	if old, ok := s.items[key]; ok {
		it.CreatedRev = old.CreatedRev
	}
	s.items[key] = it
	s.notify(storeEvent{Key: key, Value: value, Rev: s.rev})
}

func (s *store) erase(key string) {
	delete(s.items, key)
	s.notify(storeEvent{Key: key, Rev: s.rev, Tombstone: true})
}

func (s *store) notify(e storeEvent) {
	s.events = append(s.events, e)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) expire(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, l := range s.leases {
		if now.After(l.end) {
			s.endLease(id)
		}
	}
}

func (s *store) endLease(id int64) {
	delete(s.leases, id)
	for key, it := range s.items {
		if it.Lease == id {
			s.rev++
			s.erase(key)
		}
	}
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Store-Era", "1")
	time.Sleep(storeDelay)
	if s.refuse != nil && s.refuse(r) {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	id, _ := strconv.ParseInt(r.URL.Path[strings.LastIndexByte(r.URL.Path, '/')+1:], 10, 64)
	switch {
	case r.URL.Path == "/v1/kv-range":
		s.list(w, r)
	case r.URL.Path == "/v1/kv-key":
		s.get(w, r)
	case r.URL.Path == "/v1/kv-watch":
		s.watch(w, r)
	case r.URL.Path == "/v1/kv-txn":
		s.txn(w, r)
	case r.URL.Path == "/v1/kv-lease":
		s.grant(w, r)
	case strings.HasPrefix(r.URL.Path, "/v1/kv-keep/"):
		s.mu.Lock()
		defer s.mu.Unlock()
		l := s.leases[id]
		if l == nil {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		l.end = time.Now().Add(l.ttl)
		reply(w, http.StatusOK, map[string]any{"TtlMs": l.ttl.Milliseconds()})
	case strings.HasPrefix(r.URL.Path, "/v1/kv-lease-end/"):
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.leases[id] == nil {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		s.endLease(id)
		reply(w, http.StatusOK, map[string]any{})
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func reply(w http.ResponseWriter, status int, v any) {
	text, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(text)
}

func (s *store) list(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	s.mu.Lock()
	defer s.mu.Unlock()
	items := []storeItem{}
	for key, it := range s.items {
		if strings.HasPrefix(key, q.Get("PathPrefix")) && key > q.Get("after") {
			items = append(items, it)
		}
	}
	slices.SortFunc(items, func(a, b storeItem) int { return strings.Compare(a.Key, b.Key) })
	truncated := len(items) > 500
	if truncated {
		items = items[:500]
	}
	reply(w, http.StatusOK, map[string]any{"items": items, "Truncated": truncated, "StoreRevision": s.rev})
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	it, ok := s.items[r.URL.Query().Get("Key")]
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	reply(w, http.StatusOK, map[string]any{"Key": it.Key, "Value": it.Value, "Rev": it.Rev, "CreatedRev": it.CreatedRev, "Lease": it.Lease, "StoreRevision": s.rev})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
	ms, _ := strconv.Atoi(q.Get("WaitMs"))
	timeout := time.After(time.Duration(min(ms, 30000)) * time.Millisecond)
	for {
		s.mu.Lock()
		events := []storeEvent{}
		for _, e := range s.events {
			if e.Rev > after && strings.HasPrefix(e.Key, q.Get("PathPrefix")) {
				events = append(events, e)
			}
		}
		rev, changed := s.rev, s.changed
		s.mu.Unlock()
		if len(events) > 0 {
			reply(w, http.StatusOK, map[string]any{"events": events, "StoreRevision": rev})
			return
		}
		select {
		case <-changed:
		case <-timeout:
			reply(w, http.StatusOK, map[string]any{"events": events, "StoreRevision": rev})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) txn(w http.ResponseWriter, r *http.Request) {
	var t struct {
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
	if err := json.NewDecoder(r.Body).Decode(&t); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	holds, current := true, []storeItem{}
	for _, e := range t.ExpectRev {
		it, ok := s.items[e.Key]
		holds = holds && it.Rev == e.Rev
		if ok {
			current = append(current, it)
		}
	}
	if !holds {
		reply(w, http.StatusPreconditionFailed, map[string]any{"items": current, "StoreRevision": s.rev})
		return
	}
	for _, p := range t.Puts {
		if strings.HasPrefix(p.Key, "op/") || strings.HasPrefix(p.Key, "servers/") {
			w.WriteHeader(http.StatusForbidden)
			return
		}
		if p.Lease != 0 && s.leases[p.Lease] == nil {
			w.WriteHeader(http.StatusNotFound)
			return
		}
	}
	s.rev++
	for _, p := range t.Puts {
		s.write(p.Key, p.Value, p.Lease)
	}
	for _, key := range t.Delete {
		if _, ok := s.items[key]; ok {
			s.erase(key)
		}
	}
	reply(w, http.StatusOK, map[string]any{"Rev": s.rev})
}

func (s *store) grant(w http.ResponseWriter, r *http.Request) {
	var in struct{ TtlMs int64 }
	if err := json.NewDecoder(r.Body).Decode(&in); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rev++
	ttl := time.Duration(max(in.TtlMs, 1000)) * time.Millisecond
	s.leases[s.rev] = &storeLease{ttl: ttl, end: time.Now().Add(ttl)}
	reply(w, http.StatusOK, map[string]any{"Lease": s.rev, "TtlMs": ttl.Milliseconds()})
}
