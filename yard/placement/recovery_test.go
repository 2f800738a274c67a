package placement_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"chervilyard.example/yard/placement"
	"chervilyard.example/yard/service"
	"chervilyard.example/yard/spill"
	"chervilyard.example/yard/target"
)

// disturbedTarget is a target that serves plain requests in turn, or engine requests beside each
// other, and is disturbed in phases.
type disturbedTarget struct {
	condition string
	factor    float64       // how much slower than usual
	until     time.Duration // end of the condition
	slots     []time.Duration
	run       int64
}

// disturbances are the conditions of targets, with what becomes of requests there.
var disturbances = map[string]placement.Outcome{
	"sound": placement.Answered, "silent": placement.Answered, "slow": placement.Answered, "failing": placement.Failed,
	"cut": placement.Unreachable, "broken": placement.ConnectionBroken, "crashed": placement.Unreachable,
	"limited": placement.Overloaded, "cold": placement.Answered,
}

const (
	disturbedSlots = 6
	objective      = 300 * time.Millisecond
	callerDeadline = 5 * time.Second
	firstTimeout   = 225 * time.Millisecond // of requests that may be repeated
	regionPath     = 110 * time.Millisecond
)

// disturbedInstance is an instance with what others told it of the other regions.
type disturbedInstance struct {
	region int
	picker *placement.Picker
	told   []toldWait // by region
}

type toldWait struct {
	wait    time.Duration
	latency placement.ServiceLatency
	known   bool
}

// disturbedFleet is a fleet of regions whose instances choose among their region's targets and
// forward requests, as package gateway does.
type disturbedFleet struct {
	random    *rand.Rand
	start     time.Time
	now       time.Duration
	events    eventQueue
	service   service.Service
	work      time.Duration // of a plain request
	instances []*disturbedInstance
	regions   [][]*disturbedTarget
	lists     [][]target.Target
	perRegion int

	refused, served map[int]int // by second of arrival
	trials          int
	unanswered      int // requests that a target did not answer before their deadline
}

func newDisturbedFleet(seed uint64, s service.Service, regions, instances, targets int) *disturbedFleet {
	f := &disturbedFleet{
		random: rand.New(rand.NewPCG(seed, 1)), start: time.Unix(1_700_000_000, 0), service: s, work: 15 * time.Millisecond, perRegion: instances,
		refused: make(map[int]int), served: make(map[int]int),
	}
	slots := disturbedSlots
	if s.Slots() > 0 {
		slots = s.Slots()
	}
	for r := range regions {
		var list []*disturbedTarget
		var listed []target.Target
		for i := range targets {
			list = append(list, &disturbedTarget{condition: "sound", factor: 1, slots: make([]time.Duration, slots), run: 1})
			listed = append(listed, target.New(fmt.Sprintf("r%dt%d", r, i), "c", "", []string{s.Name()}, slots, 1, false).WithRunID(1))
		}
		f.regions, f.lists = append(f.regions, list), append(f.lists, listed)
		for range instances {
			f.instances = append(f.instances, &disturbedInstance{region: r, picker: &placement.Picker{Random: f.random.IntN}, told: make([]toldWait, regions)})
		}
	}
	f.every(200*time.Millisecond, f.list)
	f.every(100*time.Millisecond, f.exchange)
	return f
}

func (f *disturbedFleet) clock() time.Time { return f.start.Add(f.now) }

func (f *disturbedFleet) at(d time.Duration, run func()) {
	heap.Push(&f.events, simulatedEvent{d, run})
}

func (f *disturbedFleet) every(interval time.Duration, run func()) {
	var next func()
	next = func() {
		run()
		f.at(f.now+interval, next)
	}
	f.at(0, next)
}

func (f *disturbedFleet) run(until time.Duration) {
	for len(f.events) > 0 && f.events[0].at <= until {
		e := heap.Pop(&f.events).(simulatedEvent)
		f.now = e.at
		e.run()
	}
}

// list gives the instances the lists of targets.
func (f *disturbedFleet) list() {
	for r, list := range f.regions {
		for i, t := range list {
			cold := time.Duration(0)
			if f.now < t.until && t.condition == "cold" {
				cold = t.until - f.now
			}
			f.lists[r][i] = f.lists[r][i].WithRunID(t.run).WithColdRemaining(cold)
		}
	}
	for _, in := range f.instances {
		in.picker.UpdateTargets(f.clock(), f.clock(), time.Second, f.lists[in.region])
	}
}

// exchange tells the instances of a region each other's loads, and other regions its waits.
func (f *disturbedFleet) exchange() {
	for i, in := range f.instances {
		for j, other := range f.instances {
			switch {
			case i == j:
			case in.region == other.region:
				other.picker.UpdatePeerLoads(f.clock(), f.clock(), fmt.Sprint(i), in.picker.Loads(f.clock()))
			default:
				told := toldWait{}
				if told.wait, told.known = in.picker.QueueWait(f.clock(), f.lists[in.region], f.service, f.share()); told.known {
					if l, at, ok := in.picker.ServiceLatency(f.service); ok && f.clock().Sub(at) <= 2*time.Second {
						told.latency = l
					}
				}
				other.told[in.region] = told
			}
		}
	}
}

func (f *disturbedFleet) share() placement.ColdShare {
	return placement.ColdShare{Position: placement.Position{Instances: f.perRegion}, RateFactor: 1.5, ExtraRequests: 3}
}

// arrive lets a request arrive at an instance.
func (f *disturbedFleet) arrive(in *disturbedInstance, idempotent bool, tokens int) {
	second := int(f.now / time.Second)
	if f.dispatch(in, idempotent, tokens, true, f.now) {
		f.served[second]++
	} else {
		f.refused[second]++
	}
}

// dispatch sends a request to a target of the instance's region or forwards it, and returns
// false if it is refused.
func (f *disturbedFleet) dispatch(in *disturbedInstance, idempotent bool, tokens int, mayForward bool, arrived time.Duration) bool {
	now, list := f.clock(), f.lists[in.region]
	r := placement.Request{Service: f.service, PromptTokens: tokens, MaxOutputTokens: 10}
	local, ok := in.picker.EstimateBest(now, list, r, f.share())
	spillTo, remoteWait := -1, time.Duration(0)
	if mayForward {
		var offers []spill.RemoteEstimate
		var regions []int
		for region, told := range in.told {
			if told.known {
				offers = append(offers, spill.RemoteEstimate{Region: fmt.Sprint(region), Estimate: in.picker.EstimateRemote(r, told.wait+regionPath, told.latency, false)})
				regions = append(regions, region)
			}
		}
		if i := spill.ChooseRegion(local, ok, offers, nil, objective); i >= 0 {
			spillTo, remoteWait = regions[i], offers[i].Estimate.Wait
		}
	}
	var ticket *placement.Ticket
	if slower := spillTo >= 0 && local.Wait > remoteWait; ok && (slower || local.Wait > objective) {
		ticket = in.picker.ChooseTrial(now, list, r, f.share(), placement.TrialTerms{Limit: objective, Suited: idempotent, Forwarding: spillTo >= 0})
	}
	switch {
	case ticket != nil:
		f.trials++
	case spillTo >= 0:
		var there []*disturbedInstance
		for _, other := range f.instances {
			if other.region == spillTo {
				there = append(there, other)
			}
		}
		return f.dispatch(there[f.random.IntN(len(there))], idempotent, tokens, false, arrived)
	case !ok || local.Wait > objective:
		return false
	default:
		if ticket = in.picker.Choose(now, list, r, f.share()); ticket == nil {
			return false
		}
	}
	i := slices.IndexFunc(list, func(t target.Target) bool { return t.Name() == ticket.Target().Name() })
	f.serve(f.regions[in.region][i], ticket, idempotent, tokens, arrived)
	return true
}

// serve lets the target of a ticket serve its request.
func (f *disturbedFleet) serve(t *disturbedTarget, ticket *placement.Ticket, idempotent bool, tokens int, arrived time.Duration) {
	disturbed := f.now < t.until
	outcome, work := placement.Answered, f.work
	if f.service.Slots() > 0 {
		work = 62*time.Millisecond + time.Duration(tokens)*8*time.Microsecond
	}
	if disturbed {
		outcome = disturbances[t.condition]
		if t.condition == "slow" {
			work = time.Duration(float64(work) * t.factor)
		}
	}
	if !ticket.Admit(f.clock(), func(time.Time) placement.ColdShare { return f.share() }) {
		ticket.End(f.clock(), placement.Withheld)
		return
	}
	ticket.Sent(f.clock())
	if outcome != placement.Answered && outcome != placement.Failed {
		if t.condition == "limited" {
			ticket.Defer(f.clock(), time.Second)
		}
		ticket.End(f.clock(), outcome)
		return
	}
	slot := 0
	for i := range t.slots {
		if t.slots[i] < t.slots[slot] {
			slot = i
		}
	}
	end := max(f.now, t.slots[slot]) + work
	if disturbed && t.condition == "silent" {
		end = max(end, t.until+time.Duration(f.random.IntN(30))*time.Millisecond)
	}
	t.slots[slot] = end
	limit := arrived + callerDeadline
	if idempotent && f.service.Slots() == 0 {
		limit = f.now + max(firstTimeout, 4*ticket.ExpectedWait())
	}
	f.at(min(end, limit), func() {
		if end > arrived+callerDeadline {
			f.unanswered++
		}
		if end > limit {
			ticket.End(f.clock(), placement.TimedOut)
			return
		}
		ticket.RecordFirstByte(f.clock())
		ticket.End(f.clock(), outcome)
	})
}

// disturb puts a target into a condition for a time.
func (f *disturbedFleet) disturb(t *disturbedTarget, condition string, factor float64, d time.Duration) {
	t.condition, t.factor, t.until = condition, factor, f.now+d
	if condition == "crashed" {
		f.at(f.now+d, func() { t.run++ })
	}
}

// Guards against an instance that shuts out sound targets for good because only answers could
// correct what it expects of them: after any history of the targets, 5 s after all are sound
// and idle again, no more than 1 in 100 requests may be refused.
func TestSoundTargetsAreUsedAgain(t *testing.T) {
	conditions := []string{"sound", "silent", "slow", "failing", "cut", "broken", "crashed", "limited", "cold"}
	services := map[string]service.Service{"plain": service.New("p"), "engine": service.New("m").WithColdLimit(4).WithEngine(modelSlots, 1_000_000)}
	rapid.Check(t, func(t *rapid.T) {
		kind := rapid.SampledFrom([]string{"plain", "engine"}).Draw(t, "kind")
		regions := rapid.IntRange(1, 3).Draw(t, "regions")
		f := newDisturbedFleet(rapid.Uint64().Draw(t, "seed"), services[kind], regions, rapid.IntRange(1, 4).Draw(t, "instances"), rapid.IntRange(1, 3).Draw(t, "targets"))
		f.work = rapid.SampledFrom([]time.Duration{f.work, 70 * time.Millisecond}).Draw(t, "work")
		mayRepeat := rapid.SampledFrom([]float64{0, 0.25, 1}).Draw(t, "idempotent")
		perSecond := 10 * regions * len(f.regions[0]) // a sixth of what the targets can serve at most
		f.every(time.Second/time.Duration(perSecond), func() {
			f.arrive(f.instances[f.random.IntN(len(f.instances))], f.random.Float64() < mayRepeat, 200+f.random.IntN(6000))
		})
		f.run(2 * time.Second)
		for phase := range rapid.IntRange(1, 3).Draw(t, "phases") {
			length := time.Duration(rapid.IntRange(300, 4000).Draw(t, fmt.Sprint("length", phase))) * time.Millisecond
			for r, list := range f.regions {
				for i, disturbed := range list {
					name := fmt.Sprintf("phase %d r%dt%d", phase, r, i)
					f.disturb(disturbed, rapid.SampledFrom(conditions).Draw(t, name), rapid.Float64Range(5, 100).Draw(t, name+" factor"), length)
				}
			}
			if rapid.Bool().Draw(t, fmt.Sprint("restart", phase)) {
				restarted := rapid.IntRange(0, len(f.instances)-1).Draw(t, fmt.Sprint("restarted", phase))
				f.instances[restarted].picker = &placement.Picker{Random: f.random.IntN}
			}
			f.run(f.now + length)
		}
		idle := f.now
		for _, list := range f.regions {
			for _, disturbed := range list {
				idle = max(idle, slices.Max(disturbed.slots))
			}
		}
		from := int(idle/time.Second) + 6
		f.run(time.Duration(from+10) * time.Second)
		served, refused := 0, 0
		for second := from; second < from+10; second++ {
			served, refused = served+f.served[second], refused+f.refused[second]
		}
		if refused*100 > served+refused {
			t.Errorf("%d requests were refused while all targets were idle, %d served", refused, served)
		}
	})
}

// Guards against a tide of requests at targets that are over the objective for good: what is
// sent to learn whether they still are is less than they can answer, so that no caller waits in
// vain, and the others are refused at once.
func TestSlowTargetsGetFewTrials(t *testing.T) {
	const work, from, to = 375 * time.Millisecond, 7, 22 // seconds
	for _, c := range []struct{ instances, targets, rate int }{{1, 1, 20}, {3, 1, 40}, {27, 2, 100}, {98, 4, 200}} {
		f := newDisturbedFleet(1, service.New("p"), 1, c.instances, c.targets)
		f.every(time.Second/time.Duration(c.rate), func() { f.arrive(f.instances[f.random.IntN(len(f.instances))], f.random.IntN(4) == 0, 10) })
		f.run(2 * time.Second)
		for _, slow := range f.regions[0] {
			f.disturb(slow, "slow", float64(work/f.work), time.Hour)
		}
		f.run(from * time.Second)
		unanswered := f.unanswered
		f.run(to * time.Second)
		sent := 0
		for second := from; second < to; second++ {
			sent += f.served[second]
		}
		perSecond, capacity := float64(sent)/(to-from), float64(c.targets*disturbedSlots)/work.Seconds()
		t.Logf("%+v: %.1f requests a second are sent of %d, the targets can answer %.1f; %d unanswered", c, perSecond, c.rate, capacity, f.unanswered-unanswered)
		if perSecond > capacity || f.unanswered > unanswered {
			t.Errorf("%+v: %.1f requests a second are sent, the targets can answer %.1f; %d got no answer", c, perSecond, capacity, f.unanswered-unanswered)
		}
	}
}
