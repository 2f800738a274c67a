package edge

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"chervilyard.example/yard/membership"
	"chervilyard.example/yard/placement"
	"chervilyard.example/yard/service"
	"chervilyard.example/yard/target"
)

// simulatedRegion is a region whose instances all send as many requests to one cold target
// as they may, while instances come, go, restart and are cut off from each other.
type simulatedRegion struct {
	random    *rand.Rand
	now       time.Time
	size      int // that entries in the store tell
	instances []*simulatedInstance
	deliver   []delivery // messages on their way
	cutUntil  time.Time
	sent      []time.Time
	steps     int
	list      []target.Target
	request   placement.Request
	names     int
	// losesHeartbeat reports whether a heartbeat does not arrive. It may be nil.
	losesHeartbeat func(to, from *simulatedInstance) bool
	// onStart is called with an instance that starts, and onMessage with the first message
	// that arrives from another one. They may be nil.
	onStart   func(i *simulatedInstance)
	onMessage func(to, from *simulatedInstance)
	stalls    bool // instances stand still at times
	calmSteps int  // of each step in which something may happen, how many follow in which nothing does
}

// simulatedInstance is one instance. A run that has ended stays until the next one starts.
type simulatedInstance struct {
	name     string
	edge     *Edge
	picker   *placement.Picker
	running  bool
	startsAt time.Time // of the next run; zero if there is none
	apart    bool      // on the smaller side of a cut
	stalled  time.Time // until when it stands still
	mark     uint64    // fingerprint of the run as a member
}

// delivery is the first message of a run of an instance to another one. It tells of the
// sender and, at times, of all members that it knows.
type delivery struct {
	at       time.Time
	to, from *simulatedInstance
}

const (
	simulatedStep    = 25 * time.Millisecond
	simulatedDelay   = 900 * time.Millisecond // of first messages, at most
	simulatedBeats   = 8                      // steps between two heartbeats of a pair
	simulatedLists   = 8                      // members from which a started instance gets a list, about
	simulatedPerStep = 2                      // requests that an instance tries to send
)

func newSimulatedRegion(size int, seed uint64) *simulatedRegion {
	r := &simulatedRegion{
		random: rand.New(rand.NewPCG(seed, 1)), now: time.Unix(1_700_000_000, 0), size: size,
		list:    []target.Target{target.New("a", "c", "", []string{"s"}, 64, 1, false).WithColdRemaining(time.Hour)},
		request: placement.Request{Service: service.New("s").WithColdLimit(4.4)},
	}
	for range size {
		r.instances = append(r.instances, r.newInstance())
	}
	for _, i := range r.instances {
		r.start(i)
	}
	return r
}

// newInstance returns an instance whose name sorts anywhere among the others.
func (r *simulatedRegion) newInstance() *simulatedInstance {
	r.names++
	return &simulatedInstance{name: fmt.Sprintf("east-%04d-%d", r.random.IntN(10000), r.names)}
}

// start starts a run of the instance, which hears of the others and they of it.
func (r *simulatedRegion) start(i *simulatedInstance) {
	e := &Edge{started: r.now, runID: membership.NewRun(r.now, r.random.Int64()), now: func() time.Time { return r.now }}
	e.settings.Store(&Settings{Name: i.name, Region: "east", Centre: "c", ColdRateFactor: 1.5, ColdExtraRequests: 3})
	e.sizes.merge([]membership.Member{{Name: "entry", Region: "east", Neighbours: r.size}}, "east")
	i.edge, i.picker, i.running, i.startsAt = e, &placement.Picker{}, true, time.Time{}
	i.picker.UpdateTargets(r.now, r.now, time.Second, r.list)
	if r.onStart != nil {
		r.onStart(i)
	}
	i.mark = e.self(r.now).Fingerprint()
	for _, other := range r.instances {
		if other != i && other.running {
			r.tell(other, i)
			r.tell(i, other)
		}
	}
}

func (r *simulatedRegion) tell(to, from *simulatedInstance) {
	d := time.Duration(r.random.Int64N(int64(simulatedDelay)))
	r.deliver = append(r.deliver, delivery{at: r.now.Add(d), to: to, from: from})
}

// connected reports whether messages between the two get through.
func (r *simulatedRegion) connected(a, b *simulatedInstance) bool {
	return (r.now.After(r.cutUntil) || a.apart == b.apart) && !r.now.Before(a.stalled) && !r.now.Before(b.stalled)
}

// step advances the region, and all instances send.
func (r *simulatedRegion) step() {
	r.advance()
	for _, i := range r.instances {
		for n := 0; i.running && n < simulatedPerStep; n++ {
			share := i.edge.coldTargetShare(r.now)
			ticket := i.picker.Choose(r.now, r.list, r.request, share)
			if ticket == nil || !ticket.Admit(r.now, i.edge.coldTargetShare) {
				break
			}
			ticket.Sent(r.now)
			ticket.End(r.now, placement.Answered)
			r.sent = append(r.sent, r.now)
		}
	}
}

// advance lets messages arrive, something happen at random, and instances start.
func (r *simulatedRegion) advance() {
	r.now = r.now.Add(simulatedStep)
	r.deliver = slices.DeleteFunc(r.deliver, func(d delivery) bool {
		if d.at.After(r.now) || !r.connected(d.to, d.from) {
			return false // after a cut, members hear of each other again
		}
		if d.to.running && d.from.running {
			d.to.edge.memberTable.Update(d.from.edge.self(r.now))
			if r.onMessage != nil {
				r.onMessage(d.to, d.from)
			}
			if r.random.IntN(len(r.instances)/simulatedLists+1) == 0 {
				r.passList(d.to, d.from)
			}
		}
		return true
	})
	if r.steps++; r.steps%simulatedBeats == 0 {
		r.exchangeHeartbeats()
	}
	if r.steps%(r.calmSteps+1) == 0 {
		r.happen()
	}
	for _, i := range r.instances {
		if !i.startsAt.IsZero() && !i.startsAt.After(r.now) {
			r.start(i)
		}
	}
}

func (r *simulatedRegion) passList(to, from *simulatedInstance) {
	for _, m := range from.edge.memberTable.All() {
		if m.Name != to.name {
			to.edge.memberTable.Update(m)
		}
	}
}

// exchangeHeartbeats lets all instances hear the members that they know and can reach.
func (r *simulatedRegion) exchangeHeartbeats() {
	for _, to := range r.instances {
		for _, from := range r.instances {
			if to != from && to.running && from.running && r.connected(to, from) && (r.losesHeartbeat == nil || !r.losesHeartbeat(to, from)) {
				to.edge.memberTable.RecordHeartbeat(from.mark, r.now)
			}
		}
	}
}

// happen lets one thing happen in about one of eight steps.
func (r *simulatedRegion) happen() {
	i := r.instances[r.random.IntN(len(r.instances))]
	switch r.random.IntN(64) {
	case 0, 1, 2, 3: // a restart
		if i.running {
			i.running, i.startsAt = false, r.now.Add(time.Duration(200+r.random.IntN(1500))*time.Millisecond)
		}
	case 4: // an instance is lost for good
		if i.running && len(r.instances) > r.size/2 {
			i.running = false
		}
	case 5, 6: // an instance is added
		if len(r.instances) < r.size*5/4 {
			added := r.newInstance()
			added.apart = r.random.IntN(2) == 0
			r.instances = append(r.instances, added)
			r.start(added)
		}
	case 7: // some instances are cut off
		if r.now.After(r.cutUntil) {
			r.cutUntil = r.now.Add(time.Duration(1+r.random.IntN(8)) * time.Second)
			share := 1 + r.random.IntN(5) // tenths
			for _, other := range r.instances {
				other.apart = r.random.IntN(10) < share
			}
		}
	case 8, 9:
		if r.stalls {
			i.stalled = r.now.Add(time.Second)
		}
	}
}

// mostInSecond returns the largest number of the times, which ascend, within a second.
func mostInSecond(times []time.Time) int {
	most, first := 0, 0
	for n, at := range times {
		for at.Sub(times[first]) >= time.Second {
			first++
		}
		most = max(most, n-first+1)
	}
	return most
}

// Guards against more requests to a cold target than it bears while members of a region
// join, leave, restart and are cut off, so that their lists of members differ.
func TestColdLimitAsRegionChanges(t *testing.T) {
	const limit = 4.4*1.5 + 3
	for _, c := range []struct {
		size  int
		seeds uint64
		time  time.Duration
	}{{3, 20, 10 * time.Second}, {9, 30, 10 * time.Second}, {27, 10, 10 * time.Second}, {72, 6, 8 * time.Second}, {295, 1, 3 * time.Second}} {
		t.Run(fmt.Sprint(c.size), func(t *testing.T) {
			t.Parallel()
			sent := 0
			for seed := range c.seeds {
				r := newSimulatedRegion(c.size, seed)
				for range c.time / simulatedStep {
					r.step()
				}
				sent += len(r.sent)
				if most := mostInSecond(r.sent); float64(most) > limit {
					t.Errorf("seed %d: %d requests within a second, at most %v", seed, most, limit)
				}
			}
			t.Logf("%.1f requests a second", float64(sent)/c.time.Seconds()/float64(c.seeds))
		})
	}
}
