package placement

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"chervilyard.example/yard/service"
	"chervilyard.example/yard/target"
)

// PreferredTargets returns the preferred target of a prompt and the one to which it overflows: the
// candidates that every instance prefers for its shared parts. They are chosen by rendezvous
// hashing, so that each part is processed at few targets. It returns false if no part is
// shared or there are no candidates; the second is empty if there is only one.
func PreferredTargets(candidates []target.Target, parts []Part) (first, second target.Target, ok bool) {
	if len(parts) < 2 || len(candidates) == 0 {
		return first, second, false
	}
	key := xxhash.Sum64String(parts[len(parts)-2].ID) // the last part belongs to this request alone
	firstAt, secondAt, firstScore, secondScore := -1, -1, uint64(0), uint64(0)
	for i := range candidates {
		switch score := mix(key ^ xxhash.Sum64String(candidates[i].Name())); {
		case firstAt < 0 || score > firstScore:
			secondAt, secondScore = firstAt, firstScore
			firstAt, firstScore = i, score
		case secondAt < 0 || score > secondScore:
			secondAt, secondScore = i, score
		}
	}
	if secondAt >= 0 {
		second = candidates[secondAt]
	}
	return candidates[firstAt], second, true
}

// mix spreads the bits of x, as the last step of splitmix64 does.
func mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// ServiceLatency is the expected time from the start of processing to the first byte of an
// answer, or for a plain service until the whole answer. It depends on the region. The zero
// value is unknown.
type ServiceLatency struct {
	Base     time.Duration // for an empty prompt
	PerToken time.Duration // for each prompt token in addition
}

// IsZero reports whether the latency is unknown.
func (l ServiceLatency) IsZero() bool { return l == ServiceLatency{} }

// ServiceLatency returns what this instance learned of the service, and the time of the last
// sample. It returns false if there is none.
func (p *Picker) ServiceLatency(s service.Service) (ServiceLatency, time.Time, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	state := p.service(s.Name())
	if state.learnedAt.IsZero() {
		return ServiceLatency{}, time.Time{}, false
	}
	if s.Slots() == 0 {
		return ServiceLatency{Base: milliseconds(state.answer.Mean(defaultAnswerMS))}, state.learnedAt, true
	}
	base, perToken := p.prefillCost(s.Name())
	return ServiceLatency{Base: milliseconds(base), PerToken: milliseconds(perToken)}, state.learnedAt, true
}

// EstimateRemote estimates r in another region, where queueWait is the expected
// queueing time plus the network delay, and told is the latency there, or zero if that of
// this region has to stand for it. If preferred is true, that region has the
// preferred target of the prompt, and its shared parts count as cached.
func (p *Picker) EstimateRemote(r Request, queueWait time.Duration, told ServiceLatency, preferred bool) Estimate {
	p.mu.Lock()
	defer p.mu.Unlock()
	cachedTokens := 0
	if preferred && len(r.Parts) > 0 {
		for _, part := range r.Parts[:len(r.Parts)-1] {
			cachedTokens += part.Tokens
		}
	}
	uncachedTokens := r.PromptTokens - cachedTokens
	processing := milliseconds(p.processingMS(r, uncachedTokens))
	if !told.IsZero() {
		processing = told.Base + time.Duration(uncachedTokens)*told.PerToken
	}
	wait := queueWait + processing
	return Estimate{Wait: wait, Cost: wait - milliseconds(p.savedMS(r, cachedTokens)*affinityFactor)}
}

// savedMS returns the milliseconds that cached prompt tokens save the target, as it takes for
// them beside its other load.
func (p *Picker) savedMS(r Request, cachedTokens int) float64 {
	perToken := p.service(r.Service.Name()).loadFit.slope(defaultPerTokenMS)
	return float64(cachedTokens) * perToken
}

// pausePenaltyMS returns the penalty in milliseconds for the recent stream pauses
// of a target.
func (p *Picker) pausePenaltyMS(now time.Time, s *targetState, service string) float64 {
	gap := p.service(service).minGap
	if gap <= 0 {
		return 0
	}
	excess := s.decayedPauseMS(now)/(gap.Seconds()*1000) - freePauseFraction
	return max(excess, 0) / (1 - freePauseFraction) * pauseCostMS
}

// processingMS returns the milliseconds from the start of processing to the first
// byte for a request with uncachedTokens prompt tokens to process, at any target.
func (p *Picker) processingMS(r Request, uncachedTokens int) float64 {
	if r.Service.Slots() == 0 {
		return p.averageAnswerMS(r.Service.Name())
	}
	base, perToken := p.prefillCost(r.Service.Name())
	return base + float64(uncachedTokens)*perToken
}

// queuedTokens returns the prompt tokens that an engine has to read before those of a new
// request. They are not more than those of requests without a first byte, as far as reported.
func (p *Picker) queuedTokens(now time.Time, s *targetState, load Load, perTokenMS float64) float64 {
	s.queue.Limit(now, load.WaitingTokens-load.uncounted, perTokenMS)
	return s.queue.Tokens(now, perTokenMS) + float64(load.uncounted)
}

// readMS returns the milliseconds in which an engine reads one prompt token.
func (p *Picker) readMS(now time.Time, name string, s *targetState) float64 {
	_, perToken := p.prefillCost(s.service)
	return perToken * s.slowdownFactor(now, p.totalLoad(now, name, s))
}

// unrepeatableFactor is the cost of a failure that the caller gets to see, in multiples of the
// longest acceptable wait. One that may be repeated costs up to that wait.
const unrepeatableFactor = 4

// failureCostMS returns what the failures at a target beyond those of its service are expected
// to cost the caller, in milliseconds.
func (p *Picker) failureCostMS(targetName string, r Request) float64 {
	if p.assessment == nil || len(p.assessment.Excess) == 0 {
		return 0
	}
	costMS := max(r.WaitLimit.Seconds()*1000, defaultAnswerMS)
	if !r.Repeatable {
		costMS *= unrepeatableFactor
	}
	return p.assessment.Excess[targetName] * costMS
}

// queuedRounds returns how many durations of an answer a request waits for a slot behind open
// requests.
func queuedRounds(open, slots int) float64 {
	if open < slots {
		return 0
	}
	return float64(open-slots+1) / float64(slots)
}

// totalLoad returns the load of the target summed over this instance and all others, as far
// as recent reports tell.
func (p *Picker) totalLoad(now time.Time, name string, s *targetState) Load {
	if now.Sub(p.othersAt) <= othersLoadTTL {
		return s.load(now, name).add(p.others[name], 1)
	}
	p.expirePeers(now)
	return s.load(now, name).add(p.peerTotals[name], 1)
}

// cachedPrefix returns how many leading prompt tokens the target is expected to
// have cached: parts that this instance sent there within cacheRetention and, if
// preferred is true, all shared parts, since the other instances send them there too.
func (p *Picker) cachedPrefix(now time.Time, s *targetState, parts []Part, preferred bool) int {
	tokens := 0
	for i, part := range parts {
		used, ok := s.partsUsed[part.ID]
		recent := ok && now.Sub(used) <= cacheRetention
		shared := preferred && i < len(parts)-1
		if !recent && !shared {
			return tokens
		}
		tokens += part.Tokens
	}
	return tokens
}

// prefillCost returns the milliseconds to the first byte for an empty prompt and the
// additional milliseconds for each prompt token.
func (p *Picker) prefillCost(service string) (base, perToken float64) {
	s := p.service(service)
	if !s.readFit.determined() {
		return defaultAnswerMS, defaultPerTokenMS
	}
	perToken = s.readFit.slope(defaultPerTokenMS)
	return math.Exp(s.base.mean(math.Log(defaultAnswerMS))), perToken
}

// averageAnswerMS returns the average duration of a complete answer, or
// defaultAnswerMS if no request of the service has been answered.
func (p *Picker) averageAnswerMS(service string) float64 {
	return p.service(service).answer.Mean(defaultAnswerMS)
}

// recordGap keeps the smallest Request.MaxEventGap of recent requests.
func (s *serviceState) recordGap(now time.Time, gap time.Duration) {
	if s.minGap == 0 || gap <= s.minGap || now.Sub(s.minGapAt) > minGapTTL {
		s.minGap, s.minGapAt = gap, now
	}
}
