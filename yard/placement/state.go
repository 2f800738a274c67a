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
	open      int
	asked     int // open without a first byte
	waiting   int
	memory    int
	failures  int // in a row
	ejected   time.Time
	failRate  float64
	answer    float64 // milliseconds, moving average; 0 where not known
	coldUntil time.Time
	suspect   time.Time // when it may have started anew; zero where it did not
	window    pace.Window
	parts     map[string]time.Time
	speed     float64   // time to the first byte against the service's line; 0 where not known
	pause     float64   // milliseconds, the longest of late between two pieces of a stream
	paused    time.Time // when that was
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
