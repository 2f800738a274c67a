// Package envelope encodes an accepted document together with its revision, its
// author and the time of the change, for the store and for the transfer between
// instances.
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
// increases by one with each accepted change and is never reused; 0 means that
// there is no document.
type Envelope struct {
	Revision int64     `json:"revision"`
	Author   string    `json:"author"`
	Action   string    `json:"action"` // the operation that made the change, such as "apply"
	Time     time.Time `json:"time"`   // of the change, by the operator's clock
	Text     string    `json:"text"`   // INI text of the document
}

const maxDecodedBytes = 16 << 20 // limit on a decompressed envelope, in bytes

// Decode decodes the result of Encode. Empty data decode to the zero Envelope.
func Decode(data []byte) (Envelope, error) {
	var e Envelope
	if len(data) == 0 {
		return e, nil
	}
	r, err := gzip.NewReader(bytes.NewReader(data))
	if err != nil {
		return Envelope{}, fmt.Errorf("envelope: decode: %w", err)
	}
	if err := json.NewDecoder(io.LimitReader(r, maxDecodedBytes)).Decode(&e); err != nil {
		return Envelope{}, fmt.Errorf("envelope: decode: %w", err)
	}
	return e, nil
}

// Encode returns the envelope as JSON compressed with gzip.
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

// Delta is the difference between an old text and a new one. The new text consists
// of a prefix of the old text, Middle, and a suffix of the old text.
type Delta struct {
	Prefix int // length of the prefix, in bytes
	Suffix int // length of the suffix, in bytes
	Middle string
}

// DeltaFrom returns the delta from an old text to the text of the envelope. The
// prefix is the longest common one, and the suffix the longest common one that does
// not overlap the prefix.
func (e Envelope) DeltaFrom(old string) Delta {
	maxCommon := min(len(old), len(e.Text))
	d := Delta{}
	for d.Prefix < maxCommon && old[d.Prefix] == e.Text[d.Prefix] {
		d.Prefix++
	}
	for d.Suffix < maxCommon-d.Prefix && old[len(old)-1-d.Suffix] == e.Text[len(e.Text)-1-d.Suffix] {
		d.Suffix++
	}
	d.Middle = e.Text[d.Prefix : len(e.Text)-d.Suffix]
	return d
}

// Apply returns the new text for an old one. It returns an error if a length is
// negative or if the old text is shorter than the prefix and the suffix together.
func (d Delta) Apply(old string) (string, error) {
	if d.Prefix < 0 || d.Suffix < 0 || d.Prefix+d.Suffix > len(old) {
		return "", fmt.Errorf("envelope: a delta with a prefix of %d bytes and a suffix of %d bytes does not fit a text of %d bytes", d.Prefix, d.Suffix, len(old))
	}
	return old[:d.Prefix] + d.Middle + old[len(old)-d.Suffix:], nil
}

// Equal reports whether all fields of e and other are equal, which identifies the
// same change. Times are compared as instants.
func (e Envelope) Equal(other Envelope) bool {
	return e.Revision == other.Revision && e.Author == other.Author && e.Action == other.Action && e.Time.Equal(other.Time) && e.Text == other.Text
}
