package edge

import (
	"time"

	"chervilyard.example/yard/membership"
)

// maxNamed is how many instances an answer of the directory names.
const maxNamed = 64

// Locate returns the callers' addresses of the instances that a caller should
// use for a host, and how long it may keep the answer. Those of its own data
// centre are named, or else of its region, or else of regions where the host's
// requests may be served.
func (e *Edge) Locate(now time.Time, host, region, centre string) ([]string, time.Duration) {
	members := e.table.Live(now, liveTime)
	members = append(members, e.self(now))
	for _, fits := range []func(membership.Member) bool{
		func(m membership.Member) bool { return m.Centre == centre },
		func(m membership.Member) bool { return m.Region == region },
		func(m membership.Member) bool { return e.hostPermits(host, m.Region) },
		func(membership.Member) bool { return true },
	} {
		if list := addresses(members, fits); len(list) > 0 {
			return list, e.Settings().Answer
		}
	}
	return nil, 0
}

func addresses(members []membership.Member, fits func(membership.Member) bool) []string {
	var list []string
	for _, m := range members {
		if m.Ready && !m.Leaving && fits(m) && len(list) < maxNamed {
			list = append(list, m.Callers)
		}
	}
	return list
}

// hostPermits reports whether every route of the host may be served in the region.
func (e *Edge) hostPermits(host, region string) bool {
	c := e.catalog.Load()
	if c == nil {
		return true
	}
	for _, r := range c.Routes(host) {
		if !r.Permits(region, "") {
			return false
		}
	}
	return true
}
