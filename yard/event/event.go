// Package event splits a stream of server-sent events at event boundaries, so that
// a stream that breaks off within an event can be resumed without forwarding the
// incomplete event.
package event

import (
	"bytes"

	"chervilyard.example/yard/boundary"
)

// Splitter buffers a stream and returns complete events. The zero value is ready to
// use. A Splitter is not safe for concurrent use.
type Splitter struct {
	boundaries  boundary.Finder
	buf         []byte // the incomplete event
	lastEventID string
}

// Add appends bytes of the stream. It returns a copy of the events that p completes,
// with their terminating blank lines, or nil if there are none.
func (s *Splitter) Add(p []byte) []byte {
	end := s.boundaries.Add(p)
	if end == 0 {
		s.buf = append(s.buf, p...)
		return nil
	}
	complete := append(bytes.Clone(s.buf), p[:end]...)
	s.buf = append(s.buf[:0], p[end:]...)
	if id, ok := lastID(complete); ok {
		s.lastEventID = id
	}
	return complete
}

// Remainder returns the bytes after the last complete event. They are valid until the
// next call of Add.
func (s *Splitter) Remainder() []byte { return s.buf }

// LastEventID returns the last event ID among the complete events, or "" if none
// has one.
func (s *Splitter) LastEventID() string { return s.lastEventID }

// lastID returns the last event ID in a sequence of complete events, and false if
// none has one.
func lastID(complete []byte) (string, bool) {
	const field = "id:"
	for end := len(complete); end > 0; {
		start := bytes.LastIndexAny(complete[:end], "\r\n") + 1
		if value, ok := bytes.CutPrefix(complete[start:end], []byte(field)); ok {
			return string(bytes.TrimSpace(value)), true
		}
		end = start - 1
	}
	return "", false
}
