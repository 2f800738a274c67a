package seat

import (
	"time"

	"chervilyard.example/yard/document"
)

// PromiseTime is how long a witness's promise lasts for the holder, from when
// the holder sent the heartbeat.
const PromiseTime = 5 * time.Second

// Promise notes that this instance answers a heartbeat of the holder, and so
// promises not to claim its parts for a while.
func (t *Table) Promise(now time.Time, holder string, drift float64) {
	if t.promised == nil {
		t.promised = make(map[string]time.Time)
	}
	t.promised[holder] = now.Add(guard(PromiseTime, drift))
}

// Promised notes the answer to a heartbeat that was sent at the time.
func (t *Table) Promised(sent time.Time, witness string) {
	if t.promises == nil {
		t.promises = make(map[string]time.Time)
	}
	if until := sent.Add(PromiseTime); until.After(t.promises[witness]) {
		t.promises[witness] = until
	}
}

// guard is how long this clock has to wait so that another has surely seen the
// time pass, where each drifts from true time by up to the bound.
func guard(d time.Duration, drift float64) time.Duration {
	return d + time.Duration(2*drift*float64(d)) + claimMargin
}

// witnesses reports whether this instance is one whose promise the holder
// needs, and no promise of it is out. An earlier run may have made one.
func (t *Table) witnesses(now time.Time, p Part, e *Entry, terms document.Terms) bool {
	m, ok := e.member(t.Address)
	known := ok && m.Epoch <= p.Epoch
	return known && !now.Before(t.promised[p.Holder]) && now.Sub(t.started) >= guard(PromiseTime, terms.Drift)
}

// need notes which witnesses a part needs by an entry: in place of those known
// before, or in addition to them.
func (t *Table) need(at spot, e Entry, only bool) {
	if t.members == nil {
		t.members = make(map[spot]map[string]struct{})
	}
	if only || t.members[at] == nil {
		t.members[at] = make(map[string]struct{})
	}
	for _, m := range e.Members {
		if m.Address != t.Address {
			t.members[at][m.Address] = struct{}{}
		}
	}
}

// Titles returns the parts that this instance may use, and until when by the
// renewals and promises that it has. A right that ended comes back only with a
// later renewal: a promise may come from one that claimed the part meanwhile.
func (t *Table) Titles(now time.Time, terms document.Terms) []Title {
	for at, title := range t.titles {
		if !title.Until.IsZero() && !now.Before(title.Until) {
			title.lapsed = title.counted
		}
		title.counted = title.renewed
		title.Until = t.until(at, title, terms)
		t.titles[at] = title
	}
	return t.list()
}

func (t *Table) until(at spot, title Title, terms document.Terms) time.Time {
	if title.renewed.IsZero() || title.renewed.Equal(title.lapsed) {
		return time.Time{}
	}
	hold := title.renewed.Add(title.hold)
	if at.class == Kept {
		return hold
	}
	lease := title.renewed.Add(title.lease)
	if !terms.Witness {
		return lease
	}
	for m := range t.members[at] {
		if until := t.promises[m]; until.Before(hold) {
			hold = until
		}
	}
	if hold.Before(lease) {
		return lease
	}
	return hold
}
