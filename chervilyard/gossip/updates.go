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

// pendingUpdates holds the member states that are to be requested from, or sent to,
// each peer in full. Instances compare their states by fingerprints (see
// membership.Member.Fingerprint): a listed member costs one fingerprint and one
// age, however large its state is.
type pendingUpdates struct {
	requests        map[string][]uint64 // fingerprints to request, by member name
	replies         map[string][]uint64 // fingerprints that the member requested, by its name
	lastFingerprint uint64              // this instance's fingerprint in its last heartbeat
	changedAt       time.Time           // when lastFingerprint changed
}

// Heartbeat returns the heartbeat to send to a member. It consumes the pending
// requests and replies for that member.
func (g *Gossiper) Heartbeat(now time.Time, to membership.Member) *fleet.Heartbeat {
	h := g.Payload(now, to)
	self := g.Self(now)
	selfFingerprint := self.Fingerprint()
	h.Name = self.Name
	h.Marks, h.Ages = []uint64{selfFingerprint}, []int64{0}
	g.listMembers(now, self, to, h)
	replies, requests, selfChanged := g.takePending(now, selfFingerprint, to.Name)
	h.Unknown = requests
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

// listMembers adds the other members to a heartbeat. A member of the same region gets
// the full list if it has not been heard yet, and otherwise once in
// memberListIntervals. A member of another region always gets this region's members.
func (g *Gossiper) listMembers(now time.Time, self, to membership.Member, h *fleet.Heartbeat) {
	g.mu.Lock()
	listDue := g.intervalCount%memberListIntervals == 0
	g.mu.Unlock()
	remote := to.Region != "" && to.Region != self.Region
	if !listDue && !to.Heard.IsZero() && !remote {
		return
	}
	g.Members.VisitLive(now, memberRetention, func(m membership.Member, fingerprint uint64) {
		if m.Name != to.Name && (!remote || m.Region == self.Region) {
			h.Marks, h.Ages = append(h.Marks, fingerprint), append(h.Ages, AgeMillis(now, m.Heard))
		}
	})
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
