package warmup_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"chervilyard.example/yard/scripttest"
	"chervilyard.example/yard/warmup"
)

// player runs one script. Times are relative to the time of the step. The steps are:
//
//	list -1s 0s 2s    the store's newest report, of a time from 1 s before to now, is cold for 2 s
//	older -1s 0s 2s   the same, of an earlier run
//	confirm -1s       the store has nothing newer, as of 1 s before
//	check -1s 0s 0s   a health check, of a time from 1 s before to now, reports no cold time
//	cold, warm        what the target is taken for
//	known -1s         there is a report of a time later than 1 s before
//	unknown -1s       there is none
func TestScripts(t *testing.T) {
	scripttest.Run(t, func(t *testing.T, steps []scripttest.Step) {
		var state warmup.State
		for _, s := range steps {
			at := func(i int) time.Time { return s.At.Add(s.Duration(t, i)) }
			report := func() warmup.Report {
				r := warmup.Report{Earliest: at(1), Latest: at(2)}
				if s.Duration(t, 3) > 0 {
					r.ColdUntil = r.Latest.Add(s.Duration(t, 3))
				}
				return r
			}
			switch s.Words[0] {
			case "list":
				state.List(report())
			case "older":
				state.ListOlder(report())
			case "confirm":
				state.ConfirmListed(at(1))
			case "check":
				state.Check(report())
			case "cold", "warm":
				if cold := s.At.Before(state.ColdUntil()); cold != (s.Words[0] == "cold") {
					t.Errorf("line %d: cold is %v", s.Line, cold)
				}
			case "known", "unknown":
				if known := state.IsKnownSince(at(1)); known != (s.Words[0] == "known") {
					t.Errorf("line %d: known is %v", s.Line, known)
				}
			default:
				t.Fatalf("line %d: %q is not a step", s.Line, s.Words[0])
			}
		}
	})
}

// Checks that no order in which reports arrive lets a target that is cold count as warm, once
// a report of its cold time has arrived: older reports say nothing about it.
func TestColdTimeOutlivesOlderReports(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var s warmup.State
		start := time.Unix(1_700_000_000, 0)
		after := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
		const coldFrom, coldUntil = 5000, 8000
		heard := false
		lastList := 0
		for now := 4000; now < coldUntil; now += rapid.IntRange(10, 400).Draw(t, "pause") {
			said := now - rapid.IntRange(0, 900).Draw(t, "age") // when the target said so
			r := warmup.Report{Earliest: after(said - rapid.IntRange(0, 300).Draw(t, "before")), Latest: after(min(said+rapid.IntRange(0, 300).Draw(t, "behind"), now))}
			cold := said >= coldFrom
			if cold {
				r.ColdUntil = r.Latest.Add(time.Duration(coldUntil-said) * time.Millisecond)
			}
			switch check := rapid.Bool().Draw(t, "check"); {
			case check:
				s.Check(r)
			case said >= lastList: // lists are put into effect in their order
				lastList = said
				s.List(r)
			default:
				continue
			}
			heard = heard || cold
			if heard && !after(now).Before(s.ColdUntil()) {
				t.Fatalf("%d ms: taken for warm", now)
			}
		}
	})
}
