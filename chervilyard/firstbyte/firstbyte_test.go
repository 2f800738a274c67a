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
		timer.Start(d, func() bool {
			expired.Store(true)
			return true
		})
		time.Sleep(d)
		arrived := timer.Arrive()
		time.Sleep(d)
		if arrived == expired.Load() {
			t.Fatalf("arrived %v, expired %v", arrived, expired.Load())
		}
	}
}

// A timer that must not expire yet waits for the same time again.
func TestExpireLater(t *testing.T) {
	var timer firstbyte.Timer
	var calls atomic.Int32
	timer.Start(time.Millisecond, func() bool { return calls.Add(1) == 3 })
	for deadline := time.Now().Add(3 * time.Second); calls.Load() < 3; time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("%d calls", calls.Load())
		}
	}
	if timer.Arrive() {
		t.Error("the timer has not expired")
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
