// Package seat decides who holds which part of a data centre's quota, through
// one entry of the platform's store for each data centre.
//
// An entry has two parts for each seat: a kept part, which its holder may use
// for hours without renewing it, and a floating part, which lapses after the
// lease. A claimant measures by its own clock how long a part was not renewed,
// counted from when it first saw the last renewal, so that clocks need no
// common time, only a bound on their drift.
//
// A floating part outlives its lease while the witnesses promise it: the
// instances of the data centre that the entry listed at the holder's last
// renewal, and no others, may claim it before the hold time is over, and each
// answers a heartbeat of the holder with the promise not to for a while. So a
// data centre that loses the store keeps all of its quota, and an instance
// that crashes loses its part to the others after one lease.
package seat

import (
	"fmt"
	"slices"
	"time"

	"chervilyard.example/yard/document"
)

// The classes of part.
const (
	Kept     = "kept"
	Floating = "floating"
)

// claimMargin is added to each time that a claimant waits.
const claimMargin = 100 * time.Millisecond

// Title is a part that this instance holds, and what it may do with it.
type Title struct {
	Seat  int
	Class string
	Fence int64
	Until time.Time          // the right ends then unless it is renewed
	Lean  time.Time          // until then only the part that is never lent may be used
	Fresh bool               // taken now; Full and Drawn tell the levels
	Full  bool               // customers not in Drawn start full, else empty
	Drawn map[string]float64 // levels at the last holder's release

	renewed time.Time // when the last renewal that counts was sent
	lease   time.Duration
	hold    time.Duration
	counted time.Time // the renewal that Until rests on
	lapsed  time.Time // the renewal that was in force when the right ended
}

// ID names the part and its holder's term.
func (t Title) ID() string { return fmt.Sprintf("%d/%s/%d", t.Seat, t.Class, t.Fence) }

// Table is one instance's view of its data centre's entry. It decides; reading
// and writing the store is its owner's work. It is not safe for concurrent use.
type Table struct {
	Address string // peer address of this instance
	Run     int64  // differs for each run of the process
	Centre  string

	// Handover returns how long this instance's loans still run and which
	// customers' levels are not full, as fractions; nil for not known, so that
	// what a part held is lost when it is given up.
	Handover func() (time.Duration, map[string]float64)

	started  time.Time // when this run first looked
	seen     map[spot]sighting
	members  map[spot]map[string]struct{} // witnesses that each of the own parts needs
	promises map[string]time.Time         // to this instance, until
	promised map[string]time.Time         // by this instance, until
	titles   map[spot]Title
	sent     map[spot]sentBeat
	yielded  map[spot]sentBeat
}

type spot struct {
	seat  int
	class string
}

// sighting is a state of a part and when it was first seen.
type sighting struct {
	holder string
	run    int64
	fence  int64
	beat   int64
	at     time.Time
}

type sentBeat struct {
	fence int64
	beat  int64
	at    time.Time
}

// same reports whether the part stands as it did when the beat was sent.
func (b sentBeat) same(p Part) bool { return b.fence == p.Fence && b.beat == p.Beat }

// Mates is what membership knows of the data centre.
type Mates struct {
	Seatless []string // live instances that hold no seat, by address
	Alive    []string // live instances, by address
	Gone     []string // instances that were silent for long, by address
}

// Plan returns the entry that the instance wants to write after it has read
// e, and whether it differs. Sent has to be called before the write goes out,
// and Confirm after an entry was read or written.
func (t *Table) Plan(now time.Time, e Entry, seats int, terms document.Terms, mates Mates) (Entry, bool) {
	t.observe(now, e)
	next := e.clone()
	next.fill(seats)
	changed := t.planMembers(&next, mates)
	changed = changed || len(next.Parts) != len(e.Parts)
	for i := range next.Parts {
		if p := &next.Parts[i]; p.Seat < seats {
			changed = t.planOwn(p, next.Epoch, terms) || changed
		}
	}
	free := func(p Part) bool { return p.Seat < seats && p.Holder == "" }
	lapsed := func(p Part) bool { return p.Seat < seats && p.Holder != "" }
	changed = t.planClaims(now, &next, terms, mates, free) || changed
	changed = t.planClaims(now, &next, terms, mates, lapsed) || changed
	changed = t.planYield(now, &next, terms, mates) || changed
	return next, changed
}

// planMembers lists this run of the instance, and strikes members that were
// silent for long. One that is struck and alive joins anew.
func (t *Table) planMembers(e *Entry, mates Mates) bool {
	before := len(e.Members)
	e.Members = slices.DeleteFunc(e.Members, func(m Member) bool {
		return m.Address == t.Address && m.Run != t.Run || slices.Contains(mates.Gone, m.Address)
	})
	changed := len(e.Members) != before
	if _, ok := e.member(t.Address); ok {
		return changed
	}
	e.Epoch++
	e.Members = append(e.Members, Member{Address: t.Address, Run: t.Run, Epoch: e.Epoch})
	return true
}

// planOwn renews a part of this run, and takes a part of an earlier run at the
// same address over.
func (t *Table) planOwn(p *Part, epoch int64, terms document.Terms) bool {
	if p.Holder != t.Address {
		return false
	}
	if p.Run != t.Run {
		p.take(t, epoch, terms)
		return true
	}
	p.Beat++
	p.Epoch = epoch
	p.Lease, p.Hold = terms.Lease, terms.Hold
	return true
}

// planClaims takes the parts of the kind that nobody has a right to. An
// instance without a seat goes first; one with a seat takes more only after a
// while, so that a free seat waits for a newcomer but does not lie idle.
func (t *Table) planClaims(now time.Time, e *Entry, terms document.Terms, mates Mates, kind func(Part) bool) bool {
	changed := false
	seated := e.holds(t.Address)
	for i := range e.Parts {
		p := &e.Parts[i]
		if !kind(*p) || p.Holder == t.Address || !t.claimable(now, *p, e, terms, seated) {
			continue
		}
		if seated && len(mates.Seatless) > 0 && p.Holder == "" {
			continue
		}
		if !seated && t.other(e, p.Seat) {
			continue
		}
		p.take(t, e.Epoch, terms)
		changed = true
	}
	return changed
}

// other reports whether a newcomer already takes a different seat; one is enough.
func (t *Table) other(e *Entry, seat int) bool {
	for _, p := range e.Parts {
		if p.Holder == t.Address && p.Seat != seat {
			return true
		}
	}
	return false
}

func (t *Table) claimable(now time.Time, p Part, e *Entry, terms document.Terms, seated bool) bool {
	s := t.seen[spot{p.Seat, p.Class}]
	idle := now.Sub(s.at)
	if p.Holder == "" {
		wait := guard(p.Wait, terms.Drift)
		if seated && e.part(p.Seat, Kept).Holder != t.Address {
			wait = max(wait, terms.Lease)
		}
		if p.Fence == 0 && !seated {
			return true
		}
		return idle >= wait
	}
	// The holder counts on the times that it wrote, whatever the document says
	// here by now.
	if idle >= guard(max(p.Hold, terms.Hold), terms.Drift) {
		return true
	}
	return p.Class == Floating && idle >= guard(max(p.Lease, terms.Lease), terms.Drift) && t.witnesses(now, p, e, terms)
}

// planYield frees the floating part of a seat whose kept part is renewed by
// another instance, and one seat of several when an instance has none.
func (t *Table) planYield(now time.Time, e *Entry, terms document.Terms, mates Mates) bool {
	changed := false
	held := make(map[int]bool)
	for i := range e.Parts {
		p := &e.Parts[i]
		if p.Holder != t.Address {
			continue
		}
		if p.Class == Floating && t.ownerBack(now, e, p.Seat, terms, mates) {
			t.free(p, terms)
			changed = true
			continue
		}
		held[p.Seat] = true
	}
	if len(mates.Seatless) == 0 || len(held) < 2 {
		return changed
	}
	last := -1
	for seat := range held {
		last = max(last, seat)
	}
	for i := range e.Parts {
		if p := &e.Parts[i]; p.Seat == last && p.Holder == t.Address {
			t.free(p, terms)
		}
	}
	return true
}

// ownerBack reports whether the seat's kept part belongs to another instance
// that is alive and renews it, and so can take the floating part over.
func (t *Table) ownerBack(now time.Time, e *Entry, seat int, terms document.Terms, mates Mates) bool {
	p := e.part(seat, Kept)
	if p.Holder == "" || p.Holder == t.Address || !slices.Contains(mates.Alive, p.Holder) {
		return false
	}
	return now.Sub(t.seen[spot{seat, Kept}].at) < terms.Lease
}

// free gives a part up. Loans may still run, so a claimant waits for them.
func (t *Table) free(p *Part, terms document.Terms) {
	wait, drawn := 2*terms.Loan, map[string]float64{lostLevels: 0}
	if t.Handover != nil {
		wait, drawn = t.Handover()
	}
	p.release(wait, drawn)
}

// lostLevels stands in Drawn for every customer when no level was recorded.
const lostLevels = "*"

// Release returns the entry without this instance's parts. Wait is how long its
// loans still run, and drawn the levels of customers that are not full, as
// fractions of their burst.
func (t *Table) Release(e Entry, wait time.Duration, drawn map[string]float64) (Entry, bool) {
	next := e.clone()
	changed := false
	next.Members = slices.DeleteFunc(next.Members, func(m Member) bool {
		changed = changed || m.Address == t.Address
		return m.Address == t.Address
	})
	for i := range next.Parts {
		p := &next.Parts[i]
		if p.Holder != t.Address || p.Run != t.Run {
			continue
		}
		p.release(wait, drawn)
		changed = true
	}
	return next, changed
}

// Sent notes that a write of the entry goes out now, and returns the parts that
// the instance may still use: what the write gives up is given up before, since
// it may take effect at any moment. A renewal that is sent again with the same
// beat counts from the first time.
func (t *Table) Sent(now time.Time, e Entry) []Title {
	if t.sent == nil {
		t.sent = make(map[spot]sentBeat)
		t.yielded = make(map[spot]sentBeat)
	}
	for _, p := range e.Parts {
		at := spot{p.Seat, p.Class}
		if p.Holder != t.Address || p.Run != t.Run {
			t.yield(at)
			continue
		}
		if !t.sent[at].same(p) {
			t.sent[at] = sentBeat{fence: p.Fence, beat: p.Beat, at: now}
		}
		// Until the answer comes, either list of witnesses may count.
		t.need(at, e, false)
	}
	return t.list()
}

// yield drops the right to a part. It comes back only with a later renewal,
// because the write that gives it up may still take effect.
func (t *Table) yield(at spot) {
	if _, held := t.titles[at]; !held {
		return
	}
	t.yielded[at] = t.sent[at]
	delete(t.titles, at)
}

// Landed notes that the store confirmed the write that was sent at the time,
// so that its renewals count from then even if an earlier try had the same beat.
func (t *Table) Landed(sent time.Time, e Entry) {
	for _, p := range e.Parts {
		if p.Holder == t.Address && p.Run == t.Run {
			at := spot{p.Seat, p.Class}
			t.sent[at] = sentBeat{fence: p.Fence, beat: p.Beat, at: sent}
			t.need(at, e, true)
		}
	}
}

// Confirm takes in an entry that the store is known to hold, and returns the
// parts that this instance may use by it. Before tells the entry that a write
// replaced, which shows how a newly taken part stood; it may be empty.
func (t *Table) Confirm(now time.Time, e, before Entry, terms document.Terms) []Title {
	t.observe(now, e)
	titles := make(map[spot]Title)
	for _, p := range e.Parts {
		at := spot{p.Seat, p.Class}
		if p.Holder != t.Address || p.Run != t.Run {
			continue
		}
		if gone, ok := t.yielded[at]; ok && gone.same(p) {
			continue
		}
		title, held := t.titles[at]
		if !held || title.Fence != p.Fence {
			title = t.newTitle(now, p, before, terms)
		}
		if sent := t.sent[at]; sent.same(p) {
			title.renewed, title.lease, title.hold = sent.at, p.Lease, p.Hold
		}
		titles[at] = title
	}
	t.titles = titles
	return t.Titles(now, terms)
}

func (t *Table) newTitle(now time.Time, p Part, before Entry, terms document.Terms) Title {
	title := Title{Seat: p.Seat, Class: p.Class, Fence: p.Fence, Fresh: true}
	last := before.part(p.Seat, p.Class)
	claimed := before.Centre != "" && last.Holder == "" && last.Fence == p.Fence-1
	switch {
	case claimed && p.Fence == 1:
		title.Full = true
	case claimed && last.Drawn != nil:
		_, lost := last.Drawn[lostLevels]
		title.Full = !lost
		title.Drawn = last.Drawn
	default:
		// It was another's or an earlier run's a moment ago, or is found again
		// after it was given up: nothing is known of its level and loans.
		title.Lean = now.Add(guard(terms.Loan, terms.Drift))
	}
	return title
}

func (t *Table) list() []Title {
	all := make([]Title, 0, len(t.titles))
	for at, title := range t.titles {
		all = append(all, title)
		title.Fresh = false
		t.titles[at] = title
	}
	slices.SortFunc(all, func(a, b Title) int {
		if a.Seat != b.Seat {
			return a.Seat - b.Seat
		}
		return len(a.Class) - len(b.Class)
	})
	return all
}

// observe notes when each state of a part was first seen.
func (t *Table) observe(now time.Time, e Entry) {
	if t.seen == nil {
		t.seen = make(map[spot]sighting)
		t.started = now
	}
	for _, p := range e.Parts {
		at := spot{p.Seat, p.Class}
		s := sighting{holder: p.Holder, run: p.Run, fence: p.Fence, beat: p.Beat, at: now}
		old, ok := t.seen[at]
		if ok && old.holder == s.holder && old.run == s.run && old.fence == s.fence && old.beat == s.beat {
			continue
		}
		t.seen[at] = s
	}
}
