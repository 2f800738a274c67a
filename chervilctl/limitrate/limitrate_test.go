package limitrate_test

import (
	"os"
	"testing"
	"time"

	"chervilyard.example/chervilctl/limitrate"
	"chervilyard.example/chervilctl/trace"
)

// Requests of the instances that had heard of a limit count together: not those of its first
// five seconds, of an instance that had not heard, or after its end.
func TestPeaks(t *testing.T) {
	f, err := os.Open("testdata/two-instances.txt")
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	var logs trace.Logs
	if err := logs.Read("logs", f); err != nil {
		t.Fatal(err)
	}
	var c limitrate.Counter
	for _, e := range logs.Entries() {
		c.Add(e)
	}
	want := limitrate.Peak{Target: "A", Limit: 0.5, Start: time.UnixMilli(1700000006050), Requests: 3, Allowed: 8}
	got := c.Peaks()
	if len(got) != 1 || got[0].Target != want.Target || got[0].Limit != want.Limit || !got[0].Start.Equal(want.Start) || got[0].Requests != want.Requests || got[0].Allowed != want.Allowed {
		t.Errorf("peaks %+v, want %+v", got, want)
	}
}
