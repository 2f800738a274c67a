package sentcount_test

import (
	"fmt"
	"maps"
	"testing"
	"time"

	"pgregory.net/rapid"

	"chervilyard.example/yard/sentcount"
)

// Guards against tokens that are counted twice, since two hubs report them or since a report was
// lost, and against tokens that are never counted: once all have reported again, each instance
// knows what the others sent since it first heard of them.
func TestSumsAreCountedOnce(t *testing.T) {
	const instances, hubs = 5, 2
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1_700_000_000, 0)
		ledgers, known, sent := make([]sentcount.Ledger, instances), make([]int, instances), make([]int, instances)
		report := func(from, to int) {
			hears := func(_ string, tokens int, _ time.Time) { known[to] += tokens }
			name := fmt.Sprint(from)
			if from < hubs && to >= hubs {
				ledgers[to].HearHub(now, name, maps.All(map[string]uint32{"e": ledgers[from].Without(fmt.Sprint(to), "e")}), hears)
			} else {
				ledgers[to].HearPeer(now, name, maps.All(map[string]uint32{"e": ledgers[from].Own("e")}), hears)
			}
		}
		exchange := func() {
			now = now.Add(100 * time.Millisecond)
			for i := range instances {
				for h := range hubs {
					if h != i {
						report(i, h)
					}
				}
			}
			for i := hubs; i < instances; i++ {
				for h := range hubs {
					report(h, i)
				}
			}
		}
		exchange()
		for range rapid.IntRange(1, 40).Draw(t, "events") {
			now = now.Add(time.Duration(rapid.IntRange(1, 200).Draw(t, "pause")) * time.Millisecond)
			i, j := rapid.IntRange(0, instances-1).Draw(t, "sender"), rapid.IntRange(0, instances-1).Draw(t, "receiver")
			if tokens := rapid.IntRange(0, 2_000_000_000).Draw(t, "tokens"); tokens > 0 && rapid.Bool().Draw(t, "sends") {
				ledgers[i].Send(now, "e", tokens%100_000)
				sent[i] += tokens % 100_000
			} else if i != j && (i < hubs || j < hubs) {
				report(i, j)
			}
		}
		exchange()
		exchange()
		all := 0
		for _, n := range sent {
			all += n
		}
		for i := range instances {
			if want := all - sent[i]; known[i] != want {
				t.Fatalf("instance %d knows %d tokens of the others, they sent %d", i, known[i], want)
			}
		}
	})
}

// Guards against a sender whose sums begin anew after a restart, which would add nearly 2^32
// tokens or none for long.
func TestRestartSetsBase(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	var l sentcount.Ledger
	known := 0
	for _, sum := range []uint32{70_000, 71_000, 500, 800} {
		now = now.Add(time.Second)
		l.HearPeer(now, "peer", maps.All(map[string]uint32{"e": sum}), func(_ string, tokens int, _ time.Time) { known += tokens })
	}
	if known != 1300 {
		t.Errorf("%d tokens counted, want 1,000 before the restart and 300 after it", known)
	}
	if sum := l.Without("peer", "e"); sum != 0 {
		t.Errorf("a hub tells the peer %d tokens of its own", sum)
	}
}
