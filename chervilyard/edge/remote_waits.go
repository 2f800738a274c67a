package edge

import (
	"maps"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"chervilyard.example/yard/fleet"
	"chervilyard.example/yard/placement"
)

// remoteWaitMaxAge is how long the waiting times reported by a remote member are valid.
const remoteWaitMaxAge = 2 * time.Second

// remoteWaits holds the waiting times of other regions: those that their members reported
// to this instance, and those that a hub of its region relayed. It is safe for concurrent
// use.
type remoteWaits struct {
	mu       sync.Mutex
	byMember map[string]reportedWaits
	byRegion map[string]reportedWaits // relayed
}

type reportedWaits struct {
	at        time.Time // when a member of the region reported them
	region    string
	path      time.Duration // round trip to the region, if relayed
	byService map[string]regionWait
}

// noRoom is the wait of less urgent requests that find no room.
const noRoom = time.Duration(-1)

// regionWait is how long a request of a service takes in a region.
type regionWait struct {
	queue   time.Duration            // of the most urgent requests
	lesser  time.Duration            // of less urgent ones, or noRoom
	path    time.Duration            // round trip that both include
	latency placement.ServiceLatency // zero if unknown
}

// forClass returns the wait of a class, and false if its requests find no room. They may find
// some at targets that have their prompts cached, and wait as others do there.
func (w regionWait) forClass(lesser bool) (time.Duration, bool) {
	if lesser && w.lesser != noRoom {
		return w.lesser, true
	}
	return w.queue, !lesser
}

// withPath returns the wait with a round trip to the region added.
func (w regionWait) withPath(path time.Duration) regionWait {
	w.queue, w.path = w.queue+path, w.path+path
	if w.lesser != noRoom {
		w.lesser += path
	}
	return w
}

// hear records the waiting times in a heartbeat from a member of another region.
func (r *remoteWaits) hear(now time.Time, region string, h *fleet.Heartbeat) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.byMember == nil {
		r.byMember = make(map[string]reportedWaits)
	}
	w := reportedWaits{at: now, region: region, byService: make(map[string]regionWait, len(h.GetRooms()))}
	for _, room := range h.GetRooms() {
		w.byService[room.GetService()] = roomWait(room)
	}
	r.byMember[h.GetName()] = w
	maps.DeleteFunc(r.byMember, func(_ string, w reportedWaits) bool { return now.Sub(w.at) > remoteWaitMaxAge })
}

// hearRelayed records the waiting times of other regions in a heartbeat that was written no
// earlier than written. Those that are older than the known ones are ignored.
func (r *remoteWaits) hearRelayed(written time.Time, rooms []*fleet.Room) {
	r.mu.Lock()
	defer r.mu.Unlock()
	relayed := make(map[string]reportedWaits)
	for _, room := range rooms {
		w, ok := relayed[room.GetRegion()]
		if !ok {
			w = reportedWaits{
				at: written.Add(-time.Duration(max(room.GetAge(), 0)) * time.Millisecond), region: room.GetRegion(),
				path: time.Duration(room.GetPath()) * time.Millisecond, byService: make(map[string]regionWait),
			}
		}
		w.byService[room.GetService()] = roomWait(room)
		relayed[room.GetRegion()] = w
	}
	if r.byRegion == nil {
		r.byRegion = make(map[string]reportedWaits)
	}
	for region, w := range relayed {
		if w.at.After(r.byRegion[region].at) {
			r.byRegion[region] = w
		}
	}
}

// relay returns the waiting times that members of other regions reported last. The function
// path returns the round-trip time to a member.
func (r *remoteWaits) relay(now time.Time, path func(member string) time.Duration) []*fleet.Room {
	r.mu.Lock()
	defer r.mu.Unlock()
	newest := make(map[string]string) // member by region
	for member, w := range r.byMember {
		if last, ok := newest[w.region]; now.Sub(w.at) <= remoteWaitMaxAge && (!ok || w.at.After(r.byMember[last].at)) {
			newest[w.region] = member
		}
	}
	var rooms []*fleet.Room
	for region, member := range newest {
		w := r.byMember[member]
		for service, wait := range w.byService {
			room := &fleet.Room{
				Service: service, Wait: wait.queue.Seconds() * 1000, Region: region,
				Base: wait.latency.Base.Seconds() * 1000, Token: wait.latency.PerToken.Seconds() * 1000,
				Age: now.Sub(w.at).Milliseconds() + 1, Path: path(member).Milliseconds(),
			}
			tellLesser(room, wait)
			rooms = append(rooms, room)
		}
	}
	return rooms
}

// lookup returns the waiting time for a service that the member reported within
// remoteWaitMaxAge, and false if there is none.
func (r *remoteWaits) lookup(now time.Time, member, service string) (regionWait, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.byMember[member].wait(now, service)
}

// lookupRelayed returns the waiting time for a service in a region, including the round
// trip, that was relayed, and false if there is none from within remoteWaitMaxAge.
func (r *remoteWaits) lookupRelayed(now time.Time, region, service string) (regionWait, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	w := r.byRegion[region]
	wait, ok := w.wait(now, service)
	return wait.withPath(w.path), ok
}

func (w reportedWaits) wait(now time.Time, service string) (regionWait, bool) {
	if now.Sub(w.at) > remoteWaitMaxAge {
		return regionWait{}, false
	}
	wait, ok := w.byService[service]
	return wait, ok
}

// tellLesser sets the wait of less urgent requests in room if it is another one.
func tellLesser(room *fleet.Room, w regionWait) {
	switch w.lesser {
	case w.queue:
	case noRoom:
		room.Lesser = proto.Float64(-1)
	default:
		room.Lesser = proto.Float64(w.lesser.Seconds() * 1000)
	}
}

func roomWait(room *fleet.Room) regionWait {
	ms := func(v float64) time.Duration { return time.Duration(v * float64(time.Millisecond)) }
	w := regionWait{queue: ms(room.GetWait()), lesser: ms(room.GetWait()), latency: placement.ServiceLatency{Base: ms(room.GetBase()), PerToken: ms(room.GetToken())}}
	if room.Lesser != nil {
		if w.lesser = noRoom; room.GetLesser() >= 0 {
			w.lesser = ms(room.GetLesser())
		}
	}
	return w
}
