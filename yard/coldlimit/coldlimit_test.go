package coldlimit_test

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"chervilyard.example/yard/coldlimit"
	"chervilyard.example/yard/scripttest"
)

func TestScripts(t *testing.T) {
	scripttest.Run(t, func(t *testing.T, steps []scripttest.Step) {
		var w coldlimit.Window
		for _, s := range steps {
			limit := int(s.Number(t, 0))
			got, want := w.Reserve(s.At, time.Time{}, limit), s.Words[1] == "yes"
			if got != want {
				t.Errorf("line %d: Reserve is %v, want %v", s.Line, got, want)
			}
			if got {
				w.Sent(s.At)
			}
		}
	})
}

// Guards against exceeding the limit when requests are sent some time after they
// were allowed, because their connection has to be made first or the process stalls, also
// for longer than the window. No second may have more requests sent than the limit.
func TestSentLater(t *testing.T) {
	const maxDialMS, maxStallMS, limitPeriod = 700, 2500, time.Second
	rapid.Check(t, func(t *rapid.T) {
		var w coldlimit.Window
		limit := rapid.IntRange(1, 5).Draw(t, "limit")
		start := time.Unix(1_700_000_000, 0)
		type pending struct {
			due, told time.Time // when it is sent, and when the window is told
			sent      bool
			fails     bool // the connection cannot be made
		}
		var waiting []pending
		var sent []time.Time
		for ms := 0; ms < 6000; ms += 20 {
			now := start.Add(time.Duration(ms) * time.Millisecond)
			for i := range waiting {
				if p := &waiting[i]; !p.sent && !p.fails && !p.due.After(now) {
					p.sent = true
					sent = append(sent, now)
				}
			}
			waiting = slices.DeleteFunc(waiting, func(p pending) bool {
				switch {
				case p.told.After(now):
					return false
				case p.fails:
					w.Release()
				default:
					w.Sent(now)
				}
				return true
			})
			if w.Reserve(now, time.Time{}, limit) {
				due := now.Add(time.Duration(rapid.IntRange(0, maxDialMS).Draw(t, "late")) * time.Millisecond)
				told := due
				if rapid.IntRange(0, 4).Draw(t, "stalls") == 0 {
					told = due.Add(time.Duration(rapid.IntRange(0, maxStallMS).Draw(t, "stall")) * time.Millisecond)
				}
				waiting = append(waiting, pending{due: due, told: told, fails: rapid.IntRange(0, 9).Draw(t, "fails") == 0})
			}
		}
		for i, first := range sent {
			n := 0
			for _, at := range sent[i:] {
				if at.Sub(first) < limitPeriod {
					n++
				}
			}
			if n > limit {
				t.Fatalf("%d requests were sent within a second, limit %d", n, limit)
			}
		}
	})
}

// Checks that the shares of all instances add up to the limit, rounded down.
func TestLimitAddsUp(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.Float64Range(0, 200).Draw(t, "limit")
		size := rapid.IntRange(1, 400).Draw(t, "size")
		sum := 0
		for rank := range size {
			sum += coldlimit.InstanceLimit(limit, size, rank)
		}
		if sum != int(limit) {
			t.Fatalf("the shares of %d instances add up to %d, limit %v", size, sum, limit)
		}
	})
}
