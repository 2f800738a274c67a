package edge

import (
	"slices"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"chervilyard.example/chervilyard/gateway"
	"chervilyard.example/yard/catalog"
	"chervilyard.example/yard/fleet"
	"chervilyard.example/yard/membership"
	"chervilyard.example/yard/placement"
	"chervilyard.example/yard/route"
	"chervilyard.example/yard/service"
	"chervilyard.example/yard/target"
)

func newInstance(region string) *Edge {
	e := &Edge{}
	e.settings.Store(&Settings{Name: region + "-0", Region: region})
	e.buildViews()
	e.buildHeartbeats()
	return e
}

func testRoute(name string, priority int) route.Route {
	return route.New(name, route.KindService, route.Forward(route.Forwarding{Services: []route.WeightedService{{Service: "s", Weight: 1}}, Priority: priority}))
}

// newWestInstance returns an instance whose engine has as many prompt tokens of less urgent
// requests waiting, and whose service has routes of both classes if mixed.
func newWestInstance(now time.Time, mixed bool, lesserWaiting int) *Edge {
	e := newInstance("west")
	list := []route.Route{testRoute("short", 0), testRoute("long", 2)}
	if !mixed {
		list = list[:1]
	}
	s := service.New("s").WithEngine(8, 1e9)
	e.catalog.Store(catalog.New(catalog.Config{Routes: list, Services: []service.Service{s}}))
	e.targets.local = map[string]target.Target{"e": target.New("e", "c", "", []string{"s"}, 8, 1, false)}
	e.picker.UpdatePeerLoads(now, now, "peer", []placement.Load{{Target: "e", WaitingTokens: 45_000, LesserWaiting: lesserWaiting}})
	for range 10 {
		e.picker.RecordArrival(now, placement.Request{Service: s, PromptTokens: 500, WaitLimit: 500 * time.Millisecond})
		e.picker.RecordArrival(now, placement.Request{Service: s, PromptTokens: 9000, Lesser: true})
	}
	e.picker.RecordRefusal("s", false) // urgent requests need that lesser ones wait elsewhere
	e.picker.RecordRefusal("s", false)
	return e
}

// The class of a request decides whether its region offers another one. Guards against requests
// that are forwarded to a region where their class finds no room, also by what a hub relayed while
// the region itself was heard, against heartbeats that tell the same wait twice, and against older
// instances that tell one wait for both.
func TestWaitsByClass(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	told := func(mixed bool, lesserWaiting int) []*fleet.Room {
		return newWestInstance(now, mixed, lesserWaiting).localWaits(now)
	}
	const queue = 450 * time.Millisecond
	for _, c := range []struct {
		rooms  []*fleet.Room
		tells  bool          // of the lesser class
		lesser time.Duration // 0 if the region is full of the class
	}{
		{told(true, 40_000), true, 0}, {told(true, 9000), false, queue}, {told(false, 40_000), false, queue},
		{[]*fleet.Room{{Service: "s", Wait: 450, Lesser: proto.Float64(700)}}, true, 700 * time.Millisecond},
	} {
		if (c.rooms[0].Lesser != nil) != c.tells {
			t.Errorf("told %v", c.rooms)
		}
		for _, trip := range []time.Duration{0, 110 * time.Millisecond} { // 0 is that to a member that was heard
			e := newInstance("east")
			for _, name := range []string{"west-1", "west-2"} {
				e.memberTable.Update(membership.Member{Name: name, Region: "west", Ready: true, Heard: now})
			}
			offers := 1
			if h := (&fleet.Heartbeat{Name: "west-1", Marks: []uint64{1}, Rooms: c.rooms}); trip == 0 {
				e.handleHeartbeat(now, now, membership.Member{Name: "west-1", Region: "west"}, h)
				e.remoteWaits.hearRelayed(now, []*fleet.Room{{Service: "s", Wait: 1, Region: "west"}})
			} else {
				var hub remoteWaits
				hub.hear(now, "west", h)
				e.remoteWaits.hearRelayed(now, hub.relay(now, func(string) time.Duration { return trip }))
				offers = 2
			}
			for lesser, want := range map[bool]time.Duration{false: queue, true: c.lesser} {
				list := e.remoteInstances(now, "s", lesser, func(string) bool { return true })
				if full := slices.ContainsFunc(list, func(r gateway.RemoteInstance) bool { return r.Full }); full != (want == 0) {
					t.Errorf("told %v, round trip %v: offers for lesser=%v: %+v", c.rooms, trip, lesser, list)
				}
				if want > 0 && (len(list) != offers || list[0].Wait != want+trip || list[0].RoundTrip != trip) {
					t.Errorf("told %v, round trip %v: offers for lesser=%v: %+v", c.rooms, trip, lesser, list)
				}
			}
		}
	}
}
