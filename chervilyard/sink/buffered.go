package sink

import (
	"bytes"
	"net/http"
)

// Buffered is a sink that buffers a response until it is released. If the body would
// exceed a limit in bytes, the response is released at once and its remaining pieces
// are sent as they arrive.
type Buffered struct {
	Sink
	next     *Sink
	limit    int
	header   http.Header
	body     bytes.Buffer
	released bool
}

// NewBuffered returns a Buffered that releases its response to next. Its limit is
// in bytes of the body.
func NewBuffered(next *Sink, limit int) *Buffered {
	b := &Buffered{next: next, limit: limit}
	b.SendHeader = func(_ int, header http.Header) error {
		b.header = header
		return nil
	}
	b.Send = b.buffer
	return b
}

func (b *Buffered) buffer(piece []byte) error {
	if !b.released && b.body.Len()+len(piece) > b.limit {
		if err := b.Release(); err != nil {
			return err
		}
	}
	if b.released {
		return b.next.Send(piece)
	}
	b.body.Write(piece)
	return nil
}

// Content returns the content type and the buffered body, and whether the body is
// complete, which is false once the response has been released.
func (b *Buffered) Content() (contentType string, body []byte, complete bool) {
	return b.header.Get("Content-Type"), b.body.Bytes(), !b.released
}

// Release sends the buffered response. It does nothing if there is none or it was
// released before.
func (b *Buffered) Release() error {
	if b.released || !b.started {
		return nil
	}
	b.released = true
	if err := b.next.WriteHeader(b.status, b.header); err != nil {
		return err
	}
	return b.next.Send(b.body.Bytes())
}
