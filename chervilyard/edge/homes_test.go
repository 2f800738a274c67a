package edge_test

import (
	"net/http"
	"testing"
	"time"
)

// Guards against requests that are refused as beyond a customer's rate, of which hardly
// anything is used, while the instances of a large region get to know each other.
func TestQuotaAsRegionStarts(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.store.put("configuration/document", document{Version: 1, Rate: 1e9, Keys: []string{"k"}})
	f.addTarget("a", "east-a", respondWith("a"))
	for n := range 24 {
		f.start("east", 10+n)
	}
	f.waitReady()
	stop := f.load(50 * time.Millisecond)
	time.Sleep(3 * time.Second)
	if outcomes := stop(); outcomes[http.StatusTooManyRequests] > 0 {
		t.Errorf("responses by status: %v", outcomes)
	}
}

// The messages to one home of a customer arrive late. Guards against requests that are refused
// while the customer's other home has tokens.
func TestQuotaWithSilentHome(t *testing.T) {
	t.Parallel()
	var links links
	f := newFleet(t)
	f.wrapListener = links.wrap
	f.store.put("configuration/document", document{Version: 1, Rate: 1e9, Keys: []string{"k"}})
	f.addTarget("a", "east-a", respondWith("a"))
	home := f.start("east", 10) // the two oldest instances are the hubs of the region
	for n := range 15 {
		f.start("east", 11+n)
	}
	f.waitReady()
	time.Sleep(2 * time.Second) // until the instances know each other
	stop := f.load(50 * time.Millisecond)
	time.Sleep(100 * time.Millisecond)
	links.cut(home.Settings().PeerAddr, time.Now().Add(1500*time.Millisecond))
	time.Sleep(1500 * time.Millisecond)
	outcomes := stop()
	if len(outcomes) != 1 || outcomes[http.StatusOK] == 0 {
		t.Errorf("responses by status: %v", outcomes)
	}
}
