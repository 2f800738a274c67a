package edge

import (
	"slices"
	"sync"
	"time"

	"chervilyard.example/yard/coldlimit"
	"chervilyard.example/yard/introduction"
	"chervilyard.example/yard/membership"
	"chervilyard.example/yard/placement"
	"chervilyard.example/yard/rendezvous"
)

const (
	// takeOverDelay is how long an instance waits before it uses a larger share, since the
	// requests of the member that had it before still count.
	takeOverDelay = coldlimit.WindowLength
	// maxTargetListAge and maxEvacuationsAge are the ages above which the list of targets and
	// that of evacuations do not show that a target is warm. They leave time for a reader to
	// be replaced and for its list to reach the region.
	maxTargetListAge  = targetListAge + 900*time.Millisecond
	maxEvacuationsAge = watchLateAge + 800*time.Millisecond
)

// coldTargetShare returns how the region's instances divide the request rate to cold
// targets.
func (e *Edge) coldTargetShare(now time.Time) placement.ColdShare {
	s := e.Settings()
	p := e.coldTargetPosition(now)
	return placement.ColdShare{
		Position: p, Earlier: e.positions.record(now, p),
		RateFactor: s.ColdRateFactor, ExtraRequests: s.ColdExtraRequests,
		Unproved: e.knowledgeIsOld(now),
	}
}

// knowledgeIsOld reports whether the list of targets or that of evacuations is so old, or may be
// from so old a copy of the store, that warm targets may have become cold since.
func (e *Edge) knowledgeIsOld(now time.Time) bool {
	return e.inRollback(now) || e.isOlder(now, PartTargets, maxTargetListAge) || e.isOlder(now, PartConfiguration, maxEvacuationsAge)
}

// isOlder reports whether the instance has content of a part of the store that was last known
// to be current more than maxAge ago.
func (e *Edge) isOlder(now time.Time, part string, maxAge time.Duration) bool {
	v := e.views[part]
	if v == nil {
		return false // the instance has not started yet
	}
	age, ok := v.Age(now)
	return ok && age > maxAge
}

// coldTargetPosition returns the instance's position among those that divide the request
// rate to cold targets. Silent instances count for shareRetention, since they may still send
// requests. A started instance has no position until its introduction is over.
func (e *Edge) coldTargetPosition(now time.Time) placement.Position {
	if !e.introduced(now) {
		return placement.Position{}
	}
	knownToAll := e.started.Add(introduction.Period)
	region := e.Settings().Region
	others := slices.DeleteFunc(e.sharingMembers(now), func(m membership.Member) bool { return m.Region != region })
	p := placement.Position{Instances: len(others) + 1, Rank: membership.Rank(e.self(now), others)}
	names := make([]string, 0, len(others))
	for _, m := range others {
		names = append(names, m.Name)
		if m.Heard.Before(knownToAll) && now.Sub(e.started) < shareRetention {
			p.Unaware++
		}
	}
	p.Members = rendezvous.New(e.Settings().Name, names)
	if _, regionSize := e.toldSizes(now); regionSize > p.Instances {
		p.Instances, p.Rank, p.Members = regionSize, regionSize-1, nil // its rank among all is not known yet
	}
	return p
}

// positionHistory holds the positions that an instance had within takeOverDelay. The zero
// value is empty. It is safe for concurrent use.
type positionHistory struct {
	mu      sync.Mutex
	current placement.Position
	earlier []earlierPosition
}

type earlierPosition struct {
	placement.Position
	until time.Time
}

// record records the present position and returns the earlier ones within takeOverDelay.
func (h *positionHistory) record(now time.Time, p placement.Position) []placement.Position {
	h.mu.Lock()
	defer h.mu.Unlock()
	if p.Members.Equal(h.current.Members) {
		p.Members = h.current.Members // so that positions can be compared
	}
	if p != h.current {
		h.earlier = append(h.earlier, earlierPosition{h.current, now})
		h.current = p
	}
	h.earlier = slices.DeleteFunc(h.earlier, func(e earlierPosition) bool { return now.Sub(e.until) >= takeOverDelay })
	var list []placement.Position
	for _, e := range h.earlier {
		list = append(list, e.Position)
	}
	return list
}
