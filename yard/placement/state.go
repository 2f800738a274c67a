package placement

import (
	"math"
	"time"

	"chervilyard.example/yard/pace"
)

type peerLoads struct {
	at    time.Time
	loads map[string]Load
}

type state struct {
	run       int64
	seen      time.Time // when it was last listed
	open      int
	proving   int // open without a first byte, sent after a failure to see whether it is back
	waiting   int
	memory    int
	failures  int // in a row
	ejected   time.Time
	failing   float64   // part of the requests that failed of late
	failed    time.Time // when that was reckoned
	answer    float64   // milliseconds, moving average; 0 where not known
	coldUntil time.Time
	suspect   time.Time // when it may have started anew; zero where it did not
	window    pace.Window
	parts     map[string]time.Time
	speed     float64   // time to the first byte against the service's line; 0 where not known
	pause     float64   // milliseconds, the longest of late between two pieces of a stream
	paused    time.Time // when that was
}

// failRate returns the part of the requests that failed of late. It fades, so
// that a target which gets nothing for its failures is tried again.
func (s *state) failRate(now time.Time) float64 {
	if s.failing == 0 {
		return 0
	}
	return s.failing * math.Exp2(-now.Sub(s.failed).Seconds()/failHalf.Seconds())
}

func (s *state) fail(now time.Time) {
	rate := s.failRate(now)
	s.failing, s.failed = rate+(1-rate)*failLearning, now
}

func (s *state) succeed(now time.Time) {
	s.failing, s.failed = s.failRate(now)*(1-learning), now
}

// pauseNow returns the longest pause of late, which fades.
func (s *state) pauseNow(now time.Time) float64 {
	if s.pause == 0 {
		return 0
	}
	return s.pause * math.Exp2(-now.Sub(s.paused).Seconds()/pauseHalf.Seconds())
}

// pace returns how much slower than its service the target is.
func (s *state) pace() float64 {
	if s.speed == 0 {
		return 1
	}
	return s.speed
}

const maxParts = 4096 // prompt parts remembered for one target

func forget(parts map[string]time.Time, now time.Time) {
	for id, used := range parts {
		if now.Sub(used) > cached {
			delete(parts, id)
		}
	}
}

func (p *Picker) state(name string) *state {
	if p.targets == nil {
		p.targets = make(map[string]*state)
	}
	s := p.targets[name]
	if s == nil {
		s = &state{}
		p.targets[name] = s
	}
	return s
}

func milliseconds(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }
