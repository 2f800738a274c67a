package edge_test

import (
	"net/http"
	"testing"
	"time"

	"chervilyard.example/chervilyard/edge"
)

// Guards against forwarded requests that wait for instances whose packets are dropped until their
// deadline, against runs that go on at the target meanwhile, and against instances that are not
// used again once the path is back.
func TestForwardOverSilentHop(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.store.put("configuration/document", document{Version: 1, Rate: 1e6, Keys: []string{"k"}})
	arrived, ended := make(chan struct{}, 1), make(chan struct{}, 1)
	f.addTarget("far", "west-a", func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get("Id") != "held" {
			return
		}
		arrived <- struct{}{}
		<-r.Context().Done()
		ended <- struct{}{}
	})
	east := f.start("east", 0)
	west := []*edge.Edge{f.start("west", 0), f.start("west", 1)}
	f.waitReady()
	served := func() bool { return send(east, "short", http.MethodPost, "/once/x", nil) == http.StatusOK }
	eventually(t, 5*time.Second, "a request is forwarded", served)
	cut := func(kind string) {
		for _, e := range west {
			f.targetLinks.cut("east-0", e.Settings().ForwardAddr, kind)
		}
	}
	go func() {
		<-arrived
		cut("hanging")
	}()
	if status := send(east, "held", http.MethodPost, "/once/x", nil); status != http.StatusBadGateway {
		t.Errorf("status %d of a request that may have run, want 502", status)
	}
	eventually(t, 5*time.Second, "the run ends at the target", func() bool { return len(ended) > 0 })
	silent := 0
	for _, d := range f.logs["east-0"].History("") {
		if d.Kind == "hop" {
			silent++
		}
	}
	if silent == 0 {
		t.Error("no hop was found silent")
	}
	cut("")
	eventually(t, 20*time.Second, "requests are forwarded again", served)
}
