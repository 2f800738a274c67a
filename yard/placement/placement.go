// Package placement chooses the target of a request: the one that is expected
// to answer first, from what this instance and its peers have open there, what
// the target has likely cached, and how it answered of late.
package placement

import (
	"maps"
	"math"
	"slices"
	"sync"
	"time"

	"chervilyard.example/yard/service"
	"chervilyard.example/yard/target"
)

const (
	// cached is how long a prompt part is taken to stay in a target's memory
	// after its last use.
	cached = 12 * time.Second
	// ejectFirst and ejectMost bound the time for which a failing target is
	// left out; it doubles with each failure in a row.
	ejectFirst = 300 * time.Millisecond
	ejectMost  = 5 * time.Second
	// failLearning is the weight of one failure, and failHalf the time in which
	// failures fade by half.
	failLearning = 0.25
	failHalf     = 3 * time.Second
	// learning is the weight of the newest sample in moving averages.
	learning = 0.1
	// failurePenalty is how many times the typical wait for a first byte a
	// certain failure costs.
	failurePenalty = 4
	// affinity is how many times the reading that a hit saves may be spent on
	// waiting for it: what is read again delays others there, too.
	affinity = 12
	// crowded is how many times longer a prompt counts at a target whose slots are
	// all in use: the streams there wait while it is read.
	crowded = 2.0
	// pauseHalf is the time in which a target's longest pause fades by half.
	pauseHalf = time.Second
	// pauseFree is the part of the longest pause allowed that costs nothing, and
	// pauseCost the milliseconds that a pause as long as allowed weighs: more
	// prompts there would make every stream late.
	pauseFree = 0.25
	pauseCost = 600.0
	// forgetTime is how long a target that is no longer listed is remembered.
	forgetTime = time.Minute
	// peerNews is how long the loads that a peer told are counted.
	peerNews = 1500 * time.Millisecond
	// firstGuess of milliseconds to read one prompt token and of an answer's
	// time, replaced by the first samples.
	guessPerToken = 0.01
	guessAnswer   = 50.0
)

// Part is one part of a prompt, shared by requests with the same identifier.
type Part struct {
	ID     string
	Tokens int
}

// Request is what a choice depends on.
type Request struct {
	Service service.Service
	Prompt  int // tokens
	Output  int // tokens at most
	Parts   []Part
	Gap     time.Duration // longest pause between pieces that is on time; 0 where none is asked
	Tried   []string      // targets to leave out
	Home    string        // the target that all instances prefer for the shared parts; "" where there is none
}

// Estimate is what a request may expect at a place.
type Estimate struct {
	Wait time.Duration // until its first byte
	Cost time.Duration // the same, less what a prompt's parts that are held there are worth
}

// Fleet is how the instances that send to the same targets share a cold
// target's pace.
type Fleet struct {
	Size  int // instances of the region
	Rank  int // of this one among them
	Over  float64
	Fixed float64
}

// Load is what one instance has open at a target.
type Load struct {
	Target  string
	Open    int
	Waiting int // prompt tokens of requests without a first event
	Memory  int // prompt and output tokens of open requests
}

// Picker holds what is known of the region's targets. The zero value is ready
// to use. It is safe for concurrent use.
type Picker struct {
	mu      sync.Mutex
	targets map[string]*state
	peers   map[string]peerLoads
	reading map[string]*line         // milliseconds to the first byte by prompt tokens, by service
	answers map[string]float64       // milliseconds an answer, by service
	gaps    map[string]time.Duration // the shortest pause that is asked for, by service
}

// Learn takes in a list of targets, read at the given time or later and written by
// each of them within a report's interval before its arrival: how long each stays
// cold, which counts from then, and which started anew.
func (p *Picker) Learn(read, arrived time.Time, report time.Duration, targets []target.Target) {
	p.mu.Lock()
	defer p.mu.Unlock()
	listed := make(map[string]bool, len(targets))
	for _, t := range targets {
		listed[t.Name()] = true
		s := p.state(t.Name())
		s.seen = read
		if s.run != t.Run() {
			*s = state{run: t.Run(), seen: read, open: s.open, proving: s.proving, waiting: s.waiting, memory: s.memory, window: s.window}
		}
		if t.Cold() > 0 {
			s.coldUntil = arrived.Add(t.Cold())
		}
		if !s.suspect.IsZero() && read.Sub(s.suspect) > report {
			s.suspect = time.Time{}
		}
	}
	for name, s := range p.targets {
		// A target that is missing for a moment may come back as cold as it was.
		if !listed[name] && s.open == 0 && read.Sub(s.seen) > forgetTime {
			delete(p.targets, name)
		}
	}
}

// Hear takes in what a peer has open at the region's targets.
func (p *Picker) Hear(now time.Time, peer string, loads []Load) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.peers == nil {
		p.peers = make(map[string]peerLoads)
	}
	byTarget := make(map[string]Load, len(loads))
	for _, l := range loads {
		byTarget[l.Target] = l
	}
	p.peers[peer] = peerLoads{at: now, loads: byTarget}
	maps.DeleteFunc(p.peers, func(_ string, l peerLoads) bool { return now.Sub(l.at) > forgetTime })
}

// Loads returns what this instance has open, for its peers.
func (p *Picker) Loads() []Load {
	p.mu.Lock()
	defer p.mu.Unlock()
	var list []Load
	for name, s := range p.targets {
		if s.open > 0 {
			list = append(list, Load{Target: name, Open: s.open, Waiting: s.waiting, Memory: s.memory})
		}
	}
	slices.SortFunc(list, func(a, b Load) int {
		if a.Target < b.Target {
			return -1
		}
		return 1
	})
	return list
}

// Choose returns a ticket for the target that is expected to answer first, or
// nil where none may be used now.
func (p *Picker) Choose(now time.Time, candidates []target.Target, r Request, fleet Fleet) *Ticket {
	p.mu.Lock()
	defer p.mu.Unlock()
	best, e := p.best(now, candidates, r, fleet)
	if best == nil {
		return nil
	}
	return p.issue(now, *best, r, e.Wait, fleet)
}

// Best returns the estimate for the best of the candidates, and false where none
// may be used now.
func (p *Picker) Best(now time.Time, candidates []target.Target, r Request, fleet Fleet) (Estimate, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	best, e := p.best(now, candidates, r, fleet)
	return e, best != nil
}

// best returns the candidate with the least cost.
func (p *Picker) best(now time.Time, candidates []target.Target, r Request, fleet Fleet) (*target.Target, Estimate) {
	var best *target.Target
	least, leastCost := math.Inf(1), math.Inf(1)
	for i := range candidates {
		t := &candidates[i]
		if slices.Contains(r.Tried, t.Name()) || !p.usable(now, t, r, fleet) {
			continue
		}
		hit := p.hit(now, p.state(t.Name()), r.Parts, t.Name() == r.Home)
		wait := p.queue(now, t, r) + p.own(r, r.Prompt-hit)*p.state(t.Name()).pace()
		if cost := wait - p.saved(r, hit)*affinity; cost < leastCost {
			best, least, leastCost = t, wait, cost
		}
	}
	if best == nil {
		return nil, Estimate{}
	}
	return best, Estimate{Wait: milliseconds(least), Cost: milliseconds(leastCost)}
}

// Room returns how long a request of the service would wait for those before
// it, and false where no target may be used now.
func (p *Picker) Room(now time.Time, candidates []target.Target, s service.Service, fleet Fleet) (time.Duration, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	least := math.Inf(1)
	r := Request{Service: s}
	for i := range candidates {
		if t := &candidates[i]; p.usable(now, t, r, fleet) {
			least = min(least, p.queue(now, t, r))
		}
	}
	if math.IsInf(least, 1) {
		return 0, false
	}
	return milliseconds(least), true
}

// issue counts the request at the target.
func (p *Picker) issue(now time.Time, t target.Target, r Request, wait time.Duration, fleet Fleet) *Ticket {
	s := p.state(t.Name())
	cold := p.cold(now, s)
	if cold {
		s.window.Take(now, p.coldLimit(r, fleet))
	}
	k := &Ticket{
		paced:  cold,
		picker: p, target: t, service: r.Service.Name(), sent: now, expected: wait,
		fresh: max(r.Prompt-p.hit(now, s, r.Parts, false), 0), memory: r.Prompt + r.Output, model: r.Service.Slots() > 0,
	}
	if r.Gap > 0 {
		p.learnGap(k.service, r.Gap)
	}
	_, k.ahead, _ = p.total(now, t.Name(), s)
	s.open++
	if k.proves = s.failures > 0; k.proves {
		s.proving++
	}
	s.waiting += k.fresh
	s.memory += k.memory
	for _, part := range r.Parts {
		if s.parts == nil {
			s.parts = make(map[string]time.Time)
		}
		s.parts[part.ID] = now
	}
	if len(s.parts) > maxParts {
		forget(s.parts, now)
	}
	return k
}
