// Package membership holds an instance's table of the other instances: the
// state that each member announces and the time of its last known heartbeat,
// received directly or through gossip.
package membership

import (
	"cmp"
	"encoding/binary"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Member is the state that one instance announces to its peers. It is also
// encoded as JSON in the store, so its field names are part of the stored data.
type Member struct {
	Name    string // stable across restarts
	Run     int64  // identifies one run of the process
	Region  string
	Centre  string
	Callers string // address for callers, IP:PORT
	Forward string // address for requests forwarded by peers, IP:PORT
	Peers   string // address for heartbeats, IP:PORT
	Leaving bool   // the instance is shutting down
	Ready   bool   // the instance accepts calls

	Heard time.Time // time of the last known heartbeat; zero if there was none
}

// Fingerprint returns a fingerprint of the announced state. It covers every field
// except Heard.
func (m Member) Fingerprint() uint64 {
	buf := make([]byte, 0, fingerprintCapBytes)
	for _, field := range []string{m.Name, m.Region, m.Centre, m.Callers, m.Forward, m.Peers} {
		buf = append(append(buf, field...), 0) // zero-terminated: no field contains a zero byte
	}
	buf = binary.LittleEndian.AppendUint64(buf, uint64(m.Run))
	return xxhash.Sum64(append(buf, boolByte(m.Leaving), boolByte(m.Ready)))
}

// fingerprintCapBytes is the initial capacity of the buffer that Fingerprint hashes. It
// is large enough for most members.
const fingerprintCapBytes = 160

func boolByte(v bool) byte {
	if v {
		return 1
	}
	return 0
}

// Table holds all known members except the instance itself. The zero value is
// an empty table. A Table is safe for concurrent use.
type Table struct {
	mu                sync.Mutex
	members           map[string]Member
	nameByFingerprint map[uint64]string
}

// Update stores a member's state as of m.Heard, unless the table holds a state that
// is at least as recent. It reports whether the member, or this run of it, is new
// to the table.
func (t *Table) Update(m Member) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.members == nil {
		t.members = make(map[string]Member)
	}
	old, ok := t.members[m.Name]
	if ok && !m.Heard.After(old.Heard) {
		return false
	}
	t.put(m)
	return !ok || old.Run != m.Run
}

// RecordHeartbeat records a heartbeat, at the given time, of the member with the given
// fingerprint. It returns false if the table holds no such member.
func (t *Table) RecordHeartbeat(fingerprint uint64, heard time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	name, ok := t.nameByFingerprint[fingerprint]
	if !ok {
		return false
	}
	if m := t.members[name]; heard.After(m.Heard) {
		m.Heard = heard
		t.members[name] = m
	}
	return true
}

// ByFingerprint returns the member with the given fingerprint, or false if there is
// none.
func (t *Table) ByFingerprint(fingerprint uint64) (Member, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	name, ok := t.nameByFingerprint[fingerprint]
	return t.members[name], ok
}

// Get returns the member with the given name, or false if there is none.
func (t *Table) Get(name string) (Member, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	m, ok := t.members[name]
	return m, ok
}

// put stores a member and replaces its index entry. The caller must hold t.mu.
func (t *Table) put(m Member) {
	if t.nameByFingerprint == nil {
		t.nameByFingerprint = make(map[uint64]string)
	}
	if old, ok := t.members[m.Name]; ok {
		delete(t.nameByFingerprint, old.Fingerprint())
	}
	t.members[m.Name] = m
	t.nameByFingerprint[m.Fingerprint()] = m.Name
}

// MergeListing merges the members of a directory listing. A listing carries no
// heartbeat times, so it never replaces a state received by heartbeat or gossip.
// Of the members known only from an earlier listing, it replaces those of another
// run and removes those that this listing lacks.
func (t *Table) MergeListing(members []Member) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.members == nil {
		t.members = make(map[string]Member)
	}
	listed := make(map[string]bool, len(members))
	for _, m := range members {
		listed[m.Name] = true
		old, ok := t.members[m.Name]
		if !ok || (old.Run != m.Run && old.Heard.IsZero()) {
			m.Heard = time.Time{}
			t.put(m)
		}
	}
	for name, m := range t.members {
		if m.Heard.IsZero() && !listed[name] {
			delete(t.members, name)
			delete(t.nameByFingerprint, m.Fingerprint())
		}
	}
}

// Live returns the members whose last heartbeat is at most maxAge old, sorted by
// name. Members known only from a listing are not live.
func (t *Table) Live(now time.Time, maxAge time.Duration) []Member {
	return t.selectSorted(func(m Member) bool { return now.Sub(m.Heard) <= maxAge })
}

// All returns all members, sorted by name.
func (t *Table) All() []Member { return t.selectSorted(func(Member) bool { return true }) }

func (t *Table) selectSorted(keep func(Member) bool) []Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	list := make([]Member, 0, len(t.members))
	for _, m := range t.members {
		if keep(m) {
			list = append(list, m)
		}
	}
	slices.SortFunc(list, func(a, b Member) int { return cmp.Compare(a.Name, b.Name) })
	return list
}

// Evict removes the members whose last heartbeat is older than maxAge. Members
// known only from a listing stay.
func (t *Table) Evict(now time.Time, maxAge time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for name, m := range t.members {
		if !m.Heard.IsZero() && now.Sub(m.Heard) > maxAge {
			delete(t.members, name)
			delete(t.nameByFingerprint, m.Fingerprint())
		}
	}
}

// Rank returns the position, from 0, of the name self in the sorted order of self
// and the names of the others.
func Rank(self string, others []Member) int {
	rank := 0
	for _, m := range others {
		if m.Name < self {
			rank++
		}
	}
	return rank
}
