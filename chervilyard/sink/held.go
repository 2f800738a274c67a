package sink

import (
	"bytes"
	"net/http"
)

// Buffered is a sink that buffers a response until it is released. If the body exceeds
// a limit in bytes, the response is released at once and its remaining pieces are
// sent as they arrive.
type Buffered struct {
	Sink
	next     *Sink
	limit    int
	header   http.Header
	body     bytes.Buffer
	released bool
}

// NewBuffered returns a Buffered that releases its response to next. Its limit is in bytes of
// the body.
func NewBuffered(next *Sink, limit int) *Buffered {
	h := &Buffered{next: next, limit: limit}
	h.SendHeader = func(_ int, header http.Header) error {
		h.header = header
		return nil
	}
	h.Send = h.buffer
	return h
}

func (h *Buffered) buffer(piece []byte) error {
	if !h.released && h.body.Len()+len(piece) > h.limit {
		if err := h.Release(); err != nil {
			return err
		}
	}
	if h.released {
		return h.next.Send(piece)
	}
	h.body.Write(piece)
	return nil
}

// Content returns the content type and the buffered body, and whether the body is
// complete, which it is not once the response was released.
func (h *Buffered) Content() (contentType string, body []byte, whole bool) {
	return h.header.Get("Content-Type"), h.body.Bytes(), !h.released
}

// Release sends the buffered response. It does nothing if there is none or it was
// released before.
func (h *Buffered) Release() error {
	if h.released || !h.started {
		return nil
	}
	h.released = true
	if err := h.next.WriteHeader(h.status, h.header); err != nil {
		return err
	}
	return h.next.Send(h.body.Bytes())
}
