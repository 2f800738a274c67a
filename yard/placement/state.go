package placement

import (
	"math"
	"time"

	"chervilyard.example/yard/classmix"
	"chervilyard.example/yard/coldlimit"
	"chervilyard.example/yard/latency"
	"chervilyard.example/yard/readqueue"
	"chervilyard.example/yard/warmup"
)

type peerLoads struct {
	at    time.Time // when the report arrived
	loads []Load
}

// targetState is the state of one target as seen by this instance.
type targetState struct {
	run           int64
	runListed     time.Time // when the run was first listed
	lastListed    time.Time
	open          int
	lesserOpen    int // of open, requests with Request.Lesser
	probing       int // requests sent to the target after an ejection that have no first byte yet
	waitingTokens int
	lesserWaiting int // of waitingTokens, those of such requests
	memoryTokens  int
	failures      int // consecutive ejections; 0 after a first byte or an answer
	ejectedUntil  time.Time
	deferredUntil time.Time       // until when the target wants no requests of this instance
	failureRate   float64         // moving average of the fraction of failed requests, as of failureRateAt
	failureRateAt time.Time       // when failureRate was last updated
	answer        latency.Average // duration of an answer of a plain service without queueing
	service       string          // that requests were last compared for; "" before
	centre        string
	warmup        warmup.State
	lastColdUntil time.Time            // end of the last cold time that was reported, for the log
	lastSuspected time.Time            // last sign of a possible restart, dismissed or not
	window        coldlimit.Window     // requests sent while the target was cold
	partsUsed     map[string]time.Time // last use of each prompt part, by ID
	queue         readqueue.Queue      // prompts that an engine has not read yet
	slowdown      latency.Average      // time to the first byte relative to the fit of the service
	ratios        ratioWindow          // the same for recent requests, for the other instances
	lastTrial     time.Time
	maxPauseMS    float64 // longest recent pause between two events of a stream, as of maxPauseAt
	maxPauseAt    time.Time
}

// recordCold keeps the end of a reported cold time for the log.
func (s *targetState) recordCold(r warmup.Report) {
	if !r.ColdUntil.IsZero() {
		s.lastColdUntil = r.ColdUntil
	}
}

// load returns the load that this instance's open requests put on the target.
func (s *targetState) load(now time.Time, name string) Load {
	samples, ratioSum := s.ratios.sums(now)
	return Load{
		Target: name, Open: s.open, WaitingTokens: s.waitingTokens, MemoryTokens: s.memoryTokens,
		LesserOpen: s.lesserOpen, LesserWaiting: s.lesserWaiting, Samples: samples, RatioSum: ratioSum,
	}
}

// decayedFailureRate returns the fraction of recent requests that failed. It
// decays with time, so that a target that gets no requests because of its
// failures is tried again.
func (s *targetState) decayedFailureRate(now time.Time) float64 {
	if s.failureRate == 0 {
		return 0
	}
	return s.failureRate * math.Exp2(-now.Sub(s.failureRateAt).Seconds()/failureHalfLife.Seconds())
}

func (s *targetState) recordFailure(now time.Time) {
	rate := s.decayedFailureRate(now)
	s.failureRate, s.failureRateAt = rate+(1-rate)*failureWeight, now
}

func (s *targetState) recordSuccess(now time.Time) {
	s.failureRate, s.failureRateAt = s.decayedFailureRate(now)*(1-successWeight), now
}

// decayedPauseMS returns the longest recent pause in milliseconds, decayed with
// pauseHalfLife.
func (s *targetState) decayedPauseMS(now time.Time) float64 {
	if s.maxPauseMS == 0 {
		return 0
	}
	return s.maxPauseMS * math.Exp2(-now.Sub(s.maxPauseAt).Seconds()/pauseHalfLife.Seconds())
}

// ownSamples is the weight of what this instance alone learned of a target's slowdown, in recent
// samples of all instances.
const ownSamples = 2

// slowdownFactor returns the time to the first byte at the target relative to its
// service: the geometric mean of the samples of all instances and of what this one learned. It
// approaches 1 without new samples, so that a target that was slow once is chosen again.
func (s *targetState) slowdownFactor(now time.Time, load Load) float64 {
	own := s.slowdown.Blend(now, 1)
	if load.Samples <= 0 {
		return own
	}
	sum := float64(load.RatioSum)/100 + ownSamples*math.Log(own)
	return min(max(math.Exp(sum/float64(load.Samples+ownSamples)), 1/maxSlowdown), maxSlowdown)
}

const maxParts = 4096 // prompt parts of one target above which expired ones are evicted

// evictExpired deletes the parts that were last used more than cacheRetention ago.
func evictExpired(partsUsed map[string]time.Time, now time.Time) {
	for id, used := range partsUsed {
		if now.Sub(used) > cacheRetention {
			delete(partsUsed, id)
		}
	}
}

// serviceState is what this instance learned of the latency of a service.
type serviceState struct {
	answer    latency.Average // duration of an answer of a plain service without queueing
	readFit   linearFit       // milliseconds to the first byte without queueing over prompt tokens; its slope is the time to read one
	base      linearFit       // logarithms of the milliseconds beside reading; their mean counts
	loadFit   linearFit       // the same with all errors alike, as a prompt delays the others there
	learnedAt time.Time       // last sample of any of them; zero if there is none
	minGap    time.Duration   // smallest recent Request.MaxEventGap, 0 if there is none
	minGapAt  time.Time       // when a request with that gap was last sent
	lastTrial time.Time
	mix       classmix.Mix
	badTrials int // consecutive trials without an answer within the limit
}

// minBaseMS is the shortest time beside reading that counts as such. Shorter ones come from
// queues that were overestimated.
const minBaseMS = 5

// lower scales what was learned down so that it agrees with a sample below it, and reduces the
// weight of the older samples.
func (s *serviceState) lower(tokens, firstMS float64) {
	perToken := s.readFit.slope(0)
	fitted := math.Exp(s.base.mean(0)) + tokens*perToken
	if s.base.count == 0 || fitted <= firstMS {
		return
	}
	s.readFit.scale(firstMS / fitted)
	s.base = linearFit{}
	s.base.add(s.learnedAt, 0, math.Log(max(firstMS-tokens*perToken*firstMS/fitted, minBaseMS)))
}

// service returns the state of the named service and creates it if necessary.
func (p *Picker) service(name string) *serviceState {
	if p.services == nil {
		p.services = make(map[string]*serviceState)
	}
	s := p.services[name]
	if s == nil {
		s = &serviceState{readFit: linearFit{steady: true}}
		p.services[name] = s
	}
	return s
}

// state returns the state of the named target and creates it if necessary.
func (p *Picker) state(name string) *targetState {
	if p.targets == nil {
		p.targets = make(map[string]*targetState)
	}
	s := p.targets[name]
	if s == nil {
		s = &targetState{}
		p.targets[name] = s
	}
	return s
}

func milliseconds(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }
