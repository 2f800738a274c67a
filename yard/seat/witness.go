package seat

import (
	"time"

	"chervilyard.example/yard/document"
)

// PromiseDuration is the duration of a witness's promise. For the holder it counts
// from the time at which the holder sent the heartbeat.
const PromiseDuration = 5 * time.Second

// RecordGivenPromise records that this instance answers a heartbeat of the holder.
// With the answer it promises not to claim parts of the holder for PromiseDuration.
// The bound on clock drift, maxDrift, is a fraction.
func (t *Table) RecordGivenPromise(now time.Time, holder string, maxDrift float64) {
	if t.givenPromises == nil {
		t.givenPromises = make(map[string]time.Time)
	}
	t.givenPromises[holder] = now.Add(guardedWait(PromiseDuration, maxDrift))
}

// RecordReceivedPromise records the answer of a witness to a heartbeat that this
// instance sent at the given time.
func (t *Table) RecordReceivedPromise(sent time.Time, witness string) {
	if t.receivedPromises == nil {
		t.receivedPromises = make(map[string]time.Time)
	}
	if until := sent.Add(PromiseDuration); until.After(t.receivedPromises[witness]) {
		t.receivedPromises[witness] = until
	}
}

// guardedWait returns how long to wait on this clock until d has certainly passed
// on another clock, if each drifts from true time by at most maxDrift.
func guardedWait(d time.Duration, maxDrift float64) time.Duration {
	return d + time.Duration(2*maxDrift*float64(d)) + claimMargin
}

// mayClaimAsWitness reports whether the holder of the part needs the promise of
// this instance and no such promise is in force. It returns false until a promise
// that an earlier run of this instance may have made has expired.
func (t *Table) mayClaimAsWitness(now time.Time, p Part, e *Entry, settings document.QuotaSettings) bool {
	m, ok := e.member(t.Address)
	isWitness := ok && m.Epoch <= p.Epoch
	return isWitness && !now.Before(t.givenPromises[p.Holder]) && now.Sub(t.startedAt) >= guardedWait(PromiseDuration, settings.MaxClockDrift)
}

// updateWitnesses records the other members of e as witnesses that a part needs. If
// replace is false, the previous witnesses are needed as well.
func (t *Table) updateWitnesses(key partKey, e Entry, replace bool) {
	if t.witnesses == nil {
		t.witnesses = make(map[partKey]map[string]struct{})
	}
	if replace || t.witnesses[key] == nil {
		t.witnesses[key] = make(map[string]struct{})
	}
	for _, m := range e.Members {
		if m.Address != t.Address {
			t.witnesses[key][m.Address] = struct{}{}
		}
	}
}

// Holdings returns the parts that this instance holds, including expired ones. The
// ExpiresAt of each follows from the renewals and promises received so far; it is zero
// for a part without a renewal in force, which may not be used. A holding that has expired becomes
// valid again only by a later renewal, not by a promise, because the promise may
// come from a witness that has claimed the part in the meantime.
func (t *Table) Holdings(now time.Time, settings document.QuotaSettings) []Holding {
	for key, holding := range t.holdings {
		if !holding.ExpiresAt.IsZero() && !now.Before(holding.ExpiresAt) {
			holding.expiredRenewal = holding.appliedRenewal
		}
		holding.appliedRenewal = holding.renewedAt
		holding.ExpiresAt = t.validUntil(key, holding, settings)
		t.holdings[key] = holding
	}
	return t.list()
}

// validUntil returns when the holding expires. A kept part expires after the kept
// lease, and a floating part after the floating lease. With WitnessExtension, a
// floating part stays valid beyond its lease until the first of the promises that it
// needs expires, but at most for the kept lease. The result is the zero time if no
// renewal is in force.
func (t *Table) validUntil(key partKey, holding Holding, settings document.QuotaSettings) time.Time {
	if holding.renewedAt.IsZero() || holding.renewedAt.Equal(holding.expiredRenewal) {
		return time.Time{}
	}
	end := holding.renewedAt.Add(holding.keptLease)
	if key.class == ClassKept {
		return end
	}
	leaseEnd := holding.renewedAt.Add(holding.floatingLease)
	if !settings.WitnessExtension {
		return leaseEnd
	}
	for witness := range t.witnesses[key] {
		if until := t.receivedPromises[witness]; until.Before(end) {
			end = until
		}
	}
	if end.Before(leaseEnd) {
		return leaseEnd
	}
	return end
}
