package discovery_test

import (
	"math"
	"strconv"
	"testing"

	"chervilyard.example/yard/discovery"
	"chervilyard.example/yard/membership"
)

// Guards against weak instances that get as many requests as strong ones: with a fifth of a core
// and a slow link they fall behind in a burst, and serve requests whose callers have left.
func TestBurstIsSharedByCapacity(t *testing.T) {
	capacities := []int64{800, 800, 480, 480, 144, 144, 144, 144, 144, 144}
	var members []membership.Member
	total := 0.0
	for i, c := range capacities {
		members = append(members, membership.Member{Name: "m" + strconv.Itoa(i), Capacity: c})
		total += float64(c)
	}
	const callers = 4000
	load := make(map[string]float64)
	for i := range callers {
		list := discovery.Balance(members, discovery.Caller{Key: "10.1.0." + strconv.Itoa(i)})
		if len(list) < 3 {
			t.Fatalf("caller %d gets %d instances, want at least 3", i, len(list))
		}
		for _, m := range list {
			load[m.Name] += 1 / float64(len(list)) / callers
		}
	}
	for _, m := range members {
		want := float64(m.Capacity) / total
		if got := load[m.Name]; math.Abs(got-want) > 0.5*want {
			t.Errorf("%s with %d thousandths of a core gets %.3f of the load, want about %.3f", m.Name, m.Capacity, got, want)
		}
	}
}

// Guards against a change for deployments whose instances are equal, or do not tell their
// capacity, and against too short lists where one instance is far stronger than the others.
func TestBalanceListsEnough(t *testing.T) {
	for _, c := range []struct {
		name       string
		capacities []int64
		want       int // -1: three at least
	}{
		{"equal", []int64{400, 400, 400, 400}, 4},
		{"not known", []int64{0, 0, 0}, 3},
		{"one strong", []int64{4000, 10, 10, 10, 10}, -1},
		{"two in all", []int64{4000, 10}, 2},
	} {
		var members []membership.Member
		for i, capacity := range c.capacities {
			members = append(members, membership.Member{Name: "m" + strconv.Itoa(i), Capacity: capacity})
		}
		for i := range 200 {
			list := discovery.Balance(members, discovery.Caller{Key: strconv.Itoa(i)})
			names := make(map[string]bool)
			for _, m := range list {
				names[m.Name] = true
			}
			if len(names) != len(list) || c.want >= 0 && len(list) != c.want || len(list) < min(3, len(members)) {
				t.Fatalf("%s: caller %d gets %v", c.name, i, list)
			}
		}
	}
}
