package fairshare_test

import (
	"testing"
	"time"

	"chervilyard.example/yard/fairshare"
)

// Failure: the time of day steps back by an hour. Guards against counts that stay in the window,
// and a shortage that lasts, until the clock has made up for it.
func TestClockStepsBack(t *testing.T) {
	var l fairshare.Ledger
	l.Admit(start, "s", "c", 1000)
	l.Refuse(start, "s", "c", 1000)
	now := start.Add(-time.Hour)
	l.Admit(now, "s", "c", 10)
	now = now.Add(2 * time.Second)
	l.Admit(now, "s", "c", 5)
	if c, _ := l.Share(now, "s", "c"); c.Asked() > 15 || c.Admitted < 5 || l.Short(now) {
		t.Errorf("counted %+v, short of capacity: %t", c, l.Short(now))
	}
	if c, _ := l.Share(now.Add(2100*time.Millisecond), "s", "c"); c.Asked() != 0 {
		t.Errorf("after the window %+v still counts", c)
	}
}
