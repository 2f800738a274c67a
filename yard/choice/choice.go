// Package choice picks the target of a request from lagged load reports, the
// instance's own requests in flight, prefix warmth, price and past failures.
package choice

import (
	"math"
	"sync"
	"time"

	"chervilyard.example/yard/target"
)

const (
	tokenPrefill  = 200 * time.Microsecond // prefill time that a warm prompt token saves
	priceWeight   = 20 * time.Millisecond  // what one unit of price counts
	firstByteMemo = 0.2                    // weight of a new first-byte time in the average
	ejectAfter    = 3                      // failures in a row
	ejectFirst    = time.Second
	ejectMost     = 30 * time.Second
	slowStart     = 10 * time.Second
	slowStartMin  = 0.1             // part of the capacity that a recovered target starts with
	reportLife    = 5 * time.Second // after which a report says nothing
	failPenalty   = 500 * time.Millisecond
	patienceLow   = 500 * time.Millisecond
	patienceTimes = 8
	latencyLife   = 15 * time.Second // after which an unused slow target is tried again
	runTime       = 400 * time.Millisecond
)

// Report is a target's load as its poller saw it.
type Report struct {
	At      time.Time
	Running int
	Queued  int
	Wait    time.Duration // that the target expects a new request to queue
	Failed  bool
}

// Request is what a choice depends on.
type Request struct {
	Prefix  []uint64 // chained hashes of the prompt's blocks, from the start
	Block   int      // tokens of one block
	Exclude func(target string) bool
}

// Picked is a decision and what it rested on.
type Picked struct {
	Target target.Target
	Reason string
	Score  time.Duration
	Warm   int // prompt tokens believed to be cached
}

// Picker chooses among the targets of one data centre. Random returns numbers
// below n; it has to be set. It is safe for concurrent use.
type Picker struct {
	Random func(n int) int

	mu     sync.Mutex
	states map[string]*state
	warm   warmth
}

type state struct {
	report    Report
	ownAtRead int // own requests in flight when the report was read
	own       int
	first     float64 // average seconds to the first byte; 0 for unknown
	firstAt   time.Time
	failures  int
	ejected   time.Time // until
	recovered time.Time // since
}

// Learn takes in a load report. An older report changes nothing.
func (p *Picker) Learn(name string, r Report) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.state(name)
	if !r.At.After(s.report.At) {
		return
	}
	if s.report.Failed && !r.Failed {
		s.recovered = r.At
		p.warm.forget(name)
	}
	s.report = r
	s.ownAtRead = s.own
}

// Pick returns the best of the candidates, or false where none may be used.
func (p *Picker) Pick(now time.Time, candidates []target.Target, req Request) (Picked, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	usable := p.usable(now, candidates, req)
	if len(usable) == 0 {
		return Picked{}, false
	}
	drawn := p.draw(usable, req)
	best := Picked{Score: math.MaxInt64}
	for _, t := range drawn {
		score, warm := p.score(now, t, req)
		if score < best.Score {
			best = Picked{Target: t, Score: score, Warm: warm}
		}
	}
	best.Reason = reason(best, len(usable))
	return best, true
}

func reason(b Picked, n int) string {
	switch {
	case n == 1:
		return "only"
	case b.Warm > 0:
		return "warm"
	}
	return "least"
}

// usable leaves out ejected, excluded and leaving targets. Where all are
// ejected, the one whose time is over first is used, so that ejection never
// empties a data centre.
func (p *Picker) usable(now time.Time, candidates []target.Target, req Request) []target.Target {
	var good []target.Target
	var soonest target.Target
	var until time.Time
	for _, t := range candidates {
		if t.Leaving() || req.Exclude != nil && req.Exclude(t.Name()) {
			continue
		}
		s := p.state(t.Name())
		if now.Before(s.ejected) || s.report.Failed && now.Sub(s.report.At) < reportLife {
			if until.IsZero() || s.ejected.Before(until) {
				soonest, until = t, s.ejected
			}
			continue
		}
		good = append(good, t)
	}
	if len(good) == 0 && soonest.Name() != "" {
		return []target.Target{soonest}
	}
	return good
}

// draw returns two random targets (Mitzenmacher, 2001) and the warmest.
func (p *Picker) draw(usable []target.Target, req Request) []target.Target {
	if len(usable) <= 2 {
		return usable
	}
	i := p.Random(len(usable))
	j := p.Random(len(usable) - 1)
	if j >= i {
		j++
	}
	drawn := []target.Target{usable[i], usable[j]}
	most := 0
	var warmest target.Target
	for _, t := range usable {
		if n := p.warm.blocks(t.Name(), req.Prefix); n > most {
			most, warmest = n, t
		}
	}
	if most > 0 {
		drawn = append(drawn, warmest)
	}
	return drawn
}

// score is the time to the first byte that the target is expected to take.
func (p *Picker) score(now time.Time, t target.Target, req Request) (time.Duration, int) {
	s := p.state(t.Name())
	capacity := float64(t.Capacity()) * s.ramp(now)
	load := float64(s.load(now))
	over := max(load+1-capacity, 0) / capacity
	busy := load / capacity
	score := time.Duration((over + 0.1*busy) * float64(runTime))
	if now.Sub(s.report.At) < reportLife {
		score += s.report.Wait
	}
	score += s.expected(now)
	score += time.Duration(t.Price() * float64(priceWeight))
	score += time.Duration(s.failures) * failPenalty
	warm := p.warm.blocks(t.Name(), req.Prefix) * req.Block
	score -= time.Duration(warm) * tokenPrefill
	return score, warm
}

// load is what others have there by the last report, and the own requests.
func (s *state) load(now time.Time) int {
	others := 0
	if now.Sub(s.report.At) < reportLife {
		others = max(s.report.Running+s.report.Queued-s.ownAtRead, 0)
	}
	return others + s.own
}

// expected is the average first-byte time, which fades when it is not renewed,
// so that a target that was slow once is tried again.
func (s *state) expected(now time.Time) time.Duration {
	fade := math.Exp(-now.Sub(s.firstAt).Seconds() / latencyLife.Seconds())
	return time.Duration(s.first * fade * float64(time.Second))
}

func (s *state) ramp(now time.Time) float64 {
	if s.recovered.IsZero() {
		return 1
	}
	part := now.Sub(s.recovered).Seconds() / slowStart.Seconds()
	return min(max(part, slowStartMin), 1)
}

// Start notes that a request goes to the target.
func (p *Picker) Start(name string, req Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.state(name).own++
	p.warm.add(name, req.Prefix)
}

// End notes that a request at the target is over.
func (p *Picker) End(name string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.state(name)
	s.own = max(s.own-1, 0)
}

// First notes how long the first byte of an answer took. For a request that
// was given up on, it is the time that was waited.
func (p *Picker) First(now time.Time, name string, took time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.state(name)
	if s.firstAt.IsZero() {
		s.first = took.Seconds()
	} else {
		s.first += firstByteMemo * (took.Seconds() - s.first)
	}
	s.firstAt = now
}

// Succeed notes an answer without fault.
func (p *Picker) Succeed(now time.Time, name string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.state(name)
	if s.failures >= ejectAfter {
		s.recovered = now
	}
	s.failures = 0
}

// Fail notes a failed request, and ejects the target after several in a row or
// at once where hard says that it cannot be reached.
func (p *Picker) Fail(now time.Time, name string, hard bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.state(name)
	s.failures++
	if !hard && s.failures < ejectAfter {
		return
	}
	s.failures = max(s.failures, ejectAfter)
	doublings := min(s.failures-ejectAfter, 5)
	s.ejected = now.Add(min(ejectFirst<<doublings, ejectMost))
	p.warm.forget(name)
}

// Patience returns how long to wait for a first byte before another target is
// tried, from what first bytes usually take at the others.
func (p *Picker) Patience(now time.Time, candidates []target.Target, left time.Duration) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	least := math.Inf(1)
	for _, t := range candidates {
		if s := p.state(t.Name()); s.first > 0 && now.Sub(s.firstAt) < time.Minute {
			least = min(least, s.first)
		}
	}
	if math.IsInf(least, 1) {
		return left / 3
	}
	usual := time.Duration(least * patienceTimes * float64(time.Second))
	return min(max(usual, patienceLow), left/2)
}

// Free returns how many more requests the candidates take at once, and how
// many they take in all, by reports and own requests.
func (p *Picker) Free(now time.Time, candidates []target.Target) (free, all int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, t := range candidates {
		s := p.state(t.Name())
		if t.Leaving() || now.Before(s.ejected) || s.report.Failed && now.Sub(s.report.At) < reportLife {
			continue
		}
		all += t.Capacity()
		free += max(t.Capacity()-s.load(now), 0)
	}
	return free, all
}

// Load returns the target's load as the next decision sees it.
func (p *Picker) Load(now time.Time, name string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.state(name).load(now)
}

func (p *Picker) state(name string) *state {
	if p.states == nil {
		p.states = make(map[string]*state)
	}
	s, ok := p.states[name]
	if !ok {
		s = &state{}
		p.states[name] = s
	}
	return s
}
