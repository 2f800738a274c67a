package edge

import (
	"context"
	"slices"
	"sync"
	"time"

	"chervilyard.example/chervilyard/gateway"
	"chervilyard.example/chervilyard/gossip"
	"chervilyard.example/yard/fleet"
	"chervilyard.example/yard/hub"
	"chervilyard.example/yard/membership"
	"chervilyard.example/yard/target"
	"chervilyard.example/yard/targetrate"
)

// Requests to a target with a rate limit need permits. The instances of the region order
// themselves for each run of a target by rendezvous hashing; the one with the lowest rank that
// can issue permits is its issuer. An instance that does not answer is passed over, and the next
// one takes over: it asks the first others to leave the issuing to it, and gets the slots that
// the last issuer has assigned. This file has the side that asks, issuing.go the issuer's.

const (
	// issuerRanks is the number of instances that are asked for a permit in turn, and that an
	// issuer asks to leave the issuing to it.
	issuerRanks = 3
	// passOverTime is how long an instance that did not answer is passed over.
	passOverTime = time.Second
	// permitValidity is how long after the begin of its slot a permit may be used. It covers
	// a new connection.
	permitValidity = 500 * time.Millisecond
	// noIssuerRetry is the time after which to ask again when no instance issues permits.
	noIssuerRetry = 200 * time.Millisecond
	// permitMessageAge is the greatest age of a request for a permit that is still waited for.
	permitMessageAge = 300 * time.Millisecond
	// confirmAhead is how long before the begin of its slot a request that waits for longer asks
	// whether the slot still holds: another issuer may have taken over without knowing of it.
	confirmAhead = 250 * time.Millisecond
	// maxTerms bounds the terms of former issuers that an issuer keeps.
	maxTerms = 8
	// issuerMemory is how long an instance remembers who issued its last permit, and an issuer
	// whom others named as an issuer.
	issuerMemory = 2 * time.Second
	// confirmInterval is the time after which an issuer asks the first others again.
	confirmInterval = 500 * time.Millisecond
	// directSilence and hubSilence are the times without a heartbeat after which a member
	// counts as cut off, in a region without hubs and in one where members are heard through
	// hubs. For as long, an issuer that could not reach one of a lower rank issues half of the
	// permits, since it cannot know yet on which side of a cut it is.
	directSilence = 1200 * time.Millisecond
	hubSilence    = 2 * time.Second
	// settledAge is how long after its start an instance counts on both sides of a cut.
	settledAge = 10 * time.Second
	// issuerIdleTime is how long a schedule without requests is kept.
	issuerIdleTime = time.Minute
)

// permits holds the permits that this instance issues and what it knows of other issuers.
// It is safe for concurrent use.
type permits struct {
	// ask and yield send a message to another instance.
	ask   func(ctx context.Context, m membership.Member, t *fleet.Turn) (*fleet.Slot, error)
	yield func(ctx context.Context, m membership.Member, t *fleet.Turn) (*fleet.Handover, error)

	mu         sync.Mutex
	issuers    map[uint64]*issuer    // by run of the target
	retryAt    map[uint64]time.Time  // when to ask for a permit again, by run
	lastIssuer map[uint64]issuedBy   // of the last permit of this instance, by run
	passedOver map[string]passedOver // instances that did not answer, by name
}

type passedOver struct {
	run   int64 // of the instance
	until time.Time
}

// issuedBy tells which instance issued a permit, and when.
type issuedBy struct {
	name string
	at   time.Time
}

// noteIssuer records that an instance issued a permit for the run of a target.
func (p *permits) noteIssuer(now time.Time, run uint64, name string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.lastIssuer == nil {
		p.lastIssuer = make(map[uint64]issuedBy)
	}
	p.lastIssuer[run] = issuedBy{name, now}
}

// recentIssuer returns the name of the instance that issued the last permit for the run of a
// target, or "" if that is longer ago than issuerMemory.
func (p *permits) recentIssuer(now time.Time, run uint64) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	if last, ok := p.lastIssuer[run]; ok && now.Sub(last.at) <= issuerMemory {
		return last.name
	}
	return ""
}

// issuer returns the issuer of a run of a target, and creates it if there is none.
func (p *permits) issuer(run uint64) *issuer {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.issuers == nil {
		p.issuers = make(map[uint64]*issuer)
	}
	i := p.issuers[run]
	if i == nil {
		i = &issuer{}
		p.issuers[run] = i
	}
	return i
}

// all returns the issuers by run.
func (p *permits) all() map[uint64]*issuer {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := make(map[uint64]*issuer, len(p.issuers))
	for run, i := range p.issuers {
		list[run] = i
	}
	return list
}

// wait returns the time after which it is worth asking for a permit.
func (p *permits) wait(now time.Time, run uint64) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return max(p.retryAt[run].Sub(now), 0)
}

func (p *permits) retry(run uint64, at time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.retryAt == nil {
		p.retryAt = make(map[uint64]time.Time)
	}
	p.retryAt[run] = at
}

// passOver leaves the run of an instance out for passOverTime.
func (p *permits) passOver(now time.Time, m membership.Member) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.passedOver == nil {
		p.passedOver = make(map[string]passedOver)
	}
	p.passedOver[m.Name] = passedOver{run: m.Run, until: now.Add(passOverTime)}
}

func (p *permits) isPassedOver(now time.Time, m membership.Member) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	o, ok := p.passedOver[m.Name]
	return ok && o.run == m.Run && now.Before(o.until)
}

// evict forgets what is over.
func (p *permits) evict(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for run, at := range p.retryAt {
		if !now.Before(at) {
			delete(p.retryAt, run)
		}
	}
	for run, last := range p.lastIssuer {
		if now.Sub(last.at) > issuerMemory {
			delete(p.lastIssuer, run)
		}
	}
	for name, o := range p.passedOver {
		if !now.Before(o.until) {
			delete(p.passedOver, name)
		}
	}
	for run, i := range p.issuers {
		if i.idle(now) {
			delete(p.issuers, run)
		}
	}
}

// issuerCandidates returns the other live instances of the region that may issue permits.
func (e *Edge) issuerCandidates(now time.Time) []membership.Member {
	region := e.Settings().Region
	return slices.DeleteFunc(e.memberTable.Live(now, liveTimeout), func(m membership.Member) bool {
		return m.Region != region || m.Leaving || !m.Ready
	})
}

// rateLimit reports whether a target has a rate limit, and the time after which it is worth
// asking for a permit.
func (e *Edge) rateLimit(now time.Time, t target.Target) (time.Duration, bool) {
	if e.rates.Size() == 0 {
		return 0, false
	}
	run := targetRunHash(t)
	if _, limited := e.rates.Limit(now, run); !limited {
		return 0, false
	}
	return e.permits.wait(now, run), true
}

// reservation is a slot that an issuer has assigned to a request.
type reservation struct {
	term   uint64 // within which it holds; 0 if there is none
	begins time.Time
}

// obtainPermit obtains a permit to send a request to a target and waits for its slot. It
// reports false if there is none within patience, or the context ended.
func (e *Edge) obtainPermit(ctx context.Context, t target.Target, patience time.Duration) (gateway.Permit, bool) {
	asked := e.now()
	now := asked
	var r reservation
	for {
		p, slot, ok := e.requestPermit(ctx, now, t, patience-now.Sub(asked), r)
		now = e.now()
		ahead := slot.begins.Sub(now)
		if ok && ahead > confirmAhead && slot != r {
			ok = sleep(ctx, ahead-confirmAhead)
			now, r = e.now(), slot
			if ok {
				continue
			}
		} else if ok && ahead > 0 {
			ok = sleep(ctx, ahead)
			now = e.now()
		}
		p.Waited = now.Sub(asked)
		return p, ok
	}
}

// sleep waits and reports whether the context has not ended meanwhile.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// requestPermit requests a permit to send a request to a target, in the slot that the request
// has if that still holds. It returns the permit and its slot, or false.
func (e *Edge) requestPermit(ctx context.Context, asked time.Time, t target.Target, patience time.Duration, held reservation) (gateway.Permit, reservation, bool) {
	run := targetRunHash(t)
	word, _ := e.rates.Get(run)
	p := gateway.Permit{PerSecond: word.PerSecond, Age: asked.Sub(word.At)}
	turn := &fleet.Turn{
		Name: e.Settings().Name, Limit: encodeWord(asked, word), Patience: patience.Milliseconds(),
		Term: held.term, Begins: max(held.begins.Sub(asked).Milliseconds(), 0), Issuer: e.permits.recentIssuer(asked, run),
	}
	slot, name := e.askIssuers(ctx, asked, t, turn)
	now := e.now()
	if ctx.Err() != nil {
		return p, reservation{}, false
	}
	if slot == nil {
		e.meter.CountPermit("no issuer")
		e.permits.retry(run, now.Add(noIssuerRetry))
		return p, reservation{}, false
	}
	if _, limited := e.rates.Limit(now, run); !limited {
		return p, reservation{}, true
	}
	wait := time.Duration(slot.GetWait()) * time.Millisecond
	if !slot.GetGranted() {
		e.meter.CountPermit("refused")
		e.permits.retry(run, now.Add(wait))
		return p, reservation{}, false
	}
	p.Issuer = name
	e.permits.noteIssuer(now, run, name)
	if held.term != 0 && slot.GetTerm() == held.term {
		e.meter.CountPermit("confirmed")
		p.Until = held.begins.Add(permitValidity)
		return p, held, true
	}
	e.meter.CountPermit("issued")
	r := reservation{term: slot.GetTerm(), begins: asked.Add(wait)}
	p.Until = r.begins.Add(permitValidity)
	return p, r, true
}

// askIssuers asks the instances that may issue the target's permits in turn. It returns the
// answer of the first one that issues them and its name, or nil if there is none.
func (e *Edge) askIssuers(ctx context.Context, now time.Time, t target.Target, turn *fleet.Turn) (*fleet.Slot, string) {
	self := e.self(now)
	candidates := e.issuerCandidates(now)
	if e.mayIssue(now) {
		candidates = append(candidates, self)
	}
	tried := 0
	for _, m := range hub.Nearest(issuerKey(turn.GetLimit().GetRun()), candidates, len(candidates)) {
		if tried == issuerRanks || ctx.Err() != nil {
			return nil, ""
		}
		if e.permits.isPassedOver(now, m) {
			continue
		}
		tried++
		var slot *fleet.Slot
		if m.Name == self.Name {
			slot = e.issuePermit(ctx, turn)
		} else {
			sent := e.now()
			var err error
			if slot, err = e.permits.ask(ctx, m, turn); err != nil {
				if ctx.Err() == nil {
					e.permits.passOver(e.now(), m)
				}
				continue
			}
			if slot.GetLimit() != nil {
				e.hearRate(e.now(), t, decodeWord(sent, slot.GetLimit()), m.Name)
			}
		}
		if !slot.GetElsewhere() {
			return slot, m.Name
		}
	}
	return nil, ""
}

func encodeWord(now time.Time, w targetrate.Word) *fleet.Limit {
	return &fleet.Limit{Run: w.Run, Limited: w.Limited, Rate: w.PerSecond, Age: gossip.AgeMillis(now, w.At)}
}

// decodeWord decodes a word from a message that was written no earlier than written.
func decodeWord(written time.Time, l *fleet.Limit) targetrate.Word {
	return targetrate.Word{
		Run: l.GetRun(), Limited: l.GetLimited(), PerSecond: l.GetRate(),
		At: written.Add(-time.Duration(max(l.GetAge(), 0)) * time.Millisecond),
	}
}
