package permit_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"chervilyard.example/yard/permit"
	"chervilyard.example/yard/scripttest"
)

func TestScripts(t *testing.T) {
	scripttest.Run(t, func(t *testing.T, steps []scripttest.Step) {
		var schedule permit.Schedule
		for _, s := range steps {
			if s.Words[0] == "cancel" {
				schedule.Cancel(s.At.Add(s.Duration(t, 1)), s.Number(t, 2))
				continue
			}
			wait, ok := schedule.Issue(s.At, permit.Ask{
				Instance: s.Words[1], PerSecond: s.Number(t, 2), Patience: s.Duration(t, 3), Spread: s.Number(t, 4),
			})
			got := wait.String()
			if !ok {
				got = "again=" + got
			}
			if got != s.Words[5] {
				t.Errorf("line %d: got %s, want %s", s.Line, got, s.Words[5])
			}
		}
	})
}

// Guards against slots beyond a limit that stays the same, however they are asked for and
// handed over, and against a schedule that stops.
func TestSlotsKeepLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.SampledFrom([]float64{0, 0.1, 0.5, 3.1, 12, 40}).Draw(t, "limit")
		var schedule permit.Schedule
		start := time.Unix(1_700_000_000, 0)
		var slots []time.Time
		now := start
		for range rapid.IntRange(1, 400).Draw(t, "asks") {
			now = now.Add(time.Duration(rapid.IntRange(0, 200).Draw(t, "pause")) * time.Millisecond)
			if rapid.IntRange(0, 19).Draw(t, "handover") == 0 {
				var next permit.Schedule
				next.TakeOver(now, schedule.Handover(now))
				schedule = next
			}
			patience := time.Duration(rapid.IntRange(0, 1000).Draw(t, "patience")) * time.Millisecond
			wait, ok := schedule.Issue(now, permit.Ask{Instance: "a", PerSecond: limit, Patience: patience, Spread: 0.5})
			switch {
			case ok && wait > patience:
				t.Fatalf("a slot after %v, patience %v", wait, patience)
			case ok:
				slots = append(slots, now.Add(wait))
			case wait > 10*time.Second:
				t.Fatalf("asked to come back after %v", wait)
			}
		}
		for i, first := range slots {
			n := 0
			for _, at := range slots[i:] {
				if at.Sub(first) < 4*time.Second {
					n++
				}
			}
			if float64(n) > 1.2*4*limit+3 {
				t.Fatalf("%d slots within four seconds at %v a second", n, limit)
			}
		}
	})
}

// Guards against slots above a limit that was lowered: what was assigned before counts.
func TestLoweredLimitCountsAtOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		high := rapid.Float64Range(1, 40).Draw(t, "high")
		low := rapid.Float64Range(0, high).Draw(t, "low")
		var schedule permit.Schedule
		now := time.Unix(1_700_000_000, 0)
		loweredAt := now.Add(time.Duration(rapid.IntRange(0, 6000).Draw(t, "lowered")) * time.Millisecond)
		var slots []time.Time
		for end := loweredAt.Add(8 * time.Second); now.Before(end); now = now.Add(20 * time.Millisecond) {
			limit := high
			if !now.Before(loweredAt) {
				limit = low
			}
			if wait, ok := schedule.Issue(now, permit.Ask{Instance: "a", PerSecond: limit}); ok {
				slots = append(slots, now.Add(wait))
			}
		}
		for i, at := range slots {
			if !at.After(loweredAt) {
				continue
			}
			n := 0
			for _, other := range slots[:i+1] {
				if at.Sub(other) < 4*time.Second {
					n++
				}
			}
			if float64(n) > 1.5*4*low+5 {
				t.Fatalf("%d slots in the four seconds before one at the limit %v", n, low)
			}
		}
	})
}
