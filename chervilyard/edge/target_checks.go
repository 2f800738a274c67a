package edge

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"chervilyard.example/chervilyard/gossip"
	"chervilyard.example/yard/fleet"
	"chervilyard.example/yard/membership"
	"chervilyard.example/yard/target"
	"chervilyard.example/yard/warmup"
)

const (
	// checkInterval is the time between two health checks of a target in its region while the
	// list of targets, or that of evacuations, is old. Each further instance in the order of
	// the target takes over as much later.
	checkInterval = 100 * time.Millisecond
	// minCheckInterval is the shortest time between two checks of a target by an instance.
	minCheckInterval = 20 * time.Millisecond
	// checkLead is how long before the lists are too old the checks begin.
	checkLead = 500 * time.Millisecond
	// checkRetention is how long the answer to a health check is told in the region.
	checkRetention = time.Second
	// silentTime is how long others do not rely on the checks of a member that did not answer
	// a request for one.
	silentTime = time.Second
	// proofPause is the time between two attempts to check a target for another instance.
	proofPause = 5 * time.Millisecond
)

// While the store tells nothing new, a report of the target itself proves that it is warm. An
// instance may then send as many requests as its share of the cold limit, after which it needs
// another proof: it checks the target, or asks the instance that does. What a target answers
// is told to the region.

// targetChecks holds the last answers to health checks of the region's targets, by
// targetRunHash. The zero value is empty. It is safe for concurrent use.
type targetChecks struct {
	mu   sync.Mutex
	last map[uint64]targetCheck
}

type targetCheck struct {
	warmup.Report
	own bool // of this instance
}

func (c *targetChecks) record(run uint64, t targetCheck) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.last == nil {
		c.last = make(map[uint64]targetCheck)
	}
	c.last[run] = t
}

// tell returns the recent answers that this instance got, and those that others told it if
// relay is set.
func (c *targetChecks) tell(now time.Time, relay bool) []*fleet.Check {
	c.mu.Lock()
	defer c.mu.Unlock()
	maps.DeleteFunc(c.last, func(_ uint64, t targetCheck) bool { return now.Sub(t.Latest) > checkRetention })
	var list []*fleet.Check
	for run, t := range c.last {
		if t.own || relay {
			list = append(list, encodeCheck(now, run, t.Report))
		}
	}
	return list
}

// own returns the last answer to a check of this instance.
func (c *targetChecks) own(run uint64) (warmup.Report, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	last := c.last[run]
	return last.Report, last.own
}

func encodeCheck(now time.Time, run uint64, r warmup.Report) *fleet.Check {
	c := &fleet.Check{Run: run, Asked: gossip.AgeMillis(now, r.Earliest), Told: max(now.Sub(r.Latest).Milliseconds(), 0)}
	if cold := r.ColdUntil.Sub(r.Latest); !r.ColdUntil.IsZero() && cold > 0 {
		c.Cold = (cold + time.Millisecond - 1).Milliseconds()
	}
	return c
}

// decodeCheck decodes an answer in a message that was written no earlier than written and
// arrived at now.
func decodeCheck(written, now time.Time, c *fleet.Check) warmup.Report {
	r := warmup.Report{
		Earliest: written.Add(-time.Duration(max(c.GetAsked(), 0)) * time.Millisecond),
		Latest:   now.Add(-time.Duration(max(c.GetTold(), 0)) * time.Millisecond),
	}
	if c.GetCold() > 0 {
		r.ColdUntil = r.Latest.Add(time.Duration(c.GetCold()) * time.Millisecond)
	}
	return r
}

// hearChecks takes the answers to health checks in a message of another instance of the
// region.
func (e *Edge) hearChecks(now, written time.Time, list []*fleet.Check) {
	if len(list) == 0 {
		return
	}
	listed := e.targets.runs()
	for _, c := range list {
		if t, ok := listed[c.GetRun()]; ok {
			e.recordCheck(now, t, targetCheck{Report: decodeCheck(written, now, c)})
		}
	}
}

// recordCheck takes the answer of a target to a health check. It is logged if the target is
// cold or was suspected to have restarted.
func (e *Edge) recordCheck(now time.Time, t target.Target, c targetCheck) {
	suspected := e.picker.IsSuspected(t.Name())
	if !e.picker.RecordCheck(t.Name(), c.Report) && !c.own {
		return // another instance told it before
	}
	e.checks.record(targetRunHash(t), c)
	if cold := max(c.ColdUntil.Sub(now), 0); suspected || cold > 0 {
		e.logDecision("target", "proved", t.Name()+e.describeCold(now, cold))
	}
}

// keepChecking checks the targets at intervals, and those to which no more requests may be sent
// at once, until the context ends. The channel that it returns is closed then.
func (e *Edge) keepChecking(ctx context.Context) <-chan struct{} {
	done := make(chan struct{})
	go func() {
		defer close(done)
		ticker := time.NewTicker(checkInterval)
		defer ticker.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case <-ticker.C:
				e.checkTargets(e.now())
				e.checkReach(e.now())
			case name := <-e.limitReached:
				e.checkNow(e.now(), name)
			}
		}
	}()
	return done
}

// checkTargets sends health checks to the targets of which the store does not tell whether they
// are still warm, so that more requests can be sent to them than a cold target bears: to all if
// its lists are old, and else to those that are missing from the last one.
func (e *Edge) checkTargets(now time.Time) {
	old := e.inRollback(now) || e.isOlder(now, PartTargets, maxTargetListAge-checkLead) || e.isOlder(now, PartConfiguration, maxEvacuationsAge-checkLead)
	reserved := make(map[string]bool)
	for _, t := range e.targets.toCheck(old) {
		order := e.checkOrder(now, t)
		rank := slices.IndexFunc(order, func(m membership.Member) bool { return m.Name == e.Settings().Name })
		if rank < 0 {
			continue
		}
		if rank == 0 && len(order) > 1 {
			reserved[t.Name()] = true
		}
		if now.Sub(e.picker.KnownAsOf(t.Name())) >= checkInterval*time.Duration(1+rank) {
			e.checkTarget(now, t, checkInterval)
		}
	}
	e.picker.ReserveForChecks(reserved)
}

// checkOrder returns the live instances that have a share of the target's limit, in the order
// in which they check it. The first one uses a share of one request for that alone.
func (e *Edge) checkOrder(now time.Time, t target.Target) []membership.Member {
	c, services := e.catalog.Load(), t.Routes()
	if c == nil || len(services) == 0 {
		return nil
	}
	var order []membership.Member
	for _, name := range e.coldTargetShare(now).Holders(t.Name(), c.Service(services[0])) {
		if name == e.Settings().Name {
			order = append(order, e.self(now))
		} else if m, ok := e.memberTable.Get(name); ok && now.Sub(m.Heard) < liveTimeout && m.Reaches(services[0]) && !e.asking.isSilent(now, name) {
			order = append(order, m)
		}
	}
	return order
}

// checkNow checks the named target without waiting for the interval, or asks the instance that
// does if this one has no request left for it.
func (e *Edge) checkNow(now time.Time, name string) {
	if t, ok := e.targets.get(name); ok && !e.checkTarget(now, t, minCheckInterval) {
		e.askForProof(now, t)
	}
}

// askForProof asks the first live instance with a share of the target's limit to check it,
// without waiting for the answer.
func (e *Edge) askForProof(now time.Time, t target.Target) {
	name := t.Name()
	order := e.checkOrder(now, t)
	if len(order) > 0 && order[0].Name != e.Settings().Name && e.asking.start(name) {
		go func() {
			defer e.asking.end(name)
			if !e.requestProof(order[0], t) {
				e.asking.keepSilent(e.now(), order[0].Name)
			}
		}()
	}
}

// requestProof asks another instance to check the target and takes the answer. It returns false
// if there is none.
func (e *Edge) requestProof(m membership.Member, t target.Target) bool {
	asked := e.now()
	answer, err := e.gossiper.RequestProof(e.ctx, m, &fleet.Check{Run: targetRunHash(t)})
	now := e.now()
	if err != nil || answer.GetRun() != targetRunHash(t) {
		return false
	}
	report := decodeCheck(asked, now, answer)
	report.Earliest = asked // the check began later
	e.recordCheck(now, t, targetCheck{Report: report})
	return true
}

// proveTarget checks a target for another instance.
func (e *Edge) proveTarget(ctx context.Context, c *fleet.Check) *fleet.Check {
	t, ok := e.targets.runs()[c.GetRun()]
	if !ok {
		return &fleet.Check{}
	}
	if c.GetEnd() {
		return e.acceptsConnections(ctx, t)
	}
	for arrived := e.now(); ctx.Err() == nil; {
		if r, ok := e.checks.own(c.GetRun()); ok && !r.Earliest.Before(arrived) {
			return encodeCheck(e.now(), c.GetRun(), r)
		}
		e.checkTarget(e.now(), t, minCheckInterval)
		select {
		case <-ctx.Done():
		case <-time.After(proofPause):
		}
	}
	return &fleet.Check{}
}

// checkTarget starts a health check of a target that may be cold, unless its service has no
// limit for those or this instance has no request left for it. It returns true if a check has
// started within the interval.
func (e *Edge) checkTarget(now time.Time, t target.Target, interval time.Duration) bool {
	c, services := e.catalog.Load(), t.Routes()
	if c == nil || len(services) == 0 {
		return false
	}
	s := c.Service(services[0])
	if s.ColdRequestsPerSecond() <= 0 {
		return true // it needs none
	}
	return !e.probes.tryStart(now, t.Name(), interval) || e.startCheck(now, t, s)
}

// get returns the named target of the region.
func (t *targetList) get(name string) (target.Target, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	found, ok := t.local[name]
	return found, ok
}

// toCheck returns the region's targets that may get requests, or, unless all is set, those of
// them that are missing from the last list.
func (t *targetList) toCheck(all bool) []target.Target {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !all && len(t.missing) == 0 {
		return nil
	}
	var list []target.Target
	for name, candidate := range t.local {
		services := candidate.Routes()
		if (all || t.missing[name]) && len(services) > 0 && t.isUsable(candidate, services[0]) {
			list = append(list, candidate)
		}
	}
	return list
}

// proofRequests holds the requests for checks that are under way and the instances that did not
// answer one. The zero value is empty. It is safe for concurrent use.
type proofRequests struct {
	mu       sync.Mutex
	underWay map[string]bool      // by target
	silent   map[string]time.Time // until when, by instance
}

// start records a request for a check of the target and returns true, unless one is under way.
func (p *proofRequests) start(targetName string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.underWay[targetName] {
		return false
	}
	if p.underWay == nil {
		p.underWay = make(map[string]bool)
	}
	p.underWay[targetName] = true
	return true
}

// end records that the request for a check of the target has ended.
func (p *proofRequests) end(targetName string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.underWay, targetName)
}

// keepSilent records that the instance did not answer.
func (p *proofRequests) keepSilent(now time.Time, name string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.silent == nil {
		p.silent = make(map[string]time.Time)
	}
	maps.DeleteFunc(p.silent, func(_ string, until time.Time) bool { return !now.Before(until) })
	p.silent[name] = now.Add(silentTime)
}

// isSilent reports whether the instance did not answer within silentTime.
func (p *proofRequests) isSilent(now time.Time, name string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return now.Before(p.silent[name])
}
