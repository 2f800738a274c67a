// Package event splits an event stream into whole events, so that a stream
// that breaks inside one can be continued without a torn piece.
package event

import "bytes"

// Splitter collects bytes and returns whole events. The zero value is empty.
// It is not safe for concurrent use.
type Splitter struct {
	buf  []byte
	last string
}

// Add appends bytes of the stream and returns the whole events that are now
// complete, with their closing blank lines. The result is valid until the next
// call.
func (s *Splitter) Add(p []byte) []byte {
	s.buf = append(s.buf, p...)
	end := bytes.LastIndex(s.buf, []byte("\n\n"))
	if end < 0 {
		return nil
	}
	end += 2
	whole := bytes.Clone(s.buf[:end])
	s.buf = append(s.buf[:0], s.buf[end:]...)
	if id, ok := lastID(whole); ok {
		s.last = id
	}
	return whole
}

// Rest returns the bytes after the last whole event.
func (s *Splitter) Rest() []byte { return s.buf }

// Last returns the identifier of the last whole event, "" where none had one.
func (s *Splitter) Last() string { return s.last }

// lastID returns the last identifier among whole events.
func lastID(whole []byte) (string, bool) {
	at := bytes.LastIndex(whole, []byte("\nid:"))
	if at < 0 {
		if !bytes.HasPrefix(whole, []byte("id:")) {
			return "", false
		}
		at = -1
	}
	rest := whole[at+len("\nid:"):]
	end := bytes.IndexByte(rest, '\n')
	return string(bytes.TrimSpace(rest[:end])), true
}
