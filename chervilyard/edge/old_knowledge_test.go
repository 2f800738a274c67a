package edge

import (
	"testing"
	"time"

	"chervilyard.example/yard/target"
	"chervilyard.example/yard/view"
)

// Guards against requests to a target that may have turned cold since the last list of
// targets was read, by an instance that has no share of the limit.
func TestOldListDoesNotShowWarmTarget(t *testing.T) {
	r := newRestartingTarget()
	r.read(1)
	r.edge.applyNewest(r.now, PartTargets)
	if r.send() == nil {
		t.Fatal("no request goes to a target that has just been listed as warm")
	}
	r.now = r.now.Add(5 * time.Second)
	r.edge.refreshTargets(r.now)
	if r.send() != nil {
		t.Error("a request goes to a target of which nothing has been heard for 5 s")
	}
}

// The list of targets is read, but not the evacuations. Guards against requests to a target
// that turns cold in an evacuation of which the instance has not heard.
func TestOldConfigurationDoesNotShowWarmTarget(t *testing.T) {
	r := newRestartingTarget()
	r.edge.views[PartConfiguration].Update(view.Snapshot{Revision: 1, Digest: 1, AsOf: r.now, ReceivedAt: r.now})
	r.now = r.now.Add(5 * time.Second)
	r.read(1)
	r.edge.applyNewest(r.now, PartTargets)
	if r.send() != nil {
		t.Error("a request goes to a target while nothing has been heard of evacuations for 5 s")
	}
}

// newReadmittedTarget returns an instance whose one target is of a data centre that has just
// been taken back, and a function that receives a list that was requested before that, in
// which the target is cold for the given time.
func newReadmittedTarget(listed bool) (r *restartingTarget, receive func(left time.Duration)) {
	r = newRestartingTarget()
	var remaining time.Duration
	r.edge.store.DecodeTargets = func([]view.Item) ([]target.Target, []error) {
		return []target.Target{target.New("a", "c", "", []string{"s"}, 8, 1, false).WithColdRemaining(remaining)}, nil
	}
	if listed {
		r.read(1)
		r.edge.applyNewest(r.now, PartTargets)
	}
	r.edge.setEvacuated(r.now, map[string]bool{"c": true})
	r.edge.setEvacuated(r.now, nil)
	requested := r.now.Add(-50 * time.Millisecond)
	return r, func(left time.Duration) {
		remaining = left
		r.edge.views[PartTargets].Update(view.Snapshot{Revision: 2, Digest: 2, Items: []view.Item{{Key: "a"}}, AsOf: requested, ReceivedAt: r.now})
		r.edge.applyNewest(r.now, PartTargets)
	}
}

// Guards against a mark of a target that was taken back and is replaced by a list from
// before.
func TestOlderListKeepsReadmittedTargetCold(t *testing.T) {
	r, receive := newReadmittedTarget(true)
	r.now = r.now.Add(50 * time.Millisecond)
	receive(200 * time.Millisecond)
	r.now = r.now.Add(300 * time.Millisecond)
	if r.send() != nil {
		t.Error("a request goes to a target that is warm by a list from before it was taken back")
	}
}

// Guards against a target that was not listed as its data centre was taken back and is
// therefore not taken for cold.
func TestReadmittedTargetListedLater(t *testing.T) {
	r, receive := newReadmittedTarget(false)
	r.now = r.now.Add(50 * time.Millisecond)
	receive(0)
	if r.send() != nil {
		t.Error("a request goes to a target that is warm by a list from before it was taken back")
	}
}
