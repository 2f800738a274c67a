package placement

import (
	"math"
	"time"

	"chervilyard.example/yard/latency"
	"chervilyard.example/yard/readqueue"
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
	uncachedTokens  int            // prompt tokens that the target is expected to process
	ahead           Load           // of the target when it was chosen
	readMS          float64        // that the target takes to read a token, as expected when it was chosen
	queuedTokens    float64        // that the target had to read before those of the request
	preferredMissed string         // why the preferred target was not chosen
	slowdown        float64        // of the target relative to its service
	mark            readqueue.Mark // of the request in the target's queue
	run             int64          // of the target when it was chosen
	cachedTokens    int            // prompt tokens that it was expected to have cached
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
	trial           *trial        // set if the target was expected to take too long
	gotFirst        bool
	firstByteAt     time.Time
	ended           bool
}

// Target returns the chosen target.
func (t *Ticket) Target() target.Target { return t.target }

// ExpectedWait returns the expected time to the first byte.
func (t *Ticket) ExpectedWait() time.Duration { return t.expectedWait }

// Ahead returns the load of the target when it was chosen, without the request.
func (t *Ticket) Ahead() Load { return t.ahead }

// UnreadTokens returns how many prompt tokens the target was expected to read before those of the
// request.
func (t *Ticket) UnreadTokens() float64 { return t.queuedTokens }

// Slowdown returns the time to the first byte at the target relative to its service, as it was
// expected when it was chosen.
func (t *Ticket) Slowdown() float64 { return t.slowdown }

// PreferredMissed returns why the preferred target of the prompt was not chosen, or "" if it was
// or there is none.
func (t *Ticket) PreferredMissed() string { return t.preferredMissed }

// CachedTokens returns how many tokens of the prompt the target was expected to have cached.
func (t *Ticket) CachedTokens() int { return t.cachedTokens }

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
	t.gotFirst, t.firstByteAt = true, now
	t.picker.mu.Lock()
	defer t.picker.mu.Unlock()
	s := t.picker.state(t.target.Name())
	t.stopWaiting(s)
	s.failures = 0
	if !t.isEngine {
		return
	}
	if s.run == t.run {
		s.queue.Read(now, t.mark, t.picker.readMS(now, t.target.Name(), s))
	}
	tokens := t.queuedTokens + float64(t.uncachedTokens)
	if tokens <= 0 {
		return
	}
	service := t.picker.service(t.service)
	firstMS := now.Sub(t.chosenAt).Seconds() * 1000
	if t.trialSucceeded(now) {
		service.lower(tokens, firstMS)
		s.slowdown, s.ratios = latency.Average{}, ratioWindow{}
	}
	service.learnedAt = now
	if t.ahead.Open >= max(t.target.Capacity(), 1) && service.mix.HasBoth() {
		return // it waited for a slot, so the time does not show how long its prompt took
	}
	t.recordSlowdown(now, s)
	service.readFit.addRelative(now, float64(t.uncachedTokens), firstMS-t.queuedTokens*t.readMS, firstMS)
	service.base.add(now, 0, math.Log(max(firstMS-tokens*t.readMS, minBaseMS)))
	service.loadFit.add(now, tokens, firstMS)
}

// recordSlowdown records the time that the request has waited for its first byte relative to
// that at the service's other targets.
func (t *Ticket) recordSlowdown(now time.Time, s *targetState) {
	base, perToken := t.picker.prefillCost(t.service)
	if fittedMS := base + (t.queuedTokens+float64(t.uncachedTokens))*perToken; t.picker.service(t.service).readFit.determined() && fittedMS > 0 {
		ratio := min(max(now.Sub(t.chosenAt).Seconds()*1000/fittedMS, 1/maxSlowdown), maxSlowdown)
		s.slowdown.Add(now, ratio)
		s.ratios.add(now, ratio)
	}
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
	if t.request.Lesser {
		s.lesserOpen--
	}
	if t.isEngine && t.gotFirst && o == Answered {
		_, perToken := t.picker.prefillCost(t.service)
		prefill := milliseconds(float64(t.uncachedTokens) * perToken)
		t.picker.service(t.service).mix.RecordEnd(now, t.request.Lesser, now.Sub(t.firstByteAt)+prefill)
	}
	s.memoryTokens -= t.memoryTokens
	if !t.gotFirst {
		t.stopWaiting(s)
		if t.isEngine && s.run == t.run {
			s.queue.Remove(now, t.uncachedTokens, t.picker.readMS(now, t.target.Name(), s))
		}
	}
	if t.trial != nil && !t.trial.ended && (o == TimedOut || o == ConnectionBroken) {
		t.picker.service(t.service).badTrials++
	}
	t.recordOutcome(now, s, o)
}

// stopWaiting removes the request from those that wait for a first byte.
func (t *Ticket) stopWaiting(s *targetState) {
	s.waitingTokens -= t.uncachedTokens
	if t.request.Lesser {
		s.lesserWaiting -= t.uncachedTokens
	}
	if t.isProbe {
		s.probing--
	}
}

// recordOutcome updates the health of the target from the outcome of the request.
func (t *Ticket) recordOutcome(now time.Time, s *targetState, o Outcome) {
	switch {
	case o == Answered:
		t.picker.outliers.Record(now, t.chosenAt, t.target.Name(), false)
	case o == Failed || o == Unreachable || o == ConnectionBroken || o == TimedOut && t.wasSilent(now):
		t.picker.outliers.Record(now, t.chosenAt, t.target.Name(), true)
	}
	switch o {
	case Answered:
		s.failures = 0
		s.recordSuccess(now)
		t.recordAnswer(now, s)
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
		t.recordSilence(now, s)
	case Replaced:
		t.eject(now, s)
	case Overloaded:
		// The target stays usable: running requests end continually and free slots.
	case Canceled, Withheld:
	}
}

// wasSilent reports whether the target sent nothing although the request waited for longer than
// it was expected to. A request that was to show how slow the target is may do so.
func (t *Ticket) wasSilent(now time.Time) bool {
	return !t.gotFirst && t.trial == nil && now.Sub(t.chosenAt) > t.expectedWait
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

// answerMS returns the milliseconds since the target was chosen without those that a request
// waits behind the ones that were open there.
func (t *Ticket) answerMS(now time.Time) float64 {
	return now.Sub(t.chosenAt).Seconds() * 1000 / (1 + queuedRounds(t.ahead.Open, max(t.target.Capacity(), 1)))
}

// recordAnswer records the duration of a complete answer.
func (t *Ticket) recordAnswer(now time.Time, s *targetState) {
	service, ms := t.picker.service(t.service), t.answerMS(now)
	if !t.isEngine && t.trialSucceeded(now) {
		s.answer.Reset(now, ms)
		service.answer.Reset(now, ms)
	} else {
		s.answer.Add(now, ms)
		service.answer.Add(now, ms)
	}
	if !t.isEngine {
		service.learnedAt = now
	}
}

// recordSilence records how long the request waited in vain if that is longer than the target
// was expected to take. Otherwise a target that got slower would be given up each time before
// its answer shows that.
func (t *Ticket) recordSilence(now time.Time, s *targetState) {
	switch {
	case t.gotFirst || now.Sub(t.chosenAt) <= t.expectedWait:
	case t.isEngine:
		t.recordSlowdown(now, s)
	default:
		s.answer.Add(now, t.answerMS(now))
	}
}
