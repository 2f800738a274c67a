package edge

import (
	"sync"
	"testing"
	"time"

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
