package gossip_test

import (
	"fmt"
	"testing"

	"google.golang.org/protobuf/proto"

	"chervilyard.example/yard/membership"
)

// BenchmarkHeartbeat measures a heartbeat that lists all members: writing it,
// and its bytes.
func BenchmarkHeartbeat(b *testing.B) {
	for _, n := range []int{9, 72, 360} {
		b.Run(fmt.Sprintf("members=%d", n), func(b *testing.B) {
			d := duty("a", "east")
			for i := range n - 1 {
				name := fmt.Sprintf("front-budapest-a-%03d", i)
				d.Table.Hear(membership.Member{
					Name: name, Run: 1 << 62, Region: "budapest", Centre: "budapest-a", Callers: "10.1.200.25:8221",
					Forward: "10.1.200.25:7600", Peers: "10.1.200.25:8229", Ready: true, Heard: start,
				})
			}
			size := 0
			for b.Loop() {
				text, err := proto.Marshal(d.Heartbeat(start, membership.Member{}))
				if err != nil {
					b.Fatal(err)
				}
				size = len(text)
			}
			b.ReportMetric(float64(size), "bytes")
		})
	}
}
