package placement_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"chervilyard.example/yard/placement"
	"chervilyard.example/yard/target"
)

// However many instances send requests and health checks to a cold target, in
// whatever order, and whichever of them start anew and wait until they know the
// others, no second sees more than the target bears.
func TestColdTargetOverFleet(t *testing.T) {
	const (
		settles = time.Second // a started instance has no part before
		second  = time.Second
	)
	rapid.Check(t, func(t *rapid.T) {
		size := rapid.IntRange(1, 12).Draw(t, "instances")
		pickers := make([]*placement.Picker, size)
		started := make([]time.Time, size)
		now := time.Unix(1_700_000_000, 0)
		cold := target.New("a", "c", "", []string{"m"}, 64, 1, false).WithCold(time.Minute)
		list := []target.Target{cold}
		for i := range pickers {
			pickers[i] = &placement.Picker{}
			pickers[i].Learn(now, now, second, list)
		}
		over, fixed := rapid.Float64Range(1, 2).Draw(t, "over"), rapid.Float64Range(0, 5).Draw(t, "fixed")
		var arrivals []time.Time
		for range rapid.IntRange(1, 400).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 60).Draw(t, "pause")) * time.Millisecond)
			i := rapid.IntRange(0, size-1).Draw(t, "instance")
			part := placement.Fleet{Size: size, Rank: i, Over: over, Fixed: fixed}
			if now.Sub(started[i]) < settles {
				part.Size = 0
			}
			switch rapid.IntRange(0, 9).Draw(t, "step") {
			case 0:
				pickers[i], started[i] = &placement.Picker{}, now
				pickers[i].Learn(now, now, second, list)
			case 1:
				if pickers[i].Ask(now, "a", engines, part) {
					arrivals = append(arrivals, now)
				}
			default:
				if k := pickers[i].Choose(now, list, placement.Request{Service: engines, Prompt: 10}, part); k != nil {
					arrivals = append(arrivals, now)
					k.First(now)
					k.End(now, placement.Answered)
				}
			}
		}
		most := engines.ColdPace()*over + fixed
		for i, first := range arrivals {
			n := 0
			for _, at := range arrivals[i:] {
				if at.Sub(first) < second {
					n++
				}
			}
			if float64(n) > most {
				t.Fatalf("%d arrivals within a second, at most %v", n, most)
			}
		}
	})
}

// A list on its way tells how long a target stays cold as of when it was written,
// which may be after its reading began.
func TestColdCountsFromArrival(t *testing.T) {
	var p placement.Picker
	read := time.Unix(1_700_000_000, 0)
	arrived := read.Add(110 * time.Millisecond) // there and back
	list := []target.Target{target.New("a", "c", "", []string{"m"}, 64, 1, false).WithCold(3 * time.Second)}
	p.Learn(read, arrived, time.Second, list)
	choose := func(now time.Time) (n int) {
		for range 20 {
			if k := p.Choose(now, list, placement.Request{Service: engines, Prompt: 10}, fleet); k != nil {
				n++
			}
		}
		return n
	}
	if n := choose(read.Add(3050 * time.Millisecond)); n != 9 {
		t.Errorf("%d requests go to a target that may still be cold", n)
	}
	if n := choose(arrived.Add(3050 * time.Millisecond)); n != 20 {
		t.Errorf("%d of 20 requests go to a target that is cold no longer", n)
	}
}
