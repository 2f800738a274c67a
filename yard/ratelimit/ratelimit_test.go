package ratelimit_test

import (
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"

	"chervilyard.example/yard/ratelimit"
	"chervilyard.example/yard/scripttest"
)

func TestScripts(t *testing.T) {
	scripttest.Run(t, func(t *testing.T, steps []scripttest.Step) {
		var limiter ratelimit.Limiter
		for _, s := range steps {
			switch s.Words[0] {
			case "divide":
				limiter.SetLimits(s.At, map[string]ratelimit.Limits{"c": {Rate: s.Number(t, 1), Burst: s.Number(t, 2)}}, int(s.Number(t, 3)))
			case "take":
				if got, want := limiter.Take(s.At, "c", s.Number(t, 1)), s.Words[2] == "yes"; got != want {
					t.Errorf("line %d: Take is %v, want %v", s.Line, got, want)
				}
			case "add":
				limiter.Add(s.At, "c", s.Number(t, 1))
			case "give":
				if got, want := limiter.TakeSpare(s.At, "c", s.Number(t, 1)), s.Number(t, 2); math.Abs(got-want) > 1 {
					t.Errorf("line %d: TakeSpare is %v, want %v", s.Line, got, want)
				}
			case "lack":
				if got, want := limiter.Deficit(s.At, "c", s.Number(t, 1)), s.Number(t, 2); math.Abs(got-want) > 1 {
					t.Errorf("line %d: Deficit is %v, want %v", s.Line, got, want)
				}
			case "wait":
				if got, want := limiter.RefillTime(s.At, "c", s.Number(t, 1)), s.Duration(t, 2); (got - want).Abs() > time.Millisecond {
					t.Errorf("line %d: RefillTime is %v, want %v", s.Line, got, want)
				}
			default:
				t.Fatalf("line %d: %q is not a step", s.Line, s.Words[0])
			}
		}
	})
}

// TestFleetWithinLimits checks that in any window all instances together admit at
// most what rate and burst allow, while tokens are requested and transferred,
// messages are lost and instances restart.
func TestFleetWithinLimits(t *testing.T) {
	const rate, burst, window = 1000.0, 2000.0, 8 * time.Second
	rapid.Check(t, func(t *rapid.T) {
		instances := rapid.IntRange(1, 6).Draw(t, "instances")
		limiters := make([]*ratelimit.Limiter, instances)
		start := time.Unix(0, 0)
		limits := map[string]ratelimit.Limits{"c": {Rate: rate, Burst: burst}}
		for i := range limiters {
			limiters[i] = &ratelimit.Limiter{}
			limiters[i].SetLimits(start, limits, instances)
		}
		largest := rapid.Float64Range(1, burst/float64(instances)).Draw(t, "largest")
		type admitted struct {
			at     time.Duration
			tokens float64
		}
		var admissions []admitted
		now := time.Duration(0)
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 200).Draw(t, "pause")) * time.Millisecond
			at := start.Add(now)
			i := rapid.IntRange(0, instances-1).Draw(t, "instance")
			switch rapid.IntRange(0, 5).Draw(t, "step") {
			case 0:
				sender := limiters[rapid.IntRange(0, instances-1).Draw(t, "sender")]
				transferred := sender.TakeSpare(at, "c", limiters[i].Deficits(at)["c"])
				if rapid.Bool().Draw(t, "arrives") {
					limiters[i].Add(at, "c", transferred)
				}
			case 1:
				limiters[i] = &ratelimit.Limiter{} // restart
				limiters[i].SetLimits(at, limits, instances)
			default:
				tokens := rapid.Float64Range(0, largest).Draw(t, "tokens")
				if limiters[i].Take(at, "c", tokens) {
					admissions = append(admissions, admitted{now, tokens})
				}
			}
		}
		for _, last := range admissions {
			sum := 0.0
			for _, a := range admissions {
				if a.at <= last.at && a.at > last.at-window {
					sum += a.tokens
				}
			}
			if limit := rate*window.Seconds() + burst + 1; sum > limit {
				t.Fatalf("%v tokens in the window that ends at %v, want at most %v", sum, last.at, limit)
			}
		}
	})
}
