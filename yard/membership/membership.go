// Package membership keeps what an instance knows of the others: what each says
// of itself and when it was last heard, directly or through others.
package membership

import (
	"cmp"
	"encoding/binary"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Member is what one instance says of itself.
type Member struct {
	Name    string // stays the same over restarts
	Run     int64  // which run of its process
	Region  string
	Centre  string
	Callers string // address for callers, IP:PORT
	Forward string // address for forwarded requests, IP:PORT
	Peers   string // address for heartbeats, IP:PORT
	Leaving bool
	Ready   bool

	Heard time.Time // when it was last known to run
}

// Mark identifies what the member says of itself. It does not depend on when it
// was heard.
func (m Member) Mark() uint64 {
	b := make([]byte, 0, markBytes)
	for _, text := range []string{m.Name, m.Region, m.Centre, m.Callers, m.Forward, m.Peers} {
		b = append(append(b, text...), 0) // none of them holds a zero byte
	}
	b = binary.LittleEndian.AppendUint64(b, uint64(m.Run))
	return xxhash.Sum64(append(b, flag(m.Leaving), flag(m.Ready)))
}

// markBytes holds what most members say of themselves.
const markBytes = 160

func flag(set bool) byte {
	if set {
		return 1
	}
	return 0
}

// Table holds the members except the instance itself. The zero value is empty.
// It is safe for concurrent use.
type Table struct {
	mu      sync.Mutex
	members map[string]Member
	marks   map[uint64]string // the members' names by their marks
}

// Hear takes in a member's state as of m.Heard. Fresher news replaces older. It
// returns true for a member, or a run of it, that was not known.
func (t *Table) Hear(m Member) bool {
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

// Renew takes in that the member with the mark ran at the given time. It returns
// false where no member with this mark is known.
func (t *Table) Renew(mark uint64, heard time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	name, ok := t.marks[mark]
	if !ok {
		return false
	}
	if m := t.members[name]; heard.After(m.Heard) {
		m.Heard = heard
		t.members[name] = m
	}
	return true
}

// Find returns the member with the mark, and false where it is not known.
func (t *Table) Find(mark uint64) (Member, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	name, ok := t.marks[mark]
	return t.members[name], ok
}

// Get returns the member with the name, and false where it is not known.
func (t *Table) Get(name string) (Member, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	m, ok := t.members[name]
	return m, ok
}

// put replaces a member, and its mark where that changed.
func (t *Table) put(m Member) {
	if t.marks == nil {
		t.marks = make(map[uint64]string)
	}
	if old, ok := t.members[m.Name]; ok {
		delete(t.marks, old.Mark())
	}
	t.members[m.Name] = m
	t.marks[m.Mark()] = m.Name
}

// List takes in all members that a directory lists, without any news of when they
// last ran: it replaces nothing that was heard. Members that were only listed
// before and are not any more are dropped.
func (t *Table) List(members []Member) {
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
			delete(t.marks, m.Mark())
		}
	}
}

// Live returns the members heard within the given time, by name.
func (t *Table) Live(now time.Time, within time.Duration) []Member {
	return t.pick(func(m Member) bool { return now.Sub(m.Heard) <= within })
}

// All returns every member that is known, by name.
func (t *Table) All() []Member { return t.pick(func(Member) bool { return true }) }

func (t *Table) pick(keep func(Member) bool) []Member {
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

// Forget drops the members that were not heard within the given time.
func (t *Table) Forget(now time.Time, within time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for name, m := range t.members {
		if !m.Heard.IsZero() && now.Sub(m.Heard) > within {
			delete(t.members, name)
			delete(t.marks, m.Mark())
		}
	}
}

// Rank returns the position of a name among the names and itself, in their order.
func Rank(self string, others []Member) int {
	rank := 0
	for _, m := range others {
		if m.Name < self {
			rank++
		}
	}
	return rank
}
