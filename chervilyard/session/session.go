// Package session ends the open calls and idle connections of a key when the
// key is withdrawn.
package session

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
)

// KeyWithdrawnError is the cancellation cause of a call whose key was
// withdrawn.
type KeyWithdrawnError struct{}

// Error returns the reason for the cancellation.
func (*KeyWithdrawnError) Error() string { return "the key was withdrawn" }

// Registry records the key of each open call and connection. The zero value is
// ready to use. It is safe for concurrent use.
type Registry struct {
	// CloseIdle closes a connection unless a request is arriving on it. If it is nil,
	// the connection is closed in any case.
	CloseIdle func(net.Conn)

	mu     sync.Mutex
	lastID int
	calls  map[int]openCall // by call identifier
	conns  map[net.Conn]*connState
}

type openCall struct {
	keyHash string
	cancel  context.CancelCauseFunc
}

type connState struct {
	keyHash string // of the last key received on the connection
	idle    bool
}

// connContextKey is the context key of a request's net.Conn.
type connContextKey struct{}

// Register registers a call under the hash of its key; the hash is empty for a
// call without a key. It returns a context that RevokeInvalid cancels with cause
// *KeyWithdrawnError when the key is withdrawn, and a function that ends the
// registration and cancels the context.
func (r *Registry) Register(ctx context.Context, keyHash string) (context.Context, func()) {
	ctx, cancel := context.WithCancelCause(ctx)
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.calls == nil {
		r.calls = make(map[int]openCall)
	}
	r.lastID++
	id := r.lastID
	r.calls[id] = openCall{keyHash: keyHash, cancel: cancel}
	if c, ok := ctx.Value(connContextKey{}).(net.Conn); ok && r.conns[c] != nil {
		r.conns[c].keyHash = keyHash
	}
	return ctx, func() {
		r.mu.Lock()
		delete(r.calls, id)
		r.mu.Unlock()
		cancel(nil)
	}
}

// RevokeInvalid cancels the calls and closes the idle connections whose key
// isValid rejects. It returns the number of calls that it cancelled. It does not
// check calls and connections without a key. isValid must not call methods of
// the Registry.
func (r *Registry) RevokeInvalid(isValid func(keyHash string) bool) int {
	r.mu.Lock()
	var toClose []net.Conn
	ended := 0
	for _, c := range r.calls {
		if c.keyHash != "" && !isValid(c.keyHash) {
			c.cancel(&KeyWithdrawnError{})
			ended++
		}
	}
	for c, s := range r.conns {
		if s.idle && s.keyHash != "" && !isValid(s.keyHash) {
			toClose = append(toClose, c)
		}
	}
	r.mu.Unlock()
	for _, c := range toClose {
		if r.CloseIdle != nil {
			r.CloseIdle(c)
			continue
		}
		_ = c.Close() // it may be closed already
	}
	return ended
}

// ConnContext attaches the connection to the context of its requests. It is
// meant for http.Server.ConnContext.
func (r *Registry) ConnContext(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connContextKey{}, c)
}

// ConnState records whether a connection is idle, and removes it when it is
// closed or hijacked. It is meant for http.Server.ConnState.
func (r *Registry) ConnState(c net.Conn, state http.ConnState) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.conns == nil {
		r.conns = make(map[net.Conn]*connState)
	}
	switch state {
	case http.StateNew:
		r.conns[c] = &connState{}
	case http.StateIdle, http.StateActive:
		if s := r.conns[c]; s != nil {
			s.idle = state == http.StateIdle
		}
	case http.StateClosed, http.StateHijacked:
		delete(r.conns, c)
	}
}

// OpenCalls returns the number of open calls.
func (r *Registry) OpenCalls() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.calls)
}

// IsKeyWithdrawn reports whether the context was cancelled because the key of
// its call was withdrawn.
func IsKeyWithdrawn(ctx context.Context) bool {
	var w *KeyWithdrawnError
	return errors.As(context.Cause(ctx), &w)
}
