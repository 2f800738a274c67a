// Package firstbyte limits the time until the first byte of a response.
package firstbyte

import (
	"sync"
	"time"
)

// Timer expires if the first byte does not arrive in time. Exactly one of the two
// happens, also if a stalled process finds the byte and the end of the time together.
//
// The zero value never expires. A Timer is safe for concurrent use, but Start must be
// called at most once and before Arrive.
type Timer struct {
	mu      sync.Mutex
	timer   *time.Timer // nil if there is no limit
	arrived bool
	expired bool
}

// Start makes the timer expire after d, unless the first byte arrives before. It then
// calls expire, which must not call methods of the Timer. If expire returns false, the
// timer does not expire yet and waits for d again.
func (t *Timer) Start(d time.Duration, expire func() bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.timer = time.AfterFunc(d, func() {
		t.mu.Lock()
		defer t.mu.Unlock()
		switch {
		case t.arrived:
		case expire():
			t.expired = true
		default:
			t.timer.Reset(d)
		}
	})
}

// Arrive records that the first byte arrived. It reports false if the timer expired
// before, and the response must not be used.
func (t *Timer) Arrive() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.expired {
		return false
	}
	t.arrived = true
	if t.timer != nil {
		t.timer.Stop()
	}
	return true
}

// Stop releases the timer without a first byte. It does not expire any more.
func (t *Timer) Stop() { t.Arrive() }
