// Package hub chooses the hubs of a region: a few instances through which all others of a
// large region exchange heartbeats and get tokens, so that the messages of an instance do
// not grow with its region. All instances choose the same hubs once they know the same
// members; no election is needed.
package hub

import (
	"cmp"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"

	"chervilyard.example/yard/membership"
)

const (
	// maxDirect is the largest number of instances of a region without hubs. Each of
	// them exchanges heartbeats with all others.
	maxDirect = 12
	// instancesPerHub bounds the heartbeats that a hub answers. There are at least
	// minHubs, so that a region does not depend on one instance.
	instancesPerHub = 25
	minHubs         = 2
	// homesPerRegion is the number of hubs that hold a customer's tokens.
	homesPerRegion = 2
)

// Plan holds the hubs of one region. The zero value is the plan of a region without hubs.
type Plan struct{ hubs []membership.Member }

// New returns the plan of a region with the given number of instances, among which the hubs
// are chosen from the candidates. Instances that are leaving are no hubs, nor are those that
// are not ready as long as enough others are. The number should include instances that were
// silent only for a while: if some instances knew too few for hubs, they would not meet the
// others.
func New(instances int, candidates []membership.Member) Plan {
	if instances <= maxDirect {
		return Plan{}
	}
	n := max((instances+instancesPerHub-1)/instancesPerHub, minHubs)
	hubs := make([]membership.Member, 0, n+1)
	for _, m := range candidates {
		if m.Leaving || len(hubs) == n && compare(m, hubs[n-1]) >= 0 {
			continue
		}
		i, _ := slices.BinarySearchFunc(hubs, m, compare)
		hubs = slices.Insert(hubs, i, m)
		hubs = hubs[:min(n, len(hubs))]
	}
	return Plan{hubs: hubs}
}

// compare orders candidates: those that are ready come first, then the order is that of
// membership.Compare.
func compare(a, b membership.Member) int {
	switch {
	case a.Ready == b.Ready:
		return membership.Compare(a, b)
	case a.Ready:
		return -1
	}
	return 1
}

// Direct reports whether the region has no hubs.
func (p Plan) Direct() bool { return len(p.hubs) == 0 }

// Hubs returns the hubs. The caller must not change the result.
func (p Plan) Hubs() []membership.Member { return p.hubs }

// Includes reports whether the named instance is a hub.
func (p Plan) Includes(name string) bool {
	return slices.ContainsFunc(p.hubs, func(m membership.Member) bool { return m.Name == name })
}

// Homes returns the hubs that hold the tokens of a customer in the region, the first choice
// first.
func (p Plan) Homes(customer string) []membership.Member {
	return Nearest(customer, p.hubs, homesPerRegion)
}

// Nearest returns at most n of the members, by rendezvous hashing with the key: each key has
// others, and a member that leaves changes the result only for the keys that have it.
func Nearest(key string, members []membership.Member, n int) []membership.Member {
	type weighted struct {
		weight uint64
		index  int
	}
	weights := make([]weighted, len(members))
	for i, m := range members {
		weights[i] = weighted{xxhash.Sum64String(key + "\x00" + m.Name), i}
	}
	slices.SortFunc(weights, func(a, b weighted) int { return cmp.Compare(b.weight, a.weight) })
	list := make([]membership.Member, 0, min(n, len(members)))
	for _, w := range weights[:min(n, len(members))] {
		list = append(list, members[w.index])
	}
	return list
}

// NearestWeighted returns at most n of the members, by weighted rendezvous hashing with the key:
// over many keys, the first member of the result is each with a probability proportional to its
// capacity. Members whose capacity is not known count as the strongest.
func NearestWeighted(key string, members []membership.Member, n int) []membership.Member {
	type scored struct {
		score float64
		index int
	}
	strongest := MaxCapacity(members)
	scores := make([]scored, len(members))
	for i, m := range members {
		scores[i] = scored{-math.Log(Uniform(key, m.Name)) / RelativeCapacity(m, strongest), i}
	}
	slices.SortFunc(scores, func(a, b scored) int { return cmp.Compare(a.score, b.score) })
	list := make([]membership.Member, 0, min(n, len(members)))
	for _, s := range scores[:min(n, len(members))] {
		list = append(list, members[s.index])
	}
	return list
}

// MaxCapacity returns the largest capacity among the members.
func MaxCapacity(members []membership.Member) int64 {
	strongest := int64(0)
	for _, m := range members {
		strongest = max(strongest, m.Capacity)
	}
	return strongest
}

// RelativeCapacity returns the member's capacity as a fraction of the strongest one, above 0 and
// at most 1. It is 1 if the capacity is not known.
func RelativeCapacity(m membership.Member, strongest int64) float64 {
	if m.Capacity <= 0 || strongest <= 0 {
		return 1
	}
	return min(float64(m.Capacity)/float64(strongest), 1)
}

// Uniform returns a number above 0 and below 1 that is uniformly distributed over the keys and
// the names of members, and always the same for the same pair.
func Uniform(key, name string) float64 {
	return (float64(xxhash.Sum64String(key+"\x00"+name)>>11) + 0.5) / (1 << 53)
}
