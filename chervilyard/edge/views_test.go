package edge

import (
	"sync"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"chervilyard.example/chervilyard/decisionlog"
	"chervilyard.example/yard/membership"
	"chervilyard.example/yard/placement"
	"chervilyard.example/yard/service"
	"chervilyard.example/yard/target"
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
		var picker placement.Picker
		cold := []target.Target{target.New("a", "c", "", []string{"s"}, 64, 1, false).WithColdRemaining(time.Minute)}
		picker.UpdateTargets(now, now, time.Second, cold)
		share, n := e.coldTargetShare(now), 0
		for picker.Choose(now, cold, placement.Request{Service: service.New("s").WithColdLimit(4.4)}, share) != nil {
			n++
		}
		return n
	}
	if n := coldRate(start.Add(300 * time.Millisecond)); n != 0 {
		t.Errorf("a just started instance may send %d requests/s to a cold target", n)
	}
	e.memberTable.Update(membership.Member{Name: "east-2", Region: "east", Heard: start.Add(400 * time.Millisecond)})
	if n := coldRate(start.Add(time.Second)); n != 0 {
		t.Errorf("an instance that others may not know yet may send %d requests/s to a cold target", n)
	}
	for _, name := range []string{"east-1", "east-2"} {
		e.memberTable.Update(membership.Member{Name: name, Region: "east", Heard: start.Add(time.Second)})
	}
	if n := coldRate(start.Add(1100 * time.Millisecond)); n != 0 {
		t.Errorf("an instance may send %d requests/s within a second of the share's last use by another", n)
	}
	if n := coldRate(start.Add(2300 * time.Millisecond)); n != 3 {
		t.Errorf("one of three instances may send %d requests/s", n)
	}
}

// restartingTarget is an instance that knows one target, whose run is the revision of
// the list and which is cold in each run but the first. The instance has no share of
// the request rate to cold targets.
type restartingTarget struct {
	edge *Edge
	now  time.Time
}

func newRestartingTarget() *restartingTarget {
	r := &restartingTarget{edge: &Edge{decisions: decisionlog.NewWithHistory(hclog.NewNullLogger(), 1)}, now: time.Unix(1_700_000_000, 0)}
	r.edge.now = func() time.Time { return r.now }
	r.edge.settings.Store(&Settings{Region: "east", TargetReportInterval: 200 * time.Millisecond})
	r.edge.store.Region = func(string) string { return "east" }
	r.edge.store.DecodeTargets = func(items []view.Item) (list []target.Target, errs []error) {
		for _, it := range items {
			t := target.New(it.Key, "c", "", []string{"s"}, 8, 1, false).WithRunID(it.Revision)
			if it.Revision > 1 {
				t = t.WithColdRemaining(time.Minute)
			}
			list = append(list, t)
		}
		return list, nil
	}
	r.edge.buildViews()
	return r
}

// read records that the list with the given revision was read from the store.
func (r *restartingTarget) read(revision int64) {
	r.edge.views[PartTargets].Update(view.Snapshot{
		Revision: revision, Digest: uint64(revision), Items: []view.Item{{Key: "a", Revision: revision}}, AsOf: r.now, ReceivedAt: r.now,
	})
}

// send returns the ticket of a request, or nil if the target counts as cold.
func (r *restartingTarget) send() *placement.Ticket {
	request := placement.Request{Service: service.New("s").WithColdLimit(1)}
	return r.edge.picker.Choose(r.now, r.edge.targets.usable("s"), request, r.edge.coldTargetShare(r.now))
}

// A target that could not be reached is listed as restarted and cold. Guards against
// a refresh that dismisses the possible restart before that list is in effect.
func TestRefreshAwaitsNewList(t *testing.T) {
	r := newRestartingTarget()
	r.read(1)
	r.edge.applyNewest(r.now, PartTargets)
	r.send().End(r.now, placement.ConnectionBroken)
	r.now = r.now.Add(time.Second) // longer than an entry can be old, shorter than an outage
	r.read(2)
	entered, release := make(chan struct{}), make(chan struct{})
	r.edge.apply[PartTargets] = func(now time.Time, s view.Snapshot) {
		entered <- struct{}{}
		<-release
		r.edge.applyTargets(now, s)
	}
	var done sync.WaitGroup
	done.Add(2)
	go func() {
		defer done.Done()
		r.edge.applyNewest(r.now, PartTargets)
	}()
	<-entered // the list is being applied
	go func() {
		defer done.Done()
		r.edge.refreshTargets(r.now)
	}()
	time.Sleep(50 * time.Millisecond)
	if r.send() != nil {
		t.Error("a request goes to a target that may have restarted")
	}
	close(release)
	done.Wait()
	if r.send() != nil {
		t.Error("a request goes to a target that is listed as cold")
	}
}

// Refreshes run while a list with a new run of a target is applied. Guards against a
// refresh that restores the old run after the new one, which loses the cold time.
func TestRefreshKeepsColdTime(t *testing.T) {
	r := newRestartingTarget()
	for revision := int64(1); revision <= 3000; revision++ {
		r.read(revision)
		var done sync.WaitGroup
		for range 32 {
			done.Add(1)
			go func() {
				defer done.Done()
				r.edge.refreshTargets(r.now)
			}()
		}
		r.edge.applyNewest(r.now, PartTargets)
		done.Wait()
		if revision > 1 && r.send() != nil {
			t.Fatalf("a request goes to run %d of the target, which is cold", revision)
		}
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

// Guards against requests to a new target before its cold time is known: no request may
// find it between the first and the last step of putting a list into effect.
func TestNewTargetIsColdAtOnce(t *testing.T) {
	r := newRestartingTarget()
	r.read(2)
	r.edge.now = func() time.Time { // called as each listed target is logged
		if r.send() != nil {
			t.Error("a request goes to a new target that is listed as cold")
		}
		return r.now
	}
	r.edge.applyNewest(r.now, PartTargets)
	if r.send() != nil {
		t.Error("a request goes to a target that is listed as cold")
	}
}

// Guards against requests to targets of a data centre that gets requests again before they
// are taken for cold.
func TestReadmittedTargetIsColdAtOnce(t *testing.T) {
	r := newRestartingTarget()
	r.read(1)
	r.edge.applyNewest(r.now, PartTargets)
	r.edge.setEvacuated(r.now, map[string]bool{"c": true})
	r.edge.now = func() time.Time { // called as the change is logged
		if r.send() != nil {
			t.Error("a request goes to a target that may be cold")
		}
		return r.now
	}
	r.edge.setEvacuated(r.now, nil)
	if r.send() != nil {
		t.Error("a request goes to a target that may be cold")
	}
}
