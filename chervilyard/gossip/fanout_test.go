package gossip

import (
	"fmt"
	"testing"
	"time"

	"chervilyard.example/yard/membership"
)

// The number of heartbeats that an instance sends must not grow with the fleet, and any
// two instances of a region of the planned size must exchange theirs often enough for
// loads to be current.
func TestHeartbeatFanout(t *testing.T) {
	const maxLoadAge = 400 * time.Millisecond // time to first byte of a few requests
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
		// Either instance of a pair may start an exchange.
		if age := heartbeatInterval * intervals * time.Duration(c.localPeers) / time.Duration(max(2*localCount, 1)); c.localPeers <= 64 && age > maxLoadAge {
			t.Errorf("%+v: a pair exchanges loads every %v", c, age)
		}
		if len(remotePeers) > c.regions*peersPerRemoteRegion {
			t.Errorf("%+v: connections to %d members of other regions", c, len(remotePeers))
		}
		if len(remoteCounts) != c.regions {
			t.Errorf("%+v: heartbeats go to %d regions", c, len(remoteCounts))
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
