package placement_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"chervilyard.example/yard/placement"
	"chervilyard.example/yard/target"
)

// ending is when and how a request ends.
type ending struct {
	ticket *placement.Ticket
	at     time.Time
	fails  bool
	way    placement.Outcome
}

func (e ending) end() {
	if e.fails {
		e.ticket.End(e.at, e.way)
		return
	}
	e.ticket.First(e.at)
	e.ticket.End(e.at, placement.Answered)
}

// Targets that fail part of their requests, in whatever way, lose most of the
// traffic to sound ones and get it back once they are sound; and while one
// target can be reached at all, every request finds one.
func TestGreyTargets(t *testing.T) {
	const (
		gap     = 10 * time.Millisecond // between requests
		span    = 10 * time.Second      // of each phase
		settle  = 4 * time.Second       // after which shares count
		answers = 60 * time.Millisecond
	)
	ways := []placement.Outcome{placement.Failed, placement.Broken, placement.Unreachable}
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(2, 5).Draw(t, "targets")
		var list []target.Target
		for i := range n {
			list = append(list, target.New(fmt.Sprint("t", i), "c", "", []string{"p"}, 8, 1, false))
		}
		way := rapid.SampledFrom(ways).Draw(t, "way")
		grey := rapid.IntRange(1, n-1).Draw(t, "grey")
		share := rapid.Float64Range(0.4, 1).Draw(t, "failing")
		var p placement.Picker
		now := time.Unix(1_700_000_000, 0)
		p.Learn(now, now, time.Second, list)
		var open []ending
		play := func(share float64) (sent, bad int) {
			failures := 0.0
			for at := time.Duration(0); at < span; at += gap {
				now = now.Add(gap)
				for len(open) > 0 && !open[0].at.After(now) {
					open[0].end()
					open = open[1:]
				}
				if at%time.Second == 0 {
					p.Learn(now, now, time.Second/2, list) // reports go on
				}
				k := p.Choose(now, list, placement.Request{Service: plain}, fleet)
				if k == nil {
					t.Fatalf("no target for a request, though %d are sound", n-grey)
				}
				var i int
				if _, err := fmt.Sscanf(k.Target().Name(), "t%d", &i); err != nil {
					t.Fatal(err)
				}
				if at > settle {
					sent++
					if i < grey {
						bad++
					}
				}
				fails := false
				if i < grey {
					if failures += share; failures >= 1 {
						failures--
						fails = true
					}
				}
				open = append(open, ending{ticket: k, at: now.Add(answers), fails: fails, way: way})
			}
			return sent, bad
		}
		play(0)
		even := float64(grey) / float64(n)
		if sent, bad := play(share); float64(bad) > even*float64(sent)/2 {
			t.Fatalf("%d of %d targets fail %.0f%% (%v) and get %d of %d requests", grey, n, 100*share, way, bad, sent)
		}
		if sent, bad := play(0); float64(bad) < even*float64(sent)/3 {
			t.Fatalf("%d of %d targets are sound again and get %d of %d requests", grey, n, bad, sent)
		}
	})
}
