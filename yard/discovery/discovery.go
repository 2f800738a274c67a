// Package discovery selects the instances that a caller should connect to.
package discovery

import (
	"slices"

	"chervilyard.example/yard/hub"
	"chervilyard.example/yard/membership"
)

// Caller is the location of a caller.
type Caller struct {
	Region string
	Centre string
	Key    string // identifies the caller; it gets the same instances each time
}

// minListed is the number of instances that a caller gets at least, if there are so many: it
// avoids those that failed it, and needs others to go on with.
const minListed = 3

// minRemoteShare is the fraction of a caller's traffic that another region has to be
// permitted to serve to be preferred to instances of the caller's region that are leaving.
const minRemoteShare = 0.95

// Pick returns the instances that are ready and not leaving in the caller's data
// centre. If there are none, it returns those of the caller's region, and if that
// has none either, those of the regions with the highest share. Within the region, isolated
// instances come last: they serve requests through the others. The function share
// returns the fraction of the caller's traffic that a region may serve, from 0 to
// 1. If it returns 0 for all regions, the instances of all regions are returned.
//
// If the highest share is below minRemoteShare, leaving instances of the caller's region
// come before other regions: they still serve for a while, and a request that another
// region must not serve is lost there.
func Pick(members []membership.Member, c Caller, share func(region string) float64) []membership.Member {
	available := filter(members, func(m membership.Member) bool { return m.Ready && !m.Leaving })
	inRegion := func(m membership.Member) bool { return m.Region == c.Region }
	reaching := filter(available, func(m membership.Member) bool { return !m.Isolated })
	for _, candidates := range [][]membership.Member{reaching, available} {
		for _, match := range []func(membership.Member) bool{
			func(m membership.Member) bool { return m.Centre == c.Centre },
			inRegion,
		} {
			if list := filter(candidates, match); len(list) > 0 {
				return list
			}
		}
	}
	maxShare := 0.0
	for _, m := range available {
		maxShare = max(maxShare, share(m.Region))
	}
	if maxShare < minRemoteShare {
		leaving := filter(members, func(m membership.Member) bool { return m.Leaving && inRegion(m) })
		if len(leaving) > 0 {
			return leaving
		}
	}
	return filter(available, func(m membership.Member) bool { return share(m.Region) >= maxShare })
}

// Balance returns the members to list for the caller. Callers choose among the listed ones with
// equal probability, so a weaker instance is listed for a part of the callers only, in proportion
// to its capacity. Otherwise an instance with a fifth of a core gets as many requests as one with
// a whole core. All are listed if their capacities are equal.
func Balance(members []membership.Member, c Caller) []membership.Member {
	strongest := hub.MaxCapacity(members)
	list := filter(members, func(m membership.Member) bool {
		relative := hub.RelativeCapacity(m, strongest)
		return relative >= 1 || hub.Uniform(c.Key, m.Name) < relative
	})
	if len(list) >= min(minListed, len(members)) {
		return list
	}
	for _, m := range hub.NearestWeighted(c.Key, members, len(members)) {
		if len(list) < minListed && !slices.ContainsFunc(list, func(listed membership.Member) bool { return listed.Name == m.Name }) {
			list = append(list, m)
		}
	}
	return list
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
