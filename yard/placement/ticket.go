package placement

import (
	"time"

	"chervilyard.example/yard/target"
)

// Outcome is how a request ended at its target.
type Outcome int

// The outcomes of a request.
const (
	Answered    Outcome = iota // the target answered in full, whatever the status
	Failed                     // the target's own failure status
	Unreachable                // no connection: nothing was sent
	Broken                     // sent, and the connection broke or brought no answer of the target
	Full                       // the target refused for want of room and ran nothing
	Replaced                   // another target has its address
	Abandoned                  // the caller left, or its time was over
	Silent                     // nothing came until the time was over
)

// Ticket is one request at its target. It is used by one goroutine at a time.
type Ticket struct {
	picker   *Picker
	target   target.Target
	service  string
	sent     time.Time
	expected time.Duration
	fresh    int
	ahead    int
	memory   int
	model    bool
	paced    bool // counted in the pace of a cold target
	proves   bool // sent to see whether the target is back
	begun    bool
	ended    bool
}

// Target returns the target that was chosen.
func (k *Ticket) Target() target.Target { return k.target }

// Expected returns how long the first byte was expected to take.
func (k *Ticket) Expected() time.Duration { return k.expected }

// Sent notes that the request is being sent, once there is a connection.
func (k *Ticket) Sent(now time.Time) {
	if !k.paced {
		return
	}
	k.picker.mu.Lock()
	defer k.picker.mu.Unlock()
	k.picker.state(k.target.Name()).window.Sent(k.sent, now)
}

// First notes the first byte of an answer.
func (k *Ticket) First(now time.Time) {
	if k.begun {
		return
	}
	k.begun = true
	k.picker.mu.Lock()
	defer k.picker.mu.Unlock()
	s := k.picker.state(k.target.Name())
	k.begin(s)
	s.failures = 0
	if !k.model || k.ahead+k.fresh <= 0 {
		return
	}
	if k.picker.reading == nil {
		k.picker.reading = make(map[string]*line)
	}
	l := k.picker.reading[k.service]
	if l == nil {
		l = &line{}
		k.picker.reading[k.service] = l
	}
	took := now.Sub(k.sent).Seconds() * 1000
	base, perToken := l.at(guessAnswer, guessPerToken)
	if usual := base + float64(k.ahead+k.fresh)*perToken; l.known() && usual > 0 {
		s.speed = min(max(average(s.speed, took/usual), 1/speedMost), speedMost)
	}
	l.add(float64(k.ahead+k.fresh), took)
}

// speedMost bounds how much slower or faster than the others a target counts.
const speedMost = 4

// Pause notes a pause between two pieces of a stream.
func (k *Ticket) Pause(now time.Time, d time.Duration) {
	k.picker.mu.Lock()
	defer k.picker.mu.Unlock()
	s := k.picker.state(k.target.Name())
	if ms := d.Seconds() * 1000; ms > s.pauseNow(now) {
		s.pause, s.paused = ms, now
	}
}

// End counts the request out.
func (k *Ticket) End(now time.Time, o Outcome) {
	if k.ended {
		return
	}
	k.ended = true
	k.picker.mu.Lock()
	defer k.picker.mu.Unlock()
	s := k.picker.state(k.target.Name())
	s.open--
	s.memory -= k.memory
	if !k.begun {
		k.begin(s)
	}
	k.judge(now, s, o)
}

// begin counts out a request that waits for its first byte.
func (k *Ticket) begin(s *state) {
	s.waiting -= k.fresh
	if k.proves {
		s.proving--
	}
}

// judge draws the conclusions for the target's health.
func (k *Ticket) judge(now time.Time, s *state, o Outcome) {
	switch o {
	case Answered:
		s.failures = 0
		s.succeed(now)
		took := now.Sub(k.sent).Seconds() * 1000
		s.answer = average(s.answer, took)
		if k.picker.answers == nil {
			k.picker.answers = make(map[string]float64)
		}
		k.picker.answers[k.service] = average(k.picker.answers[k.service], took)
	case Failed:
		s.failures = 0
		s.fail(now)
	case Unreachable:
		s.fail(now)
		k.eject(now, s)
		s.suspect = now
	case Broken:
		// Only a connection that cannot be made leaves a target out: the last
		// one of a service must go on where some of its answers break.
		s.fail(now)
		s.suspect = now
	case Silent:
		s.fail(now)
	case Replaced:
		k.eject(now, s)
	case Full:
		// It stays usable: others end there every moment.
	case Abandoned:
	}
}

// eject leaves the target out for a time that doubles with each failure.
func (k *Ticket) eject(now time.Time, s *state) {
	if now.Before(s.ejected) {
		return // requests sent before the ejection fail together
	}
	d := min(ejectFirst<<min(s.failures, 8), ejectMost)
	s.failures++
	s.ejected = now.Add(d)
}

func average(old, sample float64) float64 {
	if old <= 0 {
		return sample
	}
	return old + (sample-old)*learning
}
