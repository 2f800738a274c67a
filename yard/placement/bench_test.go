package placement_test

import (
	"fmt"
	"testing"
	"time"

	"chervilyard.example/yard/placement"
	"chervilyard.example/yard/target"
)

// BenchmarkChoose measures one choice among the targets of a region, with load
// reports from eight peers.
func BenchmarkChoose(b *testing.B) {
	for _, n := range []int{4, 12, 40, 130} {
		b.Run(fmt.Sprintf("targets=%d", n), func(b *testing.B) {
			var p placement.Picker
			now := time.Unix(0, 0)
			var list []target.Target
			var loads []placement.Load
			for i := range n {
				name := fmt.Sprintf("i-%08d", i)
				list = append(list, target.New(name, "c", "", []string{"m"}, 64, 1, false))
				loads = append(loads, placement.Load{Target: name, Open: 9, WaitingTokens: 900, MemoryTokens: 90_000})
			}
			for i := range 8 {
				p.UpdatePeerLoads(now, fmt.Sprint("peer", i), loads)
			}
			r := placement.Request{Service: engineService, PromptTokens: 2000, MaxOutputTokens: 20, Parts: []placement.Part{{ID: "a", Tokens: 500}, {ID: "b", Tokens: 1500}}}
			for b.Loop() {
				ticket := p.Choose(now, list, r, coldShare)
				ticket.RecordFirstByte(now)
				ticket.End(now, placement.Answered)
			}
		})
	}
}
