package gossip_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

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
			to := pair[1].Self(now)
			to.Heard = time.Time{} // one that was not heard gets the whole list
			h := pair[0].Heartbeat(now, to)
			now = now.Add(way)
			pair[1].Take(now, h)
		}
	}
	if _, ok := b.Table.Get("dead"); !ok {
		t.Fatal("nobody told b of the dead instance")
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

// A heartbeat that lists a fleet of the planned size costs a mark and an age for
// each member; the control of an instance has 15 KB a second.
func TestListIsShort(t *testing.T) {
	const members, most = 360, 12 * 360 // bytes: a mark of 8, an age of up to 3
	d := duty("a", "east")
	for i := range members {
		d.Table.Hear(membership.Member{Name: fmt.Sprintf("front-budapest-a-%03d", i), Run: 1 << 62, Region: "east", Centre: "budapest-a", Peers: "10.1.200.25:8229", Heard: start})
	}
	h := d.Heartbeat(start, membership.Member{Name: "b", Region: "east"})
	if len(h.GetMarks()) != members+1 {
		t.Fatalf("%d members are listed", len(h.GetMarks()))
	}
	if n := proto.Size(h); n > most {
		t.Errorf("the list takes %d bytes, at most %d", n, most)
	}
}

// Whatever is lost, and however members change meanwhile, a few exchanges later
// all know the newest of each, and none is taken to have run after its last sign.
func TestNewsSpreads(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		names := []string{"a", "b", "c", "d"}
		regions := []string{"east", "east", "west", "west"}
		duties := make(map[string]*gossip.Duty)
		state := make(map[string]*membership.Member)
		for i, name := range names {
			one := &membership.Member{Name: name, Run: 1, Region: regions[i], Peers: name}
			state[name] = one
			duties[name] = duty(name, regions[i])
			duties[name].Self = func(now time.Time) membership.Member {
				m := *one
				m.Heard = now
				return m
			}
		}
		now := start
		exchange := func(from, to string, lost bool) {
			d, other := duties[from], duties[to]
			known, ok := d.Table.Get(to)
			if !ok {
				known = membership.Member{Peers: to, Region: state[from].Region} // only its address
			}
			h := d.Heartbeat(now, known)
			now = now.Add(10 * time.Millisecond)
			if lost {
				return
			}
			reply := other.Heartbeat(now, other.Take(now, h))
			now = now.Add(10 * time.Millisecond)
			d.Take(now, reply)
		}
		all := func() {
			for _, from := range names {
				for _, to := range names {
					if from != to {
						exchange(from, to, false)
					}
				}
			}
		}
		for range rapid.IntRange(0, 30).Draw(t, "steps") {
			one := state[rapid.SampledFrom(names).Draw(t, "member")]
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0:
				one.Ready = !one.Ready
			case 1:
				one.Run++
			default:
				if to := rapid.SampledFrom(names).Draw(t, "to"); to != one.Name {
					exchange(one.Name, to, rapid.Bool().Draw(t, "lost"))
				}
			}
		}
		for range 3 {
			all()
		}
		for _, d := range duties {
			for _, m := range d.Table.All() {
				if m.Mark() != state[m.Name].Mark() {
					t.Fatalf("%s is believed to be %+v, is %+v", m.Name, m, *state[m.Name])
				}
				if m.Heard.After(now) {
					t.Fatalf("%s is believed to run in the future", m.Name)
				}
			}
			if n := len(d.Table.All()); n != len(names)-1 {
				t.Fatalf("%d members are known", n)
			}
		}
	})
}
