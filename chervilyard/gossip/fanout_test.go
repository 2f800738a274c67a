package gossip

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"chervilyard.example/yard/hub"
	"chervilyard.example/yard/membership"
)

// The number of heartbeats that an instance sends must not grow with the fleet. Of a region
// with hubs, only they send heartbeats to other regions.
func TestHeartbeatFanout(t *testing.T) {
	for _, c := range []struct {
		localPeers, regions int
		hub                 bool // this instance is the strongest of its region
		maxLocalRate        float64
	}{
		{0, 1, false, 0}, {1, 2, false, 20}, {2, 2, false, 20}, {11, 23, false, 50}, {14, 23, true, 10}, {14, 23, false, 10},
		{23, 2, true, 10}, {23, 2, false, 10}, {64, 5, true, 10}, {64, 5, false, 10}, {119, 2, true, 10}, {119, 2, false, 10}, {300, 0, true, 10}, {332, 2, true, 10}, {332, 2, false, 10},
	} {
		self := membership.Member{Name: "self", Region: "own"}
		if c.hub {
			self.Capacity = 1
		}
		var members []membership.Member
		for i := range c.localPeers {
			members = append(members, membership.Member{Name: fmt.Sprint("near", i), Region: "own"})
		}
		for i := range c.regions * 12 {
			members = append(members, membership.Member{Name: fmt.Sprint("far", i), Region: fmt.Sprint("region", i%c.regions)})
		}
		g := &Gossiper{}
		now := time.Unix(1_700_000_000, 0)
		for i := range members {
			members[i].Heard = now
		}
		const intervals = 8000
		localCount, localPeers, remoteCounts, remotePeers := 0, make(map[string]bool), make(map[string]int), make(map[string]bool)
		for range intervals {
			g.intervalCount++
			if g.nextIntervals() == 1 && !g.plan.Direct() {
				continue // between two intervals with heartbeats
			}
			list := g.choosePeers(now, self, members)
			if len(list) > 5+maxRemoteRegions {
				t.Fatalf("%+v: %d heartbeats in an interval", c, len(list))
			}
			for _, m := range list {
				if m.Region == self.Region {
					localCount++
					localPeers[m.Name] = true
					g.recordExchange(m.Name)
				} else {
					remoteCounts[m.Region]++
					remotePeers[m.Name] = true
				}
			}
		}
		if rate := float64(localCount) / (intervals * heartbeatInterval).Seconds(); rate > c.maxLocalRate {
			t.Errorf("%+v: %.0f heartbeats/s in the region", c, rate)
		}
		if len(localPeers) > 14 {
			t.Errorf("%+v: connections to %d members of the region", c, len(localPeers))
		}
		if len(remotePeers) > c.regions*peersPerRemoteRegion {
			t.Errorf("%+v: connections to %d members of other regions", c, len(remotePeers))
		}
		wantRegions := c.regions
		if c.localPeers >= 12 && !c.hub {
			wantRegions = 0
		}
		if len(remoteCounts) != wantRegions {
			t.Errorf("%+v: heartbeats go to %d regions", c, len(remoteCounts))
		}
	}
}

// The loads that an instance knows of its peers must be recent enough to choose targets by
// them, in regions of up to the planned size and those of a fleet of 1,000. No load report
// may expire (see placement.Picker) while both instances run.
func TestLoadAge(t *testing.T) {
	const (
		start  = 2 * time.Second
		maxAge = 1500 * time.Millisecond
	)
	for _, c := range []struct {
		instances     int
		maxMeanAge    time.Duration
		maxHeartbeats float64 // per second that an instance sends or answers, on average
		maxAnswers    float64 // per second that any instance sends or answers
	}{
		{2, 25 * time.Millisecond, 40, 50},
		{4, 50 * time.Millisecond, 40, 60},
		{5, 75 * time.Millisecond, 40, 60},
		{12, 300 * time.Millisecond, 20, 40},
		{13, 300 * time.Millisecond, 25, 300},
		{27, 350 * time.Millisecond, 25, 300},
		{65, 400 * time.Millisecond, 25, 300},
		{100, 400 * time.Millisecond, 25, 300},
		{120, 400 * time.Millisecond, 25, 300},
		{333, 900 * time.Millisecond, 25, 300},
	} {
		end := 12 * time.Second
		if c.instances > 65 { // larger regions take long to simulate
			end = 4500 * time.Millisecond
		}
		now := time.Unix(1_700_000_000, 0)
		members := make([]membership.Member, c.instances)
		gossipers := make([]*Gossiper, c.instances)
		index := make(map[string]int)
		known := make([][]time.Duration, c.instances) // time of the load of each instance that each knows
		for i := range members {
			members[i] = membership.Member{Name: fmt.Sprint("m", i), Region: "own", Heard: now}
			index[members[i].Name] = i
			gossipers[i] = &Gossiper{}
			known[i] = make([]time.Duration, c.instances)
		}
		total, longest, samples, nextSample := time.Duration(0), time.Duration(0), 0, start
		counts, exchanges := make([]int, c.instances), 0
		tell := func(at time.Duration, from, to int) {
			known[from][from] = at
			if plan := gossipers[from].Plan(); plan.Includes(members[from].Name) && !plan.Includes(members[to].Name) {
				copy(known[to], known[from])
			} else {
				known[to][from] = at
			}
			known[to][to] = at
		}
		for at := time.Duration(0); at < end; {
			for i, self := range members {
				at += heartbeatInterval / time.Duration(c.instances)
				if at >= nextSample {
					nextSample += 170 * time.Millisecond
					for i := range members {
						for j := range members {
							if i != j {
								age := at - known[i][j]
								total += age
								longest = max(longest, age)
								samples++
							}
						}
					}
				}
				gossipers[i].intervalCount++
				if gossipers[i].nextIntervals() == 1 && !gossipers[i].plan.Direct() {
					continue // between two intervals with heartbeats
				}
				for _, m := range gossipers[i].choosePeers(now, self, slices.Clone(members)) {
					other := index[m.Name]
					gossipers[i].recordExchange(m.Name)
					gossipers[other].recordExchange(self.Name)
					tell(at, i, other)
					tell(at, other, i)
					if at > start {
						counts[i]++
						counts[other]++
						exchanges++
					}
				}
			}
		}
		meanAge := total / time.Duration(samples)
		rate := float64(2*exchanges) / (end - start).Seconds() / float64(c.instances)
		highest := float64(slices.Max(counts)) / (end - start).Seconds()
		t.Logf("%d instances: load reports are %v old on average, at most %v; %.1f heartbeats/s, at most %.1f", c.instances, meanAge, longest, rate, highest)
		if meanAge > c.maxMeanAge || longest > maxAge {
			t.Errorf("%d instances: load reports are %v old on average, at most %v", c.instances, meanAge, longest)
		}
		if rate > c.maxHeartbeats || highest > c.maxAnswers {
			t.Errorf("%d instances: each sends or answers %.1f heartbeats/s, one %.1f", c.instances, rate, highest)
		}
	}
}

// The exchanges of a region without hubs run in turn, and every memberListIntervals-th interval sends
// the list of members. Guards against the list going to the same peers each time.
func TestListGoesToAllPeers(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	for _, peers := range []int{1, 2, 3, 4, 5, 10, 11} {
		self := membership.Member{Name: "self", Region: "own"}
		var members []membership.Member
		for i := range peers {
			members = append(members, membership.Member{Name: fmt.Sprint("near", i), Region: "own", Heard: now})
		}
		g := &Gossiper{}
		listed := make(map[string]bool)
		for range 400 * memberListIntervals {
			g.intervalCount++
			for _, m := range g.choosePeers(now, self, members) {
				g.recordExchange(m.Name)
				if g.intervalCount%memberListIntervals == 0 {
					listed[m.Name] = true
				}
			}
		}
		if len(listed) != peers {
			t.Errorf("%d of %d peers get a list", len(listed), peers)
		}
	}
}

// Silent members of the region must not reduce the heartbeats to live ones, and must be
// probed from time to time so that their return is detected.
func TestSilentMembersProbed(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	self := membership.Member{Name: "self", Region: "own"}
	live := membership.Member{Name: "live", Region: "own", Heard: now}
	members := []membership.Member{live}
	for i := range 5 {
		members = append(members, membership.Member{Name: fmt.Sprint("silent", i), Region: "own", Heard: now.Add(-time.Minute)})
	}
	g := &Gossiper{}
	sentToLive, probed := 0, make(map[string]bool)
	const intervals = 1000
	for range intervals {
		g.intervalCount++
		for _, m := range g.choosePeers(now, self, members) {
			if m.Name == live.Name {
				sentToLive++
			} else {
				probed[m.Name] = true
			}
		}
	}
	if sentToLive != intervals {
		t.Errorf("the live member gets %d heartbeats in %d intervals", sentToLive, intervals)
	}
	if len(probed) != 5 {
		t.Errorf("%d of 5 silent members are probed", len(probed))
	}
}

// New store content must be announced to the whole region, or to its hubs, but only to a few
// members of each other region, however large the fleet is. In a region with hubs, others
// leave the other regions to them.
func TestBroadcastFanout(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	for _, c := range []struct {
		near         int
		capacity     int64 // of this instance; the others have none
		own, regions int   // members of the region and regions that are told
	}{{11, 0, 11, 24}, {14, 1, 1, 24}, {14, 0, 2, 1}, {119, 1, 4, 24}, {119, 0, 5, 1}} {
		self := membership.Member{Name: "self", Region: "own", Capacity: c.capacity}
		var members []membership.Member
		for i := range c.near {
			members = append(members, membership.Member{Name: fmt.Sprint("near", i), Region: "own", Heard: now})
		}
		plan := hub.New(c.near+1, append(members[:c.near:c.near], self))
		for i := range 345 {
			members = append(members, membership.Member{Name: fmt.Sprint("far", i), Region: fmt.Sprint("region", i%23), Heard: now})
		}
		byRegion := make(map[string]int)
		for _, m := range broadcastPeers(now, self, plan, members) {
			byRegion[m.Region]++
		}
		if len(byRegion) != c.regions || byRegion["own"] != c.own {
			t.Errorf("%+v: content is announced to %v", c, byRegion)
		}
		for region, n := range byRegion {
			if region != "own" && n > peersPerRemoteRegion {
				t.Errorf("%+v: content is announced to %d members of %s", c, n, region)
			}
		}
	}
}
