package gossip

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"chervilyard.example/yard/membership"
)

// The number of heartbeats that an instance sends must not grow with the fleet.
func TestHeartbeatFanout(t *testing.T) {
	const maxLocalRate = 50 // heartbeats/s that an instance starts in its region
	for _, c := range []struct{ localPeers, regions int }{{0, 1}, {1, 2}, {2, 2}, {14, 23}, {23, 2}, {64, 5}, {300, 0}} {
		self := membership.Member{Name: "self", Region: "own"}
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
		localCount, remoteCounts, remotePeers := 0, make(map[string]int), make(map[string]bool)
		for range intervals {
			g.intervalCount++
			list := g.choosePeers(now, self, members)
			if len(list) > maxLocalFanout+maxRemoteRegions {
				t.Fatalf("%+v: %d heartbeats in an interval", c, len(list))
			}
			for _, m := range list {
				if m.Region == self.Region {
					localCount++
				} else {
					remoteCounts[m.Region]++
					remotePeers[m.Name] = true
				}
			}
		}
		if rate := float64(localCount) / (intervals * heartbeatInterval).Seconds(); rate > maxLocalRate {
			t.Errorf("%+v: %.0f heartbeats/s in the region", c, rate)
		}
		if len(remotePeers) > c.regions*peersPerRemoteRegion {
			t.Errorf("%+v: connections to %d members of other regions", c, len(remotePeers))
		}
		if len(remoteCounts) != c.regions {
			t.Errorf("%+v: heartbeats go to %d regions", c, len(remoteCounts))
		}
	}
}

// The loads that an instance knows of its peers must be recent enough to choose targets by
// them, in regions of up to the planned size. No load report may expire (see
// placement.Picker) while both instances run.
func TestLoadAge(t *testing.T) {
	const (
		start, end = 2 * time.Second, 12 * time.Second
		maxAge     = 1500 * time.Millisecond
	)
	for _, c := range []struct {
		instances     int
		maxMeanAge    time.Duration
		maxHeartbeats float64 // per second that an instance sends or answers
	}{
		{2, 25 * time.Millisecond, 40},
		{4, 50 * time.Millisecond, 40},
		{5, 75 * time.Millisecond, 40},
		{12, 300 * time.Millisecond, 20},
		{27, 350 * time.Millisecond, 40},
		{65, 400 * time.Millisecond, 100},
	} {
		now := time.Unix(1_700_000_000, 0)
		members := make([]membership.Member, c.instances)
		gossipers := make(map[string]*Gossiper)
		for i := range members {
			members[i] = membership.Member{Name: fmt.Sprint("m", i), Region: "own", Heard: now}
			gossipers[members[i].Name] = &Gossiper{}
		}
		last := make(map[[2]string]time.Duration) // time of the last exchange, by the sorted names
		total, weighted, longest, count := 0.0, 0.0, time.Duration(0), 0
		for at := time.Duration(0); at < end; {
			for _, self := range members {
				at += heartbeatInterval / time.Duration(c.instances)
				g := gossipers[self.Name]
				g.intervalCount++
				for _, m := range g.choosePeers(now, self, slices.Clone(members)) {
					g.recordExchange(m.Name)
					gossipers[m.Name].recordExchange(self.Name)
					pair := [2]string{min(self.Name, m.Name), max(self.Name, m.Name)}
					if began := last[pair]; began > start {
						gap := at - began
						total += gap.Seconds()
						weighted += gap.Seconds() * gap.Seconds() / 2
						longest = max(longest, gap)
						count++
					}
					last[pair] = at
				}
			}
		}
		meanAge := time.Duration(weighted / total * float64(time.Second))
		rate := float64(2*count) / (end - start).Seconds() / float64(c.instances)
		t.Logf("%d instances: load reports are %v old on average, at most %v; %.1f heartbeats/s", c.instances, meanAge, longest, rate)
		if pairs := c.instances * (c.instances - 1) / 2; len(last) != pairs {
			t.Errorf("%d instances: %d of %d pairs exchange heartbeats", c.instances, len(last), pairs)
		}
		if meanAge > c.maxMeanAge || longest > maxAge {
			t.Errorf("%d instances: load reports are %v old on average, at most %v", c.instances, meanAge, longest)
		}
		if rate > c.maxHeartbeats {
			t.Errorf("%d instances: each sends or answers %.1f heartbeats/s", c.instances, rate)
		}
	}
}

// The exchanges of a region run in turn, and every memberListIntervals-th interval sends
// the list of members. Guards against the list going to the same peers each time.
func TestListGoesToAllPeers(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	for _, peers := range []int{1, 2, 3, 4, 5, 10, 26} {
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

// New store content must be announced to the whole region but only to a few members of
// each other region, however large the fleet is: every receiver there announces it to
// its whole region in turn.
func TestBroadcastFanout(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	self := membership.Member{Name: "self", Region: "own"}
	var members []membership.Member
	for i := range 14 {
		members = append(members, membership.Member{Name: fmt.Sprint("near", i), Region: "own", Heard: now})
	}
	for i := range 345 {
		members = append(members, membership.Member{Name: fmt.Sprint("far", i), Region: fmt.Sprint("region", i%23), Heard: now})
	}
	byRegion := make(map[string]int)
	for _, m := range broadcastPeers(now, self, members) {
		byRegion[m.Region]++
	}
	if len(byRegion) != 24 || byRegion["own"] != 14 {
		t.Errorf("content is announced to %v", byRegion)
	}
	for region, n := range byRegion {
		if region != "own" && n > peersPerRemoteRegion {
			t.Errorf("content is announced to %d members of %s", n, region)
		}
	}
}
