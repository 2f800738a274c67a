// Package placement chooses the target of a request: the one with the lowest
// expected cost, estimated from the requests that this instance and its peers have
// open there, the prompt parts that it has probably cached, and its recent latency
// and failures.
package placement

import (
	"cmp"
	"iter"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"chervilyard.example/yard/coldlimit"
	"chervilyard.example/yard/outlier"
	"chervilyard.example/yard/rendezvous"
	"chervilyard.example/yard/sentcount"
	"chervilyard.example/yard/service"
	"chervilyard.example/yard/target"
	"chervilyard.example/yard/warmup"
)

const (
	// cacheRetention is how long after its last use a prompt part is assumed to
	// stay in the cache of a target.
	cacheRetention = 12 * time.Second
	// minEjection and maxEjection bound the duration of an ejection, which doubles
	// with each consecutive one.
	minEjection = 300 * time.Millisecond
	maxEjection = 5 * time.Second
	// failureWeight is the weight of one failure in the failure rate, which
	// decays with failureHalfLife.
	failureWeight   = 0.25
	failureHalfLife = 3 * time.Second
	// successWeight is the weight of one success in the failure rate.
	successWeight = 0.1
	// distinctFactor is the ratio of durations from which a target counts as faster or slower
	// than its service.
	distinctFactor = 2
	// minGapTTL is how long the smallest allowed pause of a service counts after the last
	// request that had it.
	minGapTTL = 10 * time.Second
	// failurePenalty is the cost of a certain failure, in multiples of the time
	// to the first byte of an empty prompt or, for a plain service, of the
	// average duration of an answer.
	failurePenalty = 4
	// affinityFactor is how much queueing time a cache hit is worth in addition
	// to the prefill time that it saves, in multiples of that time. It is above 1
	// because repeated prefill also delays other requests at the target that does
	// it.
	affinityFactor = 12
	// crowdingFactor is the additional cost of a request at a target with all
	// slots in use, in multiples of its processing time, because the streams
	// there stall during its prefill.
	crowdingFactor = 2.0
	// pauseHalfLife is the half-life of the longest recent pause of a target.
	pauseHalfLife = time.Second
	// freePauseFraction is the fraction of the allowed pause that carries no
	// penalty. A pause as long as allowed costs pauseCostMS, because more prompts
	// at that target would make all its streams late.
	freePauseFraction = 0.25
	pauseCostMS       = 600.0
	// minSharers is the number of instances of a region from which each chooses from a
	// random sample of the targets. So many would all choose the same target by the same
	// reports, until newer ones show what they sent there.
	minSharers = 9
	// maxSample is the number of targets in a sample.
	maxSample = 2
	// entryIntervals is the number of report intervals for which the entry of a target that
	// does not refresh it stays listed.
	entryIntervals = 3
	// stateTTL is how long the state of a target that is no longer listed is kept.
	stateTTL = time.Minute
	// peerLoadTTL is how long the load report of a peer counts.
	peerLoadTTL = 1500 * time.Millisecond
	// othersLoadTTL is how long a report on the load of all other instances counts.
	othersLoadTTL = 600 * time.Millisecond
	// defaultPerTokenMS and defaultAnswerMS are the milliseconds to process one
	// prompt token and to answer a request, used until there are samples.
	// defaultAnswerMS also stands for the time to the first byte of an empty prompt.
	defaultPerTokenMS = 0.01
	defaultAnswerMS   = 50.0
)

// Part is one part of a prompt. Parts with the same ID have the same content.
type Part struct {
	ID     string
	Tokens int
}

// Request holds the properties of a request that the choice of a target depends on.
type Request struct {
	Service         service.Service
	PromptTokens    int
	MaxOutputTokens int
	Parts           []Part        // in the order of the prompt; all but the last may be shared with other requests
	MaxEventGap     time.Duration // longest allowed pause between events of a stream; 0 means no limit
	Exclude         []string      // names of targets to exclude
	Repeatable      bool          // another target may run it if this one fails
	PreferredTarget string        // name of the first target that PreferredTargets returns for the prompt; "" if there is none
	OverflowTarget  string        // name of the second; "" if there is none
	// Lesser is set if the request is less urgent than others of the service. Such requests hold
	// a part of the slots of an engine only; see package classmix.
	Lesser bool
	// WaitLimit is the longest acceptable expected wait for the first byte; 0 means no limit.
	// Targets that exceed it are chosen only if all do.
	WaitLimit time.Duration
}

// Estimate is the expected latency and cost of a request at a target or in a region.
type Estimate struct {
	Wait time.Duration // until the first byte
	Cost time.Duration // Wait minus the value of the cached prompt parts; it may be negative
}

// Position is the position of an instance among those of its region.
type Position struct {
	Instances int // number of instances in the region; 0 allows no requests to cold targets
	Rank      int // index of this instance among them, from 0
	// Unaware is the number of other instances that may not know this one yet, and may
	// divide the limit by fewer than they would otherwise.
	Unaware int
	// Members orders the instances for each target. If it is nil, they have the same order for
	// all targets, by Rank.
	Members *rendezvous.Set
}

// sparePlaces is the number of requests of a limit that nobody has where an instance that joins
// takes the place of another one, which may not know it and goes on sending.
const sparePlaces = 1

// limit returns the share of a limit of perSecond requests per second at the named target. If
// there are more instances than requests, the first of them for the target have one each.
func (p Position) limit(perSecond float64, targetName string) int {
	switch places, ok := p.places(perSecond); {
	case ok && (p.Unaware > sparePlaces || p.Members.Rank(targetName) >= places):
		return 0
	case ok:
		return 1
	case p.Unaware > 0 && p.Instances <= int(perSecond):
		return 0
	}
	return coldlimit.InstanceLimit(perSecond, p.Instances, p.Rank)
}

// places returns the number of instances that have a share of one request at each target, and
// false if all have one or the same have one at all targets.
func (p Position) places(perSecond float64) (int, bool) {
	return int(perSecond) - sparePlaces, p.Members != nil && p.Instances > int(perSecond)
}

// ColdShare describes how the instances of a region share the rate limit of a cold
// target, which is the rate of its service times RateFactor, plus ExtraRequests.
type ColdShare struct {
	Position
	Earlier       []Position // recent ones, whose shares bound that of the present one
	RateFactor    float64
	ExtraRequests float64 // requests per second
	// Unproved is set while the target list, or that of evacuations, is so old that warm
	// targets may have become cold since.
	Unproved bool
}

// PerSecond returns the rate limit of a cold target of the service.
func (c ColdShare) PerSecond(s service.Service) float64 {
	return s.ColdRequestsPerSecond()*c.RateFactor + c.ExtraRequests
}

// Holders returns the names of the instances that have a share of the rate limit of the named
// target, in the order for that target, or nil if they are not known.
func (c ColdShare) Holders(targetName string, s service.Service) []string {
	if c.Members == nil {
		return nil
	}
	n := c.Instances
	if places, ok := c.places(c.PerSecond(s)); ok {
		n = places
	}
	return c.Members.First(targetName, n)
}

// Load is the load that the open requests of one instance put on a target.
type Load struct {
	Target        string
	Open          int
	WaitingTokens int // prompt tokens of requests that wait for their first byte
	MemoryTokens  int // prompt and output tokens of open requests
	LesserOpen    int // of Open, requests with Request.Lesser
	LesserWaiting int // of WaitingTokens, those of such requests
	// Sent is the number of prompt tokens that the reporter, or all instances that a hub counts,
	// ever sent to the target, modulo 2^32.
	Sent uint32
	// Samples is the number of times to a first byte in the last slowdownWindow, and RatioSum the
	// sum of the logarithms of their ratios to the expected ones, in hundredths.
	Samples, RatioSum int
	Answered          int // requests that were answered in the last second
	Failed            int // requests that failed there in the last second

	uncounted int // of WaitingTokens, those that no Sent counts, as older versions report none
}

// Picker holds the state of the region's targets and chooses among them. The zero
// value is ready to use. It is safe for concurrent use.
type Picker struct {
	mu           sync.Mutex
	targets      map[string]*targetState
	peers        map[string]peerLoads
	peerTotals   map[string]Load // sums over the peers whose reports count, by target
	peerExpiry   time.Time       // no report of a peer expires before
	others       map[string]Load // of all other instances, as a hub reported it, by target
	othersAt     time.Time       // when that report arrived
	services     map[string]*serviceState
	listedAt     time.Time            // when the last list of targets was requested
	reserved     map[string]bool      // see ReserveForChecks
	readmitted   map[string]time.Time // when a data centre last got requests again
	sent         sentcount.Ledger
	outliers     outlier.Detector
	assessment   *outlier.Assessment // of the service of the present choice; see assess
	lesserLimits classLimits         // of the service of the present choice, if it is one of a lesser request
	leftOut      map[string]bool     // ejected targets that the present choice leaves out

	// Random returns a random number from 0 up to n. If it is nil, the functions of
	// math/rand are used. It must not be changed after first use.
	Random func(n int) int
	// RateLimit reports whether the target has a rate limit, and the time after which it is
	// worth asking for a permit to send it a request. If it is nil, no target has a limit. It
	// must not be changed after first use and must not call methods of the Picker.
	RateLimit func(now time.Time, t target.Target) (wait time.Duration, limited bool)
	// OnLimitReached is called when a request has been sent to the named target and no more may
	// be until a later report proves that it is warm. It may be nil, must not be changed after
	// first use and must not call methods of the Picker.
	OnLimitReached func(name string)
	// OnSuspected is called when a suspicion begins that a target has restarted, with the
	// outcome that raised it, and OnDismissed when a target list ends one. They may be nil,
	// must not be changed after first use and must not call methods of the Picker.
	OnSuspected func(now time.Time, name string, o Outcome)
	OnDismissed func(now time.Time, name string)
	// OnOutlier is called when a target is ejected because its requests fail far more often
	// than those of the others, and when it returns. It may be nil, must not be changed after
	// first use and must not call methods of the Picker.
	OnOutlier func(now time.Time, c outlier.Change)
}

// UpdateTargets updates the state from a new list of targets that was requested at readAt and
// received at receivedAt. Each target refreshes its entry every reportInterval, so what the
// list says held at some time from reportInterval before readAt until receivedAt. A target with
// a later run keeps only its load and the requests that count against its cold limit.
func (p *Picker) UpdateTargets(readAt, receivedAt time.Time, reportInterval time.Duration, targets []target.Target) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.listedAt = readAt
	for _, t := range targets {
		s := p.state(t.Name())
		s.lastListed, s.centre = readAt, t.Centre()
		report := warmup.Report{Earliest: readAt.Add(-reportInterval), Latest: receivedAt}
		if t.ColdRemaining() > 0 {
			report.ColdUntil = receivedAt.Add(t.ColdRemaining())
		}
		if t.RunID() < s.run {
			s.warmup.ListOlder(report)
			continue
		}
		if s.run != t.RunID() {
			p.outliers.Forget(t.Name())
			*s = targetState{
				run: t.RunID(), service: s.service, centre: t.Centre(), runListed: receivedAt, lastListed: readAt, lastSuspected: s.lastSuspected,
				open: s.open, lesserOpen: s.lesserOpen, lesserWaiting: s.lesserWaiting, probing: s.probing, waitingTokens: s.waitingTokens, memoryTokens: s.memoryTokens, window: s.window,
			}
		}
		s.warmup.List(report)
		s.recordCold(report)
		p.dismiss(readAt, receivedAt, reportInterval, t.Name(), s)
	}
	for name, s := range p.targets {
		// A target that is briefly missing from the list may still be cold when it returns.
		if s.open == 0 && readAt.Sub(s.lastListed) > stateTTL {
			delete(p.targets, name)
			p.outliers.Forget(name)
			p.sent.Forget(name)
		}
	}
}

// ConfirmTargets records that the list of targets last passed to UpdateTargets is still the
// newest, as of readAt.
func (p *Picker) ConfirmTargets(readAt, now time.Time, reportInterval time.Duration, targets []target.Target) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.listedAt = readAt
	for _, t := range targets {
		s := p.state(t.Name())
		if s.run != t.RunID() {
			continue
		}
		s.lastListed = readAt
		s.warmup.ConfirmListed(readAt.Add(-reportInterval))
		p.dismiss(readAt, now, reportInterval, t.Name(), s)
	}
}

// dismiss ends the suspicion that a listed target has restarted if the list was requested so
// late that it can have no entry from before: that of a silent target stays for
// entryIntervals. The caller must hold p.mu.
func (p *Picker) dismiss(readAt, now time.Time, reportInterval time.Duration, name string, s *targetState) {
	if s.warmup.Dismiss(readAt.Add(-entryIntervals*reportInterval)) && p.OnDismissed != nil {
		p.OnDismissed(now, name)
	}
}

// Readmit records that a data centre gets requests again from now on. Its targets may have
// become cold while they got none, so they count as cold until something newer is known of
// them.
func (p *Picker) Readmit(now time.Time, centre string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.readmitted == nil {
		p.readmitted = make(map[string]time.Time)
	}
	p.readmitted[centre] = now
}

// UpdatePeerLoads replaces the loads that a peer reported at a time for the region's targets.
func (p *Picker) UpdatePeerLoads(now, written time.Time, peer string, loads []Load) {
	p.mu.Lock()
	defer p.mu.Unlock()
	add := p.addSent(now)
	if now.Sub(p.othersAt) <= othersLoadTTL {
		add = func(string, int, time.Time) {} // hubs tell what the peer sends
	}
	p.sent.HearPeer(written, peer, sums(loads), add)
	if p.peers == nil {
		p.peers, p.peerTotals = make(map[string]peerLoads), make(map[string]Load)
	}
	p.expirePeers(now)
	p.addToTotals(p.peers[peer].loads, -1)
	report := peerLoads{at: now, loads: slices.Clone(loads)}
	for i := range report.loads {
		report.loads[i].setUncounted()
	}
	p.addToTotals(report.loads, 1)
	p.peers[peer] = report
	p.outliers.Report(now, peer, outcomes(loads))
}

// UpdateOtherLoads replaces the load of all other instances on the region's targets, which
// a hub reported at a time. While it is recent, it counts in place of the reports of peers.
func (p *Picker) UpdateOtherLoads(now, written time.Time, hub string, loads []Load) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sent.HearHub(written, hub, sums(loads), p.addSent(now))
	if p.others == nil {
		p.others = make(map[string]Load, len(loads))
	}
	clear(p.others)
	for _, l := range loads {
		l.setUncounted()
		p.others[l.Target] = l
	}
	p.othersAt = now
	p.outliers.ReportOthers(now, outcomes(loads))
}

// sums returns the tokens sent to each target by the loads that tell them.
func sums(loads []Load) iter.Seq2[string, uint32] {
	return func(yield func(string, uint32) bool) {
		for i := range loads {
			if loads[i].Sent != 0 && !yield(loads[i].Target, loads[i].Sent) {
				return
			}
		}
	}
}

// addSent returns a function that adds tokens, which others sent to a target at a time, to its
// queue. The caller must hold p.mu while it is used.
func (p *Picker) addSent(now time.Time) func(target string, tokens int, sentAt time.Time) {
	return func(target string, tokens int, sentAt time.Time) {
		if s := p.targets[target]; s != nil {
			s.queue.Add(now, sentAt, tokens, p.readMS(now, target, s))
		}
	}
}

// LoadsWithout returns the loads of the peers but the named one, and those of this instance of
// the targets for which include returns true, sorted by target.
func (p *Picker) LoadsWithout(now time.Time, peer string, include func(targetName string) bool) []Load {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.expirePeers(now)
	totals := maps.Clone(p.peerTotals)
	if totals == nil {
		totals = make(map[string]Load)
	}
	for _, l := range p.peers[peer].loads {
		totals[l.Target] = totals[l.Target].add(l, -1)
	}
	for name, s := range p.targets {
		if (s.open > 0 || p.sent.Active(now, name)) && include(name) {
			totals[name] = totals[name].add(s.load(now, name), 1)
		}
	}
	maps.DeleteFunc(totals, func(name string, l Load) bool { return l.Open <= 0 && !p.sent.Active(now, name) })
	for name, l := range totals {
		l.Sent = p.sent.Without(peer, name)
		totals[name] = l
	}
	for name, c := range p.outliers.Without(now, peer, include) {
		totals[name] = totals[name].withOutcomes(c)
	}
	return sortLoads(slices.Collect(maps.Values(totals)))
}

// expirePeers drops the reports that are older than peerLoadTTL. The caller must hold p.mu.
func (p *Picker) expirePeers(now time.Time) {
	if !now.After(p.peerExpiry) {
		return
	}
	p.peerExpiry = now.Add(peerLoadTTL)
	for name, l := range p.peers {
		if now.Sub(l.at) > peerLoadTTL {
			p.addToTotals(l.loads, -1)
			delete(p.peers, name)
		} else if expiry := l.at.Add(peerLoadTTL); expiry.Before(p.peerExpiry) {
			p.peerExpiry = expiry
		}
	}
}

// addToTotals adds a multiple of the loads to the sums over the peers. The caller must hold
// p.mu.
func (p *Picker) addToTotals(loads []Load, factor int) {
	for _, l := range loads {
		if sum := p.peerTotals[l.Target].add(l, factor); sum.Open != 0 || sum.WaitingTokens != 0 || sum.MemoryTokens != 0 || sum.Samples != 0 {
			p.peerTotals[l.Target] = sum
		} else {
			delete(p.peerTotals, l.Target)
		}
	}
}

// add returns the load of the target of other with a multiple of other added, but for Sent and
// the outcomes.
func (l Load) add(other Load, factor int) Load {
	return Load{
		Target: other.Target, Open: l.Open + factor*other.Open,
		WaitingTokens: l.WaitingTokens + factor*other.WaitingTokens, MemoryTokens: l.MemoryTokens + factor*other.MemoryTokens,
		LesserOpen: l.LesserOpen + factor*other.LesserOpen, LesserWaiting: l.LesserWaiting + factor*other.LesserWaiting,
		Samples: l.Samples + factor*other.Samples, RatioSum: l.RatioSum + factor*other.RatioSum,
		uncounted: l.uncounted + factor*other.uncounted,
	}
}

func (l *Load) setUncounted() {
	if l.Sent == 0 {
		l.uncounted = l.WaitingTokens
	}
}

// Loads returns the loads of the targets with open or recent requests of this instance, sorted
// by target.
func (p *Picker) Loads(now time.Time) []Load {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := make([]Load, 0, len(p.targets))
	for name, s := range p.targets {
		if s.open > 0 || p.sent.Active(now, name) {
			l := s.load(now, name)
			l.Sent = p.sent.Own(name)
			list = append(list, l)
		}
	}
	return addOutcomes(sortLoads(list), p.outliers.Own(now))
}

func sortLoads(list []Load) []Load {
	slices.SortFunc(list, func(a, b Load) int { return cmp.Compare(a.Target, b.Target) })
	return list
}

// Choose picks the candidate with the lowest expected cost, of a sample if many instances
// choose among them, and returns a ticket for it, or nil if no candidate is usable now.
func (p *Picker) Choose(now time.Time, candidates []target.Target, r Request, coldShare ColdShare) *Ticket {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.assess(now, candidates, r, coldShare)
	if ticket := p.chooseEjected(now, candidates, r, coldShare); ticket != nil {
		return ticket
	}
	best, e := p.best(now, p.sample(now, candidates, r, coldShare), r, coldShare)
	if best != nil && r.WaitLimit > 0 && e.Wait > r.WaitLimit {
		best, e = p.best(now, candidates, r, coldShare) // the sample has none in time
	}
	if best == nil {
		return nil
	}
	ticket := p.newTicket(now, *best, r, e.Wait, coldShare)
	ticket.preferredMissed = p.whyNotPreferred(now, candidates, r, coldShare, best.Name())
	if _, ticket.limited = p.rateLimit(now, best); ticket.limited {
		unlimited := slices.DeleteFunc(slices.Clone(candidates), func(t target.Target) bool {
			_, limited := p.rateLimit(now, &t)
			return limited
		})
		var other *target.Target
		other, e = p.best(now, unlimited, r, coldShare)
		ticket.alternative, ticket.alternativeWait = other != nil, e.Wait
	}
	return ticket
}

// rateLimit calls RateLimit.
func (p *Picker) rateLimit(now time.Time, t *target.Target) (time.Duration, bool) {
	if p.RateLimit == nil {
		return 0, false
	}
	return p.RateLimit(now, *t)
}

// sample returns a few of the candidates that are usable, chosen at random, and those that
// are likely to have the prompt's shared parts cached. If only a few instances choose among
// them, or too few are usable for a sample, it returns all candidates. The caller must hold p.mu.
func (p *Picker) sample(now time.Time, candidates []target.Target, r Request, coldShare ColdShare) []target.Target {
	n := min(maxSample, (len(candidates)+1)/2)
	if coldShare.Instances < minSharers || n < 2 { // of two targets, both are compared
		return candidates
	}
	random := p.Random
	if random == nil {
		random = rand.IntN
	}
	order := slices.Clone(candidates)
	var list []target.Target
	for i := range order {
		j := i + random(len(order)-i)
		order[i], order[j] = order[j], order[i]
		t := &order[i]
		sampled := n > 0 && !slices.Contains(r.Exclude, t.Name()) && p.usable(now, t, r, coldShare)
		if sampled {
			n--
		}
		if sampled || t.Name() == r.PreferredTarget || t.Name() == r.OverflowTarget || p.hasSharedParts(now, t.Name(), r.Parts) {
			list = append(list, *t)
		}
	}
	if n > 0 {
		return candidates
	}
	return list
}

// hasSharedParts reports whether this instance recently sent the target a prompt with the
// same shared parts. The caller must hold p.mu.
func (p *Picker) hasSharedParts(now time.Time, name string, parts []Part) bool {
	if len(parts) < 2 {
		return false
	}
	used, ok := p.state(name).partsUsed[parts[len(parts)-2].ID] // the last part belongs to one request alone
	return ok && now.Sub(used) <= cacheRetention
}

// EstimateBest returns the estimate for the candidate with the lowest expected
// cost, and false if no candidate is usable now.
func (p *Picker) EstimateBest(now time.Time, candidates []target.Target, r Request, coldShare ColdShare) (Estimate, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.assess(now, candidates, r, coldShare)
	best, e := p.best(now, candidates, r, coldShare)
	return e, best != nil
}

// best returns the usable candidate with the lowest expected cost among those within the
// request's wait limit or, if there are none, the one with the shortest expected wait. It
// returns nil if no candidate is usable. The caller must hold p.mu.
func (p *Picker) best(now time.Time, candidates []target.Target, r Request, coldShare ColdShare) (*target.Target, Estimate) {
	var best *target.Target
	bestExpected := expectation{waitMS: math.Inf(1), costMS: math.Inf(1)}
	c := p.compare(now, r)
	for i := range candidates {
		t := &candidates[i]
		if slices.Contains(r.Exclude, t.Name()) || !p.usable(now, t, r, coldShare) {
			continue
		}
		if e := c.expected(t); e.before(bestExpected) {
			best, bestExpected = t, e
		}
	}
	if best == nil {
		return nil, Estimate{}
	}
	return best, Estimate{Wait: milliseconds(bestExpected.waitMS), Cost: milliseconds(bestExpected.costMS)}
}

// QueueWait returns the shortest expected queueing time of a request of the service
// among the candidates, and false if no candidate is usable now.
func (p *Picker) QueueWait(now time.Time, candidates []target.Target, s service.Service, coldShare ColdShare) (time.Duration, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.queueWait(now, candidates, Request{Service: s}, coldShare)
}

// RecordArrival records a request for a target of this region, whether it gets one or not.
func (p *Picker) RecordArrival(now time.Time, r Request) {
	if r.Service.Slots() == 0 {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.service(r.Service.Name()).mix.RecordArrival(now, r.Lesser, r.PromptTokens, r.WaitLimit)
}

// RecordRefusal records that a request whose arrival was recorded was refused for lack of capacity.
func (p *Picker) RecordRefusal(service string, lesser bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.service(service).mix.RecordRefusal(lesser)
}

// newTicket adds the request to the load of the target and returns its ticket. The
// caller must hold p.mu.
func (p *Picker) newTicket(now time.Time, t target.Target, r Request, wait time.Duration, coldShare ColdShare) *Ticket {
	s := p.state(t.Name())
	since, limited := p.countsSince(now, s, coldShare)
	limit := p.requestLimit(now, t.Name(), s, r, coldShare)
	reserved := limited && s.window.Reserve(now, since, limit)
	usesUp := limited && p.isUnproved(s, coldShare) && !s.window.Allows(now, since, limit)
	ticket := &Ticket{
		request: r, reserved: reserved, usesUp: usesUp, belief: p.coldBelief(now, t.Name(), s, r, coldShare),
		picker: p, target: t, service: r.Service.Name(), chosenAt: now, expectedWait: wait,
		memoryTokens: r.PromptTokens + r.MaxOutputTokens, isEngine: r.Service.Slots() > 0,
	}
	ticket.cachedTokens = p.cachedPrefix(now, s, r.Parts, t.Name() == r.PreferredTarget)
	ticket.uncachedTokens = max(r.PromptTokens-ticket.cachedTokens, 0)
	if r.MaxEventGap > 0 {
		p.service(ticket.service).recordGap(now, r.MaxEventGap)
	}
	ticket.ahead = p.totalLoad(now, t.Name(), s)
	if ticket.isEngine {
		ticket.run = s.run
		ticket.slowdown = s.slowdownFactor(now, ticket.ahead)
		_, perTokenMS := p.prefillCost(ticket.service)
		perTokenMS *= ticket.slowdown
		ticket.readMS = perTokenMS
		ticket.queuedTokens = p.queuedTokens(now, s, ticket.ahead, perTokenMS)
		ticket.mark = s.queue.Add(now, now, ticket.uncachedTokens, perTokenMS)
		p.sent.Send(now, t.Name(), ticket.uncachedTokens)
	}
	s.open++
	if r.Lesser {
		s.lesserOpen++
	}
	if ticket.isProbe = s.failures > 0; ticket.isProbe {
		s.probing++
	}
	s.waitingTokens += ticket.uncachedTokens
	if r.Lesser {
		s.lesserWaiting += ticket.uncachedTokens
	}
	s.memoryTokens += ticket.memoryTokens
	for _, part := range r.Parts {
		if s.partsUsed == nil {
			s.partsUsed = make(map[string]time.Time)
		}
		s.partsUsed[part.ID] = now
	}
	if len(s.partsUsed) > maxParts {
		evictExpired(s.partsUsed, now)
	}
	return ticket
}
