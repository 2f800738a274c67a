package spill_test

import (
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"chervilyard.example/yard/placement"
	"chervilyard.example/yard/script"
	"chervilyard.example/yard/spill"
)

// TestScripts plays the scripts of testdata:
//
//	near 80ms 80ms       wait and cost in the own region
//	near none            it has no target for the request
//	offer west 120ms 50ms
//	tried west
//	goes west within 600ms, stays within 600ms
func TestScripts(t *testing.T) {
	script.Each(t, func(t *testing.T, steps []script.Step) {
		var near placement.Estimate
		var ok bool
		var offers []spill.Offer
		var tried []string
		for _, s := range steps {
			switch s.Words[0] {
			case "near":
				if ok = s.Words[1] != "none"; ok {
					near = placement.Estimate{Wait: s.Time(t, 1), Cost: s.Time(t, 2)}
				}
				offers, tried = nil, nil
			case "offer":
				offers = append(offers, spill.Offer{Region: s.Words[1], Estimate: placement.Estimate{Wait: s.Time(t, 2), Cost: s.Time(t, 3)}})
			case "tried":
				tried = append(tried, s.Words[1])
			default:
				got := "stays"
				if i := spill.Choose(near, ok, offers, tried, s.Time(t, len(s.Words)-1)); i >= 0 {
					got = "goes " + offers[i].Region
				}
				if want := strings.Join(s.Words[:len(s.Words)-2], " "); got != want {
					t.Errorf("line %d: the request %s, want %s", s.Line, got, want)
				}
			}
		}
	})
}

// Whatever is offered, a request leaves only for a region that was not tried, is
// in time and costs less than all others that are.
func TestLeastCost(t *testing.T) {
	estimate := rapid.Custom(func(t *rapid.T) placement.Estimate {
		wait := time.Duration(rapid.IntRange(0, 2000).Draw(t, "wait")) * time.Millisecond
		return placement.Estimate{Wait: wait, Cost: wait - time.Duration(rapid.IntRange(0, 500).Draw(t, "saved"))*time.Millisecond}
	})
	rapid.Check(t, func(t *rapid.T) {
		near, ok := estimate.Draw(t, "near"), rapid.Bool().Draw(t, "ok")
		limit := time.Duration(rapid.IntRange(1, 1500).Draw(t, "limit")) * time.Millisecond
		var offers []spill.Offer
		var tried []string
		for i := range rapid.IntRange(0, 6).Draw(t, "offers") {
			region := strconv.Itoa(i % 4)
			offers = append(offers, spill.Offer{Region: region, Estimate: estimate.Draw(t, "offer")})
			if rapid.IntRange(0, 3).Draw(t, "tried") == 0 {
				tried = append(tried, region)
			}
		}
		may := func(o spill.Offer) bool { return o.Estimate.Wait < limit && !slices.Contains(tried, o.Region) }
		i := spill.Choose(near, ok, offers, tried, limit)
		if i >= 0 && !may(offers[i]) {
			t.Fatalf("goes to %+v, which is tried or too late", offers[i])
		}
		for _, o := range offers {
			switch {
			case !may(o):
			case i < 0 && !ok:
				t.Fatalf("stays without a target although %+v may serve", o)
			case i < 0 && o.Estimate.Cost < near.Cost:
				t.Fatalf("stays at %+v although %+v costs less", near, o)
			case i >= 0 && o.Estimate.Cost < offers[i].Estimate.Cost:
				t.Fatalf("goes to %+v although %+v costs less", offers[i], o)
			}
		}
	})
}
