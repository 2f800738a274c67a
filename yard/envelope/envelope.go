// Package envelope is an accepted document with the facts of its acceptance,
// as the store keeps it and as instances pass it on.
package envelope

import (
	"encoding/json"
	"fmt"
	"time"
)

// Envelope is one accepted revision of an environment's document. Revision
// rises by one with each acceptance and is never used twice.
type Envelope struct {
	Revision int64     `json:"revision"`
	Author   string    `json:"author"`
	Action   string    `json:"action"`
	Time     time.Time `json:"time"`
	Text     string    `json:"text"`
}

// Decode reads an envelope; an empty value is revision 0.
func Decode(data []byte) (Envelope, error) {
	var e Envelope
	if len(data) == 0 {
		return e, nil
	}
	if err := json.Unmarshal(data, &e); err != nil {
		return Envelope{}, fmt.Errorf("envelope: decode: %w", err)
	}
	return e, nil
}

// Encode returns the envelope as the store keeps it.
func (e Envelope) Encode() ([]byte, error) { return json.Marshal(e) }

// Same reports whether two envelopes are of the same acceptance.
func (e Envelope) Same(o Envelope) bool {
	return e.Revision == o.Revision && e.Author == o.Author && e.Action == o.Action && e.Time.Equal(o.Time) && e.Text == o.Text
}
