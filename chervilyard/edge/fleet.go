package edge

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"

	"chervilyard.example/chervilyard/gateway"
	"chervilyard.example/chervilyard/gossip"
	"chervilyard.example/yard/fleet"
	"chervilyard.example/yard/membership"
	"chervilyard.example/yard/placement"
)

// settleTime is how long a started instance sends nothing to cold targets: before
// it has heard of the region's others it would take their part of the pace, too.
const settleTime = time.Second

// roomNews is how long what another region says of its room counts.
const roomNews = 2 * time.Second

// rooms holds how long requests would wait in other regions, as each member said.
type rooms struct {
	mu   sync.Mutex
	told map[string]roomsTold
}

type roomsTold struct {
	at   time.Time
	wait map[string]time.Duration // by service
}

func (e *Edge) buildBeats() {
	e.beats = &gossip.Duty{
		Self: e.self, Table: &e.table, Now: e.now, Journal: e.journal,
		Seeds: func() []string { return e.Settings().Seeds },
		Say:   e.say, Heard: e.heard, Give: e.book.Give,
	}
}

func (e *Edge) self(now time.Time) membership.Member {
	s := e.Settings()
	return membership.Member{
		Name: s.Name, Run: e.run, Region: s.Region, Centre: s.Centre, Callers: s.Callers, Forward: s.Forward,
		Peers: s.Peers, Leaving: e.leaving.Load(), Ready: e.Ready(), Heard: now,
	}
}

// say is what a heartbeat to a member carries.
func (e *Edge) say(now time.Time, to membership.Member) *fleet.Heartbeat {
	h := &fleet.Heartbeat{Digests: e.digests(now)}
	if to.Region == e.Settings().Region {
		h.Loads = pack(e.picker.Loads())
	} else {
		h.Rooms = e.ownRooms(now)
	}
	for customer, n := range e.book.Wants(now) {
		h.Wants = append(h.Wants, &fleet.Tokens{Customer: customer, Amount: n})
	}
	return h
}

// ownRooms tells how long requests would wait in this region, by service.
func (e *Edge) ownRooms(now time.Time) []*fleet.Room {
	c := e.catalog.Load()
	if c == nil {
		return nil
	}
	var list []*fleet.Room
	for _, name := range e.targets.services() {
		if wait, ok := e.picker.Room(now, e.targets.usable(name), c.Service(name), e.fleet(now)); ok {
			list = append(list, &fleet.Room{Service: name, Wait: wait.Seconds() * 1000})
		}
	}
	return list
}

func (e *Edge) heard(now, written time.Time, from membership.Member, h *fleet.Heartbeat) {
	for _, g := range h.GetGrants() {
		e.book.Add(now, g.GetCustomer(), g.GetAmount())
	}
	if len(h.GetMarks()) == 0 || from.Region == "" {
		return // an answer to a wish, or a sender that is not known yet
	}
	if from.Region == e.Settings().Region {
		e.picker.Hear(now, h.GetName(), e.targets.unpack(h.GetLoads()))
	} else {
		e.rooms.take(now, h)
	}
	for _, d := range h.GetDigests() {
		e.compare(now, written, from, d)
	}
}

func (r *rooms) take(now time.Time, h *fleet.Heartbeat) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.told == nil {
		r.told = make(map[string]roomsTold)
	}
	wait := make(map[string]time.Duration, len(h.GetRooms()))
	for _, room := range h.GetRooms() {
		wait[room.GetService()] = time.Duration(room.GetWait() * float64(time.Millisecond))
	}
	r.told[h.GetName()] = roomsTold{at: now, wait: wait}
	maps.DeleteFunc(r.told, func(_ string, t roomsTold) bool { return now.Sub(t.at) > roomNews })
}

func (r *rooms) wait(now time.Time, name, service string) (time.Duration, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	told, ok := r.told[name]
	if !ok || now.Sub(told.at) > roomNews {
		return 0, false
	}
	wait, ok := told.wait[service]
	return wait, ok
}

// remotes returns the instances of other regions that may serve a request,
// best first.
func (e *Edge) remotes(now time.Time, service string, permits func(string) bool) []gateway.Remote {
	var list []gateway.Remote
	for _, m := range e.table.Live(now, liveTime) {
		if m.Region == e.Settings().Region || m.Leaving || !m.Ready || !permits(m.Region) {
			continue
		}
		if wait, ok := e.rooms.wait(now, m.Name, service); ok {
			list = append(list, gateway.Remote{Member: m, Wait: wait + e.beats.Trip(m.Name)})
		}
	}
	slices.SortFunc(list, func(a, b gateway.Remote) int {
		return cmp.Or(cmp.Compare(a.Wait, b.Wait), cmp.Compare(a.Member.Name, b.Member.Name))
	})
	return list
}

// fleet tells how the region's instances share cold targets. Silent ones count
// for a while, since they may still send. An instance that just started has no part.
func (e *Edge) fleet(now time.Time) placement.Fleet {
	s := e.Settings()
	if now.Sub(e.started) < settleTime {
		return placement.Fleet{Over: s.ColdOver, Fixed: s.ColdFixed} // of no size: it has no part yet
	}
	others := slices.DeleteFunc(e.sharing(now), func(m membership.Member) bool { return m.Region != s.Region })
	return placement.Fleet{Size: len(others) + 1, Rank: membership.Rank(s.Name, others), Over: s.ColdOver, Fixed: s.ColdFixed}
}
