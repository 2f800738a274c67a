package edge

import (
	"sync"
	"testing"
	"time"

	"chervilyard.example/yard/coldlimit"
	"chervilyard.example/yard/membership"
	"chervilyard.example/yard/view"
)

// A reader and a heartbeat deliver content concurrently. Guards against older content
// being applied after newer content.
func TestNewestContentAppliedLast(t *testing.T) {
	e := &Edge{}
	e.buildViews()
	var mu sync.Mutex
	var applied int64
	entered, release := make(chan struct{}, 2), make(chan struct{}, 2)
	e.apply[PartTargets] = func(_ time.Time, s view.Snapshot) {
		entered <- struct{}{}
		<-release
		mu.Lock()
		defer mu.Unlock()
		applied = s.Revision
	}
	now := time.Unix(0, 0)
	var done sync.WaitGroup
	applyRevision := func(revision int64) {
		e.views[PartTargets].Update(view.Snapshot{Revision: revision, Digest: uint64(revision), AsOf: now})
		done.Add(1)
		go func() {
			defer done.Done()
			e.applyNewest(now, PartTargets)
		}()
	}
	applyRevision(1)
	<-entered // revision 1 is being applied
	applyRevision(2)
	select {
	case <-entered:
		t.Error("two revisions are applied at once")
	case <-time.After(50 * time.Millisecond):
	}
	release <- struct{}{}
	release <- struct{}{}
	done.Wait()
	if applied != 2 {
		t.Errorf("revision %d was applied last, want 2", applied)
	}
}

// Three instances of a region start at once, and each has heard from one other. Guards
// against an instance dividing the rate to cold targets by two instead of three.
func TestNoColdTargetShareAfterStart(t *testing.T) {
	start := time.Unix(0, 0)
	e := &Edge{started: start}
	e.settings.Store(&Settings{Name: "east-0", Region: "east", ColdRateFactor: 1.5, ColdExtraRequests: 3})
	e.memberTable.Update(membership.Member{Name: "east-1", Region: "east", Heard: start.Add(time.Millisecond)})
	coldRate := func(now time.Time) int {
		share := e.coldTargetShare(now)
		return coldlimit.InstanceLimit(4.4*share.RateFactor+share.ExtraRequests, share.Instances, share.Rank)
	}
	if n := coldRate(start.Add(300 * time.Millisecond)); n != 0 {
		t.Errorf("a just started instance may send %d requests/s to a cold target", n)
	}
	e.memberTable.Update(membership.Member{Name: "east-2", Region: "east", Heard: start.Add(400 * time.Millisecond)})
	if n := coldRate(start.Add(2 * time.Second)); n != 3 {
		t.Errorf("one of three instances may send %d requests/s", n)
	}
}

// An instance reads the store after the live instances of its region that precede it by
// name and are not stopping.
func TestReadRank(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	e := &Edge{}
	e.settings.Store(&Settings{Name: "east-5", Region: "east"})
	for _, m := range []membership.Member{
		{Name: "east-1", Region: "east", Heard: now},
		{Name: "east-2", Region: "east", Heard: now.Add(-liveTimeout - time.Millisecond)},
		{Name: "east-3", Region: "east", Heard: now, Leaving: true},
		{Name: "east-4", Region: "east", Heard: now.Add(-liveTimeout)},
		{Name: "east-6", Region: "east", Heard: now},
		{Name: "central-1", Region: "central", Heard: now},
	} {
		e.memberTable.Update(m)
	}
	e.memberTable.MergeListing([]membership.Member{{Name: "east-0", Region: "east"}}) // not heard yet
	if rank := e.readRank(now); rank != 2 {
		t.Errorf("the rank is %d after east-1 and east-4", rank)
	}
}
