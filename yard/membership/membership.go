// Package membership keeps what an instance knows of the others: what each says
// of itself and when it was last heard, directly or through others.
package membership

import (
	"cmp"
	"slices"
	"sync"
	"time"
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

// Table holds the members except the instance itself. The zero value is empty.
// It is safe for concurrent use.
type Table struct {
	mu      sync.Mutex
	members map[string]Member
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
	t.members[m.Name] = m
	return !ok || old.Run != m.Run
}

// List adds a member that a directory lists, without any news of when it last
// ran: it replaces nothing that was heard.
func (t *Table) List(m Member) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.members == nil {
		t.members = make(map[string]Member)
	}
	old, ok := t.members[m.Name]
	if !ok || (old.Run != m.Run && old.Heard.IsZero()) {
		m.Heard = time.Time{}
		t.members[m.Name] = m
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
