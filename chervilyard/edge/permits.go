package edge

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"strconv"
	"sync"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"chervilyard.example/chervilyard/gateway"
	"chervilyard.example/chervilyard/gossip"
	"chervilyard.example/yard/fleet"
	"chervilyard.example/yard/hub"
	"chervilyard.example/yard/membership"
	"chervilyard.example/yard/pause"
	"chervilyard.example/yard/permit"
	"chervilyard.example/yard/target"
	"chervilyard.example/yard/targetrate"
)

// Requests to a target with a rate limit need permits. The instances of the region order
// themselves for each run of a target by rendezvous hashing; the first that can issue permits
// is its issuer. An instance that does not answer is passed over, and the next one takes over:
// it asks those of the first ranks to leave the issuing to it, and gets the slots that the
// last issuer has assigned.

const (
	// issuerRanks is the number of instances that are asked for a permit, and that an issuer
	// asks to leave the issuing to it.
	issuerRanks = 3
	// passOverTime is how long an instance that did not answer is passed over.
	passOverTime = time.Second
	// permitValidity is how long after the begin of its slot a permit may be used. It covers
	// a new connection.
	permitValidity = 500 * time.Millisecond
	// noIssuerRetry is the time after which to ask again when no instance issues permits.
	noIssuerRetry = 200 * time.Millisecond
	// confirmInterval is the time after which an issuer asks those of lower ranks again.
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
	passedOver map[string]passedOver // instances that did not answer, by name
}

type passedOver struct {
	run   int64 // of the instance
	until time.Time
}

// issuer issues the permits for a run of a target.
type issuer struct {
	mu           sync.Mutex
	active       bool
	takingOver   chan struct{} // closed when the take-over in progress ends; nil if there is none
	superseded   bool          // an instance of a lower rank began to issue during the take-over
	schedule     permit.Schedule
	confirmedAt  time.Time // when the instances of lower ranks were last asked
	reducedUntil time.Time
	unanswered   map[string]time.Time // when instances were asked last that did not answer, by name
	usedAt       time.Time
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

func (i *issuer) idle(now time.Time) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.takingOver == nil && now.Sub(i.usedAt) > issuerIdleTime
}

// issuerKey is the key by which the instances order themselves for a run of a target.
func issuerKey(run uint64) string { return strconv.FormatUint(run, 16) }

// precedes reports whether the first instance ranks before the second one as issuer of the run.
func precedes(run uint64, a, b string) bool {
	return hub.Nearest(issuerKey(run), []membership.Member{{Name: a}, {Name: b}}, 1)[0].Name == a
}

// mayIssue reports whether this instance may issue permits: it is serving, and was started
// long enough ago to know the others.
func (e *Edge) mayIssue(now time.Time) bool {
	return e.Ready() && now.Sub(e.started) >= introductionPeriod
}

// issuerCandidates returns the other live instances of the region that may issue permits.
func (e *Edge) issuerCandidates(now time.Time) []membership.Member {
	region := e.Settings().Region
	return slices.DeleteFunc(e.memberTable.Live(now, liveTimeout), func(m membership.Member) bool {
		return m.Region != region || m.Leaving || !m.Ready
	})
}

// issuingShare returns the part of a limit that this instance may issue. On the smaller side
// of a cut it is small, so that both sides together keep within the limit's tolerance.
func (e *Edge) issuingShare(now time.Time) float64 {
	region := e.Settings().Region
	silence := e.cutSilence()
	all := poll{oldest: e.self(now), oldestIsLive: true, known: 1, live: 1}
	var settled poll
	if now.Sub(e.started) >= settledAge {
		settled = all
	}
	for _, m := range e.sharingMembers(now) {
		isLive := now.Sub(m.Heard) <= silence
		if m.Region != region || !isLive && m.Leaving {
			continue
		}
		all.add(m, isLive)
		if now.Sub(m.Started()) >= settledAge {
			settled.add(m, isLive)
		}
	}
	if _, size := e.sizes.get(now, e.started); size > all.known {
		all.known, all.oldestIsLive = size, false
	}
	if 2*settled.known >= all.known {
		return settled.share()
	}
	return all.share()
}

// cutSilence returns the time without a heartbeat after which a member counts as cut off.
func (e *Edge) cutSilence() time.Duration {
	if d := e.division.Load(); d != nil && d.Pooled() {
		return hubSilence
	}
	return directSilence
}

// poll counts the instances of a region that are heard, among those that are known. Members
// that are silent for less than shareRetention count as cut off, unless they said that they
// stop. Both sides of a cut have to count the same instances, so those that started during
// the cut are left out if there are enough others.
type poll struct {
	known, live  int
	oldest       membership.Member
	oldestIsLive bool
}

func (p *poll) add(m membership.Member, isLive bool) {
	if p.known == 0 || membership.Rank(p.oldest, []membership.Member{m}) > 0 {
		p.oldest, p.oldestIsLive = m, isLive
	}
	p.known++
	if isLive {
		p.live++
	}
}

// share returns the part of a limit that those that are heard may issue.
func (p *poll) share() float64 {
	if 2*p.live > p.known || 2*p.live == p.known && p.oldestIsLive {
		return 1
	}
	return float64(p.live) / float64(p.known) / 2
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

// obtainPermit obtains a permit to send a request to a target and waits for its slot. It
// reports false if there is none within patience, or the context ended.
func (e *Edge) obtainPermit(ctx context.Context, t target.Target, patience time.Duration) (gateway.Permit, bool) {
	asked := e.now()
	p, wait, ok := e.requestPermit(ctx, asked, t, patience)
	if ok && wait > 0 {
		timer := time.NewTimer(wait)
		defer timer.Stop()
		select {
		case <-ctx.Done():
			ok = false
		case <-timer.C:
		}
	}
	p.Waited = e.now().Sub(asked)
	return p, ok
}

// requestPermit requests a permit to send a request to a target. It returns the permit and
// the time until its slot begins, or false.
func (e *Edge) requestPermit(ctx context.Context, asked time.Time, t target.Target, patience time.Duration) (gateway.Permit, time.Duration, bool) {
	run := targetRunHash(t)
	word, _ := e.rates.Get(run)
	p := gateway.Permit{PerSecond: word.PerSecond, Age: asked.Sub(word.At)}
	slot, name := e.askIssuers(ctx, asked, t, word, patience)
	now := e.now()
	if ctx.Err() != nil {
		return p, 0, false
	}
	if slot == nil {
		e.meter.CountPermit("no issuer")
		e.permits.retry(run, now.Add(noIssuerRetry))
		return p, 0, false
	}
	if _, limited := e.rates.Limit(now, run); !limited {
		return p, 0, true
	}
	wait := time.Duration(slot.GetWait()) * time.Millisecond
	if !slot.GetGranted() {
		e.meter.CountPermit("refused")
		e.permits.retry(run, now.Add(wait))
		return p, 0, false
	}
	e.meter.CountPermit("issued")
	p.Issuer, p.Until = name, asked.Add(wait+permitValidity)
	return p, wait, true
}

// askIssuers asks the instances that may issue the target's permits in turn. It returns the
// answer of the first one that issues them and its name, or nil if there is none.
func (e *Edge) askIssuers(ctx context.Context, now time.Time, t target.Target, word targetrate.Word, patience time.Duration) (*fleet.Slot, string) {
	self := e.self(now)
	candidates := e.issuerCandidates(now)
	if e.mayIssue(now) {
		candidates = append(candidates, self)
	}
	turn := &fleet.Turn{Name: self.Name, Limit: encodeWord(now, word), Patience: patience.Milliseconds()}
	tried := 0
	for _, m := range hub.Nearest(issuerKey(word.Run), candidates, len(candidates)) {
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

// issuePermit answers the request of an instance, which may be this one, for a permit.
func (e *Edge) issuePermit(ctx context.Context, turn *fleet.Turn) *fleet.Slot {
	now := e.now()
	run := turn.GetLimit().GetRun()
	perSecond, limited := e.rates.Limit(now, run)
	if !limited {
		slot := &fleet.Slot{Elsewhere: true}
		if word, ok := e.rates.Get(run); ok {
			slot.Limit, slot.Elsewhere = encodeWord(now, word), false
		}
		return slot
	}
	if !e.mayIssue(now) {
		return &fleet.Slot{Elsewhere: true}
	}
	i := e.permits.issuer(run)
	if !e.becomeIssuer(ctx, run, i, perSecond) {
		return &fleet.Slot{Elsewhere: true}
	}
	now = e.now()
	share := e.issuingShare(now)
	i.mu.Lock()
	defer i.mu.Unlock()
	i.usedAt = now
	if now.Before(i.reducedUntil) {
		share /= 2
	}
	wait, ok := i.schedule.Issue(now, permit.Ask{
		Instance: turn.GetName(), PerSecond: perSecond * share, Spread: e.random(),
		Patience: time.Duration(turn.GetPatience()) * time.Millisecond,
	})
	word, _ := e.rates.Get(run)
	return &fleet.Slot{Granted: ok, Wait: (wait + time.Millisecond - 1).Milliseconds(), Limit: encodeWord(now, word)}
}

// random returns a random number in [0, 1).
func (e *Edge) random() float64 {
	if e.gateway.Random == nil {
		return rand.Float64()
	}
	return e.gateway.Random()
}

// becomeIssuer takes the issuing of the permits over if another instance may do it, and
// reports whether this instance issues them. It waits for a take-over in progress.
func (e *Edge) becomeIssuer(ctx context.Context, run uint64, i *issuer, perSecond float64) bool {
	i.mu.Lock()
	if i.active {
		i.mu.Unlock()
		return true
	}
	done := i.takingOver
	if done != nil {
		i.mu.Unlock()
		select {
		case <-done:
		case <-ctx.Done():
		}
		i.mu.Lock()
		defer i.mu.Unlock()
		return i.active
	}
	done = make(chan struct{})
	i.takingOver, i.superseded = done, false
	i.mu.Unlock()
	answers, silent := e.askToYield(ctx, run)
	now := e.now()
	i.mu.Lock()
	defer i.mu.Unlock()
	defer close(done)
	i.takingOver = nil
	i.confirmedAt, i.usedAt = now, now
	if i.superseded {
		return false
	}
	if slices.ContainsFunc(answers, func(h *fleet.Handover) bool { return h.GetStays() }) {
		return false
	}
	i.active = true
	for _, h := range answers {
		if h.GetIssued() {
			i.schedule = permit.Schedule{}
			i.schedule.TakeOver(now, decodeHandover(h))
			e.logIssuing("permits issued here", run, "taken over from the last issuer")
			return true
		}
	}
	// The slots that the last issuer assigned are not known.
	i.schedule.Postpone(now, perSecond)
	if i.mayBeCutOff(e.Settings().Name, run, now, silent) {
		i.reducedUntil = now.Add(e.cutSilence())
		e.logIssuing("permits issued here", run, "an instance before this one does not answer, half of them for now")
		return true
	}
	e.logIssuing("permits issued here", run, "no other instance issues them")
	return true
}

// askToYield asks the other instances of the first ranks to leave the issuing to this one. It
// returns their answers, and those that did not answer although they may run.
func (e *Edge) askToYield(ctx context.Context, run uint64) (answers []*fleet.Handover, silent []membership.Member) {
	now := e.now()
	self := e.self(now).Name
	turn := &fleet.Turn{Name: self, Limit: &fleet.Limit{Run: run}}
	others := hub.Nearest(issuerKey(run), e.issuerCandidates(now), issuerRanks)
	var mu sync.Mutex
	var asked sync.WaitGroup
	for _, m := range others {
		asked.Go(func() {
			h, err := e.permits.yield(ctx, m, turn)
			mu.Lock()
			defer mu.Unlock()
			switch {
			case err == nil:
				answers = append(answers, h)
			case !hasEnded(err):
				silent = append(silent, m)
			}
		})
	}
	asked.Wait()
	return answers, silent
}

// logIssuing logs a change of the issuer of a run's permits.
func (e *Edge) logIssuing(choice string, run uint64, reason string) {
	name := "run " + issuerKey(run)
	if t, ok := e.targets.runs()[run]; ok {
		name = t.Name()
	}
	e.logDecision("target", choice, name+": "+reason)
}

// hasEnded reports whether the error of a call tells that no process listens at the address.
func hasEnded(err error) bool {
	var ended *endedError
	return errors.As(err, &ended) || status.Code(err) == codes.Unavailable
}

// endedError is the error of a call to an instance that does not run.
type endedError struct{ Name string }

// Error returns the name of the instance.
func (e *endedError) Error() string { return "instance " + e.Name + " does not run" }

// yieldPermits answers an instance that wants to issue a target's permits.
func (e *Edge) yieldPermits(now time.Time, turn *fleet.Turn) *fleet.Handover {
	run := turn.GetLimit().GetRun()
	if precedes(run, e.Settings().Name, turn.GetName()) && e.mayIssue(now) {
		return &fleet.Handover{Stays: true}
	}
	known := slices.ContainsFunc(e.issuerCandidates(now), func(m membership.Member) bool { return m.Name == turn.GetName() })
	i := e.permits.issuer(run)
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.active && !known && e.mayIssue(now) {
		// Those that do not know the other one either would ask this one again.
		return &fleet.Handover{Stays: true}
	}
	i.superseded = true
	if !i.active {
		if i.usedAt.IsZero() {
			i.usedAt = now
		}
		return &fleet.Handover{}
	}
	i.active = false
	e.logIssuing("permits issued elsewhere", run, "by "+turn.GetName())
	return encodeHandover(i.schedule.Handover(now))
}

// confirmIssuers asks the other instances of the first ranks again and again to leave the
// issuing of permits to this one.
func (e *Edge) confirmIssuers(ctx context.Context) <-chan struct{} {
	return pause.Every(ctx, confirmInterval/2, func() { e.confirmIssuing(ctx, e.now()) })
}

func (e *Edge) confirmIssuing(ctx context.Context, now time.Time) {
	e.permits.evict(now)
	for run, i := range e.permits.all() {
		if !i.startConfirming(now) {
			continue
		}
		answers, silent := e.askToYield(ctx, run)
		e.endConfirming(e.now(), run, i, answers, silent)
	}
}

// startConfirming reports whether the issuer has to ask the others again, and records that it
// does.
func (i *issuer) startConfirming(now time.Time) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	if !i.active || now.Sub(i.confirmedAt) < confirmInterval {
		return false
	}
	i.confirmedAt = now
	return true
}

// endConfirming takes the answers of the others: one of them may stay the issuer, may have
// issued permits as well, or may be cut off.
func (e *Edge) endConfirming(now time.Time, run uint64, i *issuer, answers []*fleet.Handover, silent []membership.Member) {
	i.mu.Lock()
	defer i.mu.Unlock()
	for _, h := range answers {
		if h.GetStays() && i.active {
			i.active = false
			e.logIssuing("permits issued elsewhere", run, "an instance before this one answers")
		}
		if h.GetIssued() {
			i.schedule.TakeOver(now, decodeHandover(h))
		}
	}
	if i.mayBeCutOff(e.Settings().Name, run, now, silent) {
		i.reducedUntil = now.Add(e.cutSilence())
	}
}

// mayBeCutOff reports whether one of the instances that did not answer may be issuing permits
// itself: one of a lower rank, or one that was heard since it did not answer before, so that
// messages get through in one direction only. The caller must hold i.mu.
func (i *issuer) mayBeCutOff(self string, run uint64, now time.Time, silent []membership.Member) bool {
	cutOff := false
	unanswered := make(map[string]time.Time, len(silent))
	for _, m := range silent {
		before, again := i.unanswered[m.Name]
		cutOff = cutOff || precedes(run, m.Name, self) || again && m.Heard.After(before)
		unanswered[m.Name] = now
	}
	i.unanswered = unanswered
	return cutOff
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

func encodeHandover(h permit.Handover) *fleet.Handover {
	m := &fleet.Handover{Issued: true, Next: (h.Next + time.Millisecond - 1).Milliseconds()}
	for _, n := range h.Counts {
		m.Counts = append(m.Counts, uint32(n))
	}
	return m
}

func decodeHandover(m *fleet.Handover) permit.Handover {
	h := permit.Handover{Next: time.Duration(m.GetNext()) * time.Millisecond}
	for _, n := range m.GetCounts() {
		h.Counts = append(h.Counts, int(n))
	}
	return h
}
