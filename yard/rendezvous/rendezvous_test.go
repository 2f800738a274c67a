package rendezvous_test

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"chervilyard.example/yard/rendezvous"
)

// Checks that all members agree on the order of each key, and that one that leaves changes no
// order among the others.
func TestMembersAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		names := rapid.SliceOfNDistinct(rapid.StringMatching(`[a-z]{1,4}`), 2, 20, rapid.ID[string]).Draw(t, "names")
		key := rapid.String().Draw(t, "key")
		without := func(list []string, name string) []string {
			return slices.DeleteFunc(slices.Clone(list), func(n string) bool { return n == name })
		}
		order := rendezvous.New(names[0], names[1:]).First(key, len(names))
		for _, name := range names {
			s := rendezvous.New(name, without(names, name))
			if got := s.First(key, len(names)); !slices.Equal(got, order) || s.Rank(key) != slices.Index(order, name) {
				t.Fatalf("%s sees the order %v and its rank %d, others %v", name, got, s.Rank(key), order)
			}
		}
		left := without(names, names[1])
		if got := rendezvous.New(names[0], left[1:]).First(key, len(names)); !slices.Equal(got, without(order, names[1])) {
			t.Fatalf("after %s left the order is %v, before %v", names[1], got, order)
		}
	})
}

// Checks that each member is among the first of about as many keys as the others.
func TestKeysSpread(t *testing.T) {
	const members, first, keys = 27, 9, 900
	var others []string
	for n := 1; n < members; n++ {
		others = append(others, fmt.Sprintf("front-budapest-a-%d", n))
	}
	count := make(map[string]int)
	s := rendezvous.New("front-budapest-a-0", others)
	for n := range keys {
		for _, name := range s.First(fmt.Sprintf("i-%08x", n*7919), first) {
			count[name]++
		}
	}
	for name, n := range count {
		if mean := keys * first / members; n < mean*3/4 || n > mean*5/4 {
			t.Errorf("%s is among the first of %d keys, on average %d", name, n, mean)
		}
	}
}
