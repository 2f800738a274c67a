package edge_test

import (
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// Failure: one of four targets answers each request with an error. Guards against instances that
// each have to find that out: all must eject it, at least one of them by failures that others
// reported, and use it again when it answers.
func TestFailingTargetIsEjectedEverywhere(t *testing.T) {
	t.Parallel()
	const (
		callersPerInstance = 6 // a quarter of them sends to the target before its first failure is known
		answerTime         = 50 * time.Millisecond
	)
	f := newFleet(t)
	f.store.put("configuration/document", document{Version: 1, Rate: 1e6, Keys: []string{"k"}})
	var failing atomic.Bool
	failing.Store(true)
	f.addTarget("bad", "east-a", func(w http.ResponseWriter, _ *http.Request) {
		time.Sleep(answerTime)
		if failing.Load() {
			w.WriteHeader(http.StatusInternalServerError)
		}
	})
	for _, name := range []string{"a", "b", "c"} {
		f.addTarget(name, "east-a", func(w http.ResponseWriter, _ *http.Request) { time.Sleep(answerTime) })
	}
	for n := range 3 {
		f.start("east", n)
	}
	f.waitReady()
	stop := make(chan struct{})
	var callers sync.WaitGroup
	for _, e := range f.edges {
		for range callersPerInstance {
			callers.Go(func() {
				for {
					select {
					case <-stop:
						return
					case <-time.After(10 * time.Millisecond):
						call(e, "k", 1)
					}
				}
			})
		}
	}
	defer callers.Wait()
	defer close(stop)
	count := func(choice, part string) (instances int) {
		for _, log := range f.logs {
			for _, d := range log.History("") {
				if d.Kind == "target" && d.Choice == choice && strings.HasPrefix(d.Reason, "bad: ") && strings.Contains(d.Reason, part) {
					instances++
					break
				}
			}
		}
		return instances
	}
	eventually(t, 20*time.Second, "all instances eject the target", func() bool { return count("ejected", "") == 3 })
	if count("ejected", "reported") == count("ejected", "failed=0 answered=0 reported") {
		t.Error("no instance counted failures that others reported")
	}
	failing.Store(false)
	eventually(t, 40*time.Second, "the target returns at all instances", func() bool { return count("returned", "") == 3 })
}
