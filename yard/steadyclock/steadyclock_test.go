package steadyclock_test

import (
	"testing"
	"time"

	"chervilyard.example/yard/steadyclock"
)

// Guards against log times that cannot be compared because the time of day stepped between
// them. A reading with its monotonic part keeps its distance to the first one.
func TestStampKeepsDistance(t *testing.T) {
	var c steadyclock.Clock
	first := time.Now()
	if got := c.Stamp(first); !got.Equal(first) {
		t.Errorf("the first reading %v is stamped %v", first, got)
	}
	later := first.Add(1500 * time.Millisecond)
	if got := c.Stamp(later).UnixMilli() - c.Stamp(first).UnixMilli(); got != 1500 {
		t.Errorf("1.5 s are stamped %d ms apart", got)
	}
}
