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
