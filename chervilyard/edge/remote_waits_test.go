package edge

import (
	"testing"
	"time"

	"chervilyard.example/yard/fleet"
)

// A hub relays what it hears of other regions. The waiting times must expire by the time at
// which the region told them, however they are relayed.
func TestRelayedWaits(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	path := func(string) time.Duration { return 110 * time.Millisecond }
	var hub, member remoteWaits
	hub.hear(now, "west", &fleet.Heartbeat{Name: "w1", Rooms: []*fleet.Room{{Service: "s", Wait: 40}}})
	hub.hear(now.Add(100*time.Millisecond), "west", &fleet.Heartbeat{Name: "w2", Rooms: []*fleet.Room{{Service: "s", Wait: 60}}})
	written := now.Add(500 * time.Millisecond)
	member.hearRelayed(written, hub.relay(written, path))
	if wait, ok := member.lookupRelayed(written, "west", "s"); !ok || wait.queue != 170*time.Millisecond {
		t.Errorf("the wait is %v, %v", wait, ok)
	}
	if _, ok := member.lookupRelayed(written, "west", "other"); ok {
		t.Error("another service has a waiting time")
	}
	later := now.Add(100*time.Millisecond + remoteWaitMaxAge)
	hub.hear(later, "west", &fleet.Heartbeat{Name: "w1"}) // has no target of the service any more
	member.hearRelayed(written, []*fleet.Room{{Service: "s", Wait: 1, Region: "west", Age: 5000}})
	if wait, _ := member.lookupRelayed(written, "west", "s"); wait.queue != 170*time.Millisecond {
		t.Errorf("an older report replaced the newer one: %v", wait)
	}
	if _, ok := member.lookupRelayed(later.Add(time.Millisecond), "west", "s"); ok {
		t.Error("the waiting time does not expire")
	}
	if rooms := hub.relay(later, path); len(rooms) != 0 {
		t.Errorf("the hub relays %v", rooms)
	}
}
