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
	minRetryBackoff = 4 * time.Millisecond
	maxRetryBackoff = time.Second
)

// UnconfirmedError is the error for a claim that the store did not confirm before the
// context ended. The call must not be sent. The ledger withdraws the claim once
// the store is reachable.
type UnconfirmedError struct {
	Err error
}

// Error implements the error interface.
func (e *UnconfirmedError) Error() string {
	return fmt.Sprintf("claim: store did not confirm it: %v", e.Err)
}

// Unwrap returns the error of the context.
func (e *UnconfirmedError) Unwrap() error { return e.Err }

// BucketFullError is the error for a claim that was rejected because its bucket is
// full.
type BucketFullError struct{ Bucket int }

// Error implements the error interface.
func (e *BucketFullError) Error() string { return fmt.Sprintf("claim: bucket %d is full", e.Bucket) }

// Ledger claims calls and records their outcomes in the store. Its exported fields
// must be set, and Start called, before the first claim. A Ledger is safe for
// concurrent use.
type Ledger struct {
	// Get and Put have the meaning of the methods of store.Client.
	Get          func(ctx context.Context, key string) (store.Value, error)
	Put          func(ctx context.Context, key string, data []byte, expected int64) (int64, error)
	Prefix       string        // prefix of the store keys; the bucket's number follows
	Retention    time.Duration // retention of records
	Now          func() time.Time
	NewAttemptID func() string // returns a new unique identifier of an attempt

	mu            sync.Mutex
	writers       [Buckets]*writer
	writeCtx      context.Context // set by Start
	activeWriters sync.WaitGroup
}

// writer writes the pending ops of one bucket to the store, at most one batch at a
// time.
type writer struct {
	ledger *Ledger
	bucket int

	mu      sync.Mutex
	pending []*pendingOp
	running bool        // a goroutine executes run
	cached  store.Value // last value written or confirmed; used only by run
}

// pendingOp is an op in the queue of a writer.
type pendingOp struct {
	op   *Op
	done chan struct{} // closed when the op is confirmed or rejected
}

// Start sets the context in which the ledger writes to the store. It returns a
// channel that is closed when the context is done and all writers have stopped.
func (l *Ledger) Start(ctx context.Context) <-chan struct{} {
	l.mu.Lock()
	l.writeCtx = ctx
	l.mu.Unlock()
	stopped := make(chan struct{})
	go func() {
		<-ctx.Done()
		l.activeWriters.Wait()
		close(stopped)
	}()
	return stopped
}

// Claim tries to claim a call. If fresh is true, the caller owns the claim and must
// run the call; r is its record. Otherwise r is the existing record of another
// attempt. The error is an *UnconfirmedError or a *BucketFullError.
func (l *Ledger) Claim(ctx context.Context, id string, bucket int, requestHash string) (r Record, fresh bool, err error) {
	own := Record{ID: id, RequestHash: requestHash, Attempt: l.NewAttemptID(), State: Open, Time: l.Now().UTC()}
	op := &Op{Record: own}
	if err := l.claimOrWithdraw(ctx, bucket, op); err != nil {
		return Record{}, false, err
	}
	if op.Previous.ID == "" || op.Previous.Attempt == own.Attempt {
		return own, true, nil
	}
	return op.Previous, false, nil
}

// Finish records the outcome of a claimed call, with the state Done or
// OutcomeUnknown. The context limits only how long Finish waits, and any error is
// that of the context: the writer retries until the store confirms the outcome or
// the ledger's context is done.
func (l *Ledger) Finish(ctx context.Context, bucket int, own Record, state string, o Outcome) error {
	own.State = state
	own.Outcome = o
	return l.await(ctx, l.submit(bucket, &Op{Record: own}))
}

// Withdraw removes the claim of a call that was not sent. It does not wait for the
// store.
func (l *Ledger) Withdraw(bucket int, own Record) {
	own.State = ""
	l.submit(bucket, &Op{Record: own})
}

// claimOrWithdraw submits a claim and waits until the store confirms it. If ctx
// ends first, it withdraws the claim and returns an *UnconfirmedError.
func (l *Ledger) claimOrWithdraw(ctx context.Context, bucket int, op *Op) error {
	p := l.submit(bucket, op)
	if err := l.await(ctx, p); err != nil {
		l.Withdraw(bucket, op.Record)
		return &UnconfirmedError{Err: err}
	}
	return op.Err
}

func (l *Ledger) await(ctx context.Context, p *pendingOp) error {
	select {
	case <-p.done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// submit queues an op and starts the writer of its bucket unless it is running.
func (l *Ledger) submit(bucket int, op *Op) *pendingOp {
	p := &pendingOp{op: op, done: make(chan struct{})}
	l.mu.Lock()
	w := l.writers[bucket]
	if w == nil {
		w = &writer{ledger: l, bucket: bucket}
		l.writers[bucket] = w
	}
	ctx := l.writeCtx
	l.mu.Unlock()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.pending = append(w.pending, p)
	if !w.running {
		w.running = true
		l.activeWriters.Add(1)
		go w.run(ctx)
	}
	return p
}

// run writes batches until no op is pending or ctx is done. Ops are written in the
// order of their submission, so that a withdrawal follows its claim.
func (w *writer) run(ctx context.Context) {
	defer w.ledger.activeWriters.Done()
	backoff := minRetryBackoff
	for {
		w.mu.Lock()
		if len(w.pending) == 0 || ctx.Err() != nil {
			w.running = false
			w.mu.Unlock()
			return
		}
		batch := w.pending
		w.mu.Unlock()
		if err := w.writeBatch(ctx, batch); err != nil {
			pause.For(ctx, backoff)
			backoff = min(backoff*2, maxRetryBackoff)
			continue
		}
		backoff = minRetryBackoff
		w.mu.Lock()
		w.pending = w.pending[len(batch):]
		w.mu.Unlock()
		for _, p := range batch {
			close(p.done)
		}
	}
}

// writeBatch applies a batch by a single compare-and-swap. After any error the
// cached value is discarded, so that the retry starts from the value in the store.
// If the store applied a write but its response was lost, the retry finds the
// op's own attempt in the record.
func (w *writer) writeBatch(ctx context.Context, batch []*pendingOp) error {
	l := w.ledger
	key := fmt.Sprintf("%s%02d", l.Prefix, w.bucket)
	v := w.cached
	if v.Key == "" {
		var err error
		if v, err = l.Get(ctx, key); err != nil {
			return err
		}
		v.Key = key
	}
	w.cached = store.Value{}
	b, err := Decode(v.Data)
	if err != nil {
		return err
	}
	ops := make([]*Op, len(batch))
	for i, p := range batch {
		ops[i] = p.op
	}
	next, changed := b.Apply(l.Now(), l.Retention, ops)
	if next.estimatedBytes() > maxBucketBytes {
		next, changed = w.applyWithoutClaims(b, ops)
	}
	if !changed {
		return w.checkCurrent(ctx, v)
	}
	data, err := json.Marshal(next)
	if err != nil {
		return err
	}
	revision, err := l.Put(ctx, key, data, v.Revision)
	if err != nil {
		return err
	}
	w.cached = store.Value{Key: key, Data: data, Revision: revision}
	return nil
}

// checkCurrent returns a Conflict error unless v is still the value in the store.
// A batch that changes nothing needs this check, because no compare-and-swap
// detects that the cached value is stale.
func (w *writer) checkCurrent(ctx context.Context, v store.Value) error {
	current, err := w.ledger.Get(ctx, v.Key)
	if err != nil {
		return err
	}
	if current.Revision != v.Revision {
		return &store.Error{Op: "put", Key: v.Key, Kind: store.Conflict, Revision: current.Revision}
	}
	w.cached = v
	return nil
}

// applyWithoutClaims applies all ops except claims, which it rejects because the
// bucket is full, even those whose record exists.
func (w *writer) applyWithoutClaims(b Bucket, ops []*Op) (Bucket, bool) {
	var others, claims []*Op
	for _, op := range ops {
		if op.Record.State == Open {
			claims = append(claims, op)
			continue
		}
		others = append(others, op)
	}
	next, changed := b.Apply(w.ledger.Now(), w.ledger.Retention, others)
	for _, op := range claims {
		op.Err = &BucketFullError{Bucket: w.bucket}
	}
	return next, changed
}
