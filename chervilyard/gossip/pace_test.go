package gossip

import (
	"fmt"
	"testing"
	"time"

	"chervilyard.example/yard/membership"
)

// The heartbeats that an instance begins do not grow with the fleet, and any two
// of a region of the planned size exchange theirs often enough for loads to count.
func TestPace(t *testing.T) {
	const loadAge = 400 * time.Millisecond // a few requests' first bytes
	for _, c := range []struct{ mates, regions int }{{0, 1}, {1, 2}, {2, 2}, {14, 23}, {23, 2}, {64, 5}, {300, 0}} {
		self := membership.Member{Name: "self", Region: "own"}
		var members []membership.Member
		for i := range c.mates {
			members = append(members, membership.Member{Name: fmt.Sprint("near", i), Region: "own"})
		}
		for i := range c.regions * 12 {
			members = append(members, membership.Member{Name: fmt.Sprint("far", i), Region: fmt.Sprint("region", i%c.regions)})
		}
		d := &Duty{}
		now := time.Unix(1_700_000_000, 0)
		for i := range members {
			members[i].Heard = now
		}
		const intervals = 8000
		near, far, connected := 0, make(map[string]int), make(map[string]bool)
		for range intervals {
			d.beats++
			list := d.choose(now, self, members)
			if len(list) > nearMost+farMost {
				t.Fatalf("%+v: %d heartbeats in an interval", c, len(list))
			}
			for _, m := range list {
				if m.Region == self.Region {
					near++
				} else {
					far[m.Region]++
					connected[m.Name] = true
				}
			}
		}
		// Both sides of a pair begin heartbeats.
		if age := interval * intervals * time.Duration(c.mates) / time.Duration(max(2*near, 1)); c.mates <= 64 && age > loadAge {
			t.Errorf("%+v: a pair exchanges loads each %v", c, age)
		}
		if len(connected) > c.regions*farPeers {
			t.Errorf("%+v: connections to %d members of other regions", c, len(connected))
		}
		if len(far) != c.regions {
			t.Errorf("%+v: heartbeats go to %d regions", c, len(far))
		}
	}
}

// Members of the region that are silent take no heartbeat from those that run,
// and get one now and then, so that they are found again.
func TestSilentMates(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	self := membership.Member{Name: "self", Region: "own"}
	live := membership.Member{Name: "live", Region: "own", Heard: now}
	members := []membership.Member{live}
	for i := range 5 {
		members = append(members, membership.Member{Name: fmt.Sprint("silent", i), Region: "own", Heard: now.Add(-time.Minute)})
	}
	d := &Duty{}
	sent, found := 0, make(map[string]bool)
	const intervals = 1000
	for range intervals {
		d.beats++
		for _, m := range d.choose(now, self, members) {
			if m.Name == live.Name {
				sent++
			} else {
				found[m.Name] = true
			}
		}
	}
	if sent != intervals {
		t.Errorf("the live member gets %d heartbeats in %d intervals", sent, intervals)
	}
	if len(found) != 5 {
		t.Errorf("%d of 5 silent members are tried", len(found))
	}
}

// News goes to the region and a few members of each other one, however many
// there are: all that hear of it would tell all others else.
func TestNewsGoesToFew(t *testing.T) {
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
	for _, m := range receivers(now, self, members) {
		byRegion[m.Region]++
	}
	if len(byRegion) != 24 || byRegion["own"] != 14 {
		t.Errorf("news goes to %v", byRegion)
	}
	for region, n := range byRegion {
		if region != "own" && n > farPeers {
			t.Errorf("news goes to %d members of %s", n, region)
		}
	}
}
