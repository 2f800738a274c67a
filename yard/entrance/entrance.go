// Package entrance decides which instances a caller should use.
package entrance

import "chervilyard.example/yard/membership"

// Caller is where a caller stands.
type Caller struct {
	Region string
	Centre string
}

// Pick returns the instances that take calls in the caller's data centre, or
// else in its region, or else in the regions where most of what is called may
// be served: share returns that part for a region, 0 to 1.
func Pick(members []membership.Member, c Caller, share func(region string) float64) []membership.Member {
	var open []membership.Member
	for _, m := range members {
		if m.Ready && !m.Leaving {
			open = append(open, m)
		}
	}
	for _, fits := range []func(membership.Member) bool{
		func(m membership.Member) bool { return m.Centre == c.Centre },
		func(m membership.Member) bool { return m.Region == c.Region },
	} {
		if list := filter(open, fits); len(list) > 0 {
			return list
		}
	}
	most := 0.0
	for _, m := range open {
		most = max(most, share(m.Region))
	}
	return filter(open, func(m membership.Member) bool { return share(m.Region) >= most })
}

func filter(members []membership.Member, fits func(membership.Member) bool) []membership.Member {
	var list []membership.Member
	for _, m := range members {
		if fits(m) {
			list = append(list, m)
		}
	}
	return list
}
