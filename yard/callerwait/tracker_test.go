package callerwait_test

import (
	"testing"
	"time"

	"chervilyard.example/yard/callerwait"
)

// Guards against new callers that count as ones that have waited, also after all callers of a
// route began to state a shorter time, and against returning callers that count as new.
func TestWaited(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	var tr callerwait.Tracker
	for _, s := range []struct {
		after, left, want time.Duration
		route             string
	}{
		{0, 2500 * time.Millisecond, 0, "hint"},
		{0, 0, 0, "hint"}, // states none
		{time.Second, 1700 * time.Millisecond, 800 * time.Millisecond, "hint"},
		{0, 1700 * time.Millisecond, 0, "other"},
		{6 * time.Second, 1700 * time.Millisecond, 800 * time.Millisecond, "hint"}, // the first still counts
		{6 * time.Second, 1700 * time.Millisecond, 0, "hint"},
		{-time.Hour, 1700 * time.Millisecond, 0, "hint"}, // the clock stepped back
	} {
		now = now.Add(s.after)
		if got := tr.Waited(now, s.route, s.left); got != s.want {
			t.Errorf("%v left on %s: waited %v, want %v", s.left, s.route, got, s.want)
		}
	}
}
