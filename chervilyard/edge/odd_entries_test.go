package edge_test

import (
	"strings"
	"testing"
	"time"
)

// Another writer leaves long entries among those of the targets. Guards against instances that
// cannot be sent the list by the one that reads it, because the copy is too long: each would
// read the store itself.
func TestLongEntriesDoNotStopTheList(t *testing.T) {
	t.Parallel()
	const period = 3 * time.Second
	f := newFleet(t)
	f.store.put("configuration/document", document{Version: 1, Rate: 1e6, Keys: []string{"k"}})
	f.addTarget("a", "east-a", respondWith("a"))
	for n := range 12 {
		f.start("east", n)
	}
	f.waitReady()
	time.Sleep(2 * time.Second) // until one instance alone reads the store
	// callsWith returns the calls of the store after odd entries of the length were written. Each
	// write ends a watch.
	callsWith := func(length int) int {
		before := f.store.callCount()
		for _, name := range []string{"odd-1", "odd-2", "odd-3", "odd-4", "odd-5"} {
			f.store.put("targets/"+name, targetEntry{Address: strings.Repeat("9", length), Centre: "east-a"})
		}
		time.Sleep(period)
		return f.store.callCount() - before
	}
	usual := callsWith(1)
	t.Logf("%d calls", usual)
	calls := callsWith(1 << 20)
	t.Logf("%d calls with long entries", calls)
	if calls > usual+usual/4+2 {
		t.Errorf("%d calls of the store with long entries in its list, %d with short ones", calls, usual)
	}
	f.addTarget("b", "east-a", respondWith("b"))
	f.store.put("targets/a", nil)
	for name, e := range f.edges {
		eventually(t, 4*time.Second, name+" follows the list", func() bool { _, body := call(e, "k", 1); return body == "b" })
	}
}
