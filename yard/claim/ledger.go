package claim

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"time"

	"chervilyard.example/yard/pause"
	"chervilyard.example/yard/store"
)

const (
	retryGap = 4 * time.Millisecond
	retryTop = time.Second
)

// Unproven is the error of a claim that the store did not confirm in time.
// Nothing was sent, and the claim is withdrawn as soon as the store can be
// reached.
type Unproven struct {
	Err error
}

// Error returns the cause.
func (e *Unproven) Error() string { return fmt.Sprintf("claim: not proven: %v", e.Err) }

// Unwrap returns the cause.
func (e *Unproven) Unwrap() error { return e.Err }

// Crowded is the error of a claim whose bucket holds no more.
type Crowded struct{ Bucket int }

// Error names the bucket.
func (e *Crowded) Error() string { return fmt.Sprintf("claim: bucket %d is full", e.Bucket) }

// Ledger claims calls and records their outcomes. Its fields are set before
// use. It is safe for concurrent use.
type Ledger struct {
	Get    func(ctx context.Context, key string) (store.Value, error)
	Put    func(ctx context.Context, key string, data []byte, expected int64) (int64, error)
	Prefix string        // of the store keys
	Age    time.Duration // how long a record is kept
	Now    func() time.Time
	Random func() string // names attempts; no two are equal

	mu      sync.Mutex
	writers [Buckets]*writer
	stop    context.Context
	live    sync.WaitGroup
}

// writer carries the waiting ops of one bucket into the store.
type writer struct {
	ledger *Ledger
	bucket int

	mu      sync.Mutex
	waiting []*job
	busy    bool
	known   store.Value // as last read or written
}

type job struct {
	op   *Op
	done chan struct{} // closed when the op is proven or failed for good
}

// Start lets the ledger write until the context ends, and returns a channel
// that is closed when its writers have ended.
func (l *Ledger) Start(ctx context.Context) <-chan struct{} {
	l.mu.Lock()
	l.stop = ctx
	l.mu.Unlock()
	ended := make(chan struct{})
	go func() {
		<-ctx.Done()
		l.live.Wait()
		close(ended)
	}()
	return ended
}

// Claim tries to claim a call. It returns the attempt's record when the call is
// this attempt's to run (fresh), or the record that stands.
func (l *Ledger) Claim(ctx context.Context, id string, bucket int, request string) (r Record, fresh bool, err error) {
	mine := Record{ID: id, Body: request, Attempt: l.Random(), State: Open, Time: l.Now().UTC()}
	op := &Op{Record: mine}
	if err := l.write(ctx, bucket, op); err != nil {
		return Record{}, false, err
	}
	if op.Found.ID == "" || op.Found.Attempt == mine.Attempt {
		return mine, true, nil
	}
	return op.Found, false, nil
}

// Finish records the outcome of a claimed call. The context bounds only the
// wait: the writer goes on until the store has it or the ledger stops.
func (l *Ledger) Finish(ctx context.Context, bucket int, mine Record, state string, o Outcome) error {
	mine.State = state
	mine.Outcome = o
	return l.wait(ctx, l.submit(bucket, &Op{Record: mine}))
}

// Withdraw removes the claim of a call of which nothing was sent.
func (l *Ledger) Withdraw(bucket int, mine Record) {
	mine.State = ""
	l.submit(bucket, &Op{Record: mine})
}

// write submits a claim and waits for its proof; one that is not proven in
// time is withdrawn.
func (l *Ledger) write(ctx context.Context, bucket int, op *Op) error {
	j := l.submit(bucket, op)
	if err := l.wait(ctx, j); err != nil {
		l.Withdraw(bucket, op.Record)
		return &Unproven{Err: err}
	}
	return op.Err
}

func (l *Ledger) wait(ctx context.Context, j *job) error {
	select {
	case <-j.done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (l *Ledger) submit(bucket int, op *Op) *job {
	j := &job{op: op, done: make(chan struct{})}
	l.mu.Lock()
	w := l.writers[bucket]
	if w == nil {
		w = &writer{ledger: l, bucket: bucket}
		l.writers[bucket] = w
	}
	ctx := l.stop
	l.mu.Unlock()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.waiting = append(w.waiting, j)
	if !w.busy {
		w.busy = true
		l.live.Add(1)
		go w.run(ctx)
	}
	return j
}

// run writes until nothing waits. Ops stay in order, so that a withdrawal comes
// after the claim that it withdraws.
func (w *writer) run(ctx context.Context) {
	defer w.ledger.live.Done()
	gap := retryGap
	for {
		w.mu.Lock()
		if len(w.waiting) == 0 || ctx.Err() != nil {
			w.busy = false
			w.mu.Unlock()
			return
		}
		batch := w.waiting
		w.mu.Unlock()
		if err := w.once(ctx, batch); err != nil {
			pause.For(ctx, gap)
			gap = min(gap*2, retryTop)
			continue
		}
		gap = retryGap
		w.mu.Lock()
		w.waiting = w.waiting[len(batch):]
		w.mu.Unlock()
		for _, j := range batch {
			close(j.done)
		}
	}
}

// once carries a batch out by one compare-and-swap, or fails. After a conflict
// or a lost answer the next try starts from what the store then holds; an op
// that took effect unseen finds its own attempt there.
func (w *writer) once(ctx context.Context, batch []*job) error {
	l := w.ledger
	key := fmt.Sprintf("%s%02d", l.Prefix, w.bucket)
	v := w.known
	if v.Key == "" {
		var err error
		if v, err = l.Get(ctx, key); err != nil {
			return err
		}
		v.Key = key
	}
	w.known = store.Value{}
	b, err := Decode(v.Data)
	if err != nil {
		return err
	}
	ops := make([]*Op, len(batch))
	for i, j := range batch {
		ops[i] = j.op
	}
	next, changed := b.Apply(l.Now(), l.Age, ops)
	if next.size() > maxBytes {
		next, changed = w.refuse(b, ops)
	}
	if !changed {
		return w.confirm(ctx, v)
	}
	data, err := json.Marshal(next)
	if err != nil {
		return err
	}
	revision, err := l.Put(ctx, key, data, v.Revision)
	if err != nil {
		return err
	}
	w.known = store.Value{Key: key, Data: data, Revision: revision}
	return nil
}

// confirm makes sure that an answer without a write rests on what the store
// holds now, since the known value may be old.
func (w *writer) confirm(ctx context.Context, v store.Value) error {
	now, err := w.ledger.Get(ctx, v.Key)
	if err != nil {
		return err
	}
	if now.Revision != v.Revision {
		return &store.Error{Op: "put", Key: v.Key, Kind: store.Conflict, Revision: now.Revision}
	}
	w.known = v
	return nil
}

// refuse carries out all ops but new claims, which a full bucket does not take.
func (w *writer) refuse(b Bucket, ops []*Op) (Bucket, bool) {
	var rest, claims []*Op
	for _, op := range ops {
		if op.Record.State == Open {
			claims = append(claims, op)
			continue
		}
		rest = append(rest, op)
	}
	next, changed := b.Apply(w.ledger.Now(), w.ledger.Age, rest)
	for _, op := range claims {
		op.Err = &Crowded{Bucket: w.bucket}
	}
	return next, changed
}
