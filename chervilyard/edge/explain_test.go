package edge_test

import (
	"fmt"
	"testing"
	"time"

	"chervilyard.example/chervilyard/placereport"
)

// Guards against explanations without the region that would serve, without the ages of what
// other regions and targets said, and against ones that are logged as decisions.
func TestExplainAcrossRegions(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.store.put("configuration/document", document{Version: 1, Rate: 1e6, Keys: []string{"k"}})
	var limited limitedTarget
	limited.name("50")
	f.addTarget("a", "east-a", limited.serve)
	f.addTarget("b", "west-a", respondWith("west"))
	e := f.start("east", 0)
	f.start("west", 0)
	f.waitReady()
	raw := []byte("GET /x HTTP/1.1\nHost: h.example\nKey: k\nTokens: 1\nId: explained\n")
	explain := func() placereport.Report {
		r, err := e.Explain(placereport.Query{Raw: raw})
		if err != nil {
			t.Fatal(err)
		}
		return r
	}
	eventually(t, 3*time.Second, "the target has named its limit", func() bool {
		call(e, "k", 1)
		r := explain()
		return len(r.Candidates) == 1 && r.Candidates[0].LimitPerSecond == 50 && r.Candidates[0].LimitAge >= 0 && r.Candidates[0].KnownAge >= 0
	})
	f.store.put("configuration/closed/east-a", true)
	var r placereport.Report
	eventually(t, 3*time.Second, "the request would be forwarded", func() bool {
		r = explain()
		return r.Forward == "west-0" && r.ForwardRegion == "west"
	})
	if len(r.Remotes) != 1 || r.Remotes[0].HeardAge < 0 || r.Remotes[0].ReportAge < 0 || r.Remotes[0].Barred != "" || r.ConfigurationAge < 0 || r.TargetsAge < 0 || len(r.Candidates) != 0 {
		t.Errorf("%+v", r)
	}
	for _, name := range []string{"east-0", "west-0"} {
		if list := f.logs[name].History("explained"); len(list) > 0 {
			t.Errorf("%s has logged %s", name, fmt.Sprint(list))
		}
	}
}
