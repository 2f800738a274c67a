// Package claim runs each call with an idempotency key at most once across all
// instances. A call is claimed in the platform's store by compare-and-swap before
// it is sent, and its outcome is recorded there afterwards.
//
// Records are divided among a fixed number of buckets by hash, one store key
// each. An instance has one writer per bucket, which batches all changes that
// arrive during a write into the next write. The rate of store writes is
// therefore bounded by the number of buckets and not by the rate of calls.
package claim

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// The states of a record.
const (
	Open           = "open" // claimed; the call may be running or have run
	Done           = "done" // the call ran and its outcome is recorded
	OutcomeUnknown = "lost" // the call was sent, but whether it ran is unknown
)

const (
	// Buckets is the number of store keys that the records are divided among.
	Buckets        = 64
	maxBucketBytes = 900 << 10 // below the platform's limit of 1 MiB for one value
	// bodyRetention is how long a large bucket keeps the bodies of outcomes.
	bodyRetention = 10 * time.Minute
)

// Outcome is the recorded response to a call.
type Outcome struct {
	Status      int    `json:"status"`
	ContentType string `json:"type,omitempty"` // Content-Type header
	Body        []byte `json:"body,omitempty"`
	BodyOmitted bool   `json:"cut,omitempty"` // the response had a body that is not recorded
}

// Record is the stored state of one claimed call.
type Record struct {
	ID          string    `json:"id"`      // hash of customer, route and idempotency key; see ID
	RequestHash string    `json:"request"` // hash of method, path and body; see the function RequestHash
	Attempt     string    `json:"attempt"` // unique identifier of the attempt that made the claim
	State       string    `json:"state"`   // Open, Done or OutcomeUnknown
	Time        time.Time `json:"time"`    // when the claim was made
	Outcome     Outcome   `json:"outcome"`
}

// Bucket is the set of records in one store value. The zero value is empty.
type Bucket struct {
	Records []Record `json:"records"`
}

// ID returns the identifier of a call and the index of its bucket.
func ID(customer, route, idempotencyKey string) (string, int) {
	hash := sha256.Sum256(fmt.Appendf(nil, "%q %q %q", customer, route, idempotencyKey))
	id := hex.EncodeToString(hash[:16])
	return id, int(xxhash.Sum64String(id) % Buckets)
}

// RequestHash returns a hash of a call. It distinguishes a repeat of the call from
// another call that reuses the same idempotency key.
func RequestHash(method, path string, body []byte) string {
	h := sha256.New()
	fmt.Fprintf(h, "%q %q ", method, path)
	_, _ = h.Write(body) // hash.Hash never returns an error
	return hex.EncodeToString(h.Sum(nil)[:16])
}

// Op is one change of a record, applied with the next write of its bucket.
type Op struct {
	Record Record // new state of the record; an empty Record.State removes it
	// Previous is the previous record, or the zero Record if there was none. It is
	// valid once the write is confirmed.
	Previous Record
	// Err is non-nil if a claim was rejected.
	Err error
}

// Decode decodes a bucket from its store value. Empty data is an empty bucket.
func Decode(data []byte) (Bucket, error) {
	var b Bucket
	if len(data) == 0 {
		return b, nil
	}
	if err := json.Unmarshal(data, &b); err != nil {
		return Bucket{}, fmt.Errorf("claim: decode bucket: %w", err)
	}
	return b, nil
}

// Apply returns a copy of the bucket with the ops applied in order, and whether it
// has to be written. It sets Previous of each op and clears Err. If the bucket has
// to be written, records older than retention are evicted. Apply is idempotent: an
// op whose result the bucket already holds changes no record. Only the withdrawal
// of a missing record has to be written even so.
func (b Bucket) Apply(now time.Time, retention time.Duration, ops []*Op) (Bucket, bool) {
	next := Bucket{Records: slices.Clone(b.Records)}
	changed := false
	for _, op := range ops {
		changed = next.apply(op) || changed
	}
	if changed {
		next.evict(now, retention)
	}
	return next, changed
}

func (b *Bucket) apply(op *Op) bool {
	op.Previous, op.Err = Record{}, nil
	i := slices.IndexFunc(b.Records, func(r Record) bool { return r.ID == op.Record.ID })
	if i < 0 {
		if op.Record.State != "" {
			b.Records = append(b.Records, op.Record)
		}
		return true // also for a withdrawal: its write fences off a write of the claim that is still in flight
	}
	op.Previous = b.Records[i]
	if op.Previous.Attempt != op.Record.Attempt {
		return false // the record belongs to another attempt
	}
	switch op.Record.State {
	case "":
		b.Records = slices.Delete(b.Records, i, i+1)
		return true
	case op.Previous.State, Open:
		return false // already applied; and a recorded outcome never reverts to Open
	}
	b.Records[i] = op.Record
	return true
}

// evict removes records older than retention. If the bucket is then still larger
// than half of its limit, evict also drops bodies older than bodyRetention.
func (b *Bucket) evict(now time.Time, retention time.Duration) {
	b.Records = slices.DeleteFunc(b.Records, func(r Record) bool { return now.Sub(r.Time) > retention })
	if b.estimatedBytes() < maxBucketBytes/2 {
		return
	}
	for i := range b.Records {
		if r := &b.Records[i]; now.Sub(r.Time) > bodyRetention && len(r.Outcome.Body) > 0 {
			r.Outcome.Body = nil
			r.Outcome.BodyOmitted = true
		}
	}
}

// estimatedBytes estimates the size of the encoded bucket. Bodies are encoded as
// base64, which takes 4 bytes for 3.
func (b Bucket) estimatedBytes() int {
	const recordBytes = 320 // encoded size of a record without its body
	n := 0
	for _, r := range b.Records {
		n += recordBytes + len(r.Outcome.Body)*4/3
	}
	return n
}
