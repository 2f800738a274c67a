package coldrate_test

import (
	"os"
	"testing"
	"time"

	"chervilyard.example/chervilctl/coldrate"
	"chervilyard.example/chervilctl/trace"
)

// Requests of two instances, one of which takes the target for warm, count together within
// one second of its cold time, and no others do. The time of day of one instance has stepped.
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
	var c coldrate.Counter
	for _, e := range logs.Entries() {
		c.Add(e)
	}
	peaks := c.Peaks(3 * time.Second)
	if len(peaks) != 2 {
		t.Fatalf("peaks %+v, want those of two targets", peaks)
	}
	want := []coldrate.Peak{
		{Target: "A", Start: time.UnixMilli(1700000001200), Requests: 3, ByCold: 2},
		{Target: "B", Start: time.UnixMilli(1700000005000), Requests: 1},
	}
	for i, w := range want {
		if got := peaks[i]; got.Target != w.Target || !got.Start.Equal(w.Start) || got.Requests != w.Requests || got.ByCold != w.ByCold {
			t.Errorf("peak %+v, want %+v", got, w)
		}
	}
}
