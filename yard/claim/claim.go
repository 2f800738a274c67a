// Package claim makes a call with an idempotency key run at most once over all
// instances: the call is claimed in the platform's store by compare-and-swap
// before it is sent, and its outcome is recorded there.
//
// Claims are gathered into buckets by hash. Each instance has one writer for
// each bucket, which carries all claims that arrive during one write in the
// next, so that the store's writes grow with the buckets and not with the calls.
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
	Open = "open" // claimed; it may run or have run
	Done = "done" // it ran, and the outcome is recorded
	Lost = "lost" // it was sent, and whether it ran is not known
)

const (
	// Buckets is how many store keys all claims are divided among.
	Buckets  = 64
	maxBytes = 900 << 10 // of a bucket, under the platform's megabyte
	keepBody = 10 * time.Minute
)

// Outcome is the recorded answer of a call.
type Outcome struct {
	Status int    `json:"status"`
	Type   string `json:"type,omitempty"` // content type
	Body   []byte `json:"body,omitempty"`
	Cut    bool   `json:"cut,omitempty"` // the body is not recorded
}

// Record is one claimed call.
type Record struct {
	ID      string    `json:"id"`      // hash of customer, route and idempotency key
	Body    string    `json:"request"` // hash of the call's method, path and body
	Attempt string    `json:"attempt"`
	State   string    `json:"state"`
	Time    time.Time `json:"time"`
	Outcome Outcome   `json:"outcome"`
}

// Bucket is one store value of records.
type Bucket struct {
	Records []Record `json:"records"`
}

// ID returns the identifier of a call and the bucket that it falls into.
func ID(customer, route, idempotencyKey string) (string, int) {
	sum := sha256.Sum256(fmt.Appendf(nil, "%q %q %q", customer, route, idempotencyKey))
	id := hex.EncodeToString(sum[:16])
	return id, int(xxhash.Sum64String(id) % Buckets)
}

// Request returns the hash by which a repeat is told from another call that
// uses the same key.
func Request(method, path string, body []byte) string {
	h := sha256.New()
	fmt.Fprintf(h, "%q %q ", method, path)
	_, _ = h.Write(body) // never fails
	return hex.EncodeToString(h.Sum(nil)[:16])
}

// Op is one change that waits for its bucket's next write.
type Op struct {
	Record Record // as it shall be; State "" removes it
	// Found is the record that was there before, set when the write is proven.
	Found Record
	// Err is why a claim cannot be made.
	Err error
}

// Decode reads a bucket.
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

// Apply returns the bucket with the ops carried out at the time, and whether
// it differs. Each op learns what it found. Applying an op to a bucket that
// holds its result already changes nothing.
func (b Bucket) Apply(now time.Time, age time.Duration, ops []*Op) (Bucket, bool) {
	next := Bucket{Records: slices.Clone(b.Records)}
	changed := false
	for _, op := range ops {
		changed = next.apply(op) || changed
	}
	if changed {
		next.prune(now, age)
	}
	return next, changed
}

func (b *Bucket) apply(op *Op) bool {
	op.Found, op.Err = Record{}, nil
	i := slices.IndexFunc(b.Records, func(r Record) bool { return r.ID == op.Record.ID })
	if i < 0 {
		if op.Record.State != "" {
			b.Records = append(b.Records, op.Record)
		}
		return true // a withdrawal's write fences the claim, which may still be on its way
	}
	op.Found = b.Records[i]
	if op.Found.Attempt != op.Record.Attempt {
		return false // another attempt owns the record
	}
	switch op.Record.State {
	case "":
		b.Records = slices.Delete(b.Records, i, i+1)
		return true
	case op.Found.State, Open:
		return false // done before, or never back from an outcome
	}
	b.Records[i] = op.Record
	return true
}

// prune drops records past their age, and the bodies of old outcomes first
// where the bucket grows large.
func (b *Bucket) prune(now time.Time, age time.Duration) {
	b.Records = slices.DeleteFunc(b.Records, func(r Record) bool { return now.Sub(r.Time) > age })
	if b.size() < maxBytes/2 {
		return
	}
	for i := range b.Records {
		if r := &b.Records[i]; now.Sub(r.Time) > keepBody && len(r.Outcome.Body) > 0 {
			r.Outcome.Body = nil
			r.Outcome.Cut = true
		}
	}
}

// size is about how many bytes the bucket takes in the store.
func (b Bucket) size() int {
	const record = 320 // bytes of a record without its body
	n := 0
	for _, r := range b.Records {
		n += record + len(r.Outcome.Body)*4/3
	}
	return n
}
