package seat

import (
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"chervilyard.example/yard/document"
)

// Part is one part of a seat, as encoded in the store.
type Part struct {
	Seat          int                `json:"seat"`
	Class         string             `json:"class"`            // ClassKept or ClassFloating
	Holder        string             `json:"holder,omitempty"` // peer address; empty if the part is free
	Run           int64              `json:"run,omitempty"`    // run of the process at the address
	Fence         int64              `json:"fence,omitempty"`  // fencing token; incremented when the part is taken
	Renewals      int64              `json:"beat,omitempty"`   // incremented by each renewal
	Epoch         int64              `json:"epoch,omitempty"`  // Epoch of the entry at the holder's last write
	FloatingLease time.Duration      `json:"lease,omitempty"`  // lease that the holder applies to a floating part; witnesses may extend it up to KeptLease
	KeptLease     time.Duration      `json:"hold,omitempty"`   // lease that the holder applies to a kept part; a floating part never outlives it
	LoanWait      time.Duration      `json:"wait,omitempty"`   // remaining time of the last holder's loans at its release
	ReleaseLevels map[string]float64 `json:"drawn,omitempty"`  // levels at release, as fractions of the burst, of customers whose bucket was not full; see unknownLevels
}

// Entry is the value that the store keeps for one data centre.
type Entry struct {
	Centre  string   `json:"centre"`
	Parts   []Part   `json:"parts"`
	Epoch   int64    `json:"epoch"` // incremented by each member that joins
	Members []Member `json:"members"`
}

// Member is an instance that is listed in the entry. It may claim a floating part
// after its lease if it was listed at the holder's last write and has no promise to
// the holder in force.
type Member struct {
	Address string `json:"address"`
	Run     int64  `json:"run"`
	Epoch   int64  `json:"epoch"` // epoch at which it joined
}

// Decode decodes the value of a data centre's entry. An empty value decodes to an
// entry without parts.
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

// Encode returns the value of the entry for the store.
func (e Entry) Encode() ([]byte, error) { return json.Marshal(e) }

// assign makes the instance of t the holder of the part, with a new fencing token.
func (p *Part) assign(t *Table, epoch int64, settings document.QuotaSettings) {
	*p = Part{
		Seat: p.Seat, Class: p.Class, Holder: t.Address, Run: t.Run, Fence: p.Fence + 1, Renewals: 1, Epoch: epoch,
		FloatingLease: settings.FloatingLease, KeptLease: settings.KeptLease,
	}
}

// release frees the part. It keeps the fencing token and records the remaining
// time of the loans and the levels for the next holder.
func (p *Part) release(wait time.Duration, levels map[string]float64) {
	*p = Part{Seat: p.Seat, Class: p.Class, Fence: p.Fence, LoanWait: wait, ReleaseLevels: levels}
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

// holds reports whether the instance with the address holds any part.
func (e Entry) holds(address string) bool {
	return slices.ContainsFunc(e.Parts, func(p Part) bool { return p.Holder == address })
}

// part returns the part of the class, or the zero Part if the entry has none.
func (e Entry) part(seat int, class string) Part {
	for _, p := range e.Parts {
		if p.Seat == seat && p.Class == class {
			return p
		}
	}
	return Part{}
}

// addMissingParts adds free parts for the seats that the entry lacks. Parts of
// seats that the document no longer has are kept, so that their fencing tokens
// stay monotonic.
func (e *Entry) addMissingParts(seats int) {
	for seat := range seats {
		for _, class := range []string{ClassKept, ClassFloating} {
			if !slices.ContainsFunc(e.Parts, func(p Part) bool { return p.Seat == seat && p.Class == class }) {
				e.Parts = append(e.Parts, Part{Seat: seat, Class: class})
			}
		}
	}
}
