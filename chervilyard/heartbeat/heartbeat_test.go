package heartbeat_test

import (
	"context"
	"sync"
	"testing"
	"time"

	"chervilyard.example/chervilyard/heartbeat"
	"chervilyard.example/yard/memberlist"
	"chervilyard.example/yard/peer"
)

// Guards against members of other data centres that do not hear of a stop because
// another member was chosen twice.
func TestAnnounceLeavingReachesAllOfFew(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	members := &memberlist.List{Self: "a", Centre: "east", LocalTimeout: time.Minute, RemoteTimeout: time.Minute, EvictAfter: time.Hour}
	for _, address := range []string{"b", "c"} {
		members.Update(now, &peer.Member{Address: address, Centre: "west-" + address, Beat: 1})
	}
	var mu sync.Mutex
	var told map[string]int
	s := &heartbeat.Sender{
		Members: members, Now: func() time.Time { return now },
		LocalMember:  func(time.Time) *peer.Member { return &peer.Member{Address: "a", Centre: "east"} },
		Reports:      func(time.Time) []*peer.Report { return nil },
		ConfirmedAge: func(time.Time) time.Duration { return 0 },
		OnMessage:    func(time.Time, *peer.Member, int64, time.Duration, []*peer.Report) {},
		ExchangeMembers: func(_ context.Context, to string, _ *peer.Roll) (*peer.Roll, error) {
			mu.Lock()
			defer mu.Unlock()
			told[to]++
			return &peer.Roll{}, nil
		},
	}
	for n := range 100 {
		told = make(map[string]int)
		s.AnnounceLeaving(t.Context())
		if told["b"] != 1 || told["c"] != 1 {
			t.Fatalf("announcement %d reached %v", n, told)
		}
	}
}
