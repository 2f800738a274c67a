package gossip_test

import (
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"chervilyard.example/chervilyard/gossip"
	"chervilyard.example/chervilyard/journal"
	"chervilyard.example/yard/fleet"
	"chervilyard.example/yard/membership"
)

var start = time.Unix(1_700_000_000, 0)

func duty(name, region string) *gossip.Duty {
	return &gossip.Duty{
		Self: func(now time.Time) membership.Member {
			return membership.Member{Name: name, Run: 1, Region: region, Peers: name, Heard: now}
		},
		Table: &membership.Table{}, Journal: journal.Keeping(hclog.NewNullLogger(), 1),
		Say:   func(time.Time, membership.Member) *fleet.Heartbeat { return &fleet.Heartbeat{} },
		Heard: func(time.Time, time.Time, membership.Member, *fleet.Heartbeat) {},
	}
}

// Two regions tell each other of a third instance that died. However often they
// do, its last sign of life must not get younger on the way.
func TestNewsAges(t *testing.T) {
	const way = 55 * time.Millisecond
	a, b := duty("a", "east"), duty("b", "west")
	a.Table.Hear(membership.Member{Name: "dead", Run: 1, Region: "east", Heard: start})
	now := start
	for range 200 {
		for _, pair := range [][2]*gossip.Duty{{a, b}, {b, a}} {
			h := pair[0].Heartbeat(now, membership.Member{}) // one that was not heard gets the whole list
			now = now.Add(way)
			pair[1].Take(now, h)
		}
	}
	for name, d := range map[string]*gossip.Duty{"a": a, "b": b} {
		for _, m := range d.Table.All() {
			if m.Name == "dead" && m.Heard.After(start) {
				t.Errorf("%s believes that the dead instance lived %v after its death", name, m.Heard.Sub(start))
			}
		}
		if live := d.Table.Live(now, 8*time.Second); len(live) != 1 {
			t.Errorf("%s counts as live: %v", name, live)
		}
	}
}

func TestAgeRoundsUp(t *testing.T) {
	if got := gossip.Age(start.Add(time.Microsecond), start); got != 1 {
		t.Errorf("the age is %d", got)
	}
}
