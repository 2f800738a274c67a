// Package simulation runs the quota logic of a fleet in virtual time, driven by
// a script of demand and faults, and checks the admitted tokens against each
// customer's rate and burst. It is a discrete-event simulation in one process,
// without a network: it calls the quota packages directly and delays, drops and
// duplicates the messages between them.
package simulation

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"strconv"
	"strings"
	"time"

	"chervilyard.example/yard/document"
	"chervilyard.example/yard/lender"
	"chervilyard.example/yard/seat"
)

const (
	intraRegionDelay    = 500 * time.Microsecond // one way, within a region
	interRegionDelay    = 55 * time.Millisecond  // one way, between regions
	storeLatency        = time.Millisecond       // one way, added to the network delay
	storeTimeout        = 2 * time.Second        // after which a seat round whose store call got no reply ends
	lenderInterval      = 500 * time.Millisecond // between background rounds of a lender
	heartbeatInterval   = time.Second
	removalTimeout      = time.Minute             // from a crash until peers may remove the instance from the seat entry
	detectionDelay      = 5 * time.Second         // until instances detect a crash, a pause or an isolated region
	collectRoundTimeout = 400 * time.Millisecond  // for the replies of one round of requests to peers
	collectTimeout      = 1500 * time.Millisecond // from a request's arrival; no round starts later
	maxCollectRounds    = 4
	messageBytes        = 190             // size of a loan message, including framing
	meanStreamDuration  = 3 * time.Second // from admission until the tokens used are known
)

// Simulation is the state of one run. It is not safe for concurrent use.
type Simulation struct {
	script           *Script
	rng              *rand.Rand
	now              time.Time
	start            time.Time
	queue            eventQueue
	lastSequence     int64
	instances        []*instance            // by ID, crashed ones included
	store            map[string]storedEntry // by data centre
	storeDown        bool                   // every store call fails
	dropStoreReplies bool                   // writes take effect but get no reply
	isolated         map[int]bool           // regions without a connection to any other
	isolationChanged time.Time              // last change of isolated
	doc              *document.Document     // latest version; instances apply it later
	evaluator        *evaluator
	messages         int64 // sent between lenders, replies included
	storeCalls       int64
	lastID           uint64 // last ID that NewID of any lender returned
}

// storedEntry is the store's value for one data centre.
type storedEntry struct {
	entry    seat.Entry
	revision int64
}

// instance is one simulated instance. An instance that restarts at its address
// keeps the same value, in which startInstance replaces the lender and the table.
type instance struct {
	id                int
	address           string
	centre            string
	region            int
	incarnation       int64   // incremented at each start
	clockDrift        float64 // relative error of the local clock's rate
	alive             bool
	storeBlocked      bool // not connected to the store
	pausedUntil       time.Time
	pausedAt          time.Time
	seatRoundDeadline time.Time // a seat round is in progress until then; zero if none
	crashedAt         time.Time
	lender            *lender.Lender
	table             *seat.Table
	holdings          []seat.Holding // parts of seats that it may use
	doc               *document.Document
	deferred          []func() // calls that fell due during a pause
}

// event is a function scheduled for a virtual time.
type event struct {
	at       time.Time
	sequence int64 // order of scheduling, for events at the same time
	fn       func()
}

// eventQueue is a min-heap of events, ordered by time and then by sequence.
type eventQueue []event

// Len implements sort.Interface.
func (q eventQueue) Len() int { return len(q) }

// Less implements sort.Interface.
func (q eventQueue) Less(i, j int) bool {
	if q[i].at.Equal(q[j].at) {
		return q[i].sequence < q[j].sequence
	}
	return q[i].at.Before(q[j].at)
}

// Swap implements sort.Interface.
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push implements heap.Interface.
func (q *eventQueue) Push(x any) { *q = append(*q, x.(event)) }

// Pop implements heap.Interface.
func (q *eventQueue) Pop() any {
	queue := *q
	last := queue[len(queue)-1]
	*q = queue[:len(queue)-1]
	return last
}

// Run simulates the script to its end and returns the measurements. It fails if
// the script's environment document is not valid.
func Run(s *Script) (Report, error) {
	sim := &Simulation{
		script:   s,
		rng:      rand.New(rand.NewPCG(s.Seed, 0)),
		start:    time.Unix(1_700_000_000, 0),
		store:    make(map[string]storedEntry),
		isolated: make(map[int]bool),
	}
	sim.now = sim.start
	doc, err := document.Parse(s.Name, s.document(1))
	if err != nil {
		return Report{}, err
	}
	sim.doc = doc
	sim.evaluator = newEvaluator(sim)
	for r := range s.Regions {
		for c := range s.CentresPerRegion {
			for range s.SeatsPerCentre {
				sim.addInstance(r, fmt.Sprintf("r%d-%d", r, c))
			}
		}
	}
	sim.scheduleDemand()
	for _, f := range s.Faults {
		sim.scheduleAt(sim.start.Add(f.Start), func() { sim.injectFault(f) })
	}
	if s.AuditInterval > 0 {
		sim.auditShares()
	}
	sim.runUntil(sim.start.Add(s.Length))
	return sim.evaluator.report(), nil
}

// auditShares checks the sum of all shares at the script's audit interval.
func (sim *Simulation) auditShares() {
	sim.scheduleAfter(sim.script.AuditInterval, sim.auditShares)
	sim.evaluator.auditShares()
}

// runUntil runs the scheduled events in order up to and including end.
func (sim *Simulation) runUntil(end time.Time) {
	for len(sim.queue) > 0 {
		e := heap.Pop(&sim.queue).(event)
		if e.at.After(end) {
			return
		}
		sim.now = e.at
		e.fn()
	}
}

func (sim *Simulation) scheduleAt(t time.Time, fn func()) {
	sim.lastSequence++
	heap.Push(&sim.queue, event{at: t, sequence: sim.lastSequence, fn: fn})
}

func (sim *Simulation) scheduleAfter(d time.Duration, fn func()) { sim.scheduleAt(sim.now.Add(d), fn) }

// scheduleOn schedules fn on an instance, after d. The call is dropped if the
// instance has crashed or restarted by then, and deferred to the end of the
// pause if the instance is paused.
func (sim *Simulation) scheduleOn(inst *instance, d time.Duration, fn func()) {
	incarnation := inst.incarnation
	sim.scheduleAfter(d, func() {
		if inst.incarnation != incarnation || !inst.alive {
			return
		}
		if sim.now.Before(inst.pausedUntil) {
			inst.deferred = append(inst.deferred, fn)
			return
		}
		fn()
	})
}

// localTime returns the time by the instance's clock, which drifts from virtual
// time.
func (sim *Simulation) localTime(inst *instance) time.Time {
	elapsed := sim.now.Sub(sim.start)
	return sim.start.Add(elapsed + time.Duration(float64(elapsed)*inst.clockDrift))
}

func (sim *Simulation) addInstance(region int, centre string) {
	inst := &instance{id: len(sim.instances), address: fmt.Sprintf("i%d", len(sim.instances)), centre: centre, region: region}
	inst.clockDrift = (sim.rng.Float64()*2 - 1) * sim.script.MaxClockDrift
	sim.instances = append(sim.instances, inst)
	sim.startInstance(inst)
}

// startInstance starts or restarts an instance with empty state.
func (sim *Simulation) startInstance(inst *instance) {
	inst.incarnation++
	inst.alive = true
	inst.pausedUntil = time.Time{}
	inst.deferred = nil
	inst.holdings = nil
	inst.lender = &lender.Lender{
		Address: inst.address, Centre: inst.centre,
		Holders: func(customer string) []lender.Holder { return sim.holders(inst, customer) },
		NewID: func() uint64 {
			sim.lastID++
			return sim.lastID
		},
	}
	inst.table = &seat.Table{Address: inst.address, Run: inst.incarnation, Centre: inst.centre}
	inst.table.ReleaseState = func() (time.Duration, map[string]float64) {
		now := sim.localTime(inst)
		return inst.lender.RemainingLoanTime(now), inst.lender.ReleaseLevels(now)
	}
	inst.doc = sim.doc
	inst.lender.Apply(sim.localTime(inst), sim.doc)
	sim.evaluator.updateRates()
	sim.scheduleOn(inst, time.Duration(sim.rng.Float64()*float64(100*time.Millisecond)), func() { sim.runSeatRound(inst) })
	sim.scheduleOn(inst, time.Duration(sim.rng.Float64()*float64(lenderInterval)), func() { sim.runLenderRound(inst) })
	sim.scheduleOn(inst, time.Duration(sim.rng.Float64()*float64(heartbeatInterval)), func() { sim.sendHeartbeats(inst) })
}

// connected reports whether messages can pass between two instances.
func (sim *Simulation) connected(a, b *instance) bool {
	return a.region == b.region || !sim.isolated[a.region] && !sim.isolated[b.region]
}

// storeReachable reports whether the instance can call the store, which is in
// region 0.
func (sim *Simulation) storeReachable(inst *instance) bool {
	return !sim.storeDown && !inst.storeBlocked && (inst.region == 0 || !sim.isolated[inst.region] && !sim.isolated[0])
}

// messageDelay returns a one-way delay between two regions with up to 20 %
// jitter.
func (sim *Simulation) messageDelay(a, b int) time.Duration {
	base := intraRegionDelay
	if a != b {
		base = interRegionDelay
	}
	return base + time.Duration(sim.rng.Float64()*0.2*float64(base))
}

// holders returns the peers that hold quota of the customer and that inst takes
// for reachable, nearest first. An instance detects an isolated region only after
// detectionDelay. A crashed peer is left out at once, because it has no holdings.
func (sim *Simulation) holders(inst *instance, customer string) []lender.Holder {
	var near, region, far []lender.Holder
	undetected := sim.now.Sub(sim.isolationChanged) < detectionDelay
	for _, peer := range sim.instances {
		crashDetected := !peer.alive && sim.now.Sub(peer.crashedAt) >= detectionDelay
		if peer == inst || crashDetected || !sim.connected(inst, peer) && !undetected || sim.ownedFraction(peer, customer) <= 0 {
			continue
		}
		holder := lender.Holder{Address: peer.address}
		switch {
		case peer.centre == inst.centre:
			near = append(near, holder)
		case peer.region == inst.region:
			region = append(region, holder)
		default:
			far = append(far, holder)
		}
	}
	return append(append(near, region...), far...)
}

// ownedFraction returns the fraction of the customer's quota in the seats whose
// floating part the instance holds.
func (sim *Simulation) ownedFraction(inst *instance, customer string) float64 {
	sum := 0.0
	for _, h := range inst.holdings {
		if h.Class == seat.ClassFloating {
			sum += inst.doc.Share(customer, inst.centre, h.Seat)
		}
	}
	return sum
}

// runSeatRound starts one round of claiming and renewing the instance's seats, in
// the same steps as in production, and schedules the next round.
func (sim *Simulation) runSeatRound(inst *instance) {
	interval := sim.script.FloatingLease / 3
	if len(inst.holdings) == 0 {
		interval = time.Second
	}
	sim.scheduleOn(inst, interval, func() { sim.runSeatRound(inst) })
	if sim.now.Before(inst.seatRoundDeadline) {
		return // rounds do not overlap; one whose store call was lost ends at the deadline
	}
	sim.updateSeats(inst, 6)
}

// updateSeats reads the data centre's entry and writes the planned changes by
// compare-and-swap, with at most the given number of tries.
func (sim *Simulation) updateSeats(inst *instance, tries int) {
	if tries == 0 || !sim.storeReachable(inst) {
		return
	}
	inst.seatRoundDeadline = sim.now.Add(storeTimeout)
	sim.storeCalls++
	delay := sim.messageDelay(inst.region, 0) + storeLatency
	current := sim.store[inst.centre]
	current.entry.Centre = inst.centre // a key without a value decodes to an entry that has only the centre
	sim.scheduleOn(inst, 2*delay, func() {
		now := sim.localTime(inst)
		settings := inst.doc.Quota()
		sim.applyHoldings(inst, inst.table.ApplyEntry(now, current.entry, seat.Entry{}, settings))
		next, changed := inst.table.Plan(now, current.entry, sim.script.SeatsPerCentre, settings, sim.seatLiveness(inst))
		if !changed {
			inst.seatRoundDeadline = time.Time{}
			return
		}
		sim.applyHoldings(inst, inst.table.BeginWrite(now, next))
		sim.writeEntry(inst, now, current, next, tries)
	})
}

// sendHeartbeats sends heartbeats to the other instances of the data centre,
// whose replies are witness promises, and schedules the next ones.
func (sim *Simulation) sendHeartbeats(inst *instance) {
	sim.scheduleOn(inst, heartbeatInterval, func() { sim.sendHeartbeats(inst) })
	sent := sim.localTime(inst)
	for _, peer := range sim.instances {
		if peer == inst || peer.centre != inst.centre || !peer.alive || sim.rng.Float64() < sim.script.LossRate {
			continue
		}
		sim.scheduleOn(peer, sim.messageDelay(inst.region, inst.region), func() {
			peer.table.RecordGivenPromise(sim.localTime(peer), inst.address, peer.doc.Quota().MaxClockDrift)
			sim.scheduleOn(inst, sim.messageDelay(inst.region, inst.region), func() {
				inst.table.RecordReceivedPromise(sent, peer.address)
				sim.applyHoldings(inst, inst.table.Holdings(sim.localTime(inst), inst.doc.Quota()))
			})
		})
	}
}

// writeEntry writes next if the stored revision is still the one of current, and
// repeats the whole update on a conflict. The reply may be lost after the write
// took effect.
func (sim *Simulation) writeEntry(inst *instance, sent time.Time, current storedEntry, next seat.Entry, tries int) {
	if !sim.storeReachable(inst) {
		return
	}
	delay := sim.messageDelay(inst.region, 0) + storeLatency
	sim.scheduleAfter(delay, func() {
		if sim.storeDown {
			return
		}
		sim.storeCalls++
		ok := sim.store[inst.centre].revision == current.revision
		if ok {
			sim.store[inst.centre] = storedEntry{entry: next, revision: current.revision + 1}
		}
		if sim.dropStoreReplies || !sim.storeReachable(inst) {
			return
		}
		sim.scheduleOn(inst, delay, func() {
			if !ok {
				sim.updateSeats(inst, tries-1)
				return
			}
			inst.seatRoundDeadline = time.Time{}
			inst.table.WriteConfirmed(sent, next)
			now := sim.localTime(inst)
			sim.applyHoldings(inst, inst.table.ApplyEntry(now, next, current.entry, inst.doc.Quota()))
		})
	})
}

// applyHoldings replaces the instance's holdings and passes them to its lender.
func (sim *Simulation) applyHoldings(inst *instance, holdings []seat.Holding) {
	inst.holdings = holdings
	inst.lender.SetHoldings(sim.localTime(inst), holdings)
}

// pauseDetected reports whether an instance has been paused for at least
// detectionDelay, so that its peers know of it.
func (sim *Simulation) pauseDetected(inst *instance) bool {
	return sim.now.Before(inst.pausedUntil) && sim.now.Sub(inst.pausedAt) >= detectionDelay
}

// seatLiveness returns the liveness of the data centre's instances as inst knows it.
func (sim *Simulation) seatLiveness(inst *instance) seat.Liveness {
	var liveness seat.Liveness
	for _, peer := range sim.instances {
		if peer == inst || peer.centre != inst.centre || sim.pauseDetected(peer) {
			continue
		}
		if !peer.alive && sim.now.Sub(peer.crashedAt) >= detectionDelay {
			if sim.now.Sub(peer.crashedAt) >= removalTimeout {
				liveness.Unreachable = append(liveness.Unreachable, peer.address)
			}
			continue
		}
		liveness.Alive = append(liveness.Alive, peer.address)
		if len(peer.holdings) == 0 && peer.alive {
			liveness.WithoutSeat = append(liveness.WithoutSeat, peer.address)
		}
	}
	return liveness
}

// runLenderRound runs one background round of the instance's lender and
// schedules the next.
func (sim *Simulation) runLenderRound(inst *instance) {
	sim.scheduleOn(inst, lenderInterval, func() { sim.runLenderRound(inst) })
	for _, message := range inst.lender.Round(sim.localTime(inst)) {
		sim.send(inst, message, nil)
	}
}

// send delivers a lender's message, and the reply if the message is a request.
// The message or the reply may be lost, or the message duplicated. done, which
// may be nil, is called after each reply is received.
func (sim *Simulation) send(from *instance, message lender.Message, done func()) {
	sim.messages++
	to := sim.findInstance(message.Peer)
	if to == nil || !sim.connected(from, to) || sim.rng.Float64() < sim.script.LossRate {
		return
	}
	copies := 1
	if sim.rng.Float64() < sim.script.DuplicationRate {
		copies = 2
	}
	for range copies {
		sim.scheduleOn(to, sim.messageDelay(from.region, to.region), func() { sim.deliver(from, to, message, done) })
	}
}

// deliver handles a message at its receiver and sends the reply to a request.
func (sim *Simulation) deliver(from, to *instance, message lender.Message, done func()) {
	now := sim.localTime(to)
	if message.Return.ID != 0 {
		to.lender.HandleReturn(now, message.Return)
		return
	}
	reply, returns := to.lender.HandleRequest(now, message.Request)
	for _, r := range returns {
		sim.send(to, r, nil)
	}
	sim.messages++
	if !sim.connected(from, to) || sim.rng.Float64() < sim.script.LossRate {
		return
	}
	sim.scheduleOn(from, sim.messageDelay(from.region, to.region), func() {
		for _, r := range from.lender.HandleReply(sim.localTime(from), message.Request.Customer, reply) {
			sim.send(from, r, nil)
		}
		if done != nil {
			done()
		}
	})
}

// findInstance returns the instance at a peer address, or nil if there is none.
func (sim *Simulation) findInstance(address string) *instance {
	id, err := strconv.Atoi(strings.TrimPrefix(address, "i"))
	if err != nil || id >= len(sim.instances) {
		return nil
	}
	return sim.instances[id]
}

// scheduleDemand schedules the first request of each customer of each demand.
// The requests of a customer form a Poisson process.
func (sim *Simulation) scheduleDemand() {
	for _, demand := range sim.script.Demands {
		for _, c := range sim.script.Customers {
			if c.Name != demand.Customer {
				continue
			}
			for n := range c.Count {
				sim.scheduleNextRequest(c, customerName(c, n), demand, sim.start.Add(demand.From))
			}
		}
	}
}

// scheduleNextRequest schedules the customer's next request after from. Each
// request schedules its successor until the demand ends.
func (sim *Simulation) scheduleNextRequest(c Customer, name string, demand Demand, from time.Time) {
	meanUsedFraction := 1 - c.MaxUnusedFraction/2
	meanGapSeconds := c.MeanRequestTokens * meanUsedFraction / (c.Rate * demand.RateFraction)
	next := from.Add(time.Duration(sim.rng.ExpFloat64() * meanGapSeconds * float64(time.Second)))
	if next.After(sim.start.Add(demand.To)) || math.IsInf(meanGapSeconds, 0) {
		return
	}
	sim.scheduleAt(next, func() {
		sim.scheduleNextRequest(c, name, demand, next)
		sim.issueRequest(c, name, sim.demandRegion(demand))
	})
}

// demandRegion returns the region in which a request of the demand arrives now.
func (sim *Simulation) demandRegion(demand Demand) int {
	switch demand.Region {
	case "":
		return sim.rng.IntN(sim.script.Regions)
	case "moving":
		return int(sim.now.Sub(sim.start)/demand.RegionDuration) % sim.script.Regions
	}
	var r int
	_, _ = fmt.Sscanf(demand.Region, "r%d", &r) // any other name selects region 0
	return r % sim.script.Regions
}
