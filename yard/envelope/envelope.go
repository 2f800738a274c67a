// Package envelope is an accepted document with the facts of its acceptance,
// as the store keeps it and as instances pass it on.
package envelope

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"fmt"
	"io"
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

const maxText = 16 << 20 // bytes of an envelope unpacked

// Decode reads an envelope; an empty value is revision 0.
func Decode(data []byte) (Envelope, error) {
	var e Envelope
	if len(data) == 0 {
		return e, nil
	}
	r, err := gzip.NewReader(bytes.NewReader(data))
	if err != nil {
		return Envelope{}, fmt.Errorf("envelope: decode: %w", err)
	}
	if err := json.NewDecoder(io.LimitReader(r, maxText)).Decode(&e); err != nil {
		return Envelope{}, fmt.Errorf("envelope: decode: %w", err)
	}
	return e, nil
}

// Encode returns the envelope as the store keeps it, compressed.
func (e Envelope) Encode() ([]byte, error) {
	var b bytes.Buffer
	w := gzip.NewWriter(&b)
	if err := json.NewEncoder(w).Encode(e); err != nil {
		return nil, err
	}
	if err := w.Close(); err != nil {
		return nil, err
	}
	return b.Bytes(), nil
}

// Delta is what one envelope's text changes in another's: all between a common
// beginning and a common end.
type Delta struct {
	Prefix int // bytes kept at the beginning
	Suffix int // bytes kept at the end
	Middle string
}

// Change returns the delta from an older text.
func (e Envelope) Change(old string) Delta {
	most := min(len(old), len(e.Text))
	d := Delta{}
	for d.Prefix < most && old[d.Prefix] == e.Text[d.Prefix] {
		d.Prefix++
	}
	for d.Suffix < most-d.Prefix && old[len(old)-1-d.Suffix] == e.Text[len(e.Text)-1-d.Suffix] {
		d.Suffix++
	}
	d.Middle = e.Text[d.Prefix : len(e.Text)-d.Suffix]
	return d
}

// Apply returns the text that the delta makes of an older one, or an error
// where it does not fit.
func (d Delta) Apply(old string) (string, error) {
	if d.Prefix < 0 || d.Suffix < 0 || d.Prefix+d.Suffix > len(old) {
		return "", fmt.Errorf("envelope: a delta of %d and %d bytes does not fit a text of %d", d.Prefix, d.Suffix, len(old))
	}
	return old[:d.Prefix] + d.Middle + old[len(old)-d.Suffix:], nil
}

// Same reports whether two envelopes are of the same acceptance.
func (e Envelope) Same(o Envelope) bool {
	return e.Revision == o.Revision && e.Author == o.Author && e.Action == o.Action && e.Time.Equal(o.Time) && e.Text == o.Text
}
