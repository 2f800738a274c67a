package main

import (
	"encoding/json"
	"maps"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Item is one key of the store.
type Item struct {
	Key        string
	Value      []byte `json:"Value"`
	Rev        int64
	CreatedRev int64
	Lease      int64
	Tombstone  bool `json:",omitempty"`
}

type storeLease struct {
	ttl     time.Duration
	expires time.Time
}

// Store is the platform's metadata store, as PROTOCOL.md describes it.
type Store struct {
	mu      sync.Mutex
	items   map[string]Item
	history []Item
	since   int64 // the history begins after this revision
	rev     int64
	era     int64
	leases  map[int64]*storeLease
	nextID  int64
	changed chan struct{}
	copies  []storeCopy
}

// storeCopy is an older state of the store.
type storeCopy struct {
	at     time.Time
	rev    int64
	items  map[string]Item
	leases map[int64]storeLease
}

const (
	historyKept  = 20 * time.Second
	historyItems = 20000
)

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{items: make(map[string]Item), leases: make(map[int64]*storeLease), rev: 100, era: 1, nextID: 1000, since: 100, changed: make(chan struct{})}
}

// Put writes a key for the operator or an engine and returns the revision.
func (s *Store) Put(key string, value []byte) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rev++
	s.put(key, value, 0)
	s.notify()
	return s.rev
}

// Delete removes a key.
func (s *Store) Delete(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rev++
	s.remove(key)
	s.notify()
}

func (s *Store) put(key string, value []byte, lease int64) {
	it, ok := s.items[key]
	if !ok {
		it = Item{Key: key, CreatedRev: s.rev}
	}
	it.Value, it.Rev, it.Lease = value, s.rev, lease
	s.items[key] = it
	s.record(it)
}

func (s *Store) remove(key string) {
	if _, ok := s.items[key]; !ok {
		return
	}
	delete(s.items, key)
	s.record(Item{Key: key, Rev: s.rev, Tombstone: true})
}

func (s *Store) record(it Item) {
	s.history = append(s.history, it)
	if extra := len(s.history) - historyItems; extra > 0 {
		s.since = s.history[extra-1].Rev
		s.history = slices.Clone(s.history[extra:])
	}
}

func (s *Store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// Run ends leases and keeps copies until stop is closed.
func (s *Store) Run(stop <-chan struct{}) {
	ticker := time.NewTicker(100 * time.Millisecond)
	defer ticker.Stop()
	for {
		select {
		case <-stop:
			return
		case now := <-ticker.C:
			s.tick(now)
		}
	}
}

func (s *Store) tick(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, l := range s.leases {
		if now.After(l.expires) {
			s.endLease(id)
		}
	}
	c := storeCopy{at: now, rev: s.rev, items: maps.Clone(s.items), leases: make(map[int64]storeLease)}
	for id, l := range s.leases {
		c.leases[id] = *l
	}
	s.copies = append(s.copies, c)
	if len(s.copies) > 200 {
		s.copies = slices.Clone(s.copies[100:])
	}
}

func (s *Store) endLease(id int64) {
	delete(s.leases, id)
	s.rev++
	for key, it := range s.items {
		if it.Lease == id {
			s.remove(key)
		}
	}
	s.notify()
}

// Rollback returns the store to a copy of the given age, in a new era.
func (s *Store) Rollback(age time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	var chosen storeCopy
	for _, c := range s.copies {
		if now.Sub(c.at) >= age || chosen.at.IsZero() {
			chosen = c
		}
	}
	s.items, s.rev = maps.Clone(chosen.items), chosen.rev
	s.leases = make(map[int64]*storeLease)
	for id, l := range chosen.leases {
		s.leases[id] = &storeLease{l.ttl, now.Add(l.ttl)}
	}
	s.history, s.since = nil, s.rev
	s.copies = nil
	s.era++
	s.notify()
}

// Handler serves the store's calls.
func (s *Store) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/kv-key", s.serveKey)
	mux.HandleFunc("GET /v1/kv-range", s.serveRange)
	mux.HandleFunc("GET /v1/kv-watch", s.serveWatch)
	mux.HandleFunc("POST /v1/kv-txn", s.serveTxn)
	mux.HandleFunc("POST /v1/kv-lease", s.serveLease)
	mux.HandleFunc("POST /v1/kv-keep/{id}", s.serveKeep)
	mux.HandleFunc("DELETE /v1/kv-lease-end/{id}", s.serveEnd)
	return mux
}

func (s *Store) answer(w http.ResponseWriter, era int64, status int, body any) {
	w.Header().Set("Store-Era", strconv.FormatInt(era, 10))
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body) // the instance may have gone
}

func (s *Store) serveKey(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	it, ok := s.items[r.URL.Query().Get("Key")]
	era, rev := s.era, s.rev
	s.mu.Unlock()
	if !ok {
		s.answer(w, era, http.StatusNotFound, map[string]any{"StoreRevision": rev})
		return
	}
	s.answer(w, era, http.StatusOK, map[string]any{"Key": it.Key, "Value": it.Value, "Rev": it.Rev, "CreatedRev": it.CreatedRev, "Lease": it.Lease, "StoreRevision": rev})
}

func (s *Store) serveRange(w http.ResponseWriter, r *http.Request) {
	prefix, after := r.URL.Query().Get("PathPrefix"), r.URL.Query().Get("after")
	s.mu.Lock()
	items := []Item{}
	truncated, size := false, 0
	for _, key := range slices.Sorted(maps.Keys(s.items)) {
		if !strings.HasPrefix(key, prefix) || key <= after {
			continue
		}
		if len(items) >= 500 || size > 1<<20 {
			truncated = true
			break
		}
		items = append(items, s.items[key])
		size += len(s.items[key].Value)
	}
	era, rev := s.era, s.rev
	s.mu.Unlock()
	s.answer(w, era, http.StatusOK, map[string]any{"items": items, "Truncated": truncated, "StoreRevision": rev})
}

func (s *Store) serveWatch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("WaitMs"))
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for waiting := true; ; {
		s.mu.Lock()
		if after < s.since || after > s.rev {
			era := s.era
			s.mu.Unlock()
			s.answer(w, era, http.StatusGone, map[string]any{})
			return
		}
		events := []Item{}
		for _, it := range s.history {
			if it.Rev > after && strings.HasPrefix(it.Key, q.Get("PathPrefix")) {
				events = append(events, it)
			}
		}
		era, rev, changed := s.era, s.rev, s.changed
		s.mu.Unlock()
		if len(events) > 0 || !waiting {
			s.answer(w, era, http.StatusOK, map[string]any{"events": events, "StoreRevision": rev})
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			waiting = false
		case <-r.Context().Done():
			return
		}
	}
}

type txn struct {
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

func (s *Store) serveTxn(w http.ResponseWriter, r *http.Request) {
	var t txn
	if err := json.NewDecoder(r.Body).Decode(&t); err != nil {
		s.answer(w, 1, http.StatusBadRequest, map[string]any{})
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	current := []Item{}
	holds := true
	for _, e := range t.ExpectRev {
		it, ok := s.items[e.Key]
		if !ok {
			it = Item{Key: e.Key}
		}
		current = append(current, it)
		holds = holds && it.Rev == e.Rev
	}
	if !holds {
		s.answer(w, s.era, http.StatusPreconditionFailed, map[string]any{"items": current})
		return
	}
	for _, p := range t.Puts {
		if p.Lease != 0 && s.leases[p.Lease] == nil {
			s.answer(w, s.era, http.StatusNotFound, map[string]any{})
			return
		}
	}
	s.rev++
	for _, p := range t.Puts {
		s.put(p.Key, p.Value, p.Lease)
	}
	for _, key := range t.Delete {
		s.remove(key)
	}
	s.notify()
	s.answer(w, s.era, http.StatusOK, map[string]any{"Rev": s.rev})
}

func (s *Store) serveLease(w http.ResponseWriter, r *http.Request) {
	var l struct{ TtlMs int64 }
	_ = json.NewDecoder(r.Body).Decode(&l) // 0 counts as the shortest
	ttl := time.Duration(max(l.TtlMs, 1000)) * time.Millisecond
	s.mu.Lock()
	defer s.mu.Unlock()
	s.nextID++
	s.leases[s.nextID] = &storeLease{ttl, time.Now().Add(ttl)}
	s.answer(w, s.era, http.StatusOK, map[string]any{"Lease": s.nextID, "TtlMs": ttl.Milliseconds()})
}

func (s *Store) serveKeep(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.leases[id]
	if l == nil {
		s.answer(w, s.era, http.StatusNotFound, map[string]any{})
		return
	}
	l.expires = time.Now().Add(l.ttl)
	s.answer(w, s.era, http.StatusOK, map[string]any{"TtlMs": l.ttl.Milliseconds()})
}

func (s *Store) serveEnd(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leases[id] != nil {
		s.endLease(id)
	}
	s.answer(w, s.era, http.StatusOK, map[string]any{})
}

func listen(address string) (net.Listener, error) { return net.Listen("tcp", address) }
