package pool

import (
	"errors"
	"io"
	"net/http"
	"time"
)

var errUnsent = errors.New("pool: the answer ended before the request was sent in full")

// Response is an answer whose body is still to be read. It is used by one
// goroutine.
type Response struct {
	Status int
	Header http.Header
	// Length of the body, -1 where it is not known beforehand.
	Length int64

	conn    *conn
	body    io.ReadCloser
	reuse   bool
	written chan error
	stop    func() bool
	done    func(*conn)
	ended   bool
}

func newResponse(c *conn, r *http.Response) *Response {
	c.idle = idleTime
	if d, ok := keepAlive(r.Header); ok {
		c.idle = min(idleTime, time.Duration(float64(d)*idlePart))
	}
	framed := r.ContentLength >= 0 || len(r.TransferEncoding) > 0
	return &Response{
		Status: r.StatusCode, Header: r.Header, Length: r.ContentLength,
		conn: c, body: r.Body, reuse: !r.Close && framed && c.idle > 0,
	}
}

// Read reads the body. It returns io.EOF only where the body is complete.
func (r *Response) Read(p []byte) (int, error) {
	n, err := r.body.Read(p)
	if errors.Is(err, io.EOF) {
		r.finish()
	}
	return n, err
}

// Buffered returns how many bytes can be read without waiting.
func (r *Response) Buffered() int { return r.conn.r.Buffered() }

// Close ends the answer. A connection whose body was not read to its end is closed.
func (r *Response) Close() {
	if r.ended {
		return
	}
	r.ended = true
	if r.stop != nil {
		r.stop()
	}
	_ = r.conn.raw.Close() // nobody reads the rest
}

// finish keeps the connection where nothing is left on it.
func (r *Response) finish() {
	if r.ended {
		return
	}
	if !r.reuse || r.unsent() != nil || r.conn.r.Buffered() > 0 || r.stop != nil && !r.stop() {
		r.Close()
		return
	}
	r.ended = true
	r.done(r.conn)
}

// unsent returns an error where the request was not sent in full.
func (r *Response) unsent() error {
	if r.written == nil {
		return nil
	}
	select {
	case err := <-r.written:
		return err
	default:
		return errUnsent
	}
}
