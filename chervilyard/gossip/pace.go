package gossip

import (
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"

	"chervilyard.example/yard/membership"
)

const (
	// An instance begins a heartbeat with one in nearPart of its region's others in
	// an interval, and with nearMost at most: any two exchange theirs within 400 ms
	// up to some 65 instances, and each spends its part of a core on 40 to 160 a second.
	nearPart = 16
	nearMost = 4
	// farEvery is the number of intervals between heartbeats to other regions, and
	// farMost that of regions that get one then: the links between them are narrow.
	farEvery = 8
	farMost  = 2
	// farPeers members of each other region get heartbeats from one instance, as
	// many as a connection each is worth: one may be down and one cut off.
	farPeers = 3
	// silentEvery is the number of intervals between heartbeats to a member of the
	// region that is silent, to find out that it is back.
	silentEvery = 20
)

// choose returns this interval's receivers.
func (d *Duty) choose(now time.Time, self membership.Member, members []membership.Member) []membership.Member {
	rand.Shuffle(len(members), func(a, b int) { members[a], members[b] = members[b], members[a] })
	d.mu.Lock()
	beats := d.beats
	d.mu.Unlock()
	var live, silent, list []membership.Member
	regions := make(map[string]bool)
	for _, m := range members {
		switch {
		case m.Name == self.Name:
		case m.Region == self.Region && now.Sub(m.Heard) <= quiet:
			live = append(live, m)
		case m.Region == self.Region:
			silent = append(silent, m)
		case beats%farEvery == 0 && !regions[m.Region] && len(regions) < farMost && connects(now, self, m, members):
			regions[m.Region] = true
			list = append(list, m)
		}
	}
	if len(silent) > 0 && (len(live) == 0 || beats%silentEvery == 0) {
		list = append(list, silent[0])
	}
	most := min((len(live)+nearPart-1)/nearPart, nearMost)
	return append(list, live[:most]...)
}

// receivers returns which of the members hear of news at once.
func receivers(now time.Time, self membership.Member, members []membership.Member) []membership.Member {
	var list []membership.Member
	for _, m := range members {
		if m.Region == self.Region || connects(now, self, m, members) {
			list = append(list, m)
		}
	}
	return list
}

// connects reports whether the instance keeps a connection to a member of
// another region: to few of those that run, and to others only while none does.
func connects(now time.Time, self, m membership.Member, members []membership.Member) bool {
	weight := func(name string) uint64 { return xxhash.Sum64String(self.Name + "\x00" + name) }
	before, live := 0, false
	for _, other := range members {
		if other.Region != m.Region || now.Sub(other.Heard) > quiet {
			continue
		}
		live = true
		if weight(other.Name) > weight(m.Name) {
			before++
		}
	}
	return !live || before < farPeers
}
