package edge

import (
	"context"
	"errors"
	"maps"
	"net/http"
	"sync"
	"time"

	"chervilyard.example/chervilyard/pool"
	"chervilyard.example/yard/placement"
	"chervilyard.example/yard/service"
	"chervilyard.example/yard/target"
	"chervilyard.example/yard/warmup"
)

const (
	probeTimeout  = 500 * time.Millisecond // of a health check
	probeInterval = 200 * time.Millisecond // minimum time between two health checks of a target
)

// probes limits the rate of health checks of failed targets. A health check tells whether
// a target has restarted, so that one that only lost connections is not limited like a
// cold target. The type is safe for concurrent use.
type probes struct {
	mu        sync.Mutex
	lastProbe map[string]time.Time // when each was last probed, by target name
}

// tryStart reports whether a health check of the target may start now, at least interval after
// the last one, and records its start if so.
func (p *probes) tryStart(now time.Time, name string, interval time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.lastProbe == nil {
		p.lastProbe = make(map[string]time.Time)
	}
	maps.DeleteFunc(p.lastProbe, func(_ string, sent time.Time) bool { return now.Sub(sent) >= probeInterval })
	if last, ok := p.lastProbe[name]; ok && now.Sub(last) < interval {
		return false
	}
	p.lastProbe[name] = now
	return true
}

// probeSuspect starts a health check of a target that failed, without waiting for it, or asks
// another instance for one if the picker does not allow it here. It does nothing if a check is
// not due.
func (e *Edge) probeSuspect(t target.Target) {
	c := e.catalog.Load()
	now := e.now()
	if services := t.Routes(); c != nil && len(services) > 0 && c.Service(services[0]).HealthPath() != "" && e.probes.tryStart(now, t.Name(), probeInterval) {
		if !e.startCheck(now, t, c.Service(services[0])) {
			e.askForProof(now, t)
		}
	}
}

// startCheck starts a health check of a target of the service, without waiting for it, and
// returns false if it is not configured or not allowed by the picker.
func (e *Edge) startCheck(now time.Time, t target.Target, s service.Service) bool {
	if s.HealthPath() == "" {
		return false
	}
	check := e.picker.StartHealthCheck(now, t.Name(), s, e.coldTargetShare(now))
	if check == nil {
		return false
	}
	if e.sendCheck != nil {
		e.sendCheck(t, check)
		return true
	}
	go e.probe(t, s.HealthPath(), check)
	return true
}

// probe sends a health check on a new connection, on which no late answer to an earlier one can
// arrive, and records the answer.
func (e *Edge) probe(t target.Target, path string, check *placement.HealthCheck) {
	defer func() { check.End(e.now()) }()
	ctx, cancel := context.WithTimeout(e.ctx, probeTimeout)
	defer cancel()
	var permitUntil time.Time
	if _, limited := e.rateLimit(e.now(), t); limited {
		p, ok := e.obtainPermit(ctx, t, 0)
		if !ok {
			return
		}
		permitUntil = p.Until
	}
	sentAt := e.now()
	resp, err := e.pool.Do(ctx, t.Address(), &pool.Request{
		Method: http.MethodGet, RequestTarget: path, Host: t.Address(), Header: http.Header{}, NewConn: true,
		Admit: func() bool {
			now := e.now()
			if _, limited := e.rateLimit(now, t); limited && !now.Before(permitUntil) {
				return false
			}
			check.Admit()
			return true
		},
		OnWritten: func() { check.Sent(e.now()) },
	})
	now := e.now()
	if err != nil {
		var poolErr *pool.Error
		if e.ctx.Err() == nil && (!errors.As(err, &poolErr) || poolErr.Op != pool.OpAdmit) {
			e.recordConnFailed(now, t)
		}
		e.logDecision("target", "not proved", t.Name()+": "+err.Error())
		return
	}
	defer resp.Close()
	e.recordConnAnswered(now, t, false)
	name, cold, healthy := e.gateway.Protocol.ParseHealth(resp.Status, resp.Header)
	class := e.gateway.Protocol.ClassifyResponse(resp.Status, resp.Header)
	if name == t.Name() && class.Leaving {
		e.recordTargetLeaving(now, t)
	}
	if name == t.Name() && len(class.RateLimit) > 0 {
		e.recordRateLimit(sentAt, now, t, class.RateLimit)
	}
	if name != t.Name() || !healthy {
		e.logDecision("target", "not proved", t.Name()+": status "+itoa(int64(resp.Status))+" from "+name)
		return
	}
	report := warmup.Report{Earliest: sentAt, Latest: now}
	if cold > 0 {
		report.ColdUntil = now.Add(cold)
	} else {
		check.FoundWarm()
	}
	e.recordCheck(now, t, targetCheck{Report: report, own: true})
}
