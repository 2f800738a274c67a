// Package config maintains the active configuration document of an instance.
// In each data centre a few instances, the readers, watch the document in the
// store; the others receive it from peers. The active revision never decreases.
package config

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"chervilyard.example/yard/document"
	"chervilyard.example/yard/envelope"
	"chervilyard.example/yard/pause"
	"chervilyard.example/yard/refusal"
	"chervilyard.example/yard/store"
)

const (
	watchTimeout       = 30 * time.Second
	retryDelay         = 500 * time.Millisecond // after a failed watch or an unusable value
	readerPollInterval = time.Second            // between checks whether this instance has become a reader
)

// Keeper holds the active configuration document. The exported fields must be
// set before the first call and must not change afterwards. A Keeper is safe
// for concurrent use.
type Keeper struct {
	DocumentKey string // store key of the document
	Environment string // name of the environment
	// Watch returns the value of key as soon as its store revision differs from
	// after, or the current value once wait has passed.
	Watch func(ctx context.Context, key string, after int64, wait time.Duration) (store.Value, error)
	// IsReader reports whether this instance is a reader of its data centre.
	IsReader func(now time.Time) bool
	Now      func() time.Time
	Log      hclog.Logger
	// BeforeActivate is called with each new document before it becomes active. It must
	// not call Activate, which would deadlock.
	BeforeActivate func(now time.Time, d *document.Document)
	// AfterActivate is called after a new document has become active. It must not call
	// Activate, which would deadlock. It may be nil.
	AfterActivate func()

	mu          sync.Mutex // serializes Activate
	current     atomic.Pointer[snapshot]
	confirmedAt atomic.Int64 // Unix time in nanoseconds; 0 before the first confirmation
}

type snapshot struct {
	envelope envelope.Envelope
	document *document.Document
	previous envelope.Envelope // the envelope that this one replaced, used as the base of deltas
}

// PreviousEnvelope returns the envelope that the active one replaced. Its revision
// is 0 if there was none.
func (k *Keeper) PreviousEnvelope() envelope.Envelope {
	if s := k.current.Load(); s != nil {
		return s.previous
	}
	return envelope.Envelope{}
}

// Document returns the active document, or nil if there is none yet.
func (k *Keeper) Document() *document.Document {
	if s := k.current.Load(); s != nil {
		return s.document
	}
	return nil
}

// FreshDocument returns the active document. It returns a *refusal.Refusal with status
// 503 if there is no document yet, or if the document's stale policy is
// document.StaleRefuse and its last confirmation is older than its MaxAge.
func (k *Keeper) FreshDocument() (*document.Document, error) {
	d := k.Document()
	if d == nil {
		return nil, refusal.NotRun(http.StatusServiceUnavailable, "not_ready", "the instance has no configuration yet").WithRetryAfter(time.Second)
	}
	if d.StalePolicy() == document.StaleRefuse && k.SinceConfirmed(k.Now()) > d.MaxAge() {
		return nil, refusal.NotRun(http.StatusServiceUnavailable, "stale", "the instance has not heard of its configuration for too long").WithRetryAfter(time.Second)
	}
	return d, nil
}

// Revision returns the active revision, or 0 if there is none yet.
func (k *Keeper) Revision() int64 {
	if s := k.current.Load(); s != nil {
		return s.envelope.Revision
	}
	return 0
}

// Envelope returns the active envelope. Its revision is 0 if there is none yet.
func (k *Keeper) Envelope() envelope.Envelope {
	if s := k.current.Load(); s != nil {
		return s.envelope
	}
	return envelope.Envelope{}
}

// SinceConfirmed returns the time since the active document was last confirmed as the
// newest. It returns 1<<62 ns before the first confirmation.
func (k *Keeper) SinceConfirmed(now time.Time) time.Duration {
	confirmed := k.confirmedAt.Load()
	if confirmed == 0 {
		return 1 << 62
	}
	return now.Sub(time.Unix(0, confirmed))
}

// Confirm records that a reader confirmed revision as the newest at the time now
// minus age. It ignores a negative age, a revision below the active one, and a
// confirmation that is not newer than the last one.
func (k *Keeper) Confirm(now time.Time, revision int64, age time.Duration) {
	if age < 0 || revision < k.Revision() {
		return
	}
	confirmed := now.Add(-age).UnixNano()
	for {
		old := k.confirmedAt.Load()
		if confirmed <= old || k.confirmedAt.CompareAndSwap(old, confirmed) {
			return
		}
	}
}

// Activate activates the document of e and reports whether it did. It ignores an
// envelope whose revision is not above the active one, and logs and ignores one
// whose document is invalid or belongs to another environment. The source of the
// envelope, from, is only logged.
func (k *Keeper) Activate(now time.Time, e envelope.Envelope, from string) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	if e.Revision <= k.Revision() {
		return false
	}
	d, err := document.Parse(k.Environment, e.Text)
	if err != nil {
		k.Log.Error("configuration document is invalid; keeping the active revision", "revision", e.Revision, "from", from, "error", err.Error())
		return false
	}
	if d.Name() != k.Environment {
		k.Log.Error("configuration document belongs to another environment; keeping the active revision", "revision", e.Revision, "name", d.Name())
		return false
	}
	k.BeforeActivate(now, d)
	k.current.Store(&snapshot{envelope: e, document: d, previous: k.Envelope()})
	k.Log.Info("decision", "kind", "config", "choice", "in force", "reason", "revision is newer than the active one", "revision", e.Revision, "from", from)
	if k.AfterActivate != nil {
		k.AfterActivate()
	}
	return true
}

// Run starts a goroutine that watches the store while this instance is a reader
// or has no document yet. The goroutine stops when ctx is done; the returned
// channel is then closed.
func (k *Keeper) Run(ctx context.Context) <-chan struct{} {
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		var after int64
		for ctx.Err() == nil {
			if !k.IsReader(k.Now()) && k.Document() != nil {
				pause.For(ctx, readerPollInterval)
				continue
			}
			after = k.watchOnce(ctx, after)
		}
	}()
	return stopped
}

// watchOnce waits for one response of the store, applies it, and returns the
// store revision to pass as after next time. If the store failed or holds no
// document, watchOnce returns 0, so that the next watch returns any stored value
// at once.
func (k *Keeper) watchOnce(ctx context.Context, after int64) int64 {
	v, err := k.Watch(ctx, k.DocumentKey, after, watchTimeout)
	if err != nil {
		pause.For(ctx, retryDelay)
		return 0
	}
	now := k.Now()
	e, err := envelope.Decode(v.Data)
	if err != nil {
		k.Log.Error("configuration document in the store is unreadable", "error", err.Error())
		pause.For(ctx, retryDelay)
		return v.Revision
	}
	if v.Revision == 0 {
		pause.For(ctx, retryDelay)
		return 0
	}
	if e.Revision < k.Revision() {
		// The store may have been restored from a backup.
		k.Log.Warn("store holds an older configuration revision; keeping the active one", "stored", e.Revision, "running", k.Revision())
		pause.For(ctx, retryDelay)
		return v.Revision
	}
	k.Activate(now, e, "store")
	k.Confirm(now, e.Revision, 0)
	return v.Revision
}
