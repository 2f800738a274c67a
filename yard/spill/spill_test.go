package spill_test

import (
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"chervilyard.example/yard/placement"
	"chervilyard.example/yard/scripttest"
	"chervilyard.example/yard/spill"
)

// TestScripts runs the scripts in testdata:
//
//	near 80ms 80ms         expected wait and cost in the local region
//	near none              the local region has no target for the request
//	offer west 120ms 50ms  expected wait and cost in region west
//	tried west             the request was already sent to region west
//	goes west within 600ms, stays within 600ms
func TestScripts(t *testing.T) {
	scripttest.Run(t, func(t *testing.T, steps []scripttest.Step) {
		var local placement.Estimate
		var localOK bool
		var offers []spill.RemoteEstimate
		var tried []string
		for _, s := range steps {
			switch s.Words[0] {
			case "near":
				if localOK = s.Words[1] != "none"; localOK {
					local = placement.Estimate{Wait: s.Duration(t, 1), Cost: s.Duration(t, 2)}
				}
				offers, tried = nil, nil
			case "offer":
				offers = append(offers, spill.RemoteEstimate{Region: s.Words[1], Estimate: placement.Estimate{Wait: s.Duration(t, 2), Cost: s.Duration(t, 3)}})
			case "tried":
				tried = append(tried, s.Words[1])
			default:
				got := "stays"
				if i := spill.ChooseRegion(local, localOK, offers, tried, s.Duration(t, len(s.Words)-1)); i >= 0 {
					got = "goes " + offers[i].Region
				}
				if want := strings.Join(s.Words[:len(s.Words)-2], " "); got != want {
					t.Errorf("line %d: the request %s, want %s", s.Line, got, want)
				}
			}
		}
	})
}

// Checks that a request is forwarded only to a region that was not tried and meets
// the time limit, and that no other such region, nor the local one, costs less.
func TestLeastCost(t *testing.T) {
	estimate := rapid.Custom(func(t *rapid.T) placement.Estimate {
		wait := time.Duration(rapid.IntRange(0, 2000).Draw(t, "wait")) * time.Millisecond
		return placement.Estimate{Wait: wait, Cost: wait - time.Duration(rapid.IntRange(0, 500).Draw(t, "saved"))*time.Millisecond}
	})
	rapid.Check(t, func(t *rapid.T) {
		local, localOK := estimate.Draw(t, "near"), rapid.Bool().Draw(t, "ok")
		limit := time.Duration(rapid.IntRange(1, 1500).Draw(t, "limit")) * time.Millisecond
		var offers []spill.RemoteEstimate
		var tried []string
		for i := range rapid.IntRange(0, 6).Draw(t, "offers") {
			region := strconv.Itoa(i % 4)
			offers = append(offers, spill.RemoteEstimate{Region: region, Estimate: estimate.Draw(t, "offer")})
			if rapid.IntRange(0, 3).Draw(t, "tried") == 0 {
				tried = append(tried, region)
			}
		}
		allowed := func(o spill.RemoteEstimate) bool { return o.Estimate.Wait < limit && !slices.Contains(tried, o.Region) }
		i := spill.ChooseRegion(local, localOK, offers, tried, limit)
		if i >= 0 && !allowed(offers[i]) {
			t.Fatalf("goes to %+v, which was tried or is too late", offers[i])
		}
		for _, o := range offers {
			switch {
			case !allowed(o):
			case i < 0 && !localOK:
				t.Fatalf("stays without a usable target although %+v may serve", o)
			case i < 0 && o.Estimate.Cost < local.Cost:
				t.Fatalf("stays at %+v although %+v costs less", local, o)
			case i >= 0 && o.Estimate.Cost < offers[i].Estimate.Cost:
				t.Fatalf("goes to %+v although %+v costs less", offers[i], o)
			}
		}
	})
}
