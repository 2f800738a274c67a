package pace_test

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"chervilyard.example/yard/pace"
	"chervilyard.example/yard/script"
)

func TestScripts(t *testing.T) {
	script.Each(t, func(t *testing.T, steps []script.Step) {
		var w pace.Window
		for _, s := range steps {
			limit := int(s.Number(t, 0))
			if got, want := w.Take(s.At, limit), s.Words[1] == "yes"; got != want {
				t.Errorf("line %d: Take is %v, want %v", s.Line, got, want)
			}
		}
	})
}

// Requests are sent up to as long after they were allowed as a connection takes.
// No second sees more of them sent than the limit.
func TestSentLater(t *testing.T) {
	const dial, second = 700, time.Second // milliseconds at most, and what the limit is stated for
	rapid.Check(t, func(t *rapid.T) {
		var w pace.Window
		limit := rapid.IntRange(1, 5).Draw(t, "limit")
		begin := time.Unix(1_700_000_000, 0)
		type pending struct{ taken, due time.Time }
		var waiting []pending
		var sent []time.Time
		for ms := 0; ms < 6000; ms += 20 {
			now := begin.Add(time.Duration(ms) * time.Millisecond)
			waiting = slices.DeleteFunc(waiting, func(p pending) bool {
				if p.due.After(now) {
					return false
				}
				w.Sent(p.taken, now)
				sent = append(sent, now)
				return true
			})
			if w.Take(now, limit) {
				late := time.Duration(rapid.IntRange(0, dial).Draw(t, "late")) * time.Millisecond
				waiting = append(waiting, pending{now, now.Add(late)})
			}
		}
		for i, first := range sent {
			n := 0
			for _, at := range sent[i:] {
				if at.Sub(first) < second {
					n++
				}
			}
			if n > limit {
				t.Fatalf("%d requests are sent within a second, the limit is %d", n, limit)
			}
		}
	})
}

// The parts of all instances never add up to more than the bound, and use it whole.
func TestLimitAddsUp(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		bound := rapid.Float64Range(0, 200).Draw(t, "bound")
		size := rapid.IntRange(1, 400).Draw(t, "size")
		sum := 0
		for rank := range size {
			sum += pace.Limit(bound, size, rank)
		}
		if sum != int(bound) {
			t.Fatalf("the parts of %d instances add up to %d of %v", size, sum, bound)
		}
	})
}
