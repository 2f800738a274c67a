package hub_test

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"chervilyard.example/yard/hub"
	"chervilyard.example/yard/membership"
)

// The hubs do not depend on the order of the candidates. They are ready ones before others,
// the strongest first, and never leaving ones.
func TestHubs(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 150).Draw(t, "instances")
		members := make([]membership.Member, n)
		for i := range members {
			members[i] = membership.Member{
				Name: fmt.Sprintf("m%03d", i), Capacity: 192 * int64(rapid.IntRange(0, 2).Draw(t, "capacity")),
				Ready: rapid.IntRange(0, 3).Draw(t, "ready") > 0, Leaving: rapid.IntRange(0, 3).Draw(t, "leaving") == 0,
			}
		}
		plan := hub.New(n, members)
		if n <= 12 != plan.Direct() && slices.ContainsFunc(members, func(m membership.Member) bool { return !m.Leaving }) {
			t.Fatalf("%d instances have %d hubs", n, len(plan.Hubs()))
		}
		other := hub.New(n, rapid.Permutation(members).Draw(t, "order"))
		if !slices.Equal(plan.Hubs(), other.Hubs()) {
			t.Fatalf("the hubs are %v, in another order %v", plan.Hubs(), other.Hubs())
		}
		if plan.Direct() {
			return
		}
		last := plan.Hubs()[len(plan.Hubs())-1]
		for _, m := range members {
			switch {
			case plan.Includes(m.Name) && m.Leaving:
				t.Fatalf("%s is leaving", m.Name)
			case plan.Includes(m.Name) || m.Leaving:
			case m.Ready && !last.Ready, m.Ready == last.Ready && membership.Compare(m, last) < 0:
				t.Fatalf("%+v is no hub, %+v is one", m, last)
			}
		}
		for _, customer := range []string{"a", "b", "c"} {
			for _, m := range plan.Homes(customer) {
				if !plan.Includes(m.Name) {
					t.Fatalf("%s is a home and no hub", m.Name)
				}
			}
		}
	})
}
