// Package roster is what an instance knows of all instances, from their
// heartbeats and from what other instances pass on.
package roster

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"chervilyard.example/yard/peer"
)

// Roster holds the last known state of each instance. A member whose beat did
// not rise for Silent (in the own data centre) or Far (elsewhere) counts as
// gone, and is forgotten after Forget. It is safe for concurrent use.
type Roster struct {
	Self   string // peer address of this instance
	Centre string
	Silent time.Duration
	Far    time.Duration
	Forget time.Duration

	mu      sync.Mutex
	members map[string]entry
}

type entry struct {
	member *peer.Member
	heard  time.Time // when its beat last rose here
}

// Hear takes in what is said of a member, by itself or by another. An older
// run or beat changes nothing, so that messages may cross and repeat.
func (r *Roster) Hear(now time.Time, m *peer.Member) bool {
	if m.GetAddress() == "" || m.GetAddress() == r.Self {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	old, ok := r.members[m.GetAddress()]
	if ok && !newer(m, old.member) {
		return false
	}
	if r.members == nil {
		r.members = make(map[string]entry)
	}
	r.members[m.GetAddress()] = entry{member: proto.CloneOf(m), heard: now}
	return true
}

func newer(m, old *peer.Member) bool {
	if m.GetRun() != old.GetRun() {
		return m.GetRun() > old.GetRun()
	}
	return m.GetBeat() > old.GetBeat()
}

// Live returns the members that were heard of lately, by address. Leaving
// members are among them.
func (r *Roster) Live(now time.Time) []*peer.Member {
	r.mu.Lock()
	defer r.mu.Unlock()
	var live []*peer.Member
	for _, address := range slices.Sorted(maps.Keys(r.members)) {
		e := r.members[address]
		if r.live(now, e) {
			live = append(live, e.member)
		}
	}
	return live
}

func (r *Roster) live(now time.Time, e entry) bool {
	limit := r.Far
	if e.member.GetCentre() == r.Centre {
		limit = r.Silent
	}
	return now.Sub(e.heard) < limit
}

// Mates returns the live members of the own data centre.
func (r *Roster) Mates(now time.Time) []*peer.Member {
	return slices.DeleteFunc(r.Live(now), func(m *peer.Member) bool { return m.GetCentre() != r.Centre })
}

// Gone returns the members of the own data centre, by address, that were silent
// for longer than the time.
func (r *Roster) Gone(now time.Time, silence time.Duration) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var gone []string
	for address, e := range r.members {
		if e.member.GetCentre() == r.Centre && now.Sub(e.heard) > silence {
			gone = append(gone, address)
		}
	}
	slices.Sort(gone)
	return gone
}

// Pick returns one live or silent member of another data centre to exchange
// rolls with, chosen by the random number, or nil.
func (r *Roster) Pick(now time.Time, random uint64) *peer.Member {
	r.mu.Lock()
	defer r.mu.Unlock()
	var far []*peer.Member
	for _, e := range r.members {
		if e.member.GetCentre() != r.Centre && now.Sub(e.heard) < r.Forget {
			far = append(far, e.member)
		}
	}
	if len(far) == 0 {
		return nil
	}
	slices.SortFunc(far, func(a, b *peer.Member) int { return cmp.Compare(a.GetAddress(), b.GetAddress()) })
	return far[random%uint64(len(far))]
}

// Roll returns all members that were heard of lately, to pass on, and forgets
// those that were silent for long.
func (r *Roster) Roll(now time.Time) []*peer.Member {
	live := r.Live(now)
	r.mu.Lock()
	defer r.mu.Unlock()
	maps.DeleteFunc(r.members, func(_ string, e entry) bool { return now.Sub(e.heard) > r.Forget })
	return live
}

// Heard returns how long ago a member's beat last rose, or false where it is
// not known.
func (r *Roster) Heard(now time.Time, address string) (time.Duration, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e, ok := r.members[address]
	return now.Sub(e.heard), ok
}
