package edge

import (
	"context"
	"errors"
	"maps"
	"math/rand/v2"
	"slices"
	"strconv"
	"sync"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"chervilyard.example/yard/fleet"
	"chervilyard.example/yard/hub"
	"chervilyard.example/yard/membership"
	"chervilyard.example/yard/pause"
	"chervilyard.example/yard/permit"
)

// issuer issues the permits for a run of a target.
type issuer struct {
	mu           sync.Mutex
	active       bool
	takingOver   chan struct{} // closed when the take-over in progress ends; nil if there is none
	superseded   bool          // an instance of a lower rank took over during the take-over
	schedule     permit.Schedule
	unclaimed    time.Time            // until when another issuer may still claim the schedule of this one, which has stopped
	terms        []uint64             // within which the slots to come were assigned, the present term last
	perSecond    float64              // slots that are assigned; fewer of them begin a new term
	confirmedAt  time.Time            // when the others were last asked to leave the issuing to this one
	reducedUntil time.Time            // until when half of the permits are issued
	unanswered   map[string]time.Time // when instances were asked last that did not answer, by name
	rivals       map[string]time.Time // when instances were last said to issue permits as well, by name
	usedAt       time.Time
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

// mayIssue reports whether this instance may issue permits: it is serving, and knows the others.
func (e *Edge) mayIssue(now time.Time) bool { return e.Ready() && e.introduced(now) }

// issuePermit answers the request of an instance, which may be this one, for a permit.
func (e *Edge) issuePermit(ctx context.Context, turn *fleet.Turn) *fleet.Slot {
	now := e.now()
	e.hearAsker(now, turn)
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
	if !e.becomeIssuer(ctx, run, i) {
		return &fleet.Slot{Elsewhere: true}
	}
	now = e.now()
	perSecond *= e.issuingShare(now)
	word, _ := e.rates.Get(run)
	i.mu.Lock()
	defer i.mu.Unlock()
	if !i.active { // another one has taken over meanwhile
		return &fleet.Slot{Elsewhere: true}
	}
	i.usedAt = now
	i.noteRival(now, turn.GetIssuer(), e.Settings().Name)
	if now.Before(i.reducedUntil) {
		perSecond /= 2
	}
	i.setRate(now, perSecond)
	if slices.Contains(i.terms, turn.GetTerm()) {
		return &fleet.Slot{Granted: true, Wait: turn.GetBegins(), Limit: encodeWord(now, word), Term: turn.GetTerm()}
	}
	wait, ok := i.schedule.Issue(now, permit.Ask{
		Instance: turn.GetName(), PerSecond: perSecond, Spread: e.random(),
		Patience: time.Duration(turn.GetPatience()) * time.Millisecond,
	})
	return &fleet.Slot{
		Granted: ok, Wait: (wait + time.Millisecond - 1).Milliseconds(), Limit: encodeWord(now, word), Term: i.terms[len(i.terms)-1],
	}
}

// setRate sets the slots a second that are assigned. If they are fewer than before, a new term
// begins and the slots to come are assigned anew. The caller must hold i.mu.
func (i *issuer) setRate(now time.Time, perSecond float64) {
	if perSecond < i.perSecond {
		i.schedule.Cancel(now.Add(confirmAhead), perSecond)
		i.terms = nil
	}
	i.perSecond = perSecond
	if len(i.terms) == 0 {
		i.terms = []uint64{rand.Uint64() | 1}
	}
}

// noteRival records that an instance is said to issue the same permits. This one may not know
// it as one of the first in order. The caller must hold i.mu.
func (i *issuer) noteRival(now time.Time, name, self string) {
	if name == "" || name == self {
		return
	}
	if i.rivals == nil {
		i.rivals = make(map[string]time.Time)
	}
	if now.Sub(i.rivals[name]) > issuerMemory {
		i.confirmedAt = time.Time{} // the others are asked at once
	}
	i.rivals[name] = now
}

// recentRivals returns the names of the instances that were said to issue the same permits
// within issuerMemory.
func (i *issuer) recentRivals(now time.Time) []string {
	i.mu.Lock()
	defer i.mu.Unlock()
	maps.DeleteFunc(i.rivals, func(_ string, at time.Time) bool { return now.Sub(at) > issuerMemory })
	return slices.Sorted(maps.Keys(i.rivals))
}

// takeOver takes over the slots of another issuer. The caller must hold i.mu.
func (i *issuer) takeOver(now time.Time, h *fleet.Handover) {
	i.schedule.TakeOver(now, decodeHandover(h))
	i.perSecond = max(i.perSecond, h.GetRate())
	i.terms = append(slices.Clone(h.GetTerms()), i.terms...)
	if extra := len(i.terms) - maxTerms; extra > 0 {
		i.terms = i.terms[extra:]
	}
}

// hearAsker takes the word of an instance that asks for a permit, which may be the first to have
// heard of the limit. The instance has given up if its message is older than assumed here.
func (e *Edge) hearAsker(now time.Time, turn *fleet.Turn) {
	if turn.GetLimit() == nil || turn.GetName() == e.Settings().Name {
		return
	}
	e.hearRates(now, now.Add(-permitMessageAge), []*fleet.Limit{turn.GetLimit()}, turn.GetName())
}

// random returns a random number in [0, 1).
func (e *Edge) random() float64 {
	if e.gateway.Random == nil {
		return rand.Float64()
	}
	return e.gateway.Random()
}

// becomeIssuer takes over the issuing of the permits unless this instance issues them already,
// and reports whether it does then. It waits for a take-over in progress.
func (e *Edge) becomeIssuer(ctx context.Context, run uint64, i *issuer) bool {
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
	answers, silent := e.askToYield(ctx, run, i)
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
	i.active, i.unclaimed = true, time.Time{}
	i.terms, i.perSecond = nil, 0
	isKnown := false
	for _, h := range answers {
		if !h.GetIssued() {
			continue
		}
		if !isKnown {
			i.schedule = permit.Schedule{}
		}
		i.takeOver(now, h)
		isKnown = true
	}
	if isKnown {
		e.logIssuing("permits issued here", run, "taken over from the last issuer")
		return true
	}
	// The slots that the last issuer assigned are not known.
	i.schedule.Start(now)
	if i.mayBeCutOff(e.Settings().Name, run, now, silent) {
		i.reducedUntil = now.Add(e.cutSilence())
		e.logIssuing("permits issued here", run, "an instance before this one does not answer, half of them for now")
		return true
	}
	e.logIssuing("permits issued here", run, "no other instance issues them")
	return true
}

// askToYield asks the issuerRanks others of the lowest ranks, and those that are said to issue
// permits as well, to leave the issuing to this one. It returns their answers, and those that
// did not answer although they may run.
func (e *Edge) askToYield(ctx context.Context, run uint64, i *issuer) (answers []*fleet.Handover, silent []membership.Member) {
	now := e.now()
	self := e.self(now).Name
	turn := &fleet.Turn{Name: self, Limit: &fleet.Limit{Run: run}}
	others := hub.Nearest(issuerKey(run), e.issuerCandidates(now), issuerRanks)
	for _, name := range i.recentRivals(now) {
		m, ok := e.memberTable.Get(name)
		if ok && !slices.ContainsFunc(others, func(other membership.Member) bool { return other.Name == name }) {
			others = append(others, m)
		}
	}
	handovers := make([]*fleet.Handover, len(others))
	errs := make([]error, len(others))
	var asked sync.WaitGroup
	for n, m := range others {
		asked.Go(func() { handovers[n], errs[n] = e.permits.yield(ctx, m, turn) })
	}
	asked.Wait()
	for n, m := range others {
		switch {
		case errs[n] == nil:
			answers = append(answers, handovers[n])
		case !hasEnded(errs[n]):
			silent = append(silent, m)
		}
	}
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
// An instance that did not answer for longer may look so as well.
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
	self := e.Settings().Name
	if precedes(run, self, turn.GetName()) && e.mayIssue(now) {
		i := e.permits.issuer(run)
		i.mu.Lock()
		defer i.mu.Unlock()
		if i.usedAt.IsZero() {
			i.usedAt = now
		}
		i.noteRival(now, turn.GetName(), self) // which may have issued permits
		return &fleet.Handover{Stays: true}
	}
	known := slices.ContainsFunc(e.issuerCandidates(now), func(m membership.Member) bool { return m.Name == turn.GetName() })
	i := e.permits.issuer(run)
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.active && !known && e.mayIssue(now) {
		i.noteRival(now, turn.GetName(), self)
		// Those that do not know the other one either would ask this one again.
		return &fleet.Handover{Stays: true}
	}
	i.superseded = true
	if !i.active {
		if i.usedAt.IsZero() {
			i.usedAt = now
		}
		if now.Before(i.unclaimed) {
			i.unclaimed = time.Time{}
			return i.handover(now)
		}
		return &fleet.Handover{}
	}
	i.active = false
	e.logIssuing("permits issued elsewhere", run, "by "+turn.GetName())
	return i.handover(now)
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
		answers, silent := e.askToYield(ctx, run, i)
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
			i.active, i.unclaimed = false, now.Add(issuerMemory)
			e.logIssuing("permits issued elsewhere", run, "an instance before this one answers")
		}
		if h.GetIssued() {
			i.takeOver(now, h)
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

// handover returns what the next issuer has to know. The caller must hold i.mu.
func (i *issuer) handover(now time.Time) *fleet.Handover {
	h := i.schedule.Handover(now)
	m := &fleet.Handover{Issued: true, Next: (h.Next + time.Millisecond - 1).Milliseconds(), Terms: i.terms, Rate: i.perSecond}
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
