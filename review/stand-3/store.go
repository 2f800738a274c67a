package main

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// store is a small stand-in for the platform's metadata store: keys with revisions, ranges,
// watches, transactions and leases. It loses nothing that it acknowledged.
type store struct {
	mu      sync.Mutex
	changed chan struct{} // closed and replaced at each change
	rev     int64
	items   map[string]item
	history []item
	leases  map[int64]*leaseState
	nextID  int64
	down    bool // answers 503 to the system's calls
	server  *http.Server
}

type item struct {
	Key        string `json:"Key"`
	Value      []byte `json:"Value,omitempty"`
	Rev        int64  `json:"Rev"`
	CreatedRev int64  `json:"CreatedRev,omitempty"`
	Lease      int64  `json:"Lease,omitempty"`
	Tombstone  bool   `json:"Tombstone,omitempty"`
}

type leaseState struct {
	ttl time.Duration
	end time.Time
}

func newStore() *store {
	return &store{changed: make(chan struct{}), rev: 1, items: map[string]item{}, leases: map[int64]*leaseState{}, nextID: 1000}
}

func (s *store) setDown(v bool) {
	s.mu.Lock()
	s.down = v
	s.mu.Unlock()
}

// put writes a value for the operator or an engine; nil deletes it.
func (s *store) put(key string, value []byte) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(key, value, 0)
	return s.rev
}

func (s *store) write(key string, value []byte, lease int64) {
	s.rev++
	it := item{Key: key, Value: value, Rev: s.rev, Lease: lease}
	if value == nil {
		it.Tombstone = true
		delete(s.items, key)
	} else {
		it.CreatedRev = s.rev
		if old, ok := s.items[key]; ok {
			it.CreatedRev = old.CreatedRev
		}
		s.items[key] = it
	}
	s.history = append(s.history, it)
	close(s.changed)
	s.changed = make(chan struct{})
}

// expire ends the leases whose time is over.
func (s *store) expire() {
	now := time.Now()
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
			s.write(key, nil, 0)
		}
	}
}

func (s *store) start(ip string) (string, error) {
	ln, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: s}
	s.server = server
	go func() { _ = server.Serve(ln) }()
	return ln.Addr().String(), nil
}

// move serves at another address in place of the present one, whose connections end.
func (s *store) move(ip string) (string, error) {
	old := s.server
	addr, err := s.start(ip)
	if err == nil {
		err = old.Close()
	}
	return addr, err
}

func reply(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	s.mu.Lock()
	if s.down {
		s.mu.Unlock()
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	s.expire()
	q := r.URL.Query()
	path := r.URL.Path
	switch {
	case path == "/v1/kv-key":
		it, ok := s.items[q.Get("Key")]
		s.mu.Unlock()
		if !ok {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		reply(w, it)
	case path == "/v1/kv-range":
		list := []item{}
		for key, it := range s.items {
			if strings.HasPrefix(key, q.Get("PathPrefix")) && key > q.Get("after") {
				list = append(list, it)
			}
		}
		rev := s.rev
		s.mu.Unlock()
		sort.Slice(list, func(a, b int) bool { return list[a].Key < list[b].Key })
		reply(w, map[string]any{"items": list, "Truncated": false, "StoreRevision": rev})
	case path == "/v1/kv-watch":
		s.mu.Unlock()
		s.watch(w, r)
	case path == "/v1/kv-txn":
		s.txn(w, body)
	case path == "/v1/kv-lease":
		var l struct{ TtlMs int64 }
		_ = json.Unmarshal(body, &l)
		s.nextID++
		id := s.nextID
		s.leases[id] = &leaseState{time.Duration(l.TtlMs) * time.Millisecond, time.Now().Add(time.Duration(l.TtlMs) * time.Millisecond)}
		s.mu.Unlock()
		reply(w, map[string]any{"Lease": id, "TtlMs": l.TtlMs})
	case strings.HasPrefix(path, "/v1/kv-keep/"), strings.HasPrefix(path, "/v1/kv-lease-end/"):
		id, _ := strconv.ParseInt(path[strings.LastIndexByte(path, '/')+1:], 10, 64)
		l := s.leases[id]
		if l == nil {
			s.mu.Unlock()
			w.WriteHeader(http.StatusNotFound)
			return
		}
		if r.Method == http.MethodDelete {
			s.endLease(id)
		} else {
			l.end = time.Now().Add(l.ttl)
		}
		s.mu.Unlock()
		reply(w, map[string]any{"Lease": id, "TtlMs": l.ttl.Milliseconds()})
	default:
		s.mu.Unlock()
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *store) watch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
	ms, _ := strconv.ParseInt(q.Get("WaitMs"), 10, 64)
	timeout := time.After(time.Duration(ms) * time.Millisecond)
	for {
		s.mu.Lock()
		s.expire()
		if s.down {
			s.mu.Unlock()
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		events := []item{}
		for _, it := range s.history {
			if it.Rev > after && strings.HasPrefix(it.Key, q.Get("PathPrefix")) {
				events = append(events, it)
			}
		}
		rev, changed := s.rev, s.changed
		s.mu.Unlock()
		if len(events) > 0 {
			reply(w, map[string]any{"events": events, "StoreRevision": rev})
			return
		}
		select {
		case <-changed:
		case <-timeout:
			reply(w, map[string]any{"events": events, "StoreRevision": rev})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) txn(w http.ResponseWriter, body []byte) {
	defer s.mu.Unlock()
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
	if json.Unmarshal(body, &t) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	held, current := true, []item{}
	for _, e := range t.ExpectRev {
		it := s.items[e.Key]
		it.Key = e.Key
		current = append(current, it)
		held = held && it.Rev == e.Rev
	}
	if !held {
		w.Header().Set("Content-Type", "application/json")
		w.WriteHeader(http.StatusPreconditionFailed)
		_ = json.NewEncoder(w).Encode(map[string]any{"items": current})
		return
	}
	for _, p := range t.Puts {
		if p.Lease != 0 && s.leases[p.Lease] == nil {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		if strings.HasPrefix(p.Key, "op/") || strings.HasPrefix(p.Key, "servers/") {
			w.WriteHeader(http.StatusForbidden)
			return
		}
	}
	for _, p := range t.Puts {
		value := p.Value
		if value == nil {
			value = []byte{}
		}
		s.write(p.Key, value, p.Lease)
	}
	for _, key := range t.Delete {
		if _, ok := s.items[key]; ok {
			s.write(key, nil, 0)
		}
	}
	reply(w, map[string]any{"Rev": s.rev})
}
