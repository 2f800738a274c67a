package gossip

import (
	"fmt"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"chervilyard.example/yard/fleet"
	"chervilyard.example/yard/membership"
)

// BenchmarkHeartbeat measures the encoding of a heartbeat and its size in bytes,
// with the loads of 33 targets. It covers fleets up to the planned size, with and
// without the list of all members.
func BenchmarkHeartbeat(b *testing.B) {
	for _, n := range []int{9, 72, 360} {
		g := &Gossiper{
			Self: func(now time.Time) membership.Member {
				return membership.Member{Name: "a", Run: 1, Region: "budapest", Peers: "10.1.200.25:8229", Heard: now}
			},
			Members: &membership.Table{}, Payload: payload, intervalCount: 1,
		}
		start := time.Unix(1_700_000_000, 0)
		for i := range n - 1 {
			name := fmt.Sprintf("front-budapest-a-%03d", i)
			g.Members.Update(membership.Member{
				Name: name, Run: 1 << 62, Region: "budapest", Centre: "budapest-a", Callers: "10.1.200.25:8221",
				Forward: "10.1.200.25:7600", Peers: "10.1.200.25:8229", Ready: true, Heard: start,
			})
		}
		now := start.Add(time.Minute)
		known := membership.Member{Name: "b", Region: "budapest", Heard: now}
		for name, to := range map[string]membership.Member{"usual": known, "list": {Name: "b", Region: "budapest"}} {
			b.Run(fmt.Sprintf("members=%d/%s", n, name), func(b *testing.B) {
				g.Heartbeat(start, known) // starts selfUpdatePeriod, which ends before now
				size := 0
				for b.Loop() {
					encoded, err := proto.Marshal(g.Heartbeat(now, to))
					if err != nil {
						b.Fatal(err)
					}
					size = len(encoded)
				}
				b.ReportMetric(float64(size), "bytes")
			})
		}
	}
}

// payload returns the part of a heartbeat that Gossiper.Payload supplies, for an
// instance with 36 requests open at 33 targets.
func payload(time.Time, membership.Member) *fleet.Heartbeat {
	h := &fleet.Heartbeat{Loads: &fleet.Loads{}}
	for i := range 33 {
		h.Loads.Targets = append(h.Loads.Targets, uint32(i)<<20)
		h.Loads.Open = append(h.Loads.Open, 1)
		h.Loads.Waiting = append(h.Loads.Waiting, 2300)
		h.Loads.Memory = append(h.Loads.Memory, 12_000)
	}
	for _, part := range []string{"configuration", "targets"} {
		h.Digests = append(h.Digests, &fleet.Digest{Part: part, Revision: 4000, Digest: 1 << 60, Age: 700})
	}
	return h
}
