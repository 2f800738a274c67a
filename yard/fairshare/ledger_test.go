package fairshare_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"chervilyard.example/yard/fairshare"
)

// Guards against shares that add up to more than the region's capacity, and against a limit on
// a customer that asks for less than its part of the capacity by weight.
func TestSharesProperty(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 20).Draw(t, "customers")
		amount := rapid.IntRange(0, 1e7)
		weights, asked := make(map[string]float64), make(map[string]float64)
		l := fairshare.Ledger{Weight: func(c string) float64 { return weights[c] }}
		now, capacity, weightSum := start, 0.0, 0.0
		var reported []fairshare.Count
		for i := range n {
			c := customer(i)
			weights[c] = rapid.Float64Range(0.001, 1e6).Draw(t, "weight")
			admitted, refused := amount.Draw(t, "admitted"), amount.Draw(t, "refused")
			if rapid.Bool().Draw(t, "reported") {
				reported = append(reported, fairshare.Count{Service: "s", Customer: c, Admitted: admitted, Refused: refused})
			} else {
				l.Admit(now, "s", c, admitted)
				l.Refuse(now, "s", c, refused)
			}
			asked[c] = float64(admitted + refused)
			capacity += float64(admitted)
			if asked[c] > 0 {
				weightSum += weights[c]
			}
		}
		l.UpdatePeer(now, "peer", reported)
		sum := 0.0
		for c := range asked {
			_, share := l.Share(now, "s", c)
			sum += share
			if f := l.WaitFraction(now, "s", c); asked[c] < 0.999*capacity*weights[c]/weightSum && f < 1 || f < 0.5 || f > 1 {
				t.Fatalf("%s asked for %v of %v and may wait %v of the limit", c, asked[c], capacity, f)
			}
		}
		if sum > capacity*(1+1e-9) || sum < capacity*(1-1e-6)-1e-6 {
			t.Fatalf("shares of %v add up to %v", capacity, sum)
		}
	})
}

// Guards against counts that outlive the window or the time that reports count for.
func TestOldCounts(t *testing.T) {
	var l fairshare.Ledger
	l.Admit(start, "s", "own", 10)
	l.Refuse(start, "s", "own", 5)
	l.UpdatePeer(start, "peer", []fairshare.Count{{Service: "s", Customer: "reported", Admitted: 20, Refused: 1}})
	l.UpdateOthers(start.Add(-500*time.Millisecond), []fairshare.Count{{Service: "s", Customer: "summed", Admitted: 40}})
	for _, step := range []struct {
		after                 time.Duration
		own, reported, summed int
	}{{0, 15, 0, 40}, {600 * time.Millisecond, 15, 21, 0}, {1100 * time.Millisecond, 15, 0, 0}, {2100 * time.Millisecond, 0, 0, 0}} {
		now := start.Add(step.after)
		for customer, want := range map[string]int{"own": step.own, "reported": step.reported, "summed": step.summed} {
			if c, _ := l.Share(now, "s", customer); c.Asked() != want {
				t.Errorf("after %v: %s asked for %v, want %v", step.after, customer, c.Asked(), want)
			}
		}
	}
	if l.Short(start.Add(2100*time.Millisecond)) || !l.Short(start) {
		t.Error("the shortage does not last for the window")
	}
}

// Guards against a hub that tells an instance its own counts, which would count twice.
func TestCountsWithout(t *testing.T) {
	var hub fairshare.Ledger
	hub.Admit(start, "s", "c", 1)
	hub.Admit(start, "s", "withdrawn", 7)
	hub.Admit(start, "s", "withdrawn", -7)
	hub.UpdatePeer(start, "a", []fairshare.Count{{Service: "s", Customer: "c", Admitted: 10}})
	hub.UpdatePeer(start, "b", []fairshare.Count{{Service: "s", Customer: "c", Refused: 100}})
	got := hub.CountsWithout(start, "a")
	if want := (fairshare.Count{Service: "s", Customer: "c", Admitted: 1, Refused: 100}); len(got) != 1 || got[0] != want {
		t.Errorf("got %+v, want %+v", got, want)
	}
}
