// Package discovery selects the instances that a caller should connect to.
package discovery

import "chervilyard.example/yard/membership"

// Caller is the location of a caller.
type Caller struct {
	Region string
	Centre string
}

// Pick returns the instances that are ready and not leaving in the caller's data
// centre. If there are none, it returns those of the caller's region, and if that
// has none either, those of the regions with the highest share. The function share
// returns the fraction of the caller's traffic that a region may serve, from 0 to
// 1. If it returns 0 for all regions, the instances of all regions are returned.
func Pick(members []membership.Member, c Caller, share func(region string) float64) []membership.Member {
	var available []membership.Member
	for _, m := range members {
		if m.Ready && !m.Leaving {
			available = append(available, m)
		}
	}
	for _, match := range []func(membership.Member) bool{
		func(m membership.Member) bool { return m.Centre == c.Centre },
		func(m membership.Member) bool { return m.Region == c.Region },
	} {
		if list := filter(available, match); len(list) > 0 {
			return list
		}
	}
	maxShare := 0.0
	for _, m := range available {
		maxShare = max(maxShare, share(m.Region))
	}
	return filter(available, func(m membership.Member) bool { return share(m.Region) >= maxShare })
}

func filter(members []membership.Member, match func(membership.Member) bool) []membership.Member {
	var list []membership.Member
	for _, m := range members {
		if match(m) {
			list = append(list, m)
		}
	}
	return list
}
