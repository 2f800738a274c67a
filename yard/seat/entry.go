package seat

import (
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"chervilyard.example/yard/document"
)

// Part is one part of a seat as the store keeps it.
type Part struct {
	Seat   int                `json:"seat"`
	Class  string             `json:"class"`
	Holder string             `json:"holder,omitempty"` // peer address; empty for free
	Run    int64              `json:"run,omitempty"`    // which run of the process at the address
	Fence  int64              `json:"fence,omitempty"`  // counts changes of holder
	Beat   int64              `json:"beat,omitempty"`   // counts renewals
	Epoch  int64              `json:"epoch,omitempty"`  // of the entry when the holder wrote last
	Lease  time.Duration      `json:"lease,omitempty"`  // that the holder counts on
	Hold   time.Duration      `json:"hold,omitempty"`   // that the holder counts on
	Wait   time.Duration      `json:"wait,omitempty"`   // loans of the last holder that still run
	Drawn  map[string]float64 `json:"drawn,omitempty"`  // levels at release of customers not full, as fractions
}

// Entry is one data centre's value in the store.
type Entry struct {
	Centre  string   `json:"centre"`
	Parts   []Part   `json:"parts"`
	Epoch   int64    `json:"epoch"` // rises with each member that joins
	Members []Member `json:"members"`
}

// Member is an instance that may claim parts that it knows to have lapsed.
type Member struct {
	Address string `json:"address"`
	Run     int64  `json:"run"`
	Epoch   int64  `json:"epoch"` // at which it joined
}

// Decode reads an entry; an empty value is an entry of the data centre
// without parts.
func Decode(centre string, value []byte) (Entry, error) {
	e := Entry{Centre: centre}
	if len(value) == 0 {
		return e, nil
	}
	if err := json.Unmarshal(value, &e); err != nil {
		return Entry{}, fmt.Errorf("seat: decode entry of %s: %w", centre, err)
	}
	return e, nil
}

// Encode returns the entry's value in the store.
func (e Entry) Encode() ([]byte, error) { return json.Marshal(e) }

func (p *Part) take(t *Table, epoch int64, terms document.Terms) {
	*p = Part{
		Seat: p.Seat, Class: p.Class, Holder: t.Address, Run: t.Run, Fence: p.Fence + 1, Beat: 1, Epoch: epoch,
		Lease: terms.Lease, Hold: terms.Hold,
	}
}

// release leaves a part without a holder, with what its next one has to know.
func (p *Part) release(wait time.Duration, drawn map[string]float64) {
	*p = Part{Seat: p.Seat, Class: p.Class, Fence: p.Fence, Wait: wait, Drawn: drawn}
}

func (e Entry) clone() Entry {
	e.Parts = slices.Clone(e.Parts)
	e.Members = slices.Clone(e.Members)
	return e
}

func (e Entry) member(address string) (Member, bool) {
	i := slices.IndexFunc(e.Members, func(m Member) bool { return m.Address == address })
	if i < 0 {
		return Member{}, false
	}
	return e.Members[i], true
}

func (e Entry) holds(address string) bool {
	return slices.ContainsFunc(e.Parts, func(p Part) bool { return p.Holder == address })
}

func (e Entry) part(seat int, class string) Part {
	for _, p := range e.Parts {
		if p.Seat == seat && p.Class == class {
			return p
		}
	}
	return Part{}
}

// fill adds the parts of seats that the entry lacks. Parts of seats that the
// document no longer has stay, so that their fences keep counting.
func (e *Entry) fill(seats int) {
	for seat := range seats {
		for _, class := range []string{Kept, Floating} {
			if !slices.ContainsFunc(e.Parts, func(p Part) bool { return p.Seat == seat && p.Class == class }) {
				e.Parts = append(e.Parts, Part{Seat: seat, Class: class})
			}
		}
	}
}
