package edge

import (
	"sync"
	"testing"
	"time"

	"chervilyard.example/yard/membership"
	"chervilyard.example/yard/pace"
	"chervilyard.example/yard/view"
)

// News that a reader and a heartbeat bring at the same time is put in force one
// after the other, the newest last.
func TestNewestStaysInForce(t *testing.T) {
	e := &Edge{}
	e.buildViews()
	var mu sync.Mutex
	var inForce int64
	entered, release := make(chan struct{}, 2), make(chan struct{}, 2)
	e.decode[PartTargets] = func(_ time.Time, s view.Snapshot) {
		entered <- struct{}{}
		<-release
		mu.Lock()
		defer mu.Unlock()
		inForce = s.Revision
	}
	now := time.Unix(0, 0)
	var done sync.WaitGroup
	decode := func(revision int64) {
		e.views[PartTargets].Learn(view.Snapshot{Revision: revision, Digest: uint64(revision), AsOf: now})
		done.Add(1)
		go func() {
			defer done.Done()
			e.decodeNewest(now, PartTargets)
		}()
	}
	decode(1)
	<-entered // the first is under way
	decode(2)
	select {
	case <-entered:
		t.Error("two are put in force at once")
	case <-time.After(50 * time.Millisecond):
	}
	release <- struct{}{}
	release <- struct{}{}
	done.Wait()
	if inForce != 2 {
		t.Errorf("revision %d is in force", inForce)
	}
}

// Three instances of a region start at once, and each has heard of one other:
// before they know better they must not share the pace of cold targets by two.
func TestStartedInstanceSparesColdTargets(t *testing.T) {
	start := time.Unix(0, 0)
	e := &Edge{started: start}
	e.settings.Store(&Settings{Name: "east-0", Region: "east", ColdOver: 1.5, ColdFixed: 3})
	e.table.Hear(membership.Member{Name: "east-1", Region: "east", Heard: start.Add(time.Millisecond)})
	cold := func(now time.Time) int {
		f := e.fleet(now)
		return pace.Limit(4.4*f.Over+f.Fixed, f.Size, f.Rank)
	}
	if n := cold(start.Add(300 * time.Millisecond)); n != 0 {
		t.Errorf("an instance that just started sends %d requests a second to a cold target", n)
	}
	e.table.Hear(membership.Member{Name: "east-2", Region: "east", Heard: start.Add(400 * time.Millisecond)})
	if n := cold(start.Add(2 * time.Second)); n != 3 {
		t.Errorf("one of three instances sends %d requests a second", n)
	}
}
