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
	for n := range 5 {
		f.start("east", n)
	}
	f.waitReady()
	time.Sleep(2 * time.Second) // until one instance alone reads the store
	callsWhile := func(change func()) int {
		before := f.store.callCount()
		change()
		time.Sleep(period)
		return f.store.callCount() - before
	}
	usual := callsWhile(func() {})
	calls := callsWhile(func() {
		for _, name := range []string{"odd-1", "odd-2", "odd-3", "odd-4", "odd-5"} {
			f.store.put("targets/"+name, targetEntry{Address: strings.Repeat("9", 1<<20), Centre: "east-a"})
		}
	})
	if calls > usual+usual/4+2 {
		t.Errorf("%d calls of the store with long entries in its list, %d without", calls, usual)
	}
	f.addTarget("b", "east-a", respondWith("b"))
	f.store.put("targets/a", nil)
	for name, e := range f.edges {
		eventually(t, 4*time.Second, name+" follows the list", func() bool { _, body := call(e, "k", 1); return body == "b" })
	}
}
