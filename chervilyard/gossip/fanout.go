package gossip

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"chervilyard.example/yard/hub"
	"chervilyard.example/yard/membership"
)

const (
	// In a region without hubs, an instance sends heartbeats to one in
	// localFanoutDivisor of the other live instances at once. It does so in every
	// interval if there are at most smallRegionPeers, and in every localIntervals-th
	// otherwise, in which an instance of a region with hubs sends one to a hub.
	localFanoutDivisor = 15
	smallRegionPeers   = 4
	localIntervals     = 2
	// maxFollowUps is the number of members in an interval that are asked, out of turn, for
	// the states of those that they listed.
	maxFollowUps = 2
	// planRetention is how long a silent member counts in the size of its region, by which
	// it has hubs or none.
	planRetention = time.Minute
	// An instance of a region with hubs asks for another list of members after
	// hubListInterval. Without hubs, peers send lists more often than every
	// directListInterval.
	hubListInterval    = time.Second
	directListInterval = 2 * time.Second
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
	// seedIntervals is the number of intervals between heartbeats to seeds that have not
	// answered, once the instance knows its region. Until then they go in each interval, and
	// to the other seeds in one of startSeedIntervals, which may have been told of others since.
	seedIntervals      = 40
	startSeedIntervals = 10
)

// dueSeeds returns the seeds to send a heartbeat to in this interval: those that have not
// answered, as they may be those of instances that this one has not been told of, or all while
// no member is known.
func (g *Gossiper) dueSeeds(now time.Time, self membership.Member, members []membership.Member) []string {
	g.mu.Lock()
	n := g.intervalCount
	g.mu.Unlock()
	switch introduced := g.Introduced(now); {
	case len(members) == 0, !introduced && n%startSeedIntervals == 0:
		return g.Seeds()
	case introduced && n%seedIntervals != 0:
		return nil
	}
	return g.Introduction.Unanswered(g.Seeds(), self.Peers)
}

// choosePeers returns the members to send a heartbeat to in this interval. Within the
// region it prefers those whose last exchange is the longest ago: exchanges at regular
// distances keep loads half as old, on average, as exchanges at random ones. In a region with
// hubs it chooses hubs only, and an instance that is not one sends no heartbeats to other
// regions or to silent members. It reorders the slice members.
func (g *Gossiper) choosePeers(now time.Time, self membership.Member, members []membership.Member) []membership.Member {
	rand.Shuffle(len(members), func(a, b int) { members[a], members[b] = members[b], members[a] })
	var live, silent, remote, list []membership.Member
	for _, m := range members {
		switch {
		case m.Name == self.Name:
		case m.Region != self.Region:
			remote = append(remote, m)
		case now.Sub(m.Heard) <= silentAfter:
			live = append(live, m)
		default:
			silent = append(silent, m)
		}
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	count := 1 + len(live) + countRecent(now, silent)
	g.regionCount = int64(count)
	g.plan = hub.New(count, append(live, self))
	peers, fanout := live, localFanout(g.intervalCount, len(live))
	if !g.plan.Direct() {
		peers = withoutSelf(self, g.plan.Hubs())
		fanout = min(fanout, 1)
	}
	followUps := 0
	for _, m := range live { // members that these listed are requested without waiting for their turn
		if len(g.pending.requests[m.Name]) > 0 && followUps < maxFollowUps {
			list = append(list, m)
			followUps++
		}
	}
	if g.plan.Direct() || g.plan.Includes(self.Name) {
		if g.intervalCount%remoteIntervals == 0 {
			list = append(list, oneOfEachRegion(remotePeers(now, self, remote))...)
		}
		if len(silent) > 0 && (len(live) == 0 || g.intervalCount%silentProbeIntervals == 0) {
			list = append(list, silent[0])
		}
	}
	// Without hubs, lists of members go to peers at random: in turn, they could go to the
	// same ones each time.
	if !g.plan.Direct() || g.intervalCount%memberListIntervals != 0 {
		slices.SortFunc(peers, func(a, b membership.Member) int { return cmp.Compare(g.lastExchange[a.Name], g.lastExchange[b.Name]) })
	}
	return append(list, peers[:min(fanout, len(peers))]...)
}

// nextIntervals returns the number of intervals to the next one in which the instance sends
// heartbeats.
func (g *Gossiper) nextIntervals() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.plan.Direct() {
		return 1
	}
	return localIntervals - g.intervalCount%localIntervals
}

// countRecent returns how many of the members were heard within planRetention, or are known
// only from the store.
func countRecent(now time.Time, members []membership.Member) int {
	n := 0
	for _, m := range members {
		if m.Heard.IsZero() || now.Sub(m.Heard) <= planRetention {
			n++
		}
	}
	return n
}

func withoutSelf(self membership.Member, members []membership.Member) []membership.Member {
	return slices.DeleteFunc(slices.Clone(members), func(m membership.Member) bool { return m.Name == self.Name })
}

// oneOfEachRegion returns the first of the members of each region, at most
// maxRemoteRegions in all.
func oneOfEachRegion(members []membership.Member) []membership.Member {
	var list []membership.Member
	for _, m := range members {
		known := slices.ContainsFunc(list, func(other membership.Member) bool { return other.Region == m.Region })
		if !known && len(list) < maxRemoteRegions {
			list = append(list, m)
		}
	}
	return list
}

// localFanout returns the number of heartbeats to send within the region in an interval,
// given the number of live peers there.
func localFanout(intervalCount, peers int) int {
	if peers > smallRegionPeers && intervalCount%localIntervals != 0 {
		return 0
	}
	return (peers + localFanoutDivisor - 1) / localFanoutDivisor
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

// broadcastPeers returns the members that are notified of news at once: all of the region,
// or its hubs, and a few of each other region unless that is the task of hubs.
func broadcastPeers(now time.Time, self membership.Member, plan hub.Plan, members []membership.Member) []membership.Member {
	var local, remote []membership.Member
	for _, m := range members {
		if m.Region == self.Region {
			local = append(local, m)
		} else {
			remote = append(remote, m)
		}
	}
	switch {
	case plan.Direct():
		return append(local, remotePeers(now, self, remote)...)
	case plan.Includes(self.Name):
		return append(withoutSelf(self, plan.Hubs()), remotePeers(now, self, remote)...)
	}
	return plan.Hubs()
}

// remotePeers returns the members of other regions that the instance sends heartbeats to:
// peersPerRemoteRegion of the live members of each region, or of its hubs. Of a region
// without live members it returns all. The order of the members is kept.
func remotePeers(now time.Time, self membership.Member, members []membership.Member) []membership.Member {
	live, silent := make(map[string][]membership.Member), make(map[string][]membership.Member)
	for _, m := range members {
		if now.Sub(m.Heard) <= silentAfter {
			live[m.Region] = append(live[m.Region], m)
		} else {
			silent[m.Region] = append(silent[m.Region], m)
		}
	}
	chosen := make(map[string]bool)
	for region, candidates := range live {
		if plan := hub.New(len(candidates)+countRecent(now, silent[region]), candidates); !plan.Direct() {
			candidates = plan.Hubs()
		}
		for _, m := range hub.Nearest(self.Name, candidates, peersPerRemoteRegion) {
			chosen[m.Name] = true
		}
	}
	return slices.DeleteFunc(slices.Clone(members), func(m membership.Member) bool {
		return !chosen[m.Name] && len(live[m.Region]) > 0
	})
}
