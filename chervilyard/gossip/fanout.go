package gossip

import (
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"

	"chervilyard.example/yard/membership"
)

const (
	// In each interval an instance sends heartbeats to one in localFanoutDivisor of
	// the other live instances of its region, at most to maxLocalFanout. In regions
	// of up to about 65 instances any two thus exchange heartbeats every 400 ms on
	// average. An instance sends or answers 40 to 160 heartbeats/s, which costs part
	// of a core.
	localFanoutDivisor = 16
	maxLocalFanout     = 4
	// remoteIntervals is the number of intervals between heartbeats to other
	// regions, and maxRemoteRegions bounds the regions that get one each time. The
	// links between regions have little bandwidth.
	remoteIntervals  = 8
	maxRemoteRegions = 2
	// peersPerRemoteRegion is the number of members in each other region that an
	// instance sends heartbeats to. Each costs a connection; three tolerate one
	// member that is down and one that is unreachable.
	peersPerRemoteRegion = 3
	// silentProbeIntervals is the number of intervals between heartbeats to a silent
	// member of the region, which detect its return.
	silentProbeIntervals = 20
)

// choosePeers returns the members to send a heartbeat to in this interval. It reorders
// the slice members.
func (g *Gossiper) choosePeers(now time.Time, self membership.Member, members []membership.Member) []membership.Member {
	rand.Shuffle(len(members), func(a, b int) { members[a], members[b] = members[b], members[a] })
	g.mu.Lock()
	intervalCount := g.intervalCount
	g.mu.Unlock()
	var live, silent, list []membership.Member
	remoteRegions := make(map[string]bool)
	for _, m := range members {
		switch {
		case m.Name == self.Name:
		case m.Region == self.Region && now.Sub(m.Heard) <= silentAfter:
			live = append(live, m)
		case m.Region == self.Region:
			silent = append(silent, m)
		case intervalCount%remoteIntervals == 0 && !remoteRegions[m.Region] && len(remoteRegions) < maxRemoteRegions && connectsTo(now, self, m, members):
			remoteRegions[m.Region] = true
			list = append(list, m)
		}
	}
	if len(silent) > 0 && (len(live) == 0 || intervalCount%silentProbeIntervals == 0) {
		list = append(list, silent[0])
	}
	fanout := min((len(live)+localFanoutDivisor-1)/localFanoutDivisor, maxLocalFanout)
	return append(list, live[:fanout]...)
}

// broadcastPeers returns the members that are notified of new store content at once:
// all of the region and a few of each other region.
func broadcastPeers(now time.Time, self membership.Member, members []membership.Member) []membership.Member {
	var list []membership.Member
	for _, m := range members {
		if m.Region == self.Region || connectsTo(now, self, m, members) {
			list = append(list, m)
		}
	}
	return list
}

// connectsTo reports whether the instance sends heartbeats to m, a member of another
// region. By rendezvous hashing it selects m if fewer than peersPerRemoteRegion live
// members of that region rank above m. While none is live, it selects every member.
func connectsTo(now time.Time, self, m membership.Member, members []membership.Member) bool {
	weight := func(name string) uint64 { return xxhash.Sum64String(self.Name + "\x00" + name) }
	higher, live := 0, false
	for _, other := range members {
		if other.Region != m.Region || now.Sub(other.Heard) > silentAfter {
			continue
		}
		live = true
		if weight(other.Name) > weight(m.Name) {
			higher++
		}
	}
	return !live || higher < peersPerRemoteRegion
}
