// Package memberlist holds an instance's table of the other instances, from their
// heartbeats and from gossip. Each state carries a heartbeat counter; see package
// membership for a table of states with heartbeat times and directory listings.
package memberlist

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"chervilyard.example/yard/peer"
)

// List holds the last known state of each other instance. A member counts as
// live while its heartbeat counter advances: within LocalTimeout in the data centre
// of this instance, within RemoteTimeout in any other. After EvictAfter without an
// advance GossipMembers evicts it. The exported fields must be set before use. A
// List is safe for concurrent use.
type List struct {
	Self          string        // peer address of this instance
	Centre        string        // data centre of this instance
	LocalTimeout  time.Duration // liveness timeout in the same data centre
	RemoteTimeout time.Duration // liveness timeout in other data centres
	EvictAfter    time.Duration // time without an advance until a member may be evicted

	mu      sync.Mutex
	members map[string]entry // by peer address
}

type entry struct {
	member      *peer.Member
	lastAdvance time.Time // local time at which the heartbeat counter last advanced
}

// Update stores a member's state, received from the member itself or through gossip,
// and reports whether it was newer than the known state: of a later run, or of the
// same run with a higher heartbeat counter. Any other state is ignored, so messages
// may arrive out of order or twice. A state of this instance or without an address
// is ignored too.
func (l *List) Update(now time.Time, m *peer.Member) bool {
	if m.GetAddress() == "" || m.GetAddress() == l.Self {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	old, ok := l.members[m.GetAddress()]
	if ok && !supersedes(m, old.member) {
		return false
	}
	if l.members == nil {
		l.members = make(map[string]entry)
	}
	l.members[m.GetAddress()] = entry{member: proto.CloneOf(m), lastAdvance: now}
	return true
}

// supersedes reports whether m has a later run than old, or the same run and a
// higher heartbeat counter.
func supersedes(m, old *peer.Member) bool {
	if m.GetRun() != old.GetRun() {
		return m.GetRun() > old.GetRun()
	}
	return m.GetBeat() > old.GetBeat()
}

// Live returns the live members, sorted by address. They include members that are
// leaving. The caller must not change the members that a method of List returns.
func (l *List) Live(now time.Time) []*peer.Member {
	l.mu.Lock()
	defer l.mu.Unlock()
	var live []*peer.Member
	for _, address := range slices.Sorted(maps.Keys(l.members)) {
		e := l.members[address]
		if l.live(now, e) {
			live = append(live, e.member)
		}
	}
	return live
}

func (l *List) live(now time.Time, e entry) bool {
	timeout := l.RemoteTimeout
	if e.member.GetCentre() == l.Centre {
		timeout = l.LocalTimeout
	}
	return now.Sub(e.lastAdvance) < timeout
}

// LiveInCentre returns the live members of this instance's data centre, sorted by
// address.
func (l *List) LiveInCentre(now time.Time) []*peer.Member {
	return slices.DeleteFunc(l.Live(now), func(m *peer.Member) bool { return m.GetCentre() != l.Centre })
}

// SilentInCentre returns the sorted addresses of the members of this instance's
// data centre whose heartbeat counter has not advanced for longer than threshold.
func (l *List) SilentInCentre(now time.Time, threshold time.Duration) []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	var silent []string
	for address, e := range l.members {
		if e.member.GetCentre() == l.Centre && now.Sub(e.lastAdvance) > threshold {
			silent = append(silent, address)
		}
	}
	slices.Sort(silent)
	return silent
}

// GossipPartner returns the gossip partner that the random number selects among the
// members of other data centres, or nil if there is none. It also selects members
// that are no longer live, until EvictAfter.
func (l *List) GossipPartner(now time.Time, random uint64) *peer.Member {
	l.mu.Lock()
	defer l.mu.Unlock()
	var remote []*peer.Member
	for _, e := range l.members {
		if e.member.GetCentre() != l.Centre && now.Sub(e.lastAdvance) < l.EvictAfter {
			remote = append(remote, e.member)
		}
	}
	if len(remote) == 0 {
		return nil
	}
	slices.SortFunc(remote, func(a, b *peer.Member) int { return cmp.Compare(a.GetAddress(), b.GetAddress()) })
	return remote[random%uint64(len(remote))]
}

// GossipMembers returns the live members, to be sent to a gossip partner, and
// evicts those whose heartbeat counter has not advanced for longer than EvictAfter.
func (l *List) GossipMembers(now time.Time) []*peer.Member {
	live := l.Live(now)
	l.mu.Lock()
	defer l.mu.Unlock()
	maps.DeleteFunc(l.members, func(_ string, e entry) bool { return now.Sub(e.lastAdvance) > l.EvictAfter })
	return live
}

// SinceHeartbeat returns the time since the heartbeat counter of the member at the
// address last advanced, and false if the member is unknown.
func (l *List) SinceHeartbeat(now time.Time, address string) (time.Duration, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	e, ok := l.members[address]
	return now.Sub(e.lastAdvance), ok
}
