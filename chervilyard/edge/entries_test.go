package edge_test

import (
	"slices"
	"strings"
	"testing"
	"time"
)

// entries returns the names of the instances with an entry in the store, sorted.
func (m *memoryStore) entries() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	var names []string
	for key, it := range m.items {
		if name, ok := strings.CutPrefix(key, "members/"); ok && it.Value != nil {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

func (m *memoryStore) callCount() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.calls
}

// Only a few instances of a data centre keep entries in the store, others take their place
// when they stop, and the calls do not grow with the instances.
func TestFewEntries(t *testing.T) {
	t.Parallel()
	calls := make(map[int]int)
	for _, n := range []int{3, 12} {
		f := newFleet(t)
		f.store.put("configuration/document", document{Version: 1, Keys: []string{"k"}})
		f.addTarget("a", "east-a", respondWith("a"))
		for i := range n {
			f.start("east", 10+i)
		}
		f.waitReady()
		eventually(t, 8*time.Second, "two entries", func() bool { return slices.Equal(f.store.entries(), []string{"east-10", "east-11"}) })
		before := f.store.callCount()
		time.Sleep(3 * time.Second)
		calls[n] = f.store.callCount() - before
		if got := f.store.entries(); len(got) != 2 {
			t.Errorf("%v of %d instances keep entries", got, n)
		}
		f.edges["east-10"].Stop()
		eventually(t, 6*time.Second, "another entry", func() bool { return slices.Equal(f.store.entries(), []string{"east-11", "east-12"}) })
	}
	if calls[12] > calls[3]+calls[3]/4+2 {
		t.Errorf("%d calls of 3 instances, %d of 12", calls[3], calls[12])
	}
}
