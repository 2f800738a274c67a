package pool

import (
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"chervilyard.example/yard/boundary"
)

// How the end of a response body is determined.
const (
	FramedByLength = "length"
	FramedByChunks = "chunks"
	FramedByClose  = "close" // by the end of the connection
)

// IncompleteError is the error of an event stream that ended inside an event, or without
// any event where only the end of its connection ends it. It wraps io.ErrUnexpectedEOF.
type IncompleteError struct {
	Framing     string // see Response.Framing
	InsideEvent bool
}

// Error returns how the stream ended.
func (e *IncompleteError) Error() string {
	if e.InsideEvent {
		return "pool: the stream ended inside an event; framing: " + e.Framing
	}
	return "pool: the stream ended without an event; framing: " + e.Framing
}

// Unwrap returns io.ErrUnexpectedEOF.
func (e *IncompleteError) Unwrap() error { return io.ErrUnexpectedEOF }

// maxUndelimitedBody is the longest body in bytes that is read if its length is not stated.
// What a faulty target sends may never end.
const maxUndelimitedBody = 64 << 20

// TooLongError is the error of a body that did not end within the limit. The length had not
// been stated.
type TooLongError struct{ Limit int64 } // in bytes

// Error returns the message, which includes the limit.
func (e *TooLongError) Error() string {
	return "pool: the body did not end within " + strconv.FormatInt(e.Limit, 10) + " bytes"
}

// UnsentError is the error of a body that ended with its connection although the request was not
// sent in full. It wraps io.ErrUnexpectedEOF.
type UnsentError struct{ Err error } // of the write of the request

// Error returns the message, which includes the cause.
func (e *UnsentError) Error() string {
	return "pool: the connection ended before the request was sent in full: " + e.Err.Error()
}

// Unwrap returns io.ErrUnexpectedEOF.
func (e *UnsentError) Unwrap() error { return io.ErrUnexpectedEOF }

var errIncompleteWrite = errors.New("pool: the response ended before the request was sent in full")

// Response is a response whose body has not been read yet. It is not safe for
// concurrent use.
type Response struct {
	Status int
	Header http.Header
	// Length is the length of the body in bytes, or -1 if it is not known in advance.
	Length int64
	// Skipped is the number of responses to other requests that came before this one.
	Skipped int
	// Kept states that the connection had a request before.
	Kept bool

	conn      *conn
	body      io.ReadCloser
	framing   string
	events    *boundary.Finder // follows an event stream; nil for other bodies
	size      int64            // bytes of the body that have been read
	reusable  bool
	bodyWrite *bodyWrite  // of the request, beside the response; nil if it was written before
	stopClose func() bool // keeps the connection open when the context is done
	release   func(*conn) // returns the connection to the pool
	ended     bool        // the connection was closed or released
}

func newResponse(c *conn, r *http.Response) *Response {
	c.idleTimeout = maxIdleTime
	if d, ok := keepAliveTimeout(r.Header); ok {
		c.idleTimeout = min(maxIdleTime, time.Duration(float64(d)*idleTimeFraction))
	}
	resp := &Response{
		Status: r.StatusCode, Header: r.Header, Length: r.ContentLength,
		conn: c, body: r.Body, framing: framingOf(r),
	}
	resp.reusable = !r.Close && resp.framing != FramedByClose && c.idleTimeout > 0
	if r.Body != http.NoBody && isEventStream(r.Header) {
		resp.events = &boundary.Finder{}
	}
	return resp
}

func framingOf(r *http.Response) string {
	switch {
	case r.ContentLength >= 0:
		return FramedByLength
	case len(r.TransferEncoding) > 0:
		return FramedByChunks
	}
	return FramedByClose
}

func isEventStream(h http.Header) bool {
	mediaType, _, _ := strings.Cut(h.Get("Content-Type"), ";")
	return strings.EqualFold(strings.TrimSpace(mediaType), "text/event-stream")
}

// Framing returns how the end of the body is determined: FramedByLength, FramedByChunks
// or FramedByClose.
func (r *Response) Framing() string { return r.framing }

// IsEventStream reports whether the body is an event stream.
func (r *Response) IsEventStream() bool { return isEventStream(r.Header) }

// Read reads the body. It returns io.EOF only if the body is complete, an *IncompleteError
// if an event stream ended without an error of the connection but is not complete, an
// *UnsentError if a body ended with its connection before the request was sent, and a
// *TooLongError if a body of unknown length does not end.
func (r *Response) Read(p []byte) (int, error) {
	n, err := r.body.Read(p)
	r.size += int64(n)
	if r.framing != FramedByLength && r.size > maxUndelimitedBody {
		r.Close()
		return n, &TooLongError{Limit: maxUndelimitedBody}
	}
	if r.events != nil {
		r.events.Add(p[:n])
	}
	if errors.Is(err, io.EOF) {
		if e := r.unsent(); e != nil {
			r.Close()
			return n, e
		}
		r.finish()
		if e := r.incomplete(); e != nil {
			return n, e
		}
	}
	return n, err
}

// incomplete returns an error if the body is an event stream that has ended but is not
// complete. The end of a connection alone does not show that a stream is: a target that
// crashes may close it in good order.
func (r *Response) incomplete() error {
	if r.events == nil {
		return nil
	}
	inside := r.events.InsideEvent()
	if inside || r.framing == FramedByClose && !r.events.SeenComplete() {
		return &IncompleteError{Framing: r.framing, InsideEvent: inside}
	}
	return nil
}

// unsent returns an error if the body has ended with its connection and the request was not sent
// in full. The kernel reports a reset only once: if the write gets the error, reads end as if the
// connection had been closed in order. It waits for the end of the write.
func (r *Response) unsent() error {
	if r.framing != FramedByClose || r.bodyWrite == nil {
		return nil
	}
	if err := r.bodyWrite.wait(); err != nil {
		return &UnsentError{Err: err}
	}
	return nil
}

// Buffered returns the number of bytes received but not yet read, including the
// framing of a chunked body. It is 0 after the end of the body.
func (r *Response) Buffered() int {
	if r.ended { // another request may use the connection
		return 0
	}
	return r.conn.r.Buffered()
}

// Close ends the response. If its body has not been read to the end, the
// connection is closed.
func (r *Response) Close() {
	if r.ended {
		return
	}
	r.ended = true
	if r.stopClose != nil {
		r.stopClose()
	}
	r.conn.close() // the rest of the body is not read
}

// finish returns the connection to the pool, or closes it if it cannot be reused.
func (r *Response) finish() {
	if r.ended {
		return
	}
	if !r.reusable || r.bodyWriteErr() != nil || r.conn.r.Buffered() > 0 || r.stopClose != nil && !r.stopClose() {
		r.Close()
		return
	}
	r.ended = true
	r.release(r.conn)
}

// WhenRequestSent calls f once the body of the request has been written in full, or its write
// has failed: at once if it has, and from another goroutine otherwise.
func (r *Response) WhenRequestSent(f func()) {
	if r.bodyWrite == nil {
		f()
		return
	}
	r.bodyWrite.whenEnded(f)
}

// bodyWriteErr returns an error if the request body was not written in full.
func (r *Response) bodyWriteErr() error {
	if r.bodyWrite == nil {
		return nil
	}
	return r.bodyWrite.result()
}
