package gossip

import (
	"time"

	"chervilyard.example/chervilyard/decisionlog"
	"chervilyard.example/yard/fleet"
	"chervilyard.example/yard/membership"
)

// selfUpdatePeriod is how long after a change of its own state an instance includes
// that state in full in every heartbeat. It saves peers from requesting it.
const selfUpdatePeriod = time.Second

// maxChanges is the number of changed members in a heartbeat of a hub. The lists of members
// tell of the others.
const maxChanges = 16

// pendingUpdates holds the member states that are to be requested from, or sent to,
// each peer in full. Instances compare their states by fingerprints (see
// membership.Member.Fingerprint): a listed member costs one fingerprint and one
// age, however large its state is.
type pendingUpdates struct {
	requests        map[string][]uint64 // fingerprints to request, by member name
	replies         map[string][]uint64 // fingerprints that the member requested, by its name
	lists           map[string]bool     // names of members that asked for the list
	lastFingerprint uint64              // this instance's fingerprint in its last heartbeat
	changedAt       time.Time           // when lastFingerprint changed
}

// Heartbeat returns the heartbeat to send to a member. It consumes the pending
// requests and replies for that member.
func (g *Gossiper) Heartbeat(now time.Time, to membership.Member) *fleet.Heartbeat {
	h := g.Payload(now, to)
	self := g.Self(now)
	selfFingerprint := self.Fingerprint()
	h.Name, h.Count = self.Name, g.countRegion()
	h.Marks, h.Ages = []uint64{selfFingerprint}, []int64{0}
	g.listMembers(now, self, to, h)
	replies, requests, selfChanged := g.takePending(now, selfFingerprint, to.Name)
	h.Unknown = requests
	g.addChanges(now, self, to, h)
	if selfChanged || to.Heard.IsZero() {
		h.Members = append(h.Members, memberToProto(now, self))
	}
	for _, fingerprint := range replies {
		if fingerprint == selfFingerprint {
			h.Members = append(h.Members, memberToProto(now, self))
		} else if m, ok := g.Members.ByFingerprint(fingerprint); ok {
			h.Members = append(h.Members, memberToProto(now, m))
		}
	}
	return h
}

// takePending removes and returns the fingerprints of the states to send to the member
// in full, and of those to request from it. It also reports whether this instance's own
// state changed within selfUpdatePeriod.
func (g *Gossiper) takePending(now time.Time, selfFingerprint uint64, to string) (replies, requests []uint64, selfChanged bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	p := &g.pending
	if selfFingerprint != p.lastFingerprint {
		p.lastFingerprint, p.changedAt = selfFingerprint, now
	}
	replies, requests = p.replies[to], p.requests[to]
	delete(p.replies, to)
	delete(p.requests, to)
	return replies, requests, now.Sub(p.changedAt) < selfUpdatePeriod
}

// addChanges adds to a heartbeat of a hub the members whose state changed since its last
// heartbeat to the same member. Another region gets those of this region.
func (g *Gossiper) addChanges(now time.Time, self, to membership.Member, h *fleet.Heartbeat) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.plan.Includes(self.Name) || to.Name == "" {
		return
	}
	if g.toldChanges == nil {
		g.toldChanges = make(map[string]uint64)
	}
	told, ok := g.toldChanges[to.Name]
	if !ok || to.Heard.IsZero() { // it gets the list
		g.toldChanges[to.Name] = g.Members.Changes()
		return
	}
	changed, last := g.Members.ChangedSince(told, maxChanges)
	g.toldChanges[to.Name] = last
	for _, m := range changed {
		if m.Name != to.Name && (to.Region == self.Region || m.Region == self.Region) {
			h.Members = append(h.Members, memberToProto(now, m))
		}
	}
}

// request returns the heartbeat with which to begin an exchange with a member. It asks for
// the list of members if none has been received for some time, since the receiver sends
// none by itself if it knows of hubs, if another one of the region knows more instances, and
// if the member was silent: others may have returned with it.
func (g *Gossiper) request(now time.Time, to membership.Member) *fleet.Heartbeat {
	h := g.Heartbeat(now, to)
	h.Wants = g.Wants(now)
	h.Trip = (g.RoundTripTime(to.Name) + time.Millisecond - 1).Milliseconds()
	g.mu.Lock()
	defer g.mu.Unlock()
	interval := directListInterval
	if !g.plan.Direct() {
		interval = hubListInterval
	}
	h.List = now.Sub(g.listReceivedAt) >= interval || g.regionCount < g.largerCount || now.Sub(to.Heard) > silentAfter
	g.largerCount = 0
	return h
}

// listMembers adds the other members to a heartbeat. A member of the same region gets
// the full list if it has not been heard yet or asked for it, and otherwise, in a region
// without hubs, once in memberListIntervals. A member of another region always gets this
// region's members.
func (g *Gossiper) listMembers(now time.Time, self, to membership.Member, h *fleet.Heartbeat) {
	remote := to.Region != "" && to.Region != self.Region
	if !remote && !to.Heard.IsZero() && !g.listDue(to.Name) {
		return
	}
	g.Members.VisitLive(now, memberRetention, func(m membership.Member, fingerprint uint64) {
		if m.Name != to.Name && (!remote || m.Region == self.Region) {
			h.Marks, h.Ages = append(h.Marks, fingerprint), append(h.Ages, AgeMillis(now, m.Heard))
		}
	})
}

// listDue reports whether a member of the region gets the list of members with the next
// heartbeat.
func (g *Gossiper) listDue(name string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	asked := g.pending.lists[name]
	delete(g.pending.lists, name)
	return asked || g.plan.Direct() && g.intervalCount%memberListIntervals == 0
}

// mergeMembers updates the member table from a heartbeat and returns the sender. If the
// sender is not in the table, only the name is set in the result.
func (g *Gossiper) mergeMembers(now, written time.Time, h *fleet.Heartbeat) membership.Member {
	self := g.Self(now)
	for _, received := range h.GetMembers() {
		m := memberFromProto(written, received)
		if m.Name == self.Name {
			continue
		}
		if g.Members.Update(m) {
			g.Decisions.Record(decisionlog.Decision{Time: now, Kind: "member", Choice: "joined", Target: m.Name, Centre: m.Centre, Reason: "told by " + h.GetName()})
		}
	}
	var requests []uint64
	selfFingerprint := self.Fingerprint()
	for i, fingerprint := range h.GetMarks() {
		if fingerprint == selfFingerprint || i >= len(h.GetAges()) {
			continue
		}
		heard := written.Add(-time.Duration(max(h.GetAges()[i], 0)) * time.Millisecond)
		if !g.Members.RecordHeartbeat(fingerprint, heard) {
			requests = append(requests, fingerprint)
		}
	}
	g.addPending(h.GetName(), requests, h.GetUnknown())
	g.noteList(now, h)
	from, ok := g.Members.Get(h.GetName())
	if !ok {
		from.Name = h.GetName()
	}
	if from.Region == self.Region {
		g.noteCount(h.GetCount())
	}
	return from
}

// addPending records the fingerprints of the states that the next heartbeat to the
// member requests, and of those that it contains as replies.
func (g *Gossiper) addPending(name string, requests, replies []uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	p := &g.pending
	if p.requests == nil {
		p.requests, p.replies = make(map[string][]uint64), make(map[string][]uint64)
	}
	if len(requests) > 0 {
		p.requests[name] = requests
	}
	if len(replies) > 0 {
		p.replies[name] = replies
	}
}

// noteList records whether the heartbeat contained the list of members, and whether it asks
// for it.
func (g *Gossiper) noteList(now time.Time, h *fleet.Heartbeat) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if len(h.GetMarks()) > 1 {
		g.listReceivedAt = now
	}
	if !h.GetList() {
		return
	}
	if g.pending.lists == nil {
		g.pending.lists = make(map[string]bool)
	}
	g.pending.lists[h.GetName()] = true
}

// countRegion returns the number of instances of this instance's region as of the last
// interval.
func (g *Gossiper) countRegion() int64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.regionCount
}

// noteCount records the number of instances of the region that another one knows.
func (g *Gossiper) noteCount(n int64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.largerCount = max(g.largerCount, n)
}
