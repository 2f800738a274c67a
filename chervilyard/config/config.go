// Package config keeps the accepted document of the environment in force on an
// instance: from the store where it is one of its data centre's readers, else
// from peers, and never an older one than it had.
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
	watchTime = 30 * time.Second
	retryTime = 500 * time.Millisecond
	idleTime  = time.Second // between looks whether this instance became a reader
)

// Keeper holds the document in force. Its fields are set before Run. It is safe
// for concurrent use.
type Keeper struct {
	Key    string // of the document in the store
	Name   string // of the environment
	Watch  func(ctx context.Context, key string, after int64, wait time.Duration) (store.Value, error)
	Reader func(now time.Time) bool // whether this instance reads the store for its data centre
	Now    func() time.Time
	Log    hclog.Logger
	// Changed is called with each new document, before it is in force.
	Changed func(now time.Time, d *document.Document)
	// Spread is called after a new document is in force.
	Spread func()

	mu        sync.Mutex
	current   atomic.Pointer[state]
	confirmed atomic.Int64 // unix nanoseconds
}

type state struct {
	envelope envelope.Envelope
	document *document.Document
	before   envelope.Envelope // the one in force before, for deltas
}

// Before returns the envelope that was in force before, of revision 0 for none.
func (k *Keeper) Before() envelope.Envelope {
	if s := k.current.Load(); s != nil {
		return s.before
	}
	return envelope.Envelope{}
}

// Document returns the document in force, or nil.
func (k *Keeper) Document() *document.Document {
	if s := k.current.Load(); s != nil {
		return s.document
	}
	return nil
}

// Usable returns the document in force, or the refusal that callers get where
// there is none or it is too old for the operator's choice.
func (k *Keeper) Usable() (*document.Document, error) {
	d := k.Document()
	if d == nil {
		return nil, refusal.NotRun(http.StatusServiceUnavailable, "not_ready", "the instance has no configuration yet").After(time.Second)
	}
	if d.Stale() == document.StaleRefuse && k.Age(k.Now()) > d.Age() {
		return nil, refusal.NotRun(http.StatusServiceUnavailable, "stale", "the instance has not heard of its configuration for too long").After(time.Second)
	}
	return d, nil
}

// Revision returns the revision in force, 0 for none.
func (k *Keeper) Revision() int64 {
	if s := k.current.Load(); s != nil {
		return s.envelope.Revision
	}
	return 0
}

// Envelope returns the envelope in force.
func (k *Keeper) Envelope() envelope.Envelope {
	if s := k.current.Load(); s != nil {
		return s.envelope
	}
	return envelope.Envelope{}
}

// Age returns how long ago the document in force was confirmed as the newest.
func (k *Keeper) Age(now time.Time) time.Duration {
	at := k.confirmed.Load()
	if at == 0 {
		return 1 << 62
	}
	return now.Sub(time.Unix(0, at))
}

// Confirm notes that a reader confirmed the revision as the newest so long ago.
func (k *Keeper) Confirm(now time.Time, revision int64, age time.Duration) {
	if age < 0 || revision < k.Revision() {
		return
	}
	at := now.Add(-age).UnixNano()
	for {
		old := k.confirmed.Load()
		if at <= old || k.confirmed.CompareAndSwap(old, at) {
			return
		}
	}
}

// Accept puts an envelope in force where its revision is above the one in
// force, and reports whether it did.
func (k *Keeper) Accept(now time.Time, e envelope.Envelope, from string) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	if e.Revision <= k.Revision() {
		return false
	}
	d, err := document.Parse(k.Name, e.Text)
	if err != nil {
		k.Log.Error("document rejected", "revision", e.Revision, "from", from, "error", err.Error())
		return false
	}
	if d.Name() != k.Name {
		k.Log.Error("document of another environment rejected", "revision", e.Revision, "name", d.Name())
		return false
	}
	k.Changed(now, d)
	k.current.Store(&state{envelope: e, document: d, before: k.Envelope()})
	k.Log.Info("decision", "kind", "config", "choice", "in force", "reason", "newer revision", "revision", e.Revision, "from", from)
	if k.Spread != nil {
		k.Spread()
	}
	return true
}

// Run reads the store while this instance is a reader, until the context ends.
func (k *Keeper) Run(ctx context.Context) <-chan struct{} {
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		var after int64
		for ctx.Err() == nil {
			if !k.Reader(k.Now()) && k.Document() != nil {
				pause.For(ctx, idleTime)
				continue
			}
			after = k.read(ctx, after)
		}
	}()
	return ended
}

// read waits for one answer of the store and returns the store's revision of it.
func (k *Keeper) read(ctx context.Context, after int64) int64 {
	v, err := k.Watch(ctx, k.Key, after, watchTime)
	if err != nil {
		pause.For(ctx, retryTime)
		return 0
	}
	now := k.Now()
	e, err := envelope.Decode(v.Data)
	if err != nil {
		k.Log.Error("document unreadable", "error", err.Error())
		pause.For(ctx, retryTime)
		return v.Revision
	}
	if v.Revision == 0 {
		pause.For(ctx, retryTime)
		return 0
	}
	if e.Revision < k.Revision() {
		// An old value, perhaps of a restored store, never takes over.
		k.Log.Warn("store holds an older document", "stored", e.Revision, "running", k.Revision())
		pause.For(ctx, retryTime)
		return v.Revision
	}
	k.Accept(now, e, "store")
	k.Confirm(now, e.Revision, 0)
	return v.Revision
}
