package placement

import (
	"time"

	"chervilyard.example/yard/classmix"
	"chervilyard.example/yard/target"
)

// comparison holds what is the same for all candidates of one request, so that comparing many
// of them stays cheap. It is valid while the picker's lock is held.
type comparison struct {
	picker          *Picker
	now             time.Time
	request         Request
	service         *serviceState
	engine          bool
	baseMS          float64 // to the first byte of an empty prompt
	readMS          float64 // to read one prompt token
	savedMS         float64 // that a cached prompt token saves
	averageAnswerMS float64 // of a complete answer
}

// overflowFraction is the value of shared parts at the target to which a prompt overflows, in parts of
// that at the preferred one. It makes instances that find no room there choose the same other one.
const overflowFraction = 0.5

// sharedTokens returns the prompt tokens of the shared parts: all but the last.
func sharedTokens(parts []Part) int {
	tokens := 0
	for _, part := range parts[:max(len(parts)-1, 0)] {
		tokens += part.Tokens
	}
	return tokens
}

// compare returns the comparison for a request. The caller must hold p.mu.
func (p *Picker) compare(now time.Time, r Request) comparison {
	s := p.service(r.Service.Name())
	c := comparison{picker: p, now: now, request: r, service: s, engine: r.Service.Slots() > 0, averageAnswerMS: p.averageAnswerMS(r.Service.Name())}
	if c.engine {
		c.baseMS, c.readMS = p.prefillCost(r.Service.Name())
		c.savedMS = s.loadFit.slope(defaultPerTokenMS)
	}
	return c
}

// costs is the expected time until the first byte at one candidate and the cost of choosing it,
// in milliseconds.
type costs struct {
	queueMS   float64 // behind the requests already there
	waitMS    float64 // queueMS and the time for the request itself
	penaltyMS float64 // see penaltyMS
	costMS    float64 // all of them, without what cached parts save

	cachedTokens int // of the prompt, expected
}

// costs returns the costs of the request at a candidate.
func (c *comparison) costs(t *target.Target) costs {
	p, r := c.picker, c.request
	s := p.state(t.Name())
	s.service = r.Service.Name()
	load, slots := p.totalLoad(c.now, t.Name(), s), max(t.Capacity(), 1)
	answerMS := c.answerMS(s)
	var k costs
	if load.Open >= slots {
		k.queueMS = c.slotWaitMS(load, slots, answerMS)
	}
	limit := r.Service.MemoryTokens()
	if over := load.MemoryTokens + r.PromptTokens + r.MaxOutputTokens - limit; limit > 0 && over > 0 {
		k.queueMS = max(k.queueMS, answerMS*float64(over)/float64(limit))
	}
	crowding := crowdingFactor * float64(load.Open) / float64(slots)
	failures := s.decayedFailureRate(c.now) * failurePenalty
	if !c.engine {
		k.waitMS = k.queueMS + answerMS
		k.penaltyMS = answerMS * (crowding + failures)
		k.costMS = k.waitMS + k.penaltyMS + p.failureCostMS(t.Name(), r)
		return k
	}
	slowdown := s.slowdownFactor(c.now, load)
	readMS := c.readMS * slowdown
	cached := p.cachedPrefix(c.now, s, r.Parts, t.Name() == r.PreferredTarget)
	k.cachedTokens = cached
	uncachedMS := float64(r.PromptTokens-cached) * readMS
	k.queueMS += p.queuedTokens(c.now, s, load, readMS) * readMS
	k.waitMS = k.queueMS + c.baseMS*slowdown + uncachedMS
	k.penaltyMS = c.penaltyMS(s, load, crowding, failures, slowdown)
	saved := float64(cached)
	if t.Name() == r.OverflowTarget {
		saved = max(saved, overflowFraction*float64(sharedTokens(r.Parts)))
	}
	k.costMS = k.waitMS + k.penaltyMS + p.failureCostMS(t.Name(), r) - saved*c.savedMS*affinityFactor
	return k
}

// penaltyMS returns the costs in milliseconds of crowding, failures and pauses of streams at an
// engine, and of requests that wait for a first byte there by the last reports, since others
// choose by these reports too. They make it less desirable, but a request does not wait for them.
func (c *comparison) penaltyMS(s *targetState, load Load, crowding, failures, slowdown float64) float64 {
	recent := float64(load.WaitingTokens-load.uncounted) * c.readMS
	return recent + c.baseMS*failures + c.picker.pausePenaltyMS(c.now, s, c.request.Service.Name()) +
		crowding*(float64(c.request.PromptTokens)*c.readMS+c.baseMS)*slowdown
}

// slotWaitMS returns the milliseconds that a request is expected to wait for a slot behind the
// open ones. At an engine, those of the two classes free their slots after different times: a
// few long generations among short ones hardly delay the next slot.
func (c *comparison) slotWaitMS(load Load, slots int, answerMS float64) float64 {
	mix := &c.service.mix
	if !mix.HasBoth() {
		return queuedRounds(load.Open, slots) * answerMS
	}
	lesser := min(max(load.LesserOpen, 0), slots)
	freedPerMS := float64(slots-lesser)/mix.SlotTimeMS(false) + float64(lesser)/mix.SlotTimeMS(true)
	return float64(load.Open-slots+1) / freedPerMS
}

// answerMS returns the expected duration of a complete answer of a target. It is that of its
// service unless the target's own samples differ by more than distinctFactor, so that targets of
// one kind share the requests evenly.
func (c *comparison) answerMS(s *targetState) float64 {
	own := s.answer.Blend(c.now, c.averageAnswerMS)
	if own < c.averageAnswerMS*distinctFactor && own > c.averageAnswerMS/distinctFactor {
		return c.averageAnswerMS
	}
	return own
}

// processingMS returns the milliseconds from the start of processing at a target to the first
// byte, or for a plain service until the whole answer.
func (c *comparison) processingMS(s *targetState, load Load) float64 {
	if !c.engine {
		return c.answerMS(s)
	}
	return (c.baseMS + float64(c.request.PromptTokens)*c.readMS) * s.slowdownFactor(c.now, load)
}

// classLimits bounds the lesser requests at an engine, as of one choice.
type classLimits struct {
	slotShare float64 // of an engine's slots
	tokens    float64 // that may wait at an engine without slowdown, if bounded is set
	bounded   bool
}

// classLimits returns the limits of the lesser requests of a service. The caller must hold p.mu.
func (p *Picker) classLimits(now time.Time, service string) classLimits {
	mix := &p.service(service).mix
	_, perToken := p.prefillCost(service)
	l := classLimits{slotShare: mix.LesserShare(now)}
	l.tokens, l.bounded = mix.LesserTokens(now, perToken)
	return l
}

// slotsUsed reports whether lesser requests hold as many of the engine's slots as they may.
func (l classLimits) slotsUsed(load Load, slots int) bool {
	return load.LesserOpen >= classmix.Slots(l.slotShare, slots)
}

// full reports whether lesser requests hold as many of the engine's slots, or have as many prompt
// tokens waiting there, as they may.
func (l classLimits) full(load Load, slots, promptTokens int, slowdown float64) bool {
	return l.slotsUsed(load, slots) ||
		l.bounded && load.LesserWaiting > 0 && float64(load.LesserWaiting+promptTokens) > l.tokens/slowdown
}
