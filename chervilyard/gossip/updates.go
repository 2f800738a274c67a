package gossip

import (
	"math/rand/v2"
	"slices"
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

// maxNeighbours is the number of members of an instance's own region that one of another region
// tells it of. They tell it of the others.
const maxNeighbours = 8

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
	h.Name, h.Count, h.Partial = self.Name, g.countRegion(), !g.Introduced(now)
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
// the list of members while this instance may not know its region, and if the member was silent:
// others may have returned with it. It asks one of its region also if none has been received for
// some time, since the receiver sends none by itself if it knows of hubs, and if another one of
// the region knows more instances.
func (g *Gossiper) request(now time.Time, to membership.Member) *fleet.Heartbeat {
	self, h := g.Self(now), g.Heartbeat(now, to)
	h.Wants = g.Wants(now)
	h.Trip = (g.RoundTripTime(to.Name) + time.Millisecond - 1).Milliseconds()
	g.mu.Lock()
	defer g.mu.Unlock()
	interval := directListInterval
	if !g.plan.Direct() {
		interval = hubListInterval
	}
	h.List = h.GetPartial() || now.Sub(to.Heard) > silentAfter
	if to.Region == self.Region {
		h.List = h.List || now.Sub(g.listReceivedAt) >= interval || g.regionCount < g.largerCount
		g.largerCount = 0
	}
	return h
}

// listMembers adds the other members to a heartbeat. A member of the same region gets
// the full list if it has not been heard yet or asked for it, and otherwise, in a region
// without hubs, once in memberListIntervals. A member of another region always gets this
// region's members, and some of its own if it asked for the list.
func (g *Gossiper) listMembers(now time.Time, self, to membership.Member, h *fleet.Heartbeat) {
	remote := to.Region != "" && to.Region != self.Region
	asked, due := g.listDue(to.Name)
	if remote && asked {
		g.addNeighbours(now, to, h)
	}
	if !remote && !to.Heard.IsZero() && !asked && !due {
		return
	}
	g.Members.VisitLive(now, memberRetention, func(m membership.Member, fingerprint uint64) {
		if m.Name != to.Name && (!remote || m.Region == self.Region) {
			h.Marks, h.Ages = append(h.Marks, fingerprint), append(h.Ages, AgeMillis(now, m.Heard))
		}
	})
}

// addNeighbours adds live members of the region of a member of another region, and how many
// that region has. Instances of a region that start together may all ask this one while they do
// not reach each other's seed.
func (g *Gossiper) addNeighbours(now time.Time, to membership.Member, h *fleet.Heartbeat) {
	neighbours := slices.DeleteFunc(g.Members.All(), func(m membership.Member) bool { return m.Region != to.Region || m.Name == to.Name })
	h.Neighbours = int64(1 + countRecent(now, neighbours))
	live := slices.DeleteFunc(neighbours, func(m membership.Member) bool { return now.Sub(m.Heard) > silentAfter })
	rand.Shuffle(len(live), func(a, b int) { live[a], live[b] = live[b], live[a] })
	for _, m := range live[:min(len(live), maxNeighbours)] {
		h.Members = append(h.Members, memberToProto(now, m))
	}
}

// listDue reports whether a member asked for the list of members, and whether a member of the
// region gets it with the next heartbeat without asking.
func (g *Gossiper) listDue(name string) (asked, due bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	asked = g.pending.lists[name]
	delete(g.pending.lists, name)
	return asked, g.plan.Direct() && g.intervalCount%memberListIntervals == 0
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
	from, ok := g.Members.Get(h.GetName())
	if !ok {
		from.Name = h.GetName()
	}
	g.noteList(now, from.Region == self.Region, h)
	switch from.Region {
	case self.Region:
		g.noteCount(h.GetCount())
		g.Introduction.RecordRegionSize(int(h.GetCount()), true)
	case "":
	default:
		g.Introduction.RecordRegionSize(int(h.GetNeighbours()), false)
	}
	return from
}

// recordIntroduction records what the reply to a heartbeat says of this instance's region.
func (g *Gossiper) recordIntroduction(address string, from membership.Member, h, reply *fleet.Heartbeat) {
	self := g.Self(g.Now())
	local := from.Region == self.Region
	if from.Region == "" || !h.GetList() || local && !g.knowsAll(self, reply.GetMarks()) {
		return
	}
	if slices.Contains(g.Seeds(), address) {
		g.Introduction.RecordAnswer(address)
	}
	if local && !reply.GetPartial() {
		g.Introduction.RecordList()
	}
}

// knowsAll reports whether the members with the given fingerprints are known.
func (g *Gossiper) knowsAll(self membership.Member, fingerprints []uint64) bool {
	return !slices.ContainsFunc(fingerprints, func(fingerprint uint64) bool {
		_, known := g.Members.ByFingerprint(fingerprint)
		return !known && fingerprint != self.Fingerprint()
	})
}

// addReply adds a fingerprint to those of the states that the next heartbeat to the member
// contains.
func (g *Gossiper) addReply(name string, fingerprint uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !slices.Contains(g.pending.replies[name], fingerprint) {
		if g.pending.replies == nil {
			g.pending.requests, g.pending.replies = make(map[string][]uint64), make(map[string][]uint64)
		}
		g.pending.replies[name] = append(g.pending.replies[name], fingerprint)
	}
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

// noteList records whether the heartbeat contained the list of members of this region, and
// whether it asks for the list.
func (g *Gossiper) noteList(now time.Time, local bool, h *fleet.Heartbeat) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if local && len(h.GetMarks()) > 1 {
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
