package edge

import (
	"testing"
	"time"

	"chervilyard.example/yard/membership"
	"chervilyard.example/yard/view"
)

// Pattern: a large fleet restarts at once. Until an instance can have heard the others, it
// divides the limits of the fleet by the sizes that entries in the store tell.
func TestLimitsOfRestartedFleet(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	e := &Edge{started: now, eraChanged: make(chan struct{}, 1)}
	e.settings.Store(&Settings{Name: "east-1", Region: "east", Centre: "a", ColdRateFactor: 1.5, ColdExtraRequests: 3})
	e.now = func() time.Time { return now }
	e.buildViews()
	e.store.DecodeMembers = func([]view.Item) ([]membership.Member, []error) {
		return []membership.Member{
			{Name: "east-2", Region: "east", Fleet: 290, Neighbours: 98}, {Name: "west-1", Region: "west", Fleet: 295, Neighbours: 140},
		}, nil
	}
	e.applyMembers(now, view.Snapshot{})
	later := now.Add(2 * time.Second)
	if n := e.retrySharers(later); n != 295 {
		t.Errorf("%d instances share the extra retries", n)
	}
	if share := e.coldTargetShare(later); share.Instances != 98 || share.Rank != 97 {
		t.Errorf("the share of a cold target is that of rank %d of %d", share.Rank, share.Instances)
	}
	if entry := e.entry(later); entry.Fleet != 3 || entry.Neighbours != 2 {
		t.Errorf("the entry tells of %d instances, %d in the region", entry.Fleet, entry.Neighbours)
	}
	settled := now.Add(sizePeriod)
	if n, share := e.retrySharers(settled), e.coldTargetShare(settled); n != 3 || share.Instances != 2 {
		t.Errorf("later %d instances share, %d in the region", n, share.Instances)
	}
}
