package placement

import (
	"fmt"
	"math"
	"slices"
	"strconv"
	"strings"
	"time"

	"chervilyard.example/yard/service"
	"chervilyard.example/yard/target"
	"chervilyard.example/yard/warmup"
)

// StartHealthCheck returns a health check of the named target, or nil if it may not be sent,
// which Ticket.Defer can prevent. If the target is cold, the health check counts against its
// rate limit like a request.
func (p *Picker) StartHealthCheck(now time.Time, name string, s service.Service, coldShare ColdShare) *HealthCheck {
	p.mu.Lock()
	defer p.mu.Unlock()
	ts := p.state(name)
	if now.Before(ts.deferredUntil) {
		return nil
	}
	since, limited := p.countsSince(now, ts, coldShare)
	c := &HealthCheck{picker: p, name: name, reserved: limited}
	if limited && !ts.window.Reserve(now, since, p.coldLimit(name, Request{Service: s}, coldShare)) {
		return nil
	}
	return c
}

// HealthCheck is one health check of a target. It is not safe for concurrent use.
type HealthCheck struct {
	picker   *Picker
	name     string
	reserved bool // counts against the rate limit of a cold target and is not known to be sent
	admitted bool
	sentAt   time.Time // when it was counted as sent; zero if it does not count
}

// Admit records that the connection is established and the health check is about to be sent.
func (c *HealthCheck) Admit() { c.admitted = true }

// Sent records that the health check has been sent, at now at the latest.
func (c *HealthCheck) Sent(now time.Time) {
	c.picker.mu.Lock()
	defer c.picker.mu.Unlock()
	if c.reserved {
		c.reserved, c.sentAt = false, now
		c.picker.state(c.name).window.Sent(now)
	}
}

// FoundWarm records that the target answered the health check and was warm, so the check does
// not count against the rate limit of a cold target.
func (c *HealthCheck) FoundWarm() {
	c.picker.mu.Lock()
	defer c.picker.mu.Unlock()
	if !c.sentAt.IsZero() {
		c.picker.state(c.name).window.Forget(c.sentAt)
		c.sentAt = time.Time{}
	}
}

// End ends the health check. One that was admitted counts as sent.
func (c *HealthCheck) End(now time.Time) {
	if c.admitted {
		c.Sent(now)
		return
	}
	c.picker.mu.Lock()
	defer c.picker.mu.Unlock()
	if c.reserved {
		c.reserved = false
		c.picker.state(c.name).window.Release()
	}
}

// RecordCheck records what the named target answered to a health check of this instance or
// another one. A possible restart is ruled out unless a connection to the target failed or
// broke after the check was sent. It returns false if the report is not news.
func (p *Picker) RecordCheck(name string, r warmup.Report) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.state(name)
	if !s.warmup.Check(r) {
		return false
	}
	s.recordCold(r)
	s.warmup.Dismiss(r.Earliest)
	return true
}

// IsSuspected reports whether the named target may have restarted.
func (p *Picker) IsSuspected(name string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	_, suspected := p.state(name).warmup.SuspectedFrom()
	return suspected
}

// KnownAsOf returns the latest time at which the named target is known to have been as
// reported, zero if there is no report.
func (p *Picker) KnownAsOf(name string) time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.state(name).warmup.KnownAsOf()
}

// ReserveForChecks names the targets that this instance checks for others while their warmth
// is not proved. If it may send one request alone to such a target, that is a health check.
func (p *Picker) ReserveForChecks(names map[string]bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.reserved = names
}

// DeferralLeft returns the time until the first of the candidates wants requests again, or
// may have a permit for one, and false if one of them waits for neither or there are none.
func (p *Picker) DeferralLeft(now time.Time, candidates []target.Target) (time.Duration, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(candidates) == 0 {
		return 0, false // an instance that has just started may not know them yet
	}
	left := time.Duration(math.MaxInt64)
	for i := range candidates {
		wait, _ := p.rateLimit(now, &candidates[i])
		d := max(p.state(candidates[i].Name()).deferredUntil.Sub(now), wait)
		if d <= 0 {
			return 0, false
		}
		left = min(left, d)
	}
	return left, true
}

// Explain returns a comma-separated list of the candidates that cannot get the
// request now, each with the reason.
func (p *Picker) Explain(now time.Time, candidates []target.Target, r Request, coldShare ColdShare) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.assess(now, candidates, r, coldShare)
	var list []string
	for i := range candidates {
		if reason := p.barredBy(now, &candidates[i], r, coldShare); reason != "" {
			list = append(list, candidates[i].Name()+" "+reason)
		}
	}
	return strings.Join(list, ", ")
}

// whyNotPreferred returns why the preferred target of a request is not the chosen one, or "" if it
// is or there is none. The caller must hold p.mu.
func (p *Picker) whyNotPreferred(now time.Time, candidates []target.Target, r Request, coldShare ColdShare, chosen string) string {
	if r.PreferredTarget == "" || r.PreferredTarget == chosen {
		return ""
	}
	i := slices.IndexFunc(candidates, func(t target.Target) bool { return t.Name() == r.PreferredTarget })
	if i < 0 {
		return "elsewhere"
	}
	t := &candidates[i]
	s := p.state(t.Name())
	_, e := p.best(now, candidates[i:i+1], r, coldShare)
	switch {
	case slices.Contains(r.Exclude, t.Name()):
		return "tried"
	case p.isFullForClass(now, t, s, r):
		return "full"
	case !p.usable(now, t, r, coldShare):
		return "unusable"
	case r.WaitLimit > 0 && e.Wait > r.WaitLimit:
		return "late"
	}
	return "cost"
}

// barredBy returns the reason for which the target cannot get the request now, or "" if it can.
// The caller must hold p.mu, and assess must have been called.
func (p *Picker) barredBy(now time.Time, t *target.Target, r Request, coldShare ColdShare) string {
	s := p.state(t.Name())
	permitWait, _ := p.rateLimit(now, t)
	switch {
	case slices.Contains(r.Exclude, t.Name()):
		return "tried"
	case now.Before(s.deferredUntil):
		return "wants no request for " + s.deferredUntil.Sub(now).Round(time.Millisecond).String()
	case now.Before(s.ejectedUntil):
		return "failed " + strconv.Itoa(s.failures) + " times"
	case p.isFullForClass(now, t, s, r):
		return "full of less urgent requests"
	case p.leftOut[t.Name()]:
		return "fails more often than the others"
	case permitWait > 0:
		return "has a limit and no permit for " + permitWait.Round(time.Millisecond).String()
	case p.usable(now, t, r, coldShare):
		return ""
	case p.isCold(now, s):
		return "cold"
	}
	return "not proved or too small"
}

// DescribeLoad returns a list of the usable candidates for the log, each with the requests that
// are open there, the expected time without queueing and the age of the last sample of it.
func (p *Picker) DescribeLoad(now time.Time, candidates []target.Target, r Request) string {
	const maxDescribed = 4
	p.mu.Lock()
	defer p.mu.Unlock()
	c := p.compare(now, r)
	var list []string
	for i := range candidates[:min(len(candidates), maxDescribed)] {
		t := &candidates[i]
		s := p.state(t.Name())
		load := p.totalLoad(now, t.Name(), s)
		age := "never"
		if at := s.lastSample(); !at.IsZero() {
			age = formatMillis(now.Sub(at))
		}
		processing := milliseconds(c.processingMS(s, load))
		list = append(list, fmt.Sprintf("%s open=%d takes=%s seen=%s", t.Name(), load.Open, formatMillis(processing), age))
	}
	return strings.Join(list, ", ")
}

// usable reports whether the target can get the request now.
func (p *Picker) usable(now time.Time, t *target.Target, r Request, coldShare ColdShare) bool {
	if p.leftOut[t.Name()] {
		return false
	}
	s := p.state(t.Name())
	if p.isBarred(now, t, s, r) {
		return false
	}
	since, limited := p.countsSince(now, s, coldShare)
	return !limited || s.window.Allows(now, since, p.requestLimit(now, t.Name(), s, r, coldShare))
}

// isBarred reports whether the target cannot get the request even if it is warm.
func (p *Picker) isBarred(now time.Time, t *target.Target, s *targetState, r Request) bool {
	if now.Before(s.ejectedUntil) || now.Before(s.deferredUntil) {
		return true
	}
	if wait, _ := p.rateLimit(now, t); wait > 0 {
		return true
	}
	if s.failures > 0 && s.probing > 0 {
		return true // a single probe decides whether the target has recovered
	}
	if p.isFullForClass(now, t, s, r) {
		return true
	}
	memory := r.Service.MemoryTokens()
	return memory > 0 && r.PromptTokens+r.MaxOutputTokens > memory
}

// isFullForClass reports whether lesser requests hold as many slots of the engine, or have as
// many prompt tokens waiting there, as they may.
func (p *Picker) isFullForClass(now time.Time, t *target.Target, s *targetState, r Request) bool {
	if !r.Lesser || r.Service.Slots() == 0 {
		return false
	}
	load := p.totalLoad(now, t.Name(), s)
	if t.Name() == r.PreferredTarget {
		return p.lesserLimits.slotsUsed(load, max(t.Capacity(), 1)) // elsewhere it would read more tokens
	}
	return p.lesserLimits.full(load, max(t.Capacity(), 1), r.PromptTokens, s.slowdownFactor(now, load))
}

// countsSince reports whether the target may be cold, so that its rate limit holds, and since
// when requests to it count. What was sent before a sign of a restart went to the run before,
// and what was sent before the target was last known to be warm went to a warm target.
func (p *Picker) countsSince(now time.Time, s *targetState, coldShare ColdShare) (time.Time, bool) {
	if p.isColdOrReadmitted(now, s) {
		return time.Time{}, true
	}
	suspectedFrom, suspected := s.warmup.SuspectedFrom()
	switch {
	case p.isUnproved(s, coldShare) && (!suspected || s.warmup.KnownAsOf().Before(suspectedFrom)):
		return s.warmup.KnownAsOf(), true
	default:
		return suspectedFrom, suspected
	}
}

// isCold reports whether the target is cold, or may have become cold since it was known to be
// warm: because it may have restarted or got no requests for some time.
func (p *Picker) isCold(now time.Time, s *targetState) bool {
	_, suspected := s.warmup.SuspectedFrom()
	return suspected || p.isColdOrReadmitted(now, s)
}

// isColdOrReadmitted reports whether the target is cold by the last report, or its data centre
// got requests again later.
func (p *Picker) isColdOrReadmitted(now time.Time, s *targetState) bool {
	if now.Before(s.warmup.ColdUntil()) {
		return true
	}
	readmitted, ok := p.readmitted[s.centre]
	return ok && !s.warmup.IsKnownSince(readmitted)
}

// AwaitsProof reports whether one of the candidates could get the request if it were proved to
// be warm.
func (p *Picker) AwaitsProof(now time.Time, candidates []target.Target, r Request, coldShare ColdShare) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.assess(now, candidates, r, coldShare)
	return slices.ContainsFunc(candidates, func(t target.Target) bool {
		s := p.state(t.Name())
		return !slices.Contains(r.Exclude, t.Name()) && p.isUnproved(s, coldShare) && !p.isCold(now, s) &&
			!p.isBarred(now, &t, s, r) && !p.usable(now, &t, r, coldShare) && p.requestLimit(now, t.Name(), s, r, coldShare) > 0
	})
}

// requestLimit returns how many requests this instance may send to a target that may be cold
// in each coldlimit.Window. While the target's warmth is not proved, one of several is left for
// a health check, which may prove it.
func (p *Picker) requestLimit(now time.Time, name string, s *targetState, r Request, coldShare ColdShare) int {
	limit := p.coldLimit(name, r, coldShare)
	if p.isUnproved(s, coldShare) && !p.isCold(now, s) && r.Service.HealthPath() != "" && (limit > 1 || limit == 1 && p.reserved[name]) {
		return limit - 1
	}
	return limit
}

// isUnproved reports whether the last list that has the target is too old to show that it is
// warm.
func (p *Picker) isUnproved(s *targetState, coldShare ColdShare) bool {
	return coldShare.Unproved || s.lastListed.Before(p.listedAt)
}

// coldLimit returns how many requests this instance may send to the named target in each
// coldlimit.Window while the target is cold.
func (p *Picker) coldLimit(name string, r Request, coldShare ColdShare) int {
	if r.Service.ColdRequestsPerSecond() <= 0 {
		return math.MaxInt32
	}
	perSecond := coldShare.PerSecond(r.Service)
	limit := coldShare.limit(perSecond, name)
	for _, p := range coldShare.Earlier {
		limit = min(limit, p.limit(perSecond, name))
	}
	return limit
}
