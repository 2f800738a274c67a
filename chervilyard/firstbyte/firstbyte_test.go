package firstbyte_test

import (
	"sync/atomic"
	"testing"
	"time"

	"chervilyard.example/chervilyard/firstbyte"
)

// Guards against a timer that expires although the first byte has arrived, when both
// happen at the same time.
func TestArriveOrExpire(t *testing.T) {
	for range 300 {
		var timer firstbyte.Timer
		var expired atomic.Bool
		const d = time.Millisecond
		timer.Start(d, func() { expired.Store(true) })
		time.Sleep(d)
		arrived := timer.Arrive()
		time.Sleep(d)
		if arrived == expired.Load() {
			t.Fatalf("arrived %v, expired %v", arrived, expired.Load())
		}
	}
}

func TestZeroTimer(t *testing.T) {
	var timer firstbyte.Timer
	for range 2 {
		if !timer.Arrive() {
			t.Error("a timer without a limit has expired")
		}
	}
	timer.Stop()
}
