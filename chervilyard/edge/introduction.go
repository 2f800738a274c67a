package edge

import (
	"slices"
	"strconv"
	"time"

	"chervilyard.example/yard/membership"
)

// introduced reports whether this instance knows the others of its region, as far as it can, so
// that it may divide limits by them.
func (e *Edge) introduced(now time.Time) bool {
	s := e.Settings()
	return e.introduction.Update(now.Sub(e.started), s.Seeds, s.PeerAddr)
}

// logIntroduction logs that the introduction is over.
func (e *Edge) logIntroduction(now time.Time) {
	e.logDecision("instance", "introduced", e.introduction.Reason()+" within "+now.Sub(e.started).Round(time.Millisecond).String()+
		", instances of the region: "+strconv.Itoa(1+len(e.liveNeighbours(now))))
}

// liveNeighbours returns the other live instances of the region.
func (e *Edge) liveNeighbours(now time.Time) []membership.Member {
	region := e.Settings().Region
	return slices.DeleteFunc(e.memberTable.Live(now, liveTimeout), func(m membership.Member) bool { return m.Region != region })
}
