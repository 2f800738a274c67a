package gossip

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"chervilyard.example/yard/membership"
)

const (
	// An instance sends heartbeats to one in localFanoutDivisor of the other live
	// instances of its region at once, at most to maxLocalFanout. It does so in every
	// interval if there are at most smallRegionPeers, and in every localIntervals-th
	// otherwise. It thus sends or answers at most 100 heartbeats/s in the region on
	// average, and in regions of up to 65 instances any two exchange heartbeats about
	// every 700 ms or more often.
	localFanoutDivisor = 15
	maxLocalFanout     = 5
	smallRegionPeers   = 4
	localIntervals     = 2
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

// choosePeers returns the members to send a heartbeat to in this interval. Within the
// region it prefers those whose last exchange is the longest ago: exchanges at regular
// distances keep loads half as old, on average, as exchanges at random ones. It reorders
// the slice members.
func (g *Gossiper) choosePeers(now time.Time, self membership.Member, members []membership.Member) []membership.Member {
	rand.Shuffle(len(members), func(a, b int) { members[a], members[b] = members[b], members[a] })
	g.mu.Lock()
	defer g.mu.Unlock()
	intervalCount := g.intervalCount
	var live []*membership.Member
	var silent, list []membership.Member
	remoteRegions := make(map[string]bool)
	for i, m := range members {
		switch {
		case m.Name == self.Name:
		case m.Region == self.Region && now.Sub(m.Heard) <= silentAfter:
			live = append(live, &members[i])
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
	// Lists of members go to peers at random: in turn, they could go to the same ones
	// each time.
	if intervalCount%memberListIntervals != 0 {
		slices.SortFunc(live, func(a, b *membership.Member) int { return cmp.Compare(g.lastExchange[a.Name], g.lastExchange[b.Name]) })
	}
	for _, m := range live[:localFanout(intervalCount, len(live))] {
		list = append(list, *m)
	}
	return list
}

// localFanout returns the number of heartbeats to send within the region in an interval,
// given the number of live peers there.
func localFanout(intervalCount, peers int) int {
	if peers > smallRegionPeers && intervalCount%localIntervals != 0 {
		return 0
	}
	return min((peers+localFanoutDivisor-1)/localFanoutDivisor, maxLocalFanout)
}

// recordExchange records that an exchange with the member has begun, whether this
// instance or the member started it.
func (g *Gossiper) recordExchange(name string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.lastExchange == nil {
		g.lastExchange = make(map[string]int)
	}
	g.exchangeCount++
	g.lastExchange[name] = g.exchangeCount
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
