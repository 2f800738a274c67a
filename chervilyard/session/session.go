// Package session ends what runs under a key when the key is withdrawn: open
// streams at once, idle connections with them.
package session

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
)

// Withdrawn is the cause of a call that was ended since its key was withdrawn.
type Withdrawn struct{}

// Error says what happened.
func (*Withdrawn) Error() string { return "the key was withdrawn" }

// Registry follows which key each call and connection came with. The zero value is
// ready; it is safe for concurrent use.
type Registry struct {
	mu    sync.Mutex
	next  int
	calls map[int]open
	conns map[net.Conn]*connState
}

type open struct {
	hash   string
	cancel context.CancelCauseFunc
}

type connState struct {
	hash string // of the last key that came over it
	idle bool
}

type connKey struct{}

// Begin registers a call under its key's hash and returns a context that ends
// when the key is withdrawn, and the function that ends the registration.
func (d *Registry) Begin(ctx context.Context, hash string) (context.Context, func()) {
	ctx, cancel := context.WithCancelCause(ctx)
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.calls == nil {
		d.calls = make(map[int]open)
	}
	d.next++
	id := d.next
	d.calls[id] = open{hash: hash, cancel: cancel}
	if c, ok := ctx.Value(connKey{}).(net.Conn); ok && d.conns[c] != nil {
		d.conns[c].hash = hash
	}
	return ctx, func() {
		d.mu.Lock()
		delete(d.calls, id)
		d.mu.Unlock()
		cancel(nil)
	}
}

// Enforce ends the calls and idle connections whose key is no longer known, and
// returns how many calls it ended.
func (d *Registry) Enforce(known func(hash string) bool) int {
	d.mu.Lock()
	var closing []net.Conn
	ended := 0
	for _, c := range d.calls {
		if c.hash != "" && !known(c.hash) {
			c.cancel(&Withdrawn{})
			ended++
		}
	}
	for c, s := range d.conns {
		if s.idle && s.hash != "" && !known(s.hash) {
			closing = append(closing, c)
		}
	}
	d.mu.Unlock()
	for _, c := range closing {
		_ = c.Close() // it may be closed already
	}
	return ended
}

// Context marks a connection's context; it is an http.Server's ConnContext.
func (d *Registry) Context(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// State follows a connection; it is an http.Server's ConnState.
func (d *Registry) State(c net.Conn, state http.ConnState) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.conns == nil {
		d.conns = make(map[net.Conn]*connState)
	}
	switch state {
	case http.StateNew:
		d.conns[c] = &connState{}
	case http.StateIdle, http.StateActive:
		if s := d.conns[c]; s != nil {
			s.idle = state == http.StateIdle
		}
	case http.StateClosed, http.StateHijacked:
		delete(d.conns, c)
	}
}

// Open returns how many calls are open.
func (d *Registry) Open() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.calls)
}

// IsWithdrawn reports whether a context ended since its key was withdrawn.
func IsWithdrawn(ctx context.Context) bool {
	var w *Withdrawn
	return errors.As(context.Cause(ctx), &w)
}
