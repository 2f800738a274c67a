// Package event splits a stream of server-sent events at event boundaries, so that
// a stream that breaks off within an event can be resumed without forwarding the
// incomplete event. Lines must end with LF.
package event

import "bytes"

// Splitter buffers a stream and returns complete events. The zero value is ready to
// use. A Splitter is not safe for concurrent use.
type Splitter struct {
	buf         []byte // the incomplete event
	lastEventID string
}

// Add appends bytes of the stream. It returns a copy of the events that p completes,
// with their terminating blank lines, or nil if there are none.
func (s *Splitter) Add(p []byte) []byte {
	s.buf = append(s.buf, p...)
	end := bytes.LastIndex(s.buf, []byte("\n\n"))
	if end < 0 {
		return nil
	}
	end += 2
	complete := bytes.Clone(s.buf[:end])
	s.buf = append(s.buf[:0], s.buf[end:]...)
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
	start := bytes.LastIndex(complete, []byte("\nid:"))
	if start < 0 {
		if !bytes.HasPrefix(complete, []byte("id:")) {
			return "", false
		}
		start = -1
	}
	idText := complete[start+len("\nid:"):]
	end := bytes.IndexByte(idText, '\n')
	return string(bytes.TrimSpace(idText[:end])), true
}
