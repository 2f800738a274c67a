// Package simulation drives the quota decisions of a fleet in virtual time, by a
// script of demand and faults, and checks what was admitted against each
// customer's rate and burst. It has no network and no processes: messages are
// delayed, lost and doubled between the deciding packages themselves.
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
	nearDelay   = 500 * time.Microsecond // one way in a region
	farDelay    = 55 * time.Millisecond  // one way between regions
	storeDelay  = time.Millisecond       // added by the store
	storeTime   = 2 * time.Second        // after which a call without an answer is given up
	roundTime   = 500 * time.Millisecond
	beatTime    = time.Second
	goneTime    = time.Minute
	newsDelay   = 5 * time.Second // until instances know of a crash or a cut
	gatherRound = 400 * time.Millisecond
	gatherTime  = 1500 * time.Millisecond
	gatherMost  = 4
	messageSize = 190 // bytes of a loan's message with its framing
	streamTime  = 3 * time.Second
)

// Simulation is one run. It is used by one goroutine.
type Simulation struct {
	script *Script
	rng    *rand.Rand
	now    time.Time
	start  time.Time
	events events
	order  int64
	nodes  []*node
	store  map[string]stored
	down   bool
	lose   bool
	cut    map[int]bool // regions that are cut off
	moved  time.Time    // when reachability last changed
	doc    *document.Document
	judge  *judge
	sent   int64
	calls  int64 // of the store
	nextID uint64
}

type stored struct {
	entry    seat.Entry
	revision int64
}

// node is one instance.
type node struct {
	id      int
	address string
	centre  string
	region  int
	run     int64
	drift   float64
	alive   bool
	alone   bool
	paused  time.Time // until
	stopped time.Time // since
	busy    time.Time // until then a round of its seats is under way
	died    time.Time
	lender  *lender.Lender
	table   *seat.Table
	titles  []seat.Holding
	doc     *document.Document
	waiting []func()
}

type event struct {
	at    time.Time
	order int64
	do    func()
}

type events []event

func (e events) Len() int { return len(e) }

func (e events) Less(i, j int) bool {
	if e[i].at.Equal(e[j].at) {
		return e[i].order < e[j].order
	}
	return e[i].at.Before(e[j].at)
}

func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

// Push implements heap.Interface.
func (e *events) Push(x any) { *e = append(*e, x.(event)) }

// Pop implements heap.Interface.
func (e *events) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}

// Run drives the script to its end and returns what was measured.
func Run(s *Script) (Report, error) {
	d := &Simulation{
		script: s,
		rng:    rand.New(rand.NewPCG(s.Seed, 0)),
		start:  time.Unix(1_700_000_000, 0),
		store:  make(map[string]stored),
		cut:    make(map[int]bool),
	}
	d.now = d.start
	doc, err := document.Parse(s.Name, s.document(1))
	if err != nil {
		return Report{}, err
	}
	d.doc = doc
	d.judge = newJudge(d)
	for r := range s.Regions {
		for c := range s.Centres {
			for range s.Seats {
				d.addNode(r, fmt.Sprintf("r%d-%d", r, c))
			}
		}
	}
	d.planDemand()
	for _, f := range s.Faults {
		d.at(d.start.Add(f.At), func() { d.befall(f) })
	}
	if s.Audit > 0 {
		d.audit()
	}
	d.loop(d.start.Add(s.Length))
	return d.judge.report(), nil
}

func (d *Simulation) audit() {
	d.after(d.script.Audit, d.audit)
	d.judge.audit()
}

func (d *Simulation) loop(end time.Time) {
	for len(d.events) > 0 {
		e := heap.Pop(&d.events).(event)
		if e.at.After(end) {
			return
		}
		d.now = e.at
		e.do()
	}
}

func (d *Simulation) at(t time.Time, do func()) {
	d.order++
	heap.Push(&d.events, event{at: t, order: d.order, do: do})
}

func (d *Simulation) after(wait time.Duration, do func()) { d.at(d.now.Add(wait), do) }

// on runs a step of an instance: never on a dead run of it, and after a pause
// where it stands still.
func (d *Simulation) on(n *node, wait time.Duration, do func()) {
	run := n.run
	d.after(wait, func() {
		if n.run != run || !n.alive {
			return
		}
		if d.now.Before(n.paused) {
			n.waiting = append(n.waiting, do)
			return
		}
		do()
	})
}

// clock is the instance's own time.
func (d *Simulation) clock(n *node) time.Time {
	passed := d.now.Sub(d.start)
	return d.start.Add(passed + time.Duration(float64(passed)*n.drift))
}

func (d *Simulation) addNode(region int, centre string) {
	n := &node{id: len(d.nodes), address: fmt.Sprintf("i%d", len(d.nodes)), centre: centre, region: region}
	n.drift = (d.rng.Float64()*2 - 1) * d.script.Drift
	d.nodes = append(d.nodes, n)
	d.boot(n)
}

// boot starts a run of an instance.
func (d *Simulation) boot(n *node) {
	n.run++
	n.alive = true
	n.paused = time.Time{}
	n.waiting = nil
	n.titles = nil
	n.lender = &lender.Lender{
		Address: n.address, Centre: n.centre,
		Holders: func(customer string) []lender.Holder { return d.holders(n, customer) },
		NewID: func() uint64 {
			d.nextID++
			return d.nextID
		},
	}
	n.table = &seat.Table{Address: n.address, Run: n.run, Centre: n.centre}
	n.table.ReleaseState = func() (time.Duration, map[string]float64) {
		now := d.clock(n)
		return n.lender.RemainingLoanTime(now), n.lender.ReleaseLevels(now)
	}
	n.doc = d.doc
	n.lender.Apply(d.clock(n), d.doc)
	d.judge.rates()
	d.on(n, time.Duration(d.rng.Float64()*float64(100*time.Millisecond)), func() { d.sit(n) })
	d.on(n, time.Duration(d.rng.Float64()*float64(roundTime)), func() { d.round(n) })
	d.on(n, time.Duration(d.rng.Float64()*float64(beatTime)), func() { d.beat(n) })
}

// reach reports whether messages pass between two instances.
func (d *Simulation) reach(a, b *node) bool {
	return a.region == b.region || !d.cut[a.region] && !d.cut[b.region]
}

// toStore reports whether the instance reaches the store, in region 0.
func (d *Simulation) toStore(n *node) bool {
	return !d.down && !n.alone && (n.region == 0 || !d.cut[n.region] && !d.cut[0])
}

func (d *Simulation) delay(a, b int) time.Duration {
	base := nearDelay
	if a != b {
		base = farDelay
	}
	return base + time.Duration(d.rng.Float64()*0.2*float64(base))
}

// holders is the membership as n knows it: news of a crash or a cut comes late.
func (d *Simulation) holders(n *node, customer string) []lender.Holder {
	var near, region, far []lender.Holder
	fresh := d.now.Sub(d.moved) < newsDelay
	for _, o := range d.nodes {
		gone := !o.alive && d.now.Sub(o.died) >= newsDelay
		if o == n || gone || !d.reach(n, o) && !fresh || d.part(o, customer) <= 0 {
			continue
		}
		h := lender.Holder{Address: o.address}
		switch {
		case o.centre == n.centre:
			near = append(near, h)
		case o.region == n.region:
			region = append(region, h)
		default:
			far = append(far, h)
		}
	}
	return append(append(near, region...), far...)
}

func (d *Simulation) part(n *node, customer string) float64 {
	sum := 0.0
	for _, t := range n.titles {
		if t.Class == seat.ClassFloating {
			sum += n.doc.Share(customer, n.centre, t.Seat)
		}
	}
	return sum
}

// sit makes one round of the instance's seats, in the steps of a real one.
func (d *Simulation) sit(n *node) {
	again := d.script.Lease / 3
	if len(n.titles) == 0 {
		again = time.Second
	}
	d.on(n, again, func() { d.sit(n) })
	if d.now.Before(n.busy) {
		return // one round at a time, as in a process; a call that is lost ends it
	}
	d.swap(n, 6)
}

func (d *Simulation) swap(n *node, tries int) {
	if tries == 0 || !d.toStore(n) {
		return
	}
	n.busy = d.now.Add(storeTime)
	d.calls++
	trip := d.delay(n.region, 0) + storeDelay
	v := d.store[n.centre]
	v.entry.Centre = n.centre // as Decode gives it for a key without a value
	d.on(n, 2*trip, func() {
		now := d.clock(n)
		terms := n.doc.Quota()
		d.hold(n, n.table.ApplyEntry(now, v.entry, seat.Entry{}, terms))
		next, changed := n.table.Plan(now, v.entry, d.script.Seats, terms, d.mates(n))
		if !changed {
			n.busy = time.Time{}
			return
		}
		d.hold(n, n.table.BeginWrite(now, next))
		d.put(n, now, v, next, tries)
	})
}

// beat sends the heartbeats of an instance to its data centre.
func (d *Simulation) beat(n *node) {
	d.on(n, beatTime, func() { d.beat(n) })
	sent := d.clock(n)
	for _, m := range d.nodes {
		if m == n || m.centre != n.centre || !m.alive || d.rng.Float64() < d.script.Loss {
			continue
		}
		d.on(m, d.delay(n.region, n.region), func() {
			m.table.RecordGivenPromise(d.clock(m), n.address, m.doc.Quota().MaxClockDrift)
			d.on(n, d.delay(n.region, n.region), func() {
				n.table.RecordReceivedPromise(sent, m.address)
				d.hold(n, n.table.Holdings(d.clock(n), n.doc.Quota()))
			})
		})
	}
}

// put is a write on its way: it takes effect at the store, and its answer may
// be lost.
func (d *Simulation) put(n *node, sent time.Time, v stored, next seat.Entry, tries int) {
	if !d.toStore(n) {
		return
	}
	trip := d.delay(n.region, 0) + storeDelay
	d.after(trip, func() {
		if d.down {
			return
		}
		d.calls++
		ok := d.store[n.centre].revision == v.revision
		if ok {
			d.store[n.centre] = stored{entry: next, revision: v.revision + 1}
		}
		if d.lose || !d.toStore(n) {
			return
		}
		d.on(n, trip, func() {
			if !ok {
				d.swap(n, tries-1)
				return
			}
			n.busy = time.Time{}
			n.table.WriteConfirmed(sent, next)
			now := d.clock(n)
			d.hold(n, n.table.ApplyEntry(now, next, v.entry, n.doc.Quota()))
		})
	})
}

func (d *Simulation) hold(n *node, titles []seat.Holding) {
	n.titles = titles
	n.lender.SetHoldings(d.clock(n), titles)
}

// silent reports whether an instance stands still for so long that others have
// noticed.
func (d *Simulation) silent(n *node) bool {
	return d.now.Before(n.paused) && d.now.Sub(n.stopped) >= newsDelay
}

func (d *Simulation) mates(n *node) seat.Members {
	var m seat.Members
	for _, o := range d.nodes {
		if o == n || o.centre != n.centre || d.silent(o) {
			continue
		}
		if !o.alive && d.now.Sub(o.died) >= newsDelay {
			if d.now.Sub(o.died) >= goneTime {
				m.Unreachable = append(m.Unreachable, o.address)
			}
			continue
		}
		m.Alive = append(m.Alive, o.address)
		if len(o.titles) == 0 && o.alive {
			m.WithoutSeat = append(m.WithoutSeat, o.address)
		}
	}
	return m
}

// round is the lender's background round.
func (d *Simulation) round(n *node) {
	d.on(n, roundTime, func() { d.round(n) })
	for _, l := range n.lender.Round(d.clock(n)) {
		d.send(n, l, nil)
	}
}

// send carries a lender's message, and the reply of an ask back. Done is called
// when the reply came in.
func (d *Simulation) send(from *node, l lender.Message, done func()) {
	d.sent++
	to := d.find(l.Peer)
	if to == nil || !d.reach(from, to) || d.rng.Float64() < d.script.Loss {
		return
	}
	copies := 1
	if d.rng.Float64() < d.script.Double {
		copies = 2
	}
	for range copies {
		d.on(to, d.delay(from.region, to.region), func() { d.deliver(from, to, l, done) })
	}
}

func (d *Simulation) deliver(from, to *node, l lender.Message, done func()) {
	now := d.clock(to)
	if l.Return.ID != 0 {
		to.lender.HandleReturn(now, l.Return)
		return
	}
	reply, returns := to.lender.HandleRequest(now, l.Request)
	for _, r := range returns {
		d.send(to, r, nil)
	}
	d.sent++
	if !d.reach(from, to) || d.rng.Float64() < d.script.Loss {
		return
	}
	d.on(from, d.delay(from.region, to.region), func() {
		for _, r := range from.lender.HandleReply(d.clock(from), l.Request.Customer, reply) {
			d.send(from, r, nil)
		}
		if done != nil {
			done()
		}
	})
}

func (d *Simulation) find(address string) *node {
	id, err := strconv.Atoi(strings.TrimPrefix(address, "i"))
	if err != nil || id >= len(d.nodes) {
		return nil
	}
	return d.nodes[id]
}

// planDemand schedules each demand's requests as a Poisson process.
func (d *Simulation) planDemand() {
	for _, want := range d.script.Demands {
		for _, c := range d.script.Customers {
			if c.Name != want.Customer {
				continue
			}
			for n := range c.Count {
				d.arrive(c, member(c, n), want, d.start.Add(want.From))
			}
		}
	}
}

func (d *Simulation) arrive(c Customer, name string, want Demand, from time.Time) {
	used := 1 - c.Spare/2
	gap := c.Tokens * used / (c.Rate * want.Part)
	next := from.Add(time.Duration(d.rng.ExpFloat64() * gap * float64(time.Second)))
	if next.After(d.start.Add(want.To)) || math.IsInf(gap, 0) {
		return
	}
	d.at(next, func() {
		d.arrive(c, name, want, next)
		d.request(c, name, d.region(want))
	})
}

func (d *Simulation) region(want Demand) int {
	switch want.Region {
	case "":
		return d.rng.IntN(d.script.Regions)
	case "moving":
		return int(d.now.Sub(d.start)/want.Turn) % d.script.Regions
	}
	var r int
	_, _ = fmt.Sscanf(want.Region, "r%d", &r) // another name stands for the first region
	return r % d.script.Regions
}
