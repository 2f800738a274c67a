// Package balancer selects the target of a request from delayed load reports, the
// instance's own requests in flight, cached prompt prefixes, price and past
// failures.
package balancer

import (
	"math"
	"sync"
	"time"

	"chervilyard.example/yard/target"
)

const (
	prefillPerToken        = 200 * time.Microsecond // prefill time that a cached prompt token saves
	latencyPerPrice        = 20 * time.Millisecond  // latency that is worth one unit of price
	firstByteWeight        = 0.2                    // weight of a new sample in the average time to the first byte
	ejectionThreshold      = 3                      // consecutive failures
	minEjection            = time.Second
	maxEjection            = 30 * time.Second
	slowStartDuration      = 10 * time.Second
	minSlowStartFraction   = 0.1                    // fraction of the capacity that a recovered target starts with
	reportTTL              = 5 * time.Second        // older reports are ignored
	failurePenalty         = 500 * time.Millisecond // for each consecutive failure
	minFirstByteTimeout    = 500 * time.Millisecond
	firstByteTimeoutFactor = 8                      // multiple of the lowest average time to the first byte
	firstByteDecay         = 15 * time.Second       // time constant with which the average fades, so that a slow target is tried again
	typicalRunDuration     = 400 * time.Millisecond // assumed duration of a request at a target
)

// Report is the load of a target when it was polled.
type Report struct {
	At        time.Time // when the target was polled
	Running   int
	Queued    int
	QueueWait time.Duration // queueing time that the target expects for a new request
	Failed    bool          // the poll failed
}

// Request holds the properties of a request that the choice depends on.
type Request struct {
	PrefixHashes []uint64                 // chained hashes of the prompt's leading blocks, as returned by PrefixHashes
	BlockTokens  int                      // tokens per block
	Exclude      func(target string) bool // reports whether not to use the target; may be nil
}

// Selection is the chosen target and the basis of the choice.
type Selection struct {
	Target       target.Target
	Reason       string        // "only", "warm" or "least"
	Score        time.Duration // expected time to the first byte, adjusted for price, failures and cached tokens
	CachedTokens int           // prompt tokens assumed to be cached at the target
}

// Picker chooses among the targets of one data centre. It is safe for concurrent
// use.
type Picker struct {
	// Random returns a random number in [0, n). It must be set before use.
	Random func(n int) int

	mu       sync.Mutex
	states   map[string]*targetState
	prefixes prefixTracker
}

type targetState struct {
	report           Report
	ownAtReport      int     // ownInFlight when the report arrived
	ownInFlight      int     // requests in flight from this instance
	firstByteSeconds float64 // moving average; 0 if unknown
	firstByteAt      time.Time
	failures         int // consecutive
	ejectedUntil     time.Time
	recoveredAt      time.Time
	deferredUntil    time.Time // until when the target wants no requests of this instance
}

// UpdateLoad stores a load report of the named target. A report that is not newer
// than the stored one is ignored.
func (p *Picker) UpdateLoad(name string, r Report) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.state(name)
	if !r.At.After(s.report.At) {
		return
	}
	if s.report.Failed && !r.Failed {
		s.recoveredAt = r.At
		p.prefixes.forget(name)
	}
	s.report = r
	s.ownAtReport = s.ownInFlight
}

// Pick returns the candidate with the lowest score among a sample of the usable
// ones, or false if none is usable.
func (p *Picker) Pick(now time.Time, candidates []target.Target, req Request) (Selection, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	usable := p.usable(now, candidates, req)
	if len(usable) == 0 {
		return Selection{}, false
	}
	sampled := p.sample(usable, req)
	best := Selection{Score: math.MaxInt64}
	for _, t := range sampled {
		score, cachedTokens := p.score(now, t, req)
		if score < best.Score {
			best = Selection{Target: t, Score: score, CachedTokens: cachedTokens}
		}
	}
	best.Reason = reason(best, len(usable))
	return best, true
}

// reason returns why the target was picked from n usable ones.
func reason(best Selection, n int) string {
	switch {
	case n == 1:
		return "only"
	case best.CachedTokens > 0:
		return "warm"
	}
	return "least"
}

// usable returns the candidates that are not draining, excluded, ejected or reported
// as failed. If only ejected or failed ones are left, it returns one of them, so that
// ejection never leaves a data centre without targets. If all of these are ejected,
// it is the one whose ejection ends first.
func (p *Picker) usable(now time.Time, candidates []target.Target, req Request) []target.Target {
	var available []target.Target
	var earliest target.Target
	var earliestEnd time.Time
	for _, t := range candidates {
		if t.Draining() || req.Exclude != nil && req.Exclude(t.Name()) {
			continue
		}
		s := p.state(t.Name())
		if s.isFailing(now) {
			if earliestEnd.IsZero() || s.ejectedUntil.Before(earliestEnd) {
				earliest, earliestEnd = t, s.ejectedUntil
			}
			continue
		}
		available = append(available, t)
	}
	if len(available) == 0 && earliest.Name() != "" {
		return []target.Target{earliest}
	}
	return available
}

// sample returns two random targets (the power of two choices, Mitzenmacher 2001)
// and the one with the longest cached prefix.
func (p *Picker) sample(usable []target.Target, req Request) []target.Target {
	if len(usable) <= 2 {
		return usable
	}
	i := p.Random(len(usable))
	j := p.Random(len(usable) - 1)
	if j >= i {
		j++
	}
	sampled := []target.Target{usable[i], usable[j]}
	maxBlocks := 0
	var warmest target.Target
	for _, t := range usable {
		if n := p.prefixes.cachedBlocks(t.Name(), req.PrefixHashes); n > maxBlocks {
			maxBlocks, warmest = n, t
		}
	}
	if maxBlocks > 0 {
		sampled = append(sampled, warmest)
	}
	return sampled
}

// score returns the expected time to the first byte at the target, adjusted for
// price, failures and cached tokens, and the number of prompt tokens assumed to be
// cached there.
func (p *Picker) score(now time.Time, t target.Target, req Request) (time.Duration, int) {
	s := p.state(t.Name())
	capacity := float64(t.Capacity()) * s.slowStartFraction(now)
	load := float64(s.load(now))
	overload := max(load+1-capacity, 0) / capacity
	utilization := load / capacity
	score := time.Duration((overload + 0.1*utilization) * float64(typicalRunDuration))
	if now.Sub(s.report.At) < reportTTL {
		score += s.report.QueueWait
	}
	score += s.decayedFirstByte(now)
	score += time.Duration(t.Price() * float64(latencyPerPrice))
	score += time.Duration(s.failures) * failurePenalty
	cachedTokens := p.prefixes.cachedBlocks(t.Name(), req.PrefixHashes) * req.BlockTokens
	score -= time.Duration(cachedTokens) * prefillPerToken
	return score, cachedTokens
}

// load returns the number of requests in flight from this instance plus those of
// other instances by the last report, which counts for reportTTL.
func (s *targetState) load(now time.Time) int {
	others := 0
	if now.Sub(s.report.At) < reportTTL {
		others = max(s.report.Running+s.report.Queued-s.ownAtReport, 0)
	}
	return others + s.ownInFlight
}

// decayedFirstByte returns the average time to the first byte. It decays without
// new samples, so that a target that was slow once is tried again.
func (s *targetState) decayedFirstByte(now time.Time) time.Duration {
	decay := math.Exp(-now.Sub(s.firstByteAt).Seconds() / firstByteDecay.Seconds())
	return time.Duration(s.firstByteSeconds * decay * float64(time.Second))
}

// slowStartFraction returns the fraction of the capacity that the target may use,
// which grows linearly to 1 after a recovery.
func (s *targetState) slowStartFraction(now time.Time) float64 {
	if s.recoveredAt.IsZero() {
		return 1
	}
	fraction := now.Sub(s.recoveredAt).Seconds() / slowStartDuration.Seconds()
	return min(max(fraction, minSlowStartFraction), 1)
}

// Start records that a request is sent to the named target.
func (p *Picker) Start(name string, req Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.state(name).ownInFlight++
	p.prefixes.add(name, req.PrefixHashes)
}

// End records that a request at the named target has ended.
func (p *Picker) End(name string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.state(name)
	s.ownInFlight = max(s.ownInFlight-1, 0)
}

// RecordFirstByte records the time to the first byte of an answer or, for an
// abandoned request, the time that it waited.
func (p *Picker) RecordFirstByte(now time.Time, name string, took time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.state(name)
	if s.firstByteAt.IsZero() {
		s.firstByteSeconds = took.Seconds()
	} else {
		s.firstByteSeconds += firstByteWeight * (took.Seconds() - s.firstByteSeconds)
	}
	s.firstByteAt = now
}

// RecordSuccess records a successful answer of the named target, which ends its ejection.
func (p *Picker) RecordSuccess(now time.Time, name string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.state(name)
	if s.failures >= ejectionThreshold {
		s.recoveredAt = now
	}
	s.failures, s.ejectedUntil = 0, time.Time{}
}

// RecordFailure records a failed request. The target is ejected after
// ejectionThreshold consecutive failures, or at once if hard is true, which means
// that it cannot be reached. The ejection doubles with each further failure, up to
// maxEjection.
func (p *Picker) RecordFailure(now time.Time, name string, hard bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.state(name)
	s.failures++
	if !hard && s.failures < ejectionThreshold {
		return
	}
	s.failures = max(s.failures, ejectionThreshold)
	doublings := min(s.failures-ejectionThreshold, 5)
	s.ejectedUntil = now.Add(min(minEjection<<doublings, maxEjection))
	p.prefixes.forget(name)
}

// FirstByteTimeout returns how long to wait for a first byte before another target
// is tried. It is a multiple of the lowest average time to the first byte among the
// candidates and at most half of left, the time remaining for the request. If no
// candidate has a sample from the last minute, it is a third of left.
func (p *Picker) FirstByteTimeout(now time.Time, candidates []target.Target, left time.Duration) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	fastest := math.Inf(1)
	for _, t := range candidates {
		if s := p.state(t.Name()); s.firstByteSeconds > 0 && now.Sub(s.firstByteAt) < time.Minute {
			fastest = min(fastest, s.firstByteSeconds)
		}
	}
	if math.IsInf(fastest, 1) {
		return left / 3
	}
	timeout := time.Duration(fastest * firstByteTimeoutFactor * float64(time.Second))
	return min(max(timeout, minFirstByteTimeout), left/2)
}

// Capacity returns the free and the total capacity of the usable candidates in
// concurrent requests, according to load reports and the requests of this instance.
func (p *Picker) Capacity(now time.Time, candidates []target.Target) (free, total int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, t := range candidates {
		s := p.state(t.Name())
		if t.Draining() || s.isFailing(now) {
			continue
		}
		total += t.Capacity()
		free += max(t.Capacity()-s.load(now), 0)
	}
	return free, total
}

// FreeSlots returns how many requests may be sent to the candidates now. If all of them are
// ejected or reported as failed, it is one at a time, so that it shows when they are back.
func (p *Picker) FreeSlots(now time.Time, candidates []target.Target) int {
	free, total := p.Capacity(now, candidates)
	if total > 0 {
		return free
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	candidateLeft := false
	for _, t := range candidates {
		if t.Draining() {
			continue
		}
		if p.state(t.Name()).ownInFlight > 0 {
			return 0
		}
		candidateLeft = true
	}
	if candidateLeft {
		return 1
	}
	return 0
}

// Defer records that the named target wants no requests of this instance for d from now
// on. A shorter time does not end a longer one.
func (p *Picker) Defer(now time.Time, name string, d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if s := p.state(name); s.deferredUntil.Before(now.Add(d)) {
		s.deferredUntil = now.Add(d)
	}
}

// DeferralLeft returns the time until the named target wants requests again, 0 if it does
// now. Pick does not consider it: deferred targets must not be among its candidates.
func (p *Picker) DeferralLeft(now time.Time, name string) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return max(p.state(name).deferredUntil.Sub(now), 0)
}

// Load returns the number of requests that Pick assumes at the named target.
func (p *Picker) Load(now time.Time, name string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.state(name).load(now)
}

// state returns the state of the named target and creates it if necessary.
func (p *Picker) state(name string) *targetState {
	if p.states == nil {
		p.states = make(map[string]*targetState)
	}
	s, ok := p.states[name]
	if !ok {
		s = &targetState{}
		p.states[name] = s
	}
	return s
}
