// Package sink is where an answer goes: to a caller over HTTP, or to the
// instance that forwarded the request.
package sink

import (
	"net/http"
	"time"
)

// Sink takes one answer: its head once, then its body. It is used by one
// goroutine.
type Sink struct {
	// Start sends the status and header.
	Start func(status int, h http.Header) error
	// Send sends a piece of the body at once.
	Send func(piece []byte) error
	// Extend gives the other side its time anew before something else is
	// written; it may be nil.
	Extend func()

	started bool
	status  int
}

// HTTP returns a sink that answers a caller, who has to take each piece within
// the time.
func HTTP(w http.ResponseWriter, patience time.Duration) *Sink {
	control := http.NewResponseController(w)
	// A recorder in a test has no deadline to set.
	extend := func() { _ = control.SetWriteDeadline(time.Now().Add(patience)) }
	return &Sink{
		Extend: extend,
		Start: func(status int, h http.Header) error {
			extend()
			for name, values := range h {
				w.Header()[name] = values
			}
			w.WriteHeader(status)
			return nil
		},
		Send: func(piece []byte) error {
			extend()
			if _, err := w.Write(piece); err != nil {
				return err
			}
			return control.Flush()
		},
	}
}

// Head sends the status and header.
func (s *Sink) Head(status int, h http.Header) error {
	s.started = true
	s.status = status
	return s.Start(status, h)
}

// Write sends a piece of the body.
func (s *Sink) Write(piece []byte) (int, error) {
	if err := s.Send(piece); err != nil {
		return 0, err
	}
	return len(piece), nil
}

// Started reports whether the caller got anything.
func (s *Sink) Started() bool { return s.started }

// Status returns the status that was sent, or 0.
func (s *Sink) Status() int { return s.status }
