package division_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"

	"chervilyard.example/yard/division"
	"chervilyard.example/yard/membership"
	"chervilyard.example/yard/ratelimit"
)

// newFleet returns n instances, spread over the regions in turn or, if uneven is set, most
// of them in the first one.
func newFleet(n, regions int, uneven bool) []membership.Member {
	list := make([]membership.Member, n)
	for i := range list {
		region := i % regions
		if uneven && i%5 != 0 {
			region = 0
		}
		list[i] = membership.Member{Name: fmt.Sprintf("m%04d", i), Region: fmt.Sprint("region", region), Ready: true}
		if i%16 == 3 {
			list[i].Capacity = 800
		}
	}
	return list
}

func othersOf(i int, fleet []membership.Member) []membership.Member {
	others := append([]membership.Member{}, fleet[:i]...)
	return append(others, fleet[i+1:]...)
}

// The shares of all instances that know the same others add up to the customer's limits, and
// the homes that an instance asks are those that hold shares.
func TestSharesAddUp(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.SampledFrom([]int{1, 2, 9, 62, 100, 150, 295}).Draw(t, "instances")
		fleet := newFleet(n, rapid.IntRange(1, 4).Draw(t, "regions"), rapid.Bool().Draw(t, "uneven"))
		for i := range fleet {
			fleet[i].Leaving = rapid.IntRange(0, 20).Draw(t, "leaving") == 0
		}
		customer := fmt.Sprint("customer", rapid.IntRange(0, 50).Draw(t, "customer"))
		sum := 0.0
		holders := make(map[string]bool)
		for i, self := range fleet {
			if share := division.New(self, othersOf(i, fleet), 0).Share(customer); share > 0 {
				sum += share
				holders[self.Name] = true
			}
		}
		if math.Abs(sum-1) > 1e-9 {
			t.Fatalf("the shares of %d instances add up to %v", n, sum)
		}
		asked := division.New(fleet[0], othersOf(0, fleet), 0)
		for _, region := range asked.Regions() {
			for _, m := range asked.Homes(region, customer) {
				if !holders[m.Name] {
					t.Fatalf("%s, which holds no share, is asked", m.Name)
				}
			}
		}
	})
}

// Pattern: a large fleet restarts at once. While each instance knows only a few others, the
// shares of all together must stay within a few times the limits.
func TestSharesOfRestartedFleet(t *testing.T) {
	const n = 295
	fleet := newFleet(n, 3, false)
	for _, known := range []int{0, 1, 5, 12, 40, 150} {
		sum := 0.0
		for i, self := range fleet {
			var others []membership.Member
			for k := range known {
				others = append(others, fleet[(i+1+k*37)%n])
			}
			sum += division.New(self, others, n).Share("c")
		}
		if sum > 2 {
			t.Errorf("the shares of instances that know %d others add up to %.1f", known, sum)
		}
	}
}

// Pattern: the requests of one customer come to instances at random, and each needs more
// tokens than an equal share of the burst. At 70% of the rate nearly all must be admitted, at
// four times the rate no more than the limits allow, with a few messages for each.
func TestLargeRequestsAtRandomInstances(t *testing.T) {
	const rate, burst, tokens = 170_000.0, 340_000.0, 12_000.0
	for _, n := range []int{9, 72, 295, 360, 1000} {
		for _, load := range []float64{0.7, 4} {
			fleet := newFleet(n, 3, false)
			limiters, divisions := make([]ratelimit.Limiter, n), make([]division.Division, n)
			index := make(map[string]int)
			now := time.Unix(1_700_000_000, 0)
			limits := map[string]ratelimit.Limits{"c": {Rate: rate, Burst: burst}}
			for i, self := range fleet {
				divisions[i], index[self.Name] = division.New(self, othersOf(i, fleet), 0), i
				limiters[i].SetShares(now, limits, divisions[i].Share)
			}
			if !divisions[0].Pooled() {
				continue // tokens are gathered from all others instead
			}
			start := now.Add(3 * time.Second) // until the buckets are full
			now = start
			asked, messages, admitted := 0, 0, 0
			for ; now.Before(start.Add(20 * time.Second)); now = now.Add(time.Duration(tokens / (rate * load) * float64(time.Second))) {
				asked++
				i := asked * 7919 % n
				ok := limiters[i].Take(now, "c", tokens)
				for _, region := range append([]string{fleet[i].Region}, divisions[i].Regions()...) {
					for _, m := range divisions[i].Homes(region, "c") {
						if !ok {
							messages++
							ok = limiters[index[m.Name]].Take(now, "c", tokens)
						}
					}
				}
				if ok {
					admitted++
				}
			}
			used, allowed := float64(admitted)*tokens, rate*20+burst+6*tokens // each home may owe one request
			if used > allowed {
				t.Errorf("%d instances: %.0f tokens admitted, %.0f allowed", n, used, allowed)
			}
			if share := float64(admitted) / float64(asked); load < 1 && share < 0.99 {
				t.Errorf("%d instances: %.3f of the requests are admitted at %v of the rate", n, share, load)
			}
			if each := float64(messages) / float64(asked); each > 8 {
				t.Errorf("%d instances: %.1f messages for a request", n, each)
			}
		}
	}
}
