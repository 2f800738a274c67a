package edge

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"chervilyard.example/chervilyard/gateway"
	"chervilyard.example/chervilyard/gossip"
	"chervilyard.example/yard/fleet"
	"chervilyard.example/yard/hub"
	"chervilyard.example/yard/membership"
	"chervilyard.example/yard/placement"
)

// forwardPeersPerRegion is the number of instances of another region that this one forwards
// requests to where it knows the region's waiting times from a hub.
const forwardPeersPerRegion = 3

// latencyMaxAge is how old the last sample of a service's latency may be for other regions to
// be told of it.
const latencyMaxAge = 2 * time.Second

func (e *Edge) buildHeartbeats() {
	e.gossiper = &gossip.Gossiper{
		Self: e.self, Members: &e.memberTable, Now: e.now, Decisions: e.decisions,
		Seeds:        func() []string { return e.Settings().Seeds },
		Introduction: &e.introduction, Introduced: e.introduced,
		Payload: e.heartbeatPayload, Wants: e.wantedTokens, HandlePayload: e.handleHeartbeat, TakeSpare: e.quota.TakeSpare, TakeWhole: e.takeWhole,
		IssuePermit: e.issuePermit, YieldPermits: e.yieldPermits, ProveTarget: e.proveTarget,
		OnMessage: e.countPeerMessage,
	}
	e.permits.ask, e.permits.yield = e.gossiper.RequestPermit, e.gossiper.RequestYield
}

func (e *Edge) self(now time.Time) membership.Member {
	s := e.Settings()
	m := membership.Member{
		Name: s.Name, Run: e.runID, Region: s.Region, Centre: s.Centre, Callers: s.CallerAddr, Forward: s.ForwardAddr,
		Peers: s.PeerAddr, Leaving: e.leaving(), Ready: e.Ready(), Capacity: s.Capacity, Heard: now,
	}
	if u := e.unreached.Load(); u != nil {
		m.Unreached, m.Isolated = strings.Join(u.names, "\n"), u.isolated
	}
	return m
}

// heartbeatPayload returns the content of a heartbeat or a reply to a member: digests, and
// loads within the region or waiting times to other regions. A hub tells the others of its
// region the loads of all, and the waiting times of other regions.
func (e *Edge) heartbeatPayload(now time.Time, to membership.Member) *fleet.Heartbeat {
	h := &fleet.Heartbeat{
		Digests: e.digests(now), Suspects: e.suspects.Message(now, to.Name, to.Run), Grants: e.refunds.take(to.Name),
	}
	plan := e.gossiper.Plan()
	isHub := plan.Includes(e.Settings().Name)
	switch {
	case to.Region != e.Settings().Region:
		h.Rooms = e.localWaits(now)
		h.Limits = e.tellRates(now, false)
		return h
	case isHub && !plan.Includes(to.Name):
		h.Others = encodeLoads(e.picker.LoadsWithout(now, to.Name, e.tellsLoad))
		h.Rooms = e.remoteWaits.relay(now, e.gossiper.RoundTripTime)
	default:
		h.Loads = encodeLoads(slices.DeleteFunc(e.picker.Loads(now), func(l placement.Load) bool { return !e.tellsLoad(l.Target) }))
	}
	e.tellShares(now, to, h.Others != nil, h)
	h.Leaving = e.targets.leaving.list(now, isHub)
	h.Checks = e.checks.tell(now, isHub)
	h.Limits = e.tellRates(now, true)
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

// localWaits returns how long a new request would wait in this region, by service, and a less
// urgent one where that differs.
func (e *Edge) localWaits(now time.Time) []*fleet.Room {
	c := e.catalog.Load()
	if c == nil {
		return nil
	}
	coldShare := e.coldTargetShare(now)
	var list []*fleet.Room
	for _, name := range e.targets.services() {
		if e.unreached.Load().includes(name) {
			continue
		}
		targets := e.targets.usable(name)
		if wait, ok := e.picker.QueueWait(now, targets, c.Service(name), coldShare); ok {
			room := &fleet.Room{Service: name, Wait: wait.Seconds() * 1000}
			if c.HasLesser(name) {
				w := regionWait{queue: wait, lesser: noRoom}
				if lesser, ok := e.picker.LesserQueueWait(now, targets, c.Service(name), coldShare); ok {
					w.lesser = lesser
				}
				tellLesser(room, w)
			}
			if l, learnedAt, ok := e.picker.ServiceLatency(c.Service(name)); ok && now.Sub(learnedAt) <= latencyMaxAge {
				room.Base, room.Token = l.Base.Seconds()*1000, l.PerToken.Seconds()*1000
			}
			list = append(list, room)
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
	e.hearRates(now, written, h.GetLimits(), h.GetName())
	if from.Region == e.Settings().Region {
		e.heardRegion.Store(true)
		if h.GetOthers() != nil {
			e.picker.UpdateOtherLoads(now, written, h.GetName(), e.targets.decodeLoads(h.GetOthers()))
			e.remoteWaits.hearRelayed(written, h.GetRooms())
		} else {
			e.picker.UpdatePeerLoads(now, written, h.GetName(), e.targets.decodeLoads(h.GetLoads()))
		}
		e.hearShares(written, h)
		e.targets.leaving.tell(now, h.GetLeaving())
		e.hearChecks(now, written, h.GetChecks())
	} else {
		e.remoteWaits.hear(now, from.Region, h)
	}
	e.suspects.Merge(now, h.GetSuspects())
	for _, d := range h.GetDigests() {
		e.compareDigest(now, written, from, d)
	}
}

// recordLeaving records that a member said that it is stopping, which its heartbeats may
// not have told yet.
func (e *Edge) recordLeaving(now time.Time, m membership.Member) {
	m.Leaving, m.Ready, m.Heard = true, false, now
	e.memberTable.Update(m)
}

// remoteInstances returns the ready instances of the other permitted regions, in order
// of the expected wait of a request of its class including the round trip, and those of this
// region that it is to use while it is cut off itself. It omits those of which no waiting time for
// the service is known that was reported within remoteWaitMaxAge. Of a region whose waiting times a hub relayed it returns forwardPeersPerRegion instances.
func (e *Edge) remoteInstances(now time.Time, service string, lesser bool, permits func(string) bool) []gateway.RemoteInstance {
	var list []gateway.RemoteInstance
	add := func(w regionWait, members ...membership.Member) {
		wait, ok := w.forClass(lesser)
		for _, m := range members {
			list = append(list, gateway.RemoteInstance{Member: m, Wait: wait, RoundTrip: w.path, Latency: w.latency, Full: !ok})
		}
	}
	heard := make(map[string]bool) // regions
	unheard := make(map[string][]membership.Member)
	for _, m := range e.memberTable.Live(now, liveTimeout) {
		if m.Region == e.Settings().Region || m.Leaving || !m.Ready || !m.Reaches(service) || !permits(m.Region) {
			continue
		}
		if w, ok := e.remoteWaits.lookup(now, m.Name, service); ok {
			heard[m.Region] = true
			add(w.withPath(e.gossiper.RoundTripTime(m.Name)), m)
		} else {
			unheard[m.Region] = append(unheard[m.Region], m)
		}
	}
	for region, members := range unheard {
		if heard[region] {
			continue
		}
		if w, ok := e.remoteWaits.lookupRelayed(now, region, service); ok {
			add(w, hub.NearestWeighted(e.Settings().Name, members, forwardPeersPerRegion)...)
		}
	}
	if e.unreached.Load().includes(service) && permits(e.Settings().Region) {
		list = append(list, e.instancesBeside(now, service)...)
	}
	slices.SortStableFunc(list, func(a, b gateway.RemoteInstance) int { return cmp.Compare(a.Wait, b.Wait) })
	return list
}
