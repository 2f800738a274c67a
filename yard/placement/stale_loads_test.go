package placement_test

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"chervilyard.example/yard/placement"
	"chervilyard.example/yard/service"
	"chervilyard.example/yard/target"
)

// engineModel is a model engine that reads prompts one after the other, and generates for
// all running requests in steps that take longer the more of them there are.
type engineModel struct {
	readFreeAt time.Duration // when the prompts so far have been read
	running    int
	waiting    []*simulatedRequest
}

const (
	modelSlots    = 16
	tokensPerMS   = 125.0 // prompt tokens read
	firstTokenMS  = 62.0
	stepMS        = 3.27
	stepPerSlotMS = 0.0823
	failureTime   = 5 * time.Millisecond // until a failing target answers
)

// simulatedRequest is a request of a simulatedFleet.
type simulatedRequest struct {
	instance, engine  int
	arrived, first    time.Duration
	prompt, generated int
	objective         time.Duration
	lesser            bool // less urgent than others
	refused           bool // expected to wait longer than its objective
	failed            bool
	ticket            *placement.Ticket
}

// simulatedFleet is a region of instances that choose among engines, with their loads as old
// as hubs make them.
type simulatedFleet struct {
	random  *rand.Rand
	start   time.Time
	now     time.Duration
	pickers []*placement.Picker
	hubs    int
	engines []engineModel
	targets []target.Target
	service service.Service
	plain   bool // the targets are those of a plain service
	refuses bool // requests are refused that are expected to wait longer than their objective
	events  eventQueue

	fails func(r *simulatedRequest) bool // whether its target fails the request; nil means none

	requests []*simulatedRequest
	mostOpen int // requests at one engine at most
}

type simulatedEvent struct {
	at  time.Duration
	run func()
}

type eventQueue []simulatedEvent

func (q eventQueue) Len() int           { return len(q) }
func (q eventQueue) Less(a, b int) bool { return q[a].at < q[b].at }
func (q eventQueue) Swap(a, b int)      { q[a], q[b] = q[b], q[a] }
func (q *eventQueue) Push(e any)        { *q = append(*q, e.(simulatedEvent)) }
func (q *eventQueue) Pop() any {
	e := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return e
}

func newSimulatedFleet(instances, hubs, engines int) *simulatedFleet {
	f := &simulatedFleet{random: rand.New(rand.NewPCG(1, 2)), start: time.Unix(1_700_000_000, 0), hubs: hubs, engines: make([]engineModel, engines)}
	for range instances {
		f.pickers = append(f.pickers, &placement.Picker{Random: f.random.IntN})
	}
	for i := range engines {
		f.targets = append(f.targets, target.New(fmt.Sprint("engine", i), "a", "", []string{"model"}, modelSlots, 1, false))
	}
	f.service = service.New("model").WithEngine(modelSlots, 500_000)
	return f
}

func (f *simulatedFleet) at(d time.Duration, run func()) {
	heap.Push(&f.events, simulatedEvent{d, run})
}

func (f *simulatedFleet) clock() time.Time { return f.start.Add(f.now) }

// run simulates the fleet until the given time.
func (f *simulatedFleet) run(until time.Duration) {
	for len(f.events) > 0 && f.events[0].at <= until {
		e := heap.Pop(&f.events).(simulatedEvent)
		f.now = e.at
		e.run()
	}
}

// exchangeLoads lets each instance exchange loads with one hub after the other, every 100 ms.
func (f *simulatedFleet) exchangeLoads() {
	const interval = 100 * time.Millisecond
	for i := range f.pickers {
		turn := i
		var exchange func()
		exchange = func() {
			turn++
			if h := turn % f.hubs; h != i {
				f.pickers[h].UpdatePeerLoads(f.clock(), f.clock(), fmt.Sprint(i), f.pickers[i].Loads(f.clock()))
				if i >= f.hubs {
					f.pickers[i].UpdateOtherLoads(f.clock(), f.clock(), fmt.Sprint(h), f.pickers[h].LoadsWithout(f.clock(), fmt.Sprint(i), func(string) bool { return true }))
				}
			}
			f.at(f.now+interval, exchange)
		}
		f.at(time.Duration(f.random.Int64N(int64(interval))), exchange)
	}
}

// arrive lets requests arrive at random instances, at the given rate a second.
func (f *simulatedFleet) arrive(rate float64, request func() *simulatedRequest) {
	var next func()
	next = func() {
		r := request()
		r.instance, r.arrived = f.random.IntN(len(f.pickers)), f.now
		f.dispatch(r)
		f.at(f.now+time.Duration(f.random.ExpFloat64()/rate*float64(time.Second)), next)
	}
	f.at(0, next)
}

func (f *simulatedFleet) dispatch(r *simulatedRequest) {
	f.requests = append(f.requests, r)
	request := placement.Request{
		Service: f.service, PromptTokens: r.prompt, MaxOutputTokens: r.generated, MaxEventGap: 400 * time.Millisecond,
		Parts: []placement.Part{{ID: fmt.Sprint(len(f.requests)), Tokens: r.prompt}}, Lesser: r.lesser,
	}
	if f.refuses {
		request.WaitLimit = r.objective
		f.pickers[r.instance].RecordArrival(f.clock(), request)
	}
	r.ticket = f.pickers[r.instance].Choose(f.clock(), f.targets, request,
		placement.ColdShare{Position: placement.Position{Instances: len(f.pickers)}, RateFactor: 1})
	if r.ticket == nil {
		r.refused = true
		f.pickers[r.instance].RecordRefusal(f.service.Name(), r.lesser)
		return
	}
	if f.refuses && r.ticket.ExpectedWait() > r.objective {
		r.refused = true
		f.pickers[r.instance].RecordRefusal(f.service.Name(), r.lesser)
		r.ticket.End(f.clock(), placement.Withheld)
		return
	}
	name := r.ticket.Target().Name()
	r.engine = slices.IndexFunc(f.targets, func(t target.Target) bool { return t.Name() == name })
	e := &f.engines[r.engine]
	f.mostOpen = max(f.mostOpen, e.running+len(e.waiting)+1)
	if e.running >= f.targets[0].Capacity() {
		e.waiting = append(e.waiting, r)
		return
	}
	f.begin(r)
}

// begin reads the request's prompt and generates its answer.
func (f *simulatedFleet) begin(r *simulatedRequest) {
	e := &f.engines[r.engine]
	e.running++
	if f.fails != nil && f.fails(r) {
		r.failed = true
		f.at(f.now+failureTime, func() { f.end(r, placement.Failed) })
		return
	}
	ms := func(v float64) time.Duration { return time.Duration(v * float64(time.Millisecond)) }
	if f.plain {
		f.at(f.now+ms(float64(r.generated)), func() {
			r.first = f.now
			r.ticket.RecordFirstByte(f.clock())
			f.finish(r)
		})
		return
	}
	e.readFreeAt = max(e.readFreeAt, f.now) + ms(float64(r.prompt)/tokensPerMS)
	f.at(e.readFreeAt+ms(firstTokenMS), func() {
		r.first = f.now
		r.ticket.RecordFirstByte(f.clock())
		f.at(f.now+ms(float64(r.generated)*(stepMS+stepPerSlotMS*float64(e.running))), func() { f.finish(r) })
	})
}

// finish ends a request that is answered.
func (f *simulatedFleet) finish(r *simulatedRequest) {
	f.end(r, placement.Answered)
}

// end ends the request with the outcome and begins the next one that waits for its place.
func (f *simulatedFleet) end(r *simulatedRequest, o placement.Outcome) {
	e := &f.engines[r.engine]
	r.ticket.End(f.clock(), o)
	e.running--
	if len(e.waiting) > 0 {
		next := e.waiting[0]
		e.waiting = e.waiting[1:]
		f.begin(next)
	}
}

// late returns the share of the requests that arrived from the given time on whose first
// token came later than their objective.
func (f *simulatedFleet) late(from, to time.Duration) float64 {
	late, all := 0, 0
	for _, r := range f.requests {
		if r.arrived < from || r.arrived > to {
			continue
		}
		all++
		if r.first == 0 || r.first-r.arrived > r.objective {
			late++
		}
	}
	return float64(late) / float64(max(all, 1))
}

func (f *simulatedFleet) logNormal(mean, spread float64) int {
	return int(math.Exp(math.Log(mean)-spread*spread/2+spread*f.random.NormFloat64())) + 1
}

// Pattern: many instances choose by the same report of loads, which is older than the time in
// which a target's room is used up. At four fifths of what the targets can serve, 99 of 100
// requests to engines and 98 of 100 to a plain service must be answered in time.
func TestStaleLoads(t *testing.T) {
	const from, to, end = 3 * time.Second, 28 * time.Second, 30 * time.Second
	for _, c := range []struct{ instances, hubs, engines int }{{100, 4, 50}, {20, 2, 18}, {3, 3, 4}} {
		f := newSimulatedFleet(c.instances, c.hubs, c.engines)
		f.exchangeLoads()
		f.arrive(21*float64(c.engines), func() *simulatedRequest {
			return &simulatedRequest{prompt: f.logNormal(2300, 0.9), generated: 24, objective: 600 * time.Millisecond}
		})
		f.arrive(3.6*float64(c.engines), func() *simulatedRequest {
			return &simulatedRequest{prompt: f.logNormal(9000, 0.9), generated: 380, objective: 800 * time.Millisecond}
		})
		f.run(end)
		late := f.late(from, to)
		t.Logf("%+v: %.4f late, %d at one engine", c, late, f.mostOpen)
		if late > 0.01 {
			t.Errorf("%+v: %.4f of the requests are late", c, late)
		}
	}
	for _, c := range []struct{ instances, hubs, targets int }{{100, 4, 4}, {3, 3, 2}} {
		f := newSimulatedFleet(c.instances, c.hubs, c.targets)
		f.plain, f.service = true, service.New("plain")
		const slots, meanMS = 6, 60
		for i := range f.targets {
			f.targets[i] = target.New(fmt.Sprint("engine", i), "a", "", []string{"plain"}, slots, 1, false)
		}
		f.exchangeLoads()
		f.arrive(0.8*slots*1000/meanMS*float64(c.targets), func() *simulatedRequest {
			return &simulatedRequest{generated: f.logNormal(meanMS, 0.5), objective: 250 * time.Millisecond}
		})
		f.run(end)
		late := f.late(from, to)
		t.Logf("%+v: %.4f late, %d at one target", c, late, f.mostOpen)
		if late > 0.02 {
			t.Errorf("%+v: %.4f of the requests are late", c, late)
		}
	}
}
