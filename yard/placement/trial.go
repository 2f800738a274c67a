package placement

import (
	"slices"
	"time"

	"chervilyard.example/yard/target"
)

// While a target is expected to take too long, it gets no requests, and without requests
// nothing shows that it no longer does. So each instance sends a request as a trial from time
// to time to a target that has none. It ends as any other request does, and if the answer comes
// within the limit, it replaces all that was learned before.

const (
	// The time between two trials of an instance for a service is trialSpacing for each
	// instance of the region, and minTrialInterval at least. It doubles with each trial that
	// finds a target too slow, up to maxTrialInterval.
	trialSpacing     = 10 * time.Millisecond
	minTrialInterval = 200 * time.Millisecond
	maxTrialInterval = 2 * time.Second
	// reluctantFactor is how many times longer a request that suits less waits for its turn.
	reluctantFactor = 2
	// An engine with one idleFraction-th of its slots in use counts as idle.
	idleFraction = 8
	// staleAfter is the time without a sample after which what was learned of a service is too
	// old to forward its requests to another region.
	staleAfter = time.Second
)

// TrialTerms state when a request may be a trial.
type TrialTerms struct {
	Limit time.Duration // longest acceptable time to the first byte
	// Suited is set if the request may be repeated and has time for a slow answer. Such ones
	// go first.
	Suited bool
	// Forwarding is set if another region would serve the request. It is a trial only if what
	// this one learned is old.
	Forwarding bool
}

// trial is what a ticket needs to judge a trial.
type trial struct {
	limit time.Duration
	ended bool
}

// ChooseTrial picks an idle candidate for a trial and returns a ticket for it, or nil if no
// trial is due or no usable candidate is idle. It picks the one of which the least recent
// sample is known.
func (p *Picker) ChooseTrial(now time.Time, candidates []target.Target, r Request, coldShare ColdShare, terms TrialTerms) *Ticket {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.trialDue(now, r, coldShare, terms) {
		return nil
	}
	p.assess(now, candidates, r, coldShare)
	var oldest *target.Target
	var oldestAt time.Time
	for i := range candidates {
		t := &candidates[i]
		if slices.Contains(r.Exclude, t.Name()) || !p.isIdle(now, t, r) || !p.usable(now, t, r, coldShare) {
			continue
		}
		if at := p.state(t.Name()).lastSample(); oldest == nil || at.Before(oldestAt) {
			oldest, oldestAt = t, at
		}
	}
	if oldest == nil {
		return nil
	}
	ticket := p.newTicket(now, *oldest, r, terms.Limit, coldShare)
	_, ticket.limited = p.rateLimit(now, oldest)
	ticket.trial = &trial{limit: terms.Limit}
	p.state(oldest.Name()).lastTrial = now
	p.service(r.Service.Name()).lastTrial = now
	return ticket
}

// StartRemoteTrial reports whether a request may be forwarded although the other region is
// expected to take too long, and counts it as a trial if so.
func (p *Picker) StartRemoteTrial(now time.Time, r Request, coldShare ColdShare, terms TrialTerms) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.trialDue(now, r, coldShare, terms) {
		return false
	}
	p.service(r.Service.Name()).lastTrial = now
	return true
}

// trialDue reports whether the time for another trial has come. The caller must hold p.mu.
func (p *Picker) trialDue(now time.Time, r Request, coldShare ColdShare, terms TrialTerms) bool {
	s := p.service(r.Service.Name())
	interval := max(minTrialInterval, time.Duration(coldShare.Instances)*trialSpacing)
	interval = max(interval, min(interval<<min(s.badTrials, 8), maxTrialInterval))
	if !terms.Suited {
		interval *= reluctantFactor
	}
	if terms.Forwarding && (s.learnedAt.IsZero() || now.Sub(s.learnedAt) < max(interval, staleAfter)) {
		return false
	}
	return now.Sub(s.lastTrial) >= interval
}

// isIdle reports whether a request at the target would not have to wait behind others, or only
// behind few. The caller must hold p.mu.
func (p *Picker) isIdle(now time.Time, t *target.Target, r Request) bool {
	load := p.totalLoad(now, t.Name(), p.state(t.Name()))
	if r.Service.Slots() == 0 {
		return load.Open <= 0
	}
	return load.Open <= t.Capacity()/idleFraction || load.WaitingTokens <= 0 && load.Open < t.Capacity()
}

// lastSample returns when the target was last observed.
func (s *targetState) lastSample() time.Time {
	at := s.lastTrial
	for _, sample := range []time.Time{s.answer.LastAt(), s.slowdown.LastAt()} {
		if sample.After(at) {
			at = sample
		}
	}
	return at
}

// trialSucceeded ends a trial whose answer or first byte has come, and reports whether it
// came within the limit. It returns false for other requests.
func (t *Ticket) trialSucceeded(now time.Time) bool {
	if t.trial == nil || t.trial.ended {
		return false
	}
	t.trial.ended = true
	s := t.picker.service(t.service)
	if now.Sub(t.chosenAt) > t.trial.limit {
		s.badTrials++
		return false
	}
	s.badTrials = 0
	return true
}

// IsTrial reports whether the request is a trial.
func (t *Ticket) IsTrial() bool { return t.trial != nil }
