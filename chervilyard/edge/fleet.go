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

// settlePeriod is how long a started instance sends nothing to cold targets. Until it
// has heard from the other instances of its region, it would use their shares of the
// request rate as well.
const settlePeriod = time.Second

// remoteWaitMaxAge is how long the waiting times reported by a remote member are valid.
const remoteWaitMaxAge = 2 * time.Second

// remoteWaits holds the waiting times that members of other regions reported. It is safe
// for concurrent use.
type remoteWaits struct {
	mu       sync.Mutex
	byMember map[string]memberWaits
}

type memberWaits struct {
	received  time.Time
	byService map[string]time.Duration
}

func (e *Edge) buildHeartbeats() {
	e.gossiper = &gossip.Gossiper{
		Self: e.self, Members: &e.memberTable, Now: e.now, Decisions: e.decisions,
		Seeds:   func() []string { return e.Settings().Seeds },
		Payload: e.heartbeatPayload, Wants: e.wantedTokens, HandlePayload: e.handleHeartbeat, TakeSpare: e.quota.TakeSpare,
	}
}

func (e *Edge) self(now time.Time) membership.Member {
	s := e.Settings()
	return membership.Member{
		Name: s.Name, Run: e.runID, Region: s.Region, Centre: s.Centre, Callers: s.CallerAddr, Forward: s.ForwardAddr,
		Peers: s.PeerAddr, Leaving: e.leaving(), Ready: e.Ready(), Heard: now,
	}
}

// heartbeatPayload returns the content of a heartbeat or a reply to a member: digests, and
// loads within the region or waiting times to other regions.
func (e *Edge) heartbeatPayload(now time.Time, to membership.Member) *fleet.Heartbeat {
	h := &fleet.Heartbeat{Digests: e.digests(now), Suspects: e.suspects.Message(now, to.Name, to.Run)}
	if to.Region == e.Settings().Region {
		h.Loads = encodeLoads(e.picker.Loads())
		h.Leaving = e.targets.leaving.list()
	} else {
		h.Rooms = e.localWaits(now)
	}
	return h
}

// wantedTokens returns the tokens to request with a heartbeat.
func (e *Edge) wantedTokens(now time.Time) []*fleet.Tokens {
	var list []*fleet.Tokens
	for customer, n := range e.quota.Deficits(now) {
		list = append(list, &fleet.Tokens{Customer: customer, Amount: n})
	}
	return list
}

// localWaits returns how long a new request would wait in this region, by service.
func (e *Edge) localWaits(now time.Time) []*fleet.Room {
	c := e.catalog.Load()
	if c == nil {
		return nil
	}
	coldShare := e.coldTargetShare(now)
	var list []*fleet.Room
	for _, name := range e.targets.services() {
		if wait, ok := e.picker.QueueWait(now, e.targets.usable(name), c.Service(name), coldShare); ok {
			list = append(list, &fleet.Room{Service: name, Wait: wait.Seconds() * 1000})
		}
	}
	return list
}

// handleHeartbeat processes a heartbeat from a member, or a reply to RequestTokens.
func (e *Edge) handleHeartbeat(now, written time.Time, from membership.Member, h *fleet.Heartbeat) {
	for _, g := range h.GetGrants() {
		e.quota.Add(now, g.GetCustomer(), g.GetAmount())
	}
	if len(h.GetMarks()) == 0 || from.Region == "" {
		return // a reply to RequestTokens, or the sender is not known yet
	}
	if from.Region == e.Settings().Region {
		e.picker.UpdatePeerLoads(now, h.GetName(), e.targets.decodeLoads(h.GetLoads()))
		e.targets.leaving.tell(now, h.GetLeaving())
	} else {
		e.remoteWaits.update(now, h)
	}
	e.suspects.Merge(now, h.GetSuspects())
	for _, d := range h.GetDigests() {
		e.compareDigest(now, written, from, d)
	}
}

func (r *remoteWaits) update(now time.Time, h *fleet.Heartbeat) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.byMember == nil {
		r.byMember = make(map[string]memberWaits)
	}
	byService := make(map[string]time.Duration, len(h.GetRooms()))
	for _, room := range h.GetRooms() {
		byService[room.GetService()] = time.Duration(room.GetWait() * float64(time.Millisecond))
	}
	r.byMember[h.GetName()] = memberWaits{received: now, byService: byService}
	maps.DeleteFunc(r.byMember, func(_ string, w memberWaits) bool { return now.Sub(w.received) > remoteWaitMaxAge })
}

// lookup returns the waiting time for a service that the member reported within
// remoteWaitMaxAge, and false if there is none.
func (r *remoteWaits) lookup(now time.Time, name, service string) (time.Duration, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	waits, ok := r.byMember[name]
	if !ok || now.Sub(waits.received) > remoteWaitMaxAge {
		return 0, false
	}
	wait, ok := waits.byService[service]
	return wait, ok
}

// recordLeaving records that a member said that it is stopping, which its heartbeats may
// not have told yet.
func (e *Edge) recordLeaving(now time.Time, m membership.Member) {
	m.Leaving, m.Ready, m.Heard = true, false, now
	e.memberTable.Update(m)
}

// remoteInstances returns the ready instances of the other permitted regions, in order
// of the expected wait including the round trip. It omits those that have not reported a
// waiting time for the service within remoteWaitMaxAge.
func (e *Edge) remoteInstances(now time.Time, service string, permits func(string) bool) []gateway.RemoteInstance {
	var list []gateway.RemoteInstance
	for _, m := range e.memberTable.Live(now, liveTimeout) {
		if m.Region == e.Settings().Region || m.Leaving || !m.Ready || !permits(m.Region) {
			continue
		}
		if wait, ok := e.remoteWaits.lookup(now, m.Name, service); ok {
			list = append(list, gateway.RemoteInstance{Member: m, Wait: wait + e.gossiper.RoundTripTime(m.Name)})
		}
	}
	slices.SortFunc(list, func(a, b gateway.RemoteInstance) int {
		return cmp.Or(cmp.Compare(a.Wait, b.Wait), cmp.Compare(a.Member.Name, b.Member.Name))
	})
	return list
}

// coldTargetShare returns how the region's instances divide the request rate to cold
// targets. Silent instances count for shareRetention, since they may still send
// requests. For settlePeriod after its start the instance has no share.
func (e *Edge) coldTargetShare(now time.Time) placement.ColdShare {
	s := e.Settings()
	if now.Sub(e.started) < settlePeriod {
		return placement.ColdShare{RateFactor: s.ColdRateFactor, ExtraRequests: s.ColdExtraRequests} // Instances is zero: no share
	}
	others := slices.DeleteFunc(e.sharingMembers(now), func(m membership.Member) bool { return m.Region != s.Region })
	return placement.ColdShare{Instances: len(others) + 1, Rank: membership.Rank(s.Name, others), RateFactor: s.ColdRateFactor, ExtraRequests: s.ColdExtraRequests}
}
