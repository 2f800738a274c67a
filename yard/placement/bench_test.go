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
				p.UpdatePeerLoads(now, now, fmt.Sprint("peer", i), loads)
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

// BenchmarkChooseWithEjections measures one choice while a tenth of the targets is ejected.
func BenchmarkChooseWithEjections(b *testing.B) {
	const n = 58
	var p placement.Picker
	now := time.Unix(0, 0)
	var list []target.Target
	var loads []placement.Load
	for i := range n {
		list = append(list, target.New(fmt.Sprintf("i-%08d", i), "c", "", []string{"m"}, 64, 1, false))
		l := placement.Load{Target: list[i].Name(), Open: 9, WaitingTokens: 900, MemoryTokens: 90_000, Answered: 20}
		if i%10 == 0 {
			l.Answered, l.Failed = 0, 20
		}
		loads = append(loads, l)
	}
	r := placement.Request{Service: engineService, PromptTokens: 2000, MaxOutputTokens: 20}
	for range 10 {
		now = now.Add(100 * time.Millisecond)
		p.UpdateOtherLoads(now, now, "hub", loads)
		p.EstimateBest(now, list, r, coldShare)
	}
	if p.Ejected() == 0 {
		b.Fatal("no target is ejected")
	}
	for b.Loop() {
		ticket := p.Choose(now, list, r, coldShare)
		ticket.RecordFirstByte(now)
		ticket.End(now, placement.Answered)
	}
}
