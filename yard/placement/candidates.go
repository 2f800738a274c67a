package placement

import (
	"math"
	"slices"
	"time"

	"chervilyard.example/yard/target"
)

// maxWaitMS bounds expected waits and costs in milliseconds, so that they can be converted to
// durations.
const maxWaitMS = 1e9

// Candidate is what a choice knows of one target.
type Candidate struct {
	Name         string
	Wait, Cost   time.Duration // expected for the request; see Estimate
	Timely       bool          // Wait is within the wait limit
	CachedTokens int           // expected
	Load         Load          // of all instances
	// Barred is the reason for which the target cannot get the request now, "" if it can.
	Barred      string
	Ejected     bool          // because of failures, also if it gets requests for lack of others
	Cold        bool          // or possibly cold
	ColdLeft    time.Duration // of the reported cold time
	ColdLimit   int           // requests that this instance may send to it while it may be cold, in each coldlimit.Window; -1 for no limit
	RateLimited bool          // each request needs a permit
	PermitWait  time.Duration // until it is worth asking for one
	// The ages of what the estimate relies on: the newest report of its load by another
	// instance, the last sample of its latency, and the time as of which it is known to be warm
	// or cold. They are -1 if there is none.
	LoadAge, SampleAge, KnownAge time.Duration
}

// expectation is what a choice compares of a target.
type expectation struct {
	waitMS, costMS float64
	timely         bool // waitMS is within the wait limit
	cachedTokens   int
}

// expected returns the expectation for the request at the target.
func (c *comparison) expected(t *target.Target) expectation {
	k := c.costs(t)
	return expectation{
		waitMS: k.waitMS, costMS: k.costMS, cachedTokens: k.cachedTokens,
		timely: c.request.WaitLimit <= 0 || milliseconds(k.waitMS) <= c.request.WaitLimit,
	}
}

// before reports whether a request goes to a target with the expectation e rather than to one
// with other: to timely ones first, and among these by cost, otherwise by wait.
func (e expectation) before(other expectation) bool {
	switch {
	case e.timely != other.timely:
		return e.timely
	case e.timely:
		return e.costMS < other.costMS
	}
	return e.waitMS < other.waitMS
}

// Candidates describes the candidates for the request: those that can get it now before the
// others, and each of these in the order in which a choice prefers them. It may add empty
// states of unknown targets to p; see Snapshot.
func (p *Picker) Candidates(now time.Time, candidates []target.Target, r Request, coldShare ColdShare) []Candidate {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.assess(now, candidates, r, coldShare)
	type entry struct {
		Candidate
		expectation
	}
	list := make([]entry, 0, len(candidates))
	c := p.compare(now, r)
	for i := range candidates {
		e := c.expected(&candidates[i])
		list = append(list, entry{p.candidate(now, &candidates[i], r, coldShare, e), e})
	}
	slices.SortStableFunc(list, func(a, b entry) int {
		switch usable := a.Barred == ""; {
		case usable != (b.Barred == ""):
			return map[bool]int{true: -1, false: 1}[usable]
		case a.before(b.expectation):
			return -1
		case b.before(a.expectation):
			return 1
		}
		return 0
	})
	sorted := make([]Candidate, 0, len(list))
	for _, e := range list {
		sorted = append(sorted, e.Candidate)
	}
	return sorted
}

// candidate describes one target. The caller must hold p.mu, and assess must have been called.
func (p *Picker) candidate(now time.Time, t *target.Target, r Request, coldShare ColdShare, e expectation) Candidate {
	s := p.state(t.Name())
	c := Candidate{
		Name: t.Name(), Wait: boundedMilliseconds(e.waitMS), Cost: boundedMilliseconds(e.costMS), Timely: e.timely,
		CachedTokens: e.cachedTokens, Load: p.totalLoad(now, t.Name(), s), Barred: p.barredBy(now, t, r, coldShare),
		Ejected: now.Before(s.ejectedUntil) || p.assessment != nil && p.assessment.LeftOut[t.Name()],
		Cold:    p.isCold(now, s), ColdLeft: max(s.warmup.ColdUntil().Sub(now), 0), ColdLimit: -1,
		LoadAge: p.loadAge(now, t.Name()), SampleAge: age(now, s.lastSample()), KnownAge: age(now, s.warmup.KnownAsOf()),
	}
	if _, limited := p.countsSince(now, s, coldShare); limited && r.Service.ColdRequestsPerSecond() > 0 {
		c.ColdLimit = p.requestLimit(now, t.Name(), s, r, coldShare)
	}
	c.PermitWait, c.RateLimited = p.rateLimit(now, t)
	return c
}

// loadAge returns the age of the newest report of another instance on the target's load, or -1
// if none counts. A hub's report is one on all targets. The caller must hold p.mu.
func (p *Picker) loadAge(now time.Time, targetName string) time.Duration {
	if d := now.Sub(p.othersAt); d <= othersLoadTTL {
		return d
	}
	var newest time.Time
	for _, l := range p.peers {
		if now.Sub(l.at) <= peerLoadTTL && l.at.After(newest) && slices.ContainsFunc(l.loads, func(l Load) bool { return l.Target == targetName }) {
			newest = l.at
		}
	}
	return age(now, newest)
}

// age returns the time since at, or -1 if at is zero.
func age(now, at time.Time) time.Duration {
	if at.IsZero() {
		return -1
	}
	return now.Sub(at)
}

func boundedMilliseconds(ms float64) time.Duration {
	return milliseconds(math.Max(math.Min(ms, maxWaitMS), -maxWaitMS))
}
