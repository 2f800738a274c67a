// Package seat leases the shares of a data centre's quota to its instances. A
// seat is one share. The leases are recorded in a store entry per data centre.
//
// An entry has two parts for each seat: a kept part, which its holder may use for
// the kept lease, typically hours, without renewing it, and a floating part, which
// expires after the floating lease. A claimant measures on its own clock how long a
// part has not been renewed, counted from the time at which it first observed the
// last renewal. The clocks therefore need no common time, only a bound on their
// drift.
//
// A floating part outlives its lease while the witnesses confirm it. Its
// witnesses are the instances of the data centre that the entry listed at the
// holder's last renewal; only they may claim the part before the kept lease has
// passed. Each witness answers a heartbeat of the holder with a promise not to
// claim the part for a limited time. A data centre that loses the store therefore
// keeps all of its quota, and an instance that crashes loses its part to the
// others after one floating lease.
package seat

import (
	"fmt"
	"slices"
	"time"

	"chervilyard.example/yard/document"
)

// Classes of parts.
const (
	ClassKept     = "kept"
	ClassFloating = "floating"
)

// claimMargin is added to each wait for a duration on the clock of another
// instance.
const claimMargin = 100 * time.Millisecond

// Holding describes a part that this instance holds and how the part may be used.
type Holding struct {
	Seat              int
	Class             string
	Fence             int64
	ExpiresAt         time.Time          // not usable from this time on; moved by renewals and promises
	RetainedOnlyUntil time.Time          // until this time only the fraction that is never lent may be used
	Fresh             bool               // newly taken; DefaultFull and InitialLevels give the initial levels
	DefaultFull       bool               // if true, customers not in InitialLevels start full; if false, empty
	InitialLevels     map[string]float64 // levels at the previous holder's release, by customer, as fractions of the burst

	renewedAt      time.Time     // when the last confirmed renewal was sent
	floatingLease  time.Duration // Part.FloatingLease of that renewal
	keptLease      time.Duration // Part.KeptLease of that renewal
	appliedRenewal time.Time     // renewedAt from which ExpiresAt was computed
	expiredRenewal time.Time     // renewedAt in force when the holding last expired
}

// ID returns an identifier of the part and its fencing token.
func (h Holding) ID() string { return fmt.Sprintf("%d/%s/%d", h.Seat, h.Class, h.Fence) }

// Table is an instance's view of the entry of its data centre. It makes the
// decisions; the caller reads and writes the store. A Table is not safe for
// concurrent use.
type Table struct {
	Address string // peer address of this instance
	Run     int64  // unique for each run of the process
	Centre  string

	// ReleaseState returns the time until this instance's last loan ends, and the
	// levels of the buckets that are not full, by customer, as fractions of the burst. If
	// ReleaseState is nil, the level of a released part is lost, and its claimants
	// wait for twice the loan duration.
	ReleaseState func() (time.Duration, map[string]float64)

	startedAt        time.Time // when this run first observed the entry
	observations     map[partKey]observation
	witnesses        map[partKey]map[string]struct{} // whose promises each held part needs, by address
	receivedPromises map[string]time.Time            // expiry, by address of the witness
	givenPromises    map[string]time.Time            // expiry, by address of the holder
	holdings         map[partKey]Holding
	sentRenewals     map[partKey]sentRenewal
	releasedRenewals map[partKey]sentRenewal // last renewal sent before the part was released
}

// partKey identifies a part within an entry.
type partKey struct {
	seat  int
	class string
}

// observation is a state of a part and the time at which it was first observed.
type observation struct {
	holder   string
	run      int64
	fence    int64
	renewals int64
	at       time.Time
}

// sentRenewal is a renewal of a part and the time from which it counts: that of the
// confirmed write or, until a write is confirmed, of the first attempt.
type sentRenewal struct {
	fence    int64
	renewals int64
	at       time.Time
}

// matches reports whether the part is still in the state that the renewal wrote.
func (r sentRenewal) matches(p Part) bool { return r.fence == p.Fence && r.renewals == p.Renewals }

// Liveness is the state of the data centre's instances according to membership.
type Liveness struct {
	WithoutSeat []string // addresses of live instances without a seat
	Alive       []string // addresses of live instances
	Unreachable []string // addresses of instances that have long been unreachable
}

// Plan returns the entry that the instance should write after it has read e, and
// reports whether it differs from e. The caller must call BeginWrite before it
// sends the write, and ApplyEntry after it has read or written an entry.
func (t *Table) Plan(now time.Time, e Entry, seats int, settings document.QuotaSettings, peers Liveness) (Entry, bool) {
	t.observe(now, e)
	next := e.clone()
	next.addMissingParts(seats)
	changed := t.planMembers(&next, peers)
	changed = changed || len(next.Parts) != len(e.Parts)
	for i := range next.Parts {
		if p := &next.Parts[i]; p.Seat < seats {
			changed = t.planOwn(p, next.Epoch, settings) || changed
		}
	}
	isFree := func(p Part) bool { return p.Seat < seats && p.Holder == "" }
	isHeld := func(p Part) bool { return p.Seat < seats && p.Holder != "" }
	changed = t.planClaims(now, &next, settings, peers, isFree) || changed
	changed = t.planClaims(now, &next, settings, peers, isHeld) || changed
	changed = t.planReleases(now, &next, settings, peers) || changed
	return next, changed
}

// planMembers adds this run of the instance to the members, and removes an earlier
// run at its address and members that have long been unreachable. A removed member
// that is alive joins again.
func (t *Table) planMembers(e *Entry, peers Liveness) bool {
	before := len(e.Members)
	e.Members = slices.DeleteFunc(e.Members, func(m Member) bool {
		return m.Address == t.Address && m.Run != t.Run || slices.Contains(peers.Unreachable, m.Address)
	})
	changed := len(e.Members) != before
	if _, ok := e.member(t.Address); ok {
		return changed
	}
	e.Epoch++
	e.Members = append(e.Members, Member{Address: t.Address, Run: t.Run, Epoch: e.Epoch})
	return true
}

// planOwn renews a part that this run holds, and takes over a part that an earlier
// run at the same address held.
func (t *Table) planOwn(p *Part, epoch int64, settings document.QuotaSettings) bool {
	if p.Holder != t.Address {
		return false
	}
	if p.Run != t.Run {
		p.assign(t, epoch, settings)
		return true
	}
	p.Renewals++
	p.Epoch = epoch
	p.FloatingLease, p.KeptLease = settings.FloatingLease, settings.KeptLease
	return true
}

// planClaims claims the parts accepted by filter to which no instance has a right.
// Instances without a seat have precedence. An instance with a seat claims more
// only after a delay, so a free seat is available to a new instance but does not
// stay unused.
func (t *Table) planClaims(now time.Time, e *Entry, settings document.QuotaSettings, peers Liveness, filter func(Part) bool) bool {
	changed := false
	hasSeat := e.holds(t.Address)
	for i := range e.Parts {
		p := &e.Parts[i]
		if !filter(*p) || p.Holder == t.Address || !t.claimable(now, *p, e, settings, hasSeat) {
			continue
		}
		if hasSeat && len(peers.WithoutSeat) > 0 && p.Holder == "" {
			continue
		}
		if !hasSeat && t.claimsOtherSeat(e, p.Seat) {
			continue
		}
		p.assign(t, e.Epoch, settings)
		changed = true
	}
	return changed
}

// claimsOtherSeat reports whether this instance holds a part of a different seat in
// e. An instance without a seat claims only one.
func (t *Table) claimsOtherSeat(e *Entry, seat int) bool {
	for _, p := range e.Parts {
		if p.Holder == t.Address && p.Seat != seat {
			return true
		}
	}
	return false
}

// claimable reports whether this instance may claim the part now.
func (t *Table) claimable(now time.Time, p Part, e *Entry, settings document.QuotaSettings, hasSeat bool) bool {
	seen := t.observations[partKey{p.Seat, p.Class}]
	sinceRenewal := now.Sub(seen.at)
	if p.Holder == "" {
		delay := guardedWait(p.LoanWait, settings.MaxClockDrift)
		if hasSeat && e.part(p.Seat, ClassKept).Holder != t.Address {
			delay = max(delay, settings.FloatingLease)
		}
		if p.Fence == 0 && !hasSeat {
			return true
		}
		return sinceRenewal >= delay
	}
	// The holder applies the durations that it wrote, even if the document of this
	// instance has others by now.
	if sinceRenewal >= guardedWait(max(p.KeptLease, settings.KeptLease), settings.MaxClockDrift) {
		return true
	}
	return p.Class == ClassFloating && sinceRenewal >= guardedWait(max(p.FloatingLease, settings.FloatingLease), settings.MaxClockDrift) && t.mayClaimAsWitness(now, p, e, settings)
}

// planReleases releases the floating part of each seat whose kept part another
// instance renews. If another instance has no seat and this one has several, it
// also releases the seat with the highest number.
func (t *Table) planReleases(now time.Time, e *Entry, settings document.QuotaSettings, peers Liveness) bool {
	changed := false
	held := make(map[int]bool)
	for i := range e.Parts {
		p := &e.Parts[i]
		if p.Holder != t.Address {
			continue
		}
		if p.Class == ClassFloating && t.keptRenewedByOther(now, e, p.Seat, settings, peers) {
			t.releasePart(p, settings)
			changed = true
			continue
		}
		held[p.Seat] = true
	}
	if len(peers.WithoutSeat) == 0 || len(held) < 2 {
		return changed
	}
	last := -1
	for seat := range held {
		last = max(last, seat)
	}
	for i := range e.Parts {
		if p := &e.Parts[i]; p.Seat == last && p.Holder == t.Address {
			t.releasePart(p, settings)
		}
	}
	return true
}

// keptRenewedByOther reports whether another live instance holds and renews the
// kept part of the seat, and can therefore take over the floating part.
func (t *Table) keptRenewedByOther(now time.Time, e *Entry, seat int, settings document.QuotaSettings, peers Liveness) bool {
	p := e.part(seat, ClassKept)
	if p.Holder == "" || p.Holder == t.Address || !slices.Contains(peers.Alive, p.Holder) {
		return false
	}
	return now.Sub(t.observations[partKey{seat, ClassKept}].at) < settings.FloatingLease
}

// releasePart releases a part and records the time that a claimant has to wait for
// outstanding loans.
func (t *Table) releasePart(p *Part, settings document.QuotaSettings) {
	wait, levels := 2*settings.LoanDuration, map[string]float64{unknownLevels: 0}
	if t.ReleaseState != nil {
		wait, levels = t.ReleaseState()
	}
	p.release(wait, levels)
}

// unknownLevels is the key in ReleaseLevels that marks the levels of all customers as
// unknown.
const unknownLevels = "*"

// Release returns the entry without this instance as a member or holder, and
// reports whether it differs from e. For the next holders it records wait, the time
// until the instance's last loan ends, and levels, the levels of the buckets that are
// not full, by customer, as fractions of their burst.
func (t *Table) Release(e Entry, wait time.Duration, levels map[string]float64) (Entry, bool) {
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
		p.release(wait, levels)
		changed = true
	}
	return next, changed
}

// BeginWrite records that the caller is about to write e, and returns the parts
// that the instance may still use. Parts that the write releases are no longer
// among them, because the write may take effect at any moment. A renewal that is
// sent again with the same Renewals counts from its first time.
func (t *Table) BeginWrite(now time.Time, e Entry) []Holding {
	if t.sentRenewals == nil {
		t.sentRenewals = make(map[partKey]sentRenewal)
		t.releasedRenewals = make(map[partKey]sentRenewal)
	}
	for _, p := range e.Parts {
		key := partKey{p.Seat, p.Class}
		if p.Holder != t.Address || p.Run != t.Run {
			t.dropHolding(key)
			continue
		}
		if !t.sentRenewals[key].matches(p) {
			t.sentRenewals[key] = sentRenewal{fence: p.Fence, renewals: p.Renewals, at: now}
		}
		// Until the write is confirmed, the old or the new witnesses may apply.
		t.updateWitnesses(key, e, false)
	}
	return t.list()
}

// dropHolding removes the holding of a part. Only a later renewal can restore it,
// because the write that releases the part may still take effect.
func (t *Table) dropHolding(key partKey) {
	if _, held := t.holdings[key]; !held {
		return
	}
	t.releasedRenewals[key] = t.sentRenewals[key]
	delete(t.holdings, key)
}

// WriteConfirmed records that the store confirmed the write of e that was sent at
// the given time. Its renewals then count from that time, even if an earlier
// attempt had the same Renewals.
func (t *Table) WriteConfirmed(sent time.Time, e Entry) {
	for _, p := range e.Parts {
		if p.Holder == t.Address && p.Run == t.Run {
			key := partKey{p.Seat, p.Class}
			t.sentRenewals[key] = sentRenewal{fence: p.Fence, renewals: p.Renewals, at: sent}
			t.updateWitnesses(key, e, true)
		}
	}
}

// ApplyEntry applies an entry that the store is known to hold, and returns the
// resulting Holdings. If e was written, before is the entry that it
// replaced and gives the previous state of newly taken parts; otherwise it may be
// the zero Entry.
func (t *Table) ApplyEntry(now time.Time, e, before Entry, settings document.QuotaSettings) []Holding {
	t.observe(now, e)
	holdings := make(map[partKey]Holding)
	for _, p := range e.Parts {
		key := partKey{p.Seat, p.Class}
		if p.Holder != t.Address || p.Run != t.Run {
			continue
		}
		if released, ok := t.releasedRenewals[key]; ok && released.matches(p) {
			continue
		}
		holding, held := t.holdings[key]
		if !held || holding.Fence != p.Fence {
			holding = t.newHolding(now, p, before, settings)
		}
		if renewal := t.sentRenewals[key]; renewal.matches(p) {
			holding.renewedAt, holding.floatingLease, holding.keptLease = renewal.at, p.FloatingLease, p.KeptLease
		}
		holdings[key] = holding
	}
	t.holdings = holdings
	return t.Holdings(now, settings)
}

// newHolding returns the holding of a newly taken part.
func (t *Table) newHolding(now time.Time, p Part, before Entry, settings document.QuotaSettings) Holding {
	holding := Holding{Seat: p.Seat, Class: p.Class, Fence: p.Fence, Fresh: true}
	previous := before.part(p.Seat, p.Class)
	wasFree := before.Centre != "" && previous.Holder == "" && previous.Fence == p.Fence-1
	switch {
	case wasFree && p.Fence == 1:
		holding.DefaultFull = true
	case wasFree && previous.ReleaseLevels != nil:
		_, unknown := previous.ReleaseLevels[unknownLevels]
		holding.DefaultFull = !unknown
		holding.InitialLevels = previous.ReleaseLevels
	default:
		// Another instance or an earlier run held the part until now, or the part
		// was released and is held again. Its level and loans are unknown.
		holding.RetainedOnlyUntil = now.Add(guardedWait(settings.LoanDuration, settings.MaxClockDrift))
	}
	return holding
}

// list returns the holdings by seat, the kept part first, and clears Fresh in the
// stored ones, so that a new holding is reported as fresh only once.
func (t *Table) list() []Holding {
	all := make([]Holding, 0, len(t.holdings))
	for key, holding := range t.holdings {
		all = append(all, holding)
		holding.Fresh = false
		t.holdings[key] = holding
	}
	slices.SortFunc(all, func(a, b Holding) int {
		if a.Seat != b.Seat {
			return a.Seat - b.Seat
		}
		return len(a.Class) - len(b.Class)
	})
	return all
}

// observe records the current state of each part and when it was first observed.
func (t *Table) observe(now time.Time, e Entry) {
	if t.observations == nil {
		t.observations = make(map[partKey]observation)
		t.startedAt = now
	}
	for _, p := range e.Parts {
		key := partKey{p.Seat, p.Class}
		current := observation{holder: p.Holder, run: p.Run, fence: p.Fence, renewals: p.Renewals, at: now}
		old, ok := t.observations[key]
		if ok && old.holder == current.holder && old.run == current.run && old.fence == current.fence && old.renewals == current.renewals {
			continue
		}
		t.observations[key] = current
	}
}
