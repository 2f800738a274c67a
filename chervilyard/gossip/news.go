package gossip

import (
	"time"

	"chervilyard.example/chervilyard/journal"
	"chervilyard.example/yard/fleet"
	"chervilyard.example/yard/membership"
)

// freshTime is how long an instance sends itself in full after a change of what
// it says of itself, so that nobody has to ask.
const freshTime = time.Second

// news keeps what instances still have to tell each other in full. What they
// know of each other is compared by marks: a list of members costs a mark and an
// age for each, however much each says of itself.
type news struct {
	asks map[string][]uint64 // marks to ask a member for, by its name
	owed map[string][]uint64 // marks that a member asked for
	mark uint64              // of this instance, by its last heartbeat
	told time.Time           // when that changed
}

// Heartbeat returns what this instance says to a member.
func (d *Duty) Heartbeat(now time.Time, to membership.Member) *fleet.Heartbeat {
	h := d.Say(now, to)
	self := d.Self(now)
	mark := self.Mark()
	h.Name = self.Name
	h.Marks, h.Ages = []uint64{mark}, []int64{0}
	for _, m := range d.list(now, self, to) {
		h.Marks, h.Ages = append(h.Marks, m.Mark()), append(h.Ages, Age(now, m.Heard))
	}
	owed, asks, fresh := d.due(now, mark, to.Name)
	h.Unknown = asks
	if fresh || to.Heard.IsZero() {
		h.Members = append(h.Members, message(now, self))
	}
	for _, one := range owed {
		if one == mark {
			h.Members = append(h.Members, message(now, self))
		} else if m, ok := d.Table.Find(one); ok {
			h.Members = append(h.Members, message(now, m))
		}
	}
	return h
}

// due returns the marks that the member is owed and those to ask it for, and
// whether what this instance says of itself is new.
func (d *Duty) due(now time.Time, mark uint64, to string) (owed, asks []uint64, fresh bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	n := &d.news
	if mark != n.mark {
		n.mark, n.told = mark, now
	}
	owed, asks = n.owed[to], n.asks[to]
	delete(n.owed, to)
	delete(n.asks, to)
	return owed, asks, now.Sub(n.told) < freshTime
}

// list returns the members whose state a heartbeat tells: to one that was not
// heard yet and from time to time to those of the region all, to other regions
// this one's.
func (d *Duty) list(now time.Time, self, to membership.Member) []membership.Member {
	d.mu.Lock()
	turn := d.beats%listEvery == 0
	d.mu.Unlock()
	away := to.Region != "" && to.Region != self.Region
	if !turn && !to.Heard.IsZero() && !away {
		return nil
	}
	var list []membership.Member
	for _, m := range d.Table.Live(now, forget) {
		if m.Name != to.Name && (!away || m.Region == self.Region) {
			list = append(list, m)
		}
	}
	return list
}

// learn takes in which members a heartbeat tells of and returns its sender,
// with no more than its name where it is not known yet.
func (d *Duty) learn(now, written time.Time, h *fleet.Heartbeat) membership.Member {
	self := d.Self(now)
	for _, one := range h.GetMembers() {
		m := member(written, one)
		if m.Name == self.Name {
			continue
		}
		if d.Table.Hear(m) {
			d.Journal.Note(journal.Decision{Time: now, Kind: "member", Choice: "joined", Target: m.Name, Centre: m.Centre, Reason: "told by " + h.GetName()})
		}
	}
	var asks []uint64
	mine := self.Mark()
	for i, mark := range h.GetMarks() {
		if mark == mine || i >= len(h.GetAges()) {
			continue
		}
		heard := written.Add(-time.Duration(max(h.GetAges()[i], 0)) * time.Millisecond)
		if !d.Table.Renew(mark, heard) {
			asks = append(asks, mark)
		}
	}
	d.remember(h.GetName(), asks, h.GetUnknown())
	from, ok := d.Table.Get(h.GetName())
	if !ok {
		from.Name = h.GetName()
	}
	return from
}

// remember keeps what the next heartbeat to the member asks and answers.
func (d *Duty) remember(name string, asks, owed []uint64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	n := &d.news
	if n.asks == nil {
		n.asks, n.owed = make(map[string][]uint64), make(map[string][]uint64)
	}
	if len(asks) > 0 {
		n.asks[name] = asks
	}
	if len(owed) > 0 {
		n.owed[name] = owed
	}
}
