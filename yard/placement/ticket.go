package placement

import (
	"time"

	"chervilyard.example/yard/target"
)

// Outcome is the result of a request at its target.
type Outcome int

// The outcomes of a request.
const (
	Answered         Outcome = iota // the target sent a complete answer, with any status
	Failed                          // the target answered with a status that reports its own failure
	Unreachable                     // no connection could be made; nothing was sent
	ConnectionBroken                // the request was sent, but the connection broke or the response did not come from the target
	Overloaded                      // the target refused the request for lack of capacity and did not run it
	Replaced                        // another target now uses the address
	Canceled                        // the caller disconnected or the deadline passed
	Withheld                        // Ticket.Admit returned false; nothing was sent
	TimedOut                        // no response arrived before the timeout
)

// Ticket tracks one request at its target. It is not safe for concurrent use.
type Ticket struct {
	picker          *Picker
	target          target.Target
	service         string
	chosenAt        time.Time
	expectedWait    time.Duration
	uncachedTokens  int // prompt tokens that the target is expected to process
	tokensAhead     int // prompt tokens that waited at the target when it was chosen
	memoryTokens    int
	isEngine        bool
	belief          *coldBelief // about the target when it was chosen; see Picker.coldBelief
	request         Request
	sentAt          time.Time     // zero until Admit allowed the request
	becameCold      bool          // the target was warm when it was chosen and cold at sentAt
	reserved        bool          // counts against the rate limit of a cold target and is not known to be sent
	counted         bool          // counts as sent
	usesUp          bool          // no more requests may be sent until the target is proved to be warm
	limited         bool          // the target had a rate limit when it was chosen
	alternative     bool          // another target without one could have been chosen
	alternativeWait time.Duration // expected time to the first byte there
	permitUntil     time.Time     // when the permit for the request expires; zero if there is none
	isProbe         bool          // sent after an ejection; shows whether the target has recovered
	gotFirst        bool
	ended           bool
}

// Target returns the chosen target.
func (t *Ticket) Target() target.Target { return t.target }

// ExpectedWait returns the expected time to the first byte.
func (t *Ticket) ExpectedWait() time.Duration { return t.expectedWait }

// NeedsPermit reports whether the target has a rate limit, so that Permit has to be called
// before Admit.
func (t *Ticket) NeedsPermit() bool { return t.limited }

// PermitPatience returns the longest time that the request should wait for a permit, if its
// first byte may take waitLimit: no longer than it takes at another target without a limit.
func (t *Ticket) PermitPatience(waitLimit time.Duration) time.Duration {
	if t.alternative {
		waitLimit = min(waitLimit, t.alternativeWait)
	}
	return max(waitLimit-t.expectedWait, 0)
}

// Permit records a permit to send the request until a time.
func (t *Ticket) Permit(until time.Time) { t.permitUntil = until }

// Admit reports whether the request may be sent now that its connection is established. It
// returns false if the target has become cold since it was chosen and its rate limit is used
// up, or has no share for this instance, and if the target has named a limit and there is no
// permit that is still valid. The function coldShare must not call methods of the Picker.
func (t *Ticket) Admit(now time.Time, coldShare func(now time.Time) ColdShare) bool {
	t.picker.mu.Lock()
	defer t.picker.mu.Unlock()
	if _, limited := t.picker.rateLimit(now, &t.target); limited && !now.Before(t.permitUntil) {
		return false
	}
	s := t.picker.state(t.target.Name())
	if !t.reserved {
		share := coldShare(now)
		if since, limited := t.picker.countsSince(now, s, share); limited {
			t.becameCold = true
			if !s.window.Reserve(now, since, t.picker.requestLimit(now, t.target.Name(), s, t.request, share)) {
				return false
			}
			t.reserved = true
		}
	}
	t.sentAt = now
	return true
}

// Sent records that the request has been sent, at now at the latest. It must follow Admit.
func (t *Ticket) Sent(now time.Time) {
	t.picker.mu.Lock()
	defer t.picker.mu.Unlock()
	t.countSent(now, t.picker.state(t.target.Name()))
}

// countSent counts the request as sent now, also to a target that is taken for warm: it may
// turn out to have been cold. The caller must hold the picker's lock.
func (t *Ticket) countSent(now time.Time, s *targetState) {
	switch {
	case t.counted:
	case t.reserved:
		s.window.Sent(now)
	default:
		s.window.Record(now)
	}
	t.reserved, t.counted = false, true
	if t.usesUp && t.picker.OnLimitReached != nil {
		t.usesUp = false
		t.picker.OnLimitReached(t.target.Name())
	}
}

// RecordFirstByte records that the first byte of the answer arrived at now. Later
// calls have no effect.
func (t *Ticket) RecordFirstByte(now time.Time) {
	if t.gotFirst {
		return
	}
	t.gotFirst = true
	t.picker.mu.Lock()
	defer t.picker.mu.Unlock()
	s := t.picker.state(t.target.Name())
	t.stopWaiting(s)
	s.failures = 0
	if !t.isEngine || t.tokensAhead+t.uncachedTokens <= 0 {
		return
	}
	if t.picker.prefillFits == nil {
		t.picker.prefillFits = make(map[string]*linearFit)
	}
	fit := t.picker.prefillFits[t.service]
	if fit == nil {
		fit = &linearFit{}
		t.picker.prefillFits[t.service] = fit
	}
	tookMS := now.Sub(t.chosenAt).Seconds() * 1000
	base, perToken := fit.coefficients(defaultAnswerMS, defaultPerTokenMS)
	if fittedMS := base + float64(t.tokensAhead+t.uncachedTokens)*perToken; fit.determined() && fittedMS > 0 {
		s.slowdown = min(max(movingAverage(s.slowdown, tookMS/fittedMS), 1/maxSlowdown), maxSlowdown)
	}
	fit.add(float64(t.tokensAhead+t.uncachedTokens), tookMS)
}

// maxSlowdown is the largest slowdown of a target relative to its service, and
// its inverse the smallest.
const maxSlowdown = 4

// RecordPause records a pause of length d between two events of a stream, observed
// at now.
func (t *Ticket) RecordPause(now time.Time, d time.Duration) {
	t.picker.mu.Lock()
	defer t.picker.mu.Unlock()
	s := t.picker.state(t.target.Name())
	if ms := d.Seconds() * 1000; ms > s.decayedPauseMS(now) {
		s.maxPauseMS, s.maxPauseAt = ms, now
	}
}

// Defer records that the target wants no requests of this instance for d from now on. A
// shorter time does not end a longer one.
func (t *Ticket) Defer(now time.Time, d time.Duration) {
	t.picker.mu.Lock()
	defer t.picker.mu.Unlock()
	if s := t.picker.state(t.target.Name()); s.deferredUntil.Before(now.Add(d)) {
		s.deferredUntil = now.Add(d)
	}
}

// End removes the request from the load of the target and records its outcome.
// Later calls have no effect.
func (t *Ticket) End(now time.Time, o Outcome) {
	if t.ended {
		return
	}
	t.ended = true
	t.picker.mu.Lock()
	defer t.picker.mu.Unlock()
	s := t.picker.state(t.target.Name())
	switch {
	case t.reserved && t.sentAt.IsZero():
		t.reserved = false
		s.window.Release()
	case !t.sentAt.IsZero(): // part of it may have been sent
		t.countSent(now, s)
	}
	s.open--
	s.memoryTokens -= t.memoryTokens
	if !t.gotFirst {
		t.stopWaiting(s)
	}
	t.recordOutcome(now, s, o)
}

// stopWaiting removes the request from those that wait for a first byte.
func (t *Ticket) stopWaiting(s *targetState) {
	s.waitingTokens -= t.uncachedTokens
	if t.isProbe {
		s.probing--
	}
}

// recordOutcome updates the health of the target from the outcome of the request.
func (t *Ticket) recordOutcome(now time.Time, s *targetState, o Outcome) {
	switch o {
	case Answered:
		s.failures = 0
		s.recordSuccess(now)
		tookMS := now.Sub(t.chosenAt).Seconds() * 1000
		s.answerMS = movingAverage(s.answerMS, tookMS)
		if t.picker.serviceAnswerMS == nil {
			t.picker.serviceAnswerMS = make(map[string]float64)
		}
		t.picker.serviceAnswerMS[t.service] = movingAverage(t.picker.serviceAnswerMS[t.service], tookMS)
	case Failed:
		s.failures = 0
		s.recordFailure(now)
	case Unreachable:
		s.recordFailure(now)
		t.eject(now, s)
		t.suspect(now, s, o)
	case ConnectionBroken:
		// Only a failure to connect ejects a target: the last target of a
		// service must stay usable while some of its answers break.
		s.recordFailure(now)
		t.suspect(now, s, o)
	case TimedOut:
		s.recordFailure(now)
	case Replaced:
		t.eject(now, s)
	case Overloaded:
		// The target stays usable: running requests end continually and free slots.
	case Canceled, Withheld:
	}
}

// suspect records a sign that the target may have restarted.
func (t *Ticket) suspect(now time.Time, s *targetState, o Outcome) {
	s.lastSuspected = now
	if s.warmup.Suspect(now) && t.picker.OnSuspected != nil {
		t.picker.OnSuspected(now, t.target.Name(), o)
	}
}

// eject excludes the target for a time that doubles with each consecutive ejection,
// up to maxEjection.
func (t *Ticket) eject(now time.Time, s *targetState) {
	if now.Before(s.ejectedUntil) {
		return // requests sent before the ejection fail together and count once
	}
	d := min(minEjection<<min(s.failures, 8), maxEjection)
	s.failures++
	s.ejectedUntil = now.Add(d)
}

// movingAverage returns the exponentially weighted moving average after a new
// sample, which is the sample itself if average is not positive.
func movingAverage(average, sample float64) float64 {
	if average <= 0 {
		return sample
	}
	return average + (sample-average)*sampleWeight
}
