package edge_test

import (
	"net/http"
	"testing"
	"time"

	"chervilyard.example/chervilyard/edge"
)

// Guards against a fleet that takes the older copy from which the store came back for news:
// a configuration that went back, a target that had said that it leaves, one that is
// missing; and against instances whose entries stay lost, that use leases of others, or
// that hear of nothing since revisions are lower than before.
func TestStoreFromOlderCopy(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.store.put("configuration/document", document{Version: 1, Rate: 1e6, Keys: []string{"k"}})
	leaving := f.addTarget("leaving", "east-a", respondWith("leaving"))
	f.store.copyItems()
	for range 50 { // the copy's revisions are far behind
		f.store.put("other/x", 1)
	}
	east, west := f.start("east", 0), f.start("west", 0)
	east1 := f.start("east", 1)
	all := []*edge.Edge{east, east1, west}
	f.waitReady()
	added := f.addTarget("added", "east-a", respondWith("added"))
	leaving.Leaving = true
	f.store.put("targets/leaving", leaving)
	f.store.put("configuration/document", document{Version: 2, Rate: 1e6, Keys: []string{"k2"}})
	serves := func(e *edge.Edge, key string) bool {
		status, body := call(e, key, 1)
		return status == http.StatusOK && body == "added"
	}
	for _, e := range all {
		eventually(t, 5*time.Second, "the newest state is in effect at "+e.Settings().Name, func() bool { return serves(e, "k2") })
	}
	for era := range 2 {
		f.store.restore()
		restored := time.Now()
		for time.Since(restored) < time.Second {
			for _, e := range all {
				if status, body := call(e, "k2", 1); status != http.StatusOK || body != "added" {
					t.Fatalf("%v after the store came back, %s: %d %s", time.Since(restored), e.Settings().Name, status, body)
				}
			}
			time.Sleep(20 * time.Millisecond)
		}
		added.Beat++
		leaving.Beat++
		f.store.put("targets/added", added)
		f.store.put("targets/leaving", leaving)
		f.store.put("configuration/document", document{Version: 2, Rate: 1e6, Keys: []string{"k2"}})
		for _, e := range all {
			name := e.Settings().Name
			eventually(t, 3*time.Second, "the entry of "+name+" is written again", func() bool { return f.store.get("members/"+name) != nil })
		}
		if era == 0 {
			f.store.restore() // again, before the first one is over
			f.store.put("targets/added", added)
			f.store.put("targets/leaving", leaving)
		}
	}
	time.Sleep(2500 * time.Millisecond) // nothing from before is kept any more
	for _, e := range all {
		if !serves(e, "k2") {
			t.Errorf("%s no longer serves by what was written again", e.Settings().Name)
		}
	}
	f.store.put("configuration/document", document{Version: 3, Rate: 1e6, Keys: []string{"k3"}})
	for _, e := range all {
		eventually(t, 3*time.Second, "a new version is in effect at "+e.Settings().Name, func() bool { return serves(e, "k3") })
	}
	f.store.mu.Lock()
	defer f.store.mu.Unlock()
	if len(f.store.renewedFor) > 0 {
		t.Errorf("leases of %v were renewed or ended by others", f.store.renewedFor)
	}
}

// Guards against a new configuration that is taken for an old one, since the operator goes
// on from the older copy and uses its number again.
func TestNumberReusedInLaterEra(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.store.put("configuration/document", document{Version: 1, Rate: 1e6, Keys: []string{"k"}})
	f.addTarget("a", "east-a", respondWith("a"))
	f.store.copyItems()
	e := f.start("east", 0)
	f.waitReady()
	f.store.put("configuration/document", document{Version: 5, Rate: 1e6, Keys: []string{"k5"}})
	eventually(t, 3*time.Second, "version 5 is in effect", func() bool { s, _ := call(e, "k5", 1); return s == http.StatusOK })
	f.store.restore()
	time.Sleep(3 * time.Second)
	if s, body := call(e, "k5", 1); s != http.StatusOK {
		t.Fatalf("the older copy is in effect: %d %s", s, body)
	}
	f.store.put("configuration/document", document{Version: 3, Rate: 1e6, Keys: []string{"k3"}})
	eventually(t, 3*time.Second, "the new version 3 is in effect", func() bool { s, _ := call(e, "k3", 1); return s == http.StatusOK })
}
