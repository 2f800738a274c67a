package placement

import (
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
	if limited && !ts.window.Reserve(now, since, p.coldLimit(Request{Service: s}, coldShare)) {
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
}

// Admit records that the connection is established and the health check is about to be sent.
func (c *HealthCheck) Admit() { c.admitted = true }

// Sent records that the health check has been sent, at now at the latest.
func (c *HealthCheck) Sent(now time.Time) {
	c.picker.mu.Lock()
	defer c.picker.mu.Unlock()
	if c.reserved {
		c.reserved = false
		c.picker.state(c.name).window.Sent(now)
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

// HealthCheckPassed records that the named target answered at now a health check
// sent at sentAt, and that it stays cold for the given time. A possible restart is ruled out
// unless a connection to the target failed or broke after the check was sent.
func (p *Picker) HealthCheckPassed(sentAt, now time.Time, name string, cold time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	report := warmup.Report{Earliest: sentAt, Latest: now}
	if cold > 0 {
		report.ColdUntil = now.Add(cold)
	}
	s := p.state(name)
	s.warmup.Check(report)
	s.recordCold(report)
	s.warmup.Dismiss(sentAt)
}

// DeferralLeft returns the time until the first of the candidates wants requests again, or
// may have a permit for one, and false if one of them waits for neither.
func (p *Picker) DeferralLeft(now time.Time, candidates []target.Target) (time.Duration, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	left := time.Duration(math.MaxInt64)
	for i := range candidates {
		wait, _ := p.rateLimit(now, &candidates[i])
		d := max(p.state(candidates[i].Name()).deferredUntil.Sub(now), wait)
		if d <= 0 {
			return 0, false
		}
		left = min(left, d)
	}
	return left, len(candidates) > 0
}

// Explain returns a comma-separated list of the candidates that cannot get the
// request now, each with the reason.
func (p *Picker) Explain(now time.Time, candidates []target.Target, r Request, coldShare ColdShare) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	var list []string
	for i := range candidates {
		t := &candidates[i]
		s := p.state(t.Name())
		permitWait, _ := p.rateLimit(now, t)
		switch {
		case slices.Contains(r.Exclude, t.Name()):
			list = append(list, t.Name()+" tried")
		case now.Before(s.deferredUntil):
			list = append(list, t.Name()+" wants no request for "+s.deferredUntil.Sub(now).Round(time.Millisecond).String())
		case now.Before(s.ejectedUntil):
			list = append(list, t.Name()+" failed "+strconv.Itoa(s.failures)+" times")
		case permitWait > 0:
			list = append(list, t.Name()+" has a limit and no permit for "+permitWait.Round(time.Millisecond).String())
		case !p.usable(now, t, r, coldShare) && p.isCold(now, s):
			list = append(list, t.Name()+" cold")
		case !p.usable(now, t, r, coldShare):
			list = append(list, t.Name()+" not proved or too small")
		}
	}
	return strings.Join(list, ", ")
}

// usable reports whether the target can get the request now.
func (p *Picker) usable(now time.Time, t *target.Target, r Request, coldShare ColdShare) bool {
	s := p.state(t.Name())
	if now.Before(s.ejectedUntil) || now.Before(s.deferredUntil) {
		return false
	}
	if wait, _ := p.rateLimit(now, t); wait > 0 {
		return false
	}
	if s.failures > 0 && s.probing > 0 {
		return false // a single probe decides whether the target has recovered
	}
	if memory := r.Service.MemoryTokens(); memory > 0 && r.PromptTokens+r.MaxOutputTokens > memory {
		return false
	}
	since, limited := p.countsSince(now, s, coldShare)
	return !limited || s.window.Allows(now, since, p.coldLimit(r, coldShare))
}

// countsSince reports whether the target may be cold, so that its rate limit holds, and since
// when requests to it count. What was sent before a sign of a restart went to the run before,
// and what was sent before the target was last known to be warm went to a warm target.
func (p *Picker) countsSince(now time.Time, s *targetState, coldShare ColdShare) (time.Time, bool) {
	if p.isColdOrReadmitted(now, s) {
		return time.Time{}, true
	}
	suspectedFrom, suspected := s.warmup.SuspectedFrom()
	unproved := coldShare.Unproved || s.lastListed.Before(p.listedAt)
	switch {
	case unproved && (!suspected || s.warmup.KnownAsOf().Before(suspectedFrom)):
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

// coldLimit returns how many requests this instance may send to a cold target in
// each coldlimit.Window.
func (p *Picker) coldLimit(r Request, coldShare ColdShare) int {
	if r.Service.ColdRequestsPerSecond() <= 0 {
		return math.MaxInt32
	}
	perSecond := r.Service.ColdRequestsPerSecond()*coldShare.RateFactor + coldShare.ExtraRequests
	limit := coldShare.limit(perSecond)
	for _, p := range coldShare.Earlier {
		limit = min(limit, p.limit(perSecond))
	}
	return limit
}
