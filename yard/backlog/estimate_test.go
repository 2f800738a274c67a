package backlog_test

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"chervilyard.example/yard/backlog"
)

// Guards against delays that callers do not honour, and against ones so short that the caller
// returns to the same queue although it has time, also where the expected wait is infinite.
func TestDelayProperty(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		left := time.Duration(rapid.Int64Range(-int64(time.Second), int64(time.Minute)).Draw(t, "left"))
		e := backlog.New(rapid.IntRange(0, 1e9).Draw(t, "refused"), rapid.Float64Range(0, 1e9).Draw(t, "admitted"),
			rapid.OneOf(rapid.Just(time.Duration(math.MaxInt64)), rapid.Map(rapid.Int64Range(0, int64(time.Minute)), func(n int64) time.Duration { return time.Duration(n) })).Draw(t, "wait"))
		if e.Drain() < 0 {
			t.Fatalf("the backlog lasts for %v", e.Drain())
		}
		d := e.Delay(left, rapid.Float64Range(0, 0.999).Draw(t, "random"))
		if d < 0 || d > max(left, 0)/3 || d > 5*time.Second {
			t.Fatalf("%v of %v left", d, left)
		}
		if e.Drain() < 0 || left >= 3*time.Second && d < min(e.Drain(), time.Second)/2-10*time.Millisecond {
			t.Fatalf("%v, the backlog lasts for %v", d, e.Drain())
		}
	})
}

const (
	tick          = 10 * time.Millisecond
	requestTokens = 300
	capacity      = 75_000.0 // tokens a second
	waitLimit     = 500 * time.Millisecond
)

// call is a request whose caller has some time left at the time of its next attempt.
type call struct {
	left    time.Duration
	refused int
}

// playBurst serves callers, half of whom have three seconds and half ten, and who ask for 1.8
// times the capacity for two seconds and for half of it before and after. Those that are refused
// return after a delay while they have time for an answer. It returns how many were refused more
// than once and how many got no answer.
func playBurst(delay func(e backlog.Estimate, left time.Duration, random float64) time.Duration) (again, unserved int) {
	random := rand.New(rand.NewPCG(1, 2))
	returns := make(map[int][]call)
	var refusals, admissions []int // tokens by tick
	queue, due := 0.0, 0.0
	sum := func(list []int) (n int) {
		for _, v := range list[max(0, len(list)-200):] {
			n += v
		}
		return n
	}
	for i := range 1000 {
		load := 0.5
		if i >= 200 && i < 400 {
			load = 1.8
		}
		calls := returns[i]
		for due += load * capacity * tick.Seconds(); due >= requestTokens; due -= requestTokens {
			calls = append(calls, call{left: []time.Duration{3 * time.Second, 10 * time.Second}[random.IntN(2)]})
		}
		refusals, admissions = append(refusals, 0), append(admissions, 0)
		queue = max(queue-capacity*tick.Seconds(), 0)
		for _, c := range calls {
			wait := time.Duration(queue / capacity * float64(time.Second))
			if wait <= waitLimit {
				queue += requestTokens
				admissions[i] += requestTokens
				continue
			}
			refusals[i] += requestTokens
			if c.refused++; c.refused == 2 {
				again++
			}
			e := backlog.New(sum(refusals), float64(sum(admissions))/2, wait)
			d := max(delay(e, c.left, random.Float64()), tick)
			if c.left -= d; c.left < waitLimit {
				unserved++
				continue
			}
			returns[i+int(d/tick)] = append(returns[i+int(d/tick)], c)
		}
	}
	return again, unserved
}

// Load: a burst of 1.8 times the capacity for two seconds, whose refused callers return while
// they have time. Fewer must be refused again, and no more left without an answer, than with a
// fixed delay or with half of the expected wait.
func TestReturnsAfterBurst(t *testing.T) {
	again, unserved := playBurst(func(e backlog.Estimate, left time.Duration, random float64) time.Duration {
		return e.Delay(left, random)
	})
	t.Logf("estimate: %d refused again, %d without an answer", again, unserved)
	for _, fixed := range []time.Duration{250 * time.Millisecond, 500 * time.Millisecond, time.Second} {
		a, u := playBurst(func(_ backlog.Estimate, left time.Duration, _ float64) time.Duration { return min(fixed, left/3) })
		t.Logf("fixed %v: %d refused again, %d without an answer", fixed, a, u)
		if again >= a || unserved > u {
			t.Errorf("%d refused again and %d without an answer, with a fixed delay of %v %d and %d", again, unserved, fixed, a, u)
		}
	}
}
