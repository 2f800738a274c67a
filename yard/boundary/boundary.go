// Package boundary finds where the events of a stream of server-sent events end, so that
// a stream that ends inside an event is recognized as broken off.
package boundary

// Finder reads a stream in pieces and keeps the position within it. Lines may end with
// LF, CR or CRLF. The zero value is the start of a stream. A Finder is not safe for
// concurrent use.
type Finder struct {
	inLine       bool // the current line has a byte
	inEvent      bool // a field line was read since the last blank line
	afterCR      bool // the last byte is a CR, so that a LF belongs to the same line end
	endedByCR    bool // that CR ended a blank line
	seenComplete bool
}

// Add reads the next piece of the stream. It returns the number of bytes of p up to and
// including its last blank line, or 0 if it has none.
func (f *Finder) Add(p []byte) int {
	end := 0
	for i, b := range p {
		if f.afterCR && b == '\n' {
			f.afterCR = false
			if f.endedByCR {
				end = i + 1
			}
			continue
		}
		f.afterCR, f.endedByCR = b == '\r', false
		switch {
		case b != '\n' && b != '\r':
			if !f.inLine && b != ':' { // a line that starts with a colon is a comment
				f.inEvent = true
			}
			f.inLine = true
		case f.inLine:
			f.inLine = false
		default:
			f.seenComplete = f.seenComplete || f.inEvent
			f.inEvent = false
			f.endedByCR = f.afterCR
			end = i + 1
		}
	}
	return end
}

// InsideEvent reports whether the stream read so far ends inside an event or a line.
func (f *Finder) InsideEvent() bool { return f.inEvent || f.inLine }

// SeenComplete reports whether at least one event has been read whole.
func (f *Finder) SeenComplete() bool { return f.seenComplete }
