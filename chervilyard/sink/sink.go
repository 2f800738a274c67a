// Package sink writes responses to their destination: a caller over HTTP, or the
// instance that forwarded the request.
package sink

import (
	"net/http"
	"sync"
	"time"
)

// Sink writes one response: its header once, then its body. It must be used by one
// goroutine at a time.
type Sink struct {
	// SendHeader sends the status and the header.
	SendHeader func(status int, h http.Header) error
	// Send sends a piece of the body without delay.
	Send func(piece []byte) error
	// ExtendDeadline renews the write deadline before something, such as a refusal,
	// is written to the caller without the sink. It is nil in sinks that are not
	// made by HTTP.
	ExtendDeadline func()
	// UnreadSince reports since when the caller has taken nothing of a write that waits for it.
	// It is nil if that is not known.
	UnreadSince func(now time.Time) (time.Time, bool)
	// End ends the current write and all later ones. It may be nil if UnreadSince is.
	End func()

	started bool
	status  int
}

// HTTP returns a sink that responds to a caller. The caller must accept each piece
// within writeTimeout.
func HTTP(w http.ResponseWriter, writeTimeout time.Duration) *Sink {
	control := http.NewResponseController(w)
	var mu sync.Mutex
	ended := false
	// The errors are ignored, since a recorder in a test has no deadline to set.
	extend := func() {
		mu.Lock()
		defer mu.Unlock()
		if !ended {
			_ = control.SetWriteDeadline(time.Now().Add(writeTimeout))
		}
	}
	return &Sink{
		ExtendDeadline: extend,
		End: func() {
			mu.Lock()
			defer mu.Unlock()
			ended = true
			_ = control.SetWriteDeadline(time.Unix(1, 0))
		},
		SendHeader: func(status int, h http.Header) error {
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

// WriteHeader sends the status and the header.
func (s *Sink) WriteHeader(status int, h http.Header) error {
	s.started = true
	s.status = status
	return s.SendHeader(status, h)
}

// Write sends a piece of the body.
func (s *Sink) Write(piece []byte) (int, error) {
	if err := s.Send(piece); err != nil {
		return 0, err
	}
	return len(piece), nil
}

// Started reports whether WriteHeader has been called.
func (s *Sink) Started() bool { return s.started }

// Status returns the status passed to WriteHeader, or 0 if it has not been called.
func (s *Sink) Status() int { return s.status }
