package hub_test

import (
	"math"
	"strconv"
	"testing"

	"chervilyard.example/yard/hub"
	"chervilyard.example/yard/membership"
)

// Guards against forwarding a region's peak to instances that are too weak for it: the first
// choices of many instances are in proportion to the capacities.
func TestForwardedPeakIsSharedByCapacity(t *testing.T) {
	capacities := []int64{800, 480, 480, 144, 144, 144}
	var members []membership.Member
	total := 0.0
	for i, c := range capacities {
		members = append(members, membership.Member{Name: "m" + strconv.Itoa(i), Capacity: c})
		total += float64(c)
	}
	const keys = 20000
	first := make(map[string]float64)
	for i := range keys {
		list := hub.NearestWeighted("sender "+strconv.Itoa(i), members, 3)
		if len(list) != 3 {
			t.Fatalf("%d members, want 3", len(list))
		}
		first[list[0].Name] += 1.0 / keys
	}
	for _, m := range members {
		if want := float64(m.Capacity) / total; math.Abs(first[m.Name]-want) > 0.1*want+0.005 {
			t.Errorf("%s comes first for %.3f of the senders, want %.3f", m.Name, first[m.Name], want)
		}
	}
}
