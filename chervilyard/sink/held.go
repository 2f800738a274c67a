package sink

import (
	"bytes"
	"net/http"
)

// Held is an answer that is kept back until it is released, up to a limit of
// body bytes; past that it goes through as it comes.
type Held struct {
	Sink
	under  *Sink
	limit  int
	header http.Header
	body   bytes.Buffer
	passed bool
}

// Hold returns a held answer for under.
func Hold(under *Sink, limit int) *Held {
	h := &Held{under: under, limit: limit}
	h.Start = func(_ int, header http.Header) error {
		h.header = header
		return nil
	}
	h.Send = h.keep
	return h
}

func (h *Held) keep(piece []byte) error {
	if !h.passed && h.body.Len()+len(piece) > h.limit {
		if err := h.Release(); err != nil {
			return err
		}
	}
	if h.passed {
		return h.under.Send(piece)
	}
	h.body.Write(piece)
	return nil
}

// Content returns the content type and the body, and whether the body is whole.
func (h *Held) Content() (contentType string, body []byte, whole bool) {
	return h.header.Get("Content-Type"), h.body.Bytes(), !h.passed
}

// Release sends what was held.
func (h *Held) Release() error {
	if h.passed || !h.started {
		return nil
	}
	h.passed = true
	if err := h.under.Head(h.status, h.header); err != nil {
		return err
	}
	return h.under.Send(h.body.Bytes())
}
