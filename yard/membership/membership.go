// Package membership holds an instance's table of the other instances: the
// state that each member announces and the time of its last known heartbeat,
// received directly or through gossip.
package membership

import (
	"cmp"
	"encoding/binary"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Member is the state that one instance announces to its peers. It is also
// encoded as JSON in the store, so its field names are part of the stored data.
type Member struct {
	Name    string // stable across restarts
	Run     int64  // identifies one run of the process; see NewRun
	Region  string
	Centre  string
	Callers string // address for callers, IP:PORT
	Forward string // address for requests forwarded by peers, IP:PORT
	Peers   string // address for heartbeats, IP:PORT
	Leaving bool   // the instance is shutting down
	Ready   bool   // the instance accepts calls

	Capacity int64 // of its processor, in thousandths of a core; 0 if unknown

	// Services of which the instance reaches no target of its region, sorted and separated by
	// line ends, and whether it reaches none of any service. It serves requests for them
	// through other instances. The entry in the store does not hold them.
	Unreached string `json:"-"`
	Isolated  bool   `json:"-"`

	// How many instances of the fleet and of its region the instance knew, including
	// itself, when it wrote its entry in the store. Heartbeats do not carry it.
	Fleet, Neighbours int

	Heard time.Time // time of the last known heartbeat; zero if there was none
}

// runBits is the number of random bits of a run.
const runBits = 20

// NewRun returns the identifier of a run that starts at the given time, from a random
// number. It is higher than that of runs that started earlier by their machines' clocks.
func NewRun(started time.Time, random int64) int64 {
	return started.UnixMilli()<<runBits | random&(1<<runBits-1)
}

// Started returns when the member's run started by its machine's clock.
func (m Member) Started() time.Time { return time.UnixMilli(m.Run >> runBits) }

// Fingerprint returns a fingerprint of the announced state. It covers every field
// except Heard and those of the entry in the store only.
func (m Member) Fingerprint() uint64 {
	buf := make([]byte, 0, fingerprintCapBytes)
	for _, field := range []string{m.Name, m.Region, m.Centre, m.Callers, m.Forward, m.Peers} {
		buf = append(append(buf, field...), 0) // zero-terminated: no field contains a zero byte
	}
	buf = binary.LittleEndian.AppendUint64(buf, uint64(m.Run))
	buf = binary.LittleEndian.AppendUint64(buf, uint64(m.Capacity))
	buf = append(buf, boolByte(m.Leaving), boolByte(m.Ready))
	if m.Unreached != "" {
		buf = append(append(buf, m.Unreached...), 0, boolByte(m.Isolated))
	}
	return xxhash.Sum64(buf)
}

// Reaches reports whether the instance reaches targets of the service, as far as it says.
func (m Member) Reaches(service string) bool {
	return m.Unreached == "" || !slices.Contains(strings.Split(m.Unreached, "\n"), service)
}

// fingerprintCapBytes is the initial capacity of the buffer that Fingerprint hashes. It
// is large enough for most members.
const fingerprintCapBytes = 160

// Compare orders members by capacity, the largest first, and then by name.
func Compare(a, b Member) int {
	return cmp.Or(cmp.Compare(b.Capacity, a.Capacity), cmp.Compare(a.Name, b.Name))
}

func boolByte(v bool) byte {
	if v {
		return 1
	}
	return 0
}

// Table holds all known members except the instance itself. The zero value is
// an empty table. A Table is safe for concurrent use.
type Table struct {
	mu            sync.Mutex
	sorted        []*entry // by name
	byName        map[string]*entry
	byFingerprint map[uint64]*entry
	changes       uint64 // changes of announced states so far
}

// entry is a member of a table with its fingerprint.
type entry struct {
	Member
	fingerprint uint64
	change      uint64 // number of the change to this state
}

// Update stores a member's state as of m.Heard, unless the table holds a state that
// is at least as recent. It reports whether the member, or this run of it, is new
// to the table.
func (t *Table) Update(m Member) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	old := t.byName[m.Name]
	if old != nil && !m.Heard.After(old.Heard) {
		return false
	}
	isNew := old == nil || old.Run != m.Run
	t.put(m)
	return isNew
}

// RecordHeartbeat records a heartbeat, at the given time, of the member with the given
// fingerprint. It returns false if the table holds no such member.
func (t *Table) RecordHeartbeat(fingerprint uint64, heard time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.byFingerprint[fingerprint]
	if e == nil {
		return false
	}
	if heard.After(e.Heard) {
		e.Heard = heard
	}
	return true
}

// ByFingerprint returns the member with the given fingerprint, or false if there is
// none.
func (t *Table) ByFingerprint(fingerprint uint64) (Member, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e := t.byFingerprint[fingerprint]; e != nil {
		return e.Member, true
	}
	return Member{}, false
}

// Get returns the member with the given name, or false if there is none.
func (t *Table) Get(name string) (Member, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e := t.byName[name]; e != nil {
		return e.Member, true
	}
	return Member{}, false
}

// put stores a member and replaces its index entry. The caller must hold t.mu.
func (t *Table) put(m Member) {
	if t.byName == nil {
		t.byName, t.byFingerprint = make(map[string]*entry), make(map[uint64]*entry)
	}
	e := t.byName[m.Name]
	if e == nil {
		e = &entry{}
		t.byName[m.Name] = e
		i, _ := slices.BinarySearchFunc(t.sorted, m.Name, compareName)
		t.sorted = slices.Insert(t.sorted, i, e)
	} else {
		delete(t.byFingerprint, e.fingerprint)
	}
	fingerprint := m.Fingerprint()
	if fingerprint != e.fingerprint {
		t.changes++
		e.change = t.changes
	}
	e.Member, e.fingerprint = m, fingerprint
	t.byFingerprint[e.fingerprint] = e
}

// Changes returns the number of changes of announced states so far.
func (t *Table) Changes() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.changes
}

// ChangedSince returns the members whose announced state changed after the given number of
// changes, the earliest first and at most limit of them, and the number of the last of
// these changes.
func (t *Table) ChangedSince(change uint64, limit int) ([]Member, uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.changes <= change {
		return nil, change
	}
	var changed []*entry
	for _, e := range t.sorted {
		if e.change > change {
			changed = append(changed, e)
		}
	}
	slices.SortFunc(changed, func(a, b *entry) int { return cmp.Compare(a.change, b.change) })
	last := t.changes
	if len(changed) > limit {
		changed = changed[:limit]
		last = changed[limit-1].change
	}
	list := make([]Member, len(changed))
	for i, e := range changed {
		list[i] = e.Member
	}
	return list, last
}

// deleteFunc removes the members for which del returns true. The caller must hold t.mu.
func (t *Table) deleteFunc(del func(*entry) bool) {
	t.sorted = slices.DeleteFunc(t.sorted, func(e *entry) bool {
		if !del(e) {
			return false
		}
		delete(t.byName, e.Name)
		delete(t.byFingerprint, e.fingerprint)
		return true
	})
}

// MergeListing merges the members of a directory listing. A listing carries no
// heartbeat times, so it never replaces a state received by heartbeat or gossip.
// Of the members known only from an earlier listing, it replaces those of another
// run and removes those that this listing lacks.
func (t *Table) MergeListing(members []Member) {
	t.mu.Lock()
	defer t.mu.Unlock()
	listed := make(map[string]bool, len(members))
	for _, m := range members {
		listed[m.Name] = true
		old := t.byName[m.Name]
		if old == nil || (old.Run != m.Run && old.Heard.IsZero()) {
			m.Heard = time.Time{}
			t.put(m)
		}
	}
	t.deleteFunc(func(e *entry) bool { return e.Heard.IsZero() && !listed[e.Name] })
}

// Live returns the members whose last heartbeat is at most maxAge old, sorted by
// name. Members known only from a listing are not live.
func (t *Table) Live(now time.Time, maxAge time.Duration) []Member {
	return t.selectSorted(func(e *entry) bool { return now.Sub(e.Heard) <= maxAge })
}

// All returns all members, sorted by name.
func (t *Table) All() []Member { return t.selectSorted(func(*entry) bool { return true }) }

// VisitLive calls visit for each member that Live returns, with the member's
// fingerprint. The function visit must not call methods of the table.
func (t *Table) VisitLive(now time.Time, maxAge time.Duration, visit func(m Member, fingerprint uint64)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, e := range t.sorted {
		if now.Sub(e.Heard) <= maxAge {
			visit(e.Member, e.fingerprint)
		}
	}
}

func (t *Table) selectSorted(keep func(*entry) bool) []Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	list := make([]Member, 0, len(t.sorted))
	for _, e := range t.sorted {
		if keep(e) {
			list = append(list, e.Member)
		}
	}
	return list
}

// Evict removes the members whose last heartbeat is older than maxAge. Members
// known only from a listing stay.
func (t *Table) Evict(now time.Time, maxAge time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.deleteFunc(func(e *entry) bool { return !e.Heard.IsZero() && now.Sub(e.Heard) > maxAge })
}

func compareName(e *entry, name string) int { return cmp.Compare(e.Name, name) }

// Rank returns the position, from 0, of self among itself and the others by the age of
// their runs, the oldest first: a member that joins changes no rank but its own.
func Rank(self Member, others []Member) int {
	rank := 0
	for _, m := range others {
		if cmp.Or(cmp.Compare(m.Run, self.Run), cmp.Compare(m.Name, self.Name)) < 0 {
			rank++
		}
	}
	return rank
}
