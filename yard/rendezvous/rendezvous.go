// Package rendezvous orders a set of members differently for each key, by rendezvous hashing: a
// member that joins or leaves changes no order among the others.
package rendezvous

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Set is a set of members with one of them named self. It is immutable.
type Set struct {
	self    string
	names   []string // sorted, with self
	hashes  []uint64 // of names
	selfPos int
}

// New returns the set of self and the others, whose names differ.
func New(self string, others []string) *Set {
	s := &Set{self: self, names: append(slices.Clone(others), self)}
	slices.Sort(s.names)
	for i, name := range s.names {
		s.hashes = append(s.hashes, xxhash.Sum64String(name))
		if name == self {
			s.selfPos = i
		}
	}
	return s
}

// Equal reports whether both sets have the same members and the same self.
func (s *Set) Equal(other *Set) bool {
	return s == other || s != nil && other != nil && s.self == other.self && slices.Equal(s.names, other.names)
}

// Rank returns the number of members that precede self in the order of the key.
func (s *Set) Rank(key string) int {
	k := xxhash.Sum64String(key)
	own, rank := weight(k, s.hashes[s.selfPos]), 0
	for i, h := range s.hashes {
		if w := weight(k, h); w > own || w == own && i < s.selfPos {
			rank++
		}
	}
	return rank
}

// First returns the names of the first n members in the order of the key, all if there are
// fewer.
func (s *Set) First(key string, n int) []string {
	k := xxhash.Sum64String(key)
	order := make([]int, len(s.names))
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(weight(k, s.hashes[b]), weight(k, s.hashes[a])) })
	list := make([]string, 0, min(n, len(order)))
	for _, i := range order[:min(n, len(order))] {
		list = append(list, s.names[i])
	}
	return list
}

// weight mixes the hashes of a key and a member with the finalizer of SplitMix64.
func weight(key, member uint64) uint64 {
	x := key ^ member
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
