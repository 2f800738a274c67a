// Package relay relays a target's response to a sink and counts the tokens that
// it used. Event streams are relayed event by event, other responses as a whole
// or as they arrive.
package relay

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math"
	"net/http"
	"strings"
	"time"

	"chervilyard.example/chervilyard/sink"
	"chervilyard.example/yard/membudget"
)

const (
	maxBodySize  = 64 << 20 // bytes of a response relayed by Buffered
	maxEventSize = 4 << 20  // bytes of one event
	bufferSize   = 32 << 10 // bytes of the read buffer
	// minBufferSize is the size of the read buffer while the budget has no more bytes.
	minBufferSize = 4 << 10
	// freeEventSize is the length up to which an event is held back without a reservation.
	freeEventSize = 64 << 10
)

// PieceSize is the size of the pieces of a response that is sent on as it arrives. As a message
// between instances, with its framing, a piece takes a buffer of 32 KB. A longer one would take
// one of 1 MB, since gRPC has no size between them.
const PieceSize = bufferSize - 256

// doneLine is the data of the event that closes a stream.
var doneLine = []byte("data: [DONE]")

// Result is the result of relaying a response.
type Result struct {
	UsedTokens    float64 // tokens counted by the target, valid if UsageReported
	UsageReported bool
	ContentEvents int  // number of events with content in a stream
	Complete      bool // the response reached its end
}

// IncompleteError is the error of a response that its target did not complete.
type IncompleteError struct{ Err error }

// Error returns the message, which includes the cause.
func (e *IncompleteError) Error() string { return fmt.Sprintf("relay: response incomplete: %v", e.Err) }

// Unwrap returns the cause.
func (e *IncompleteError) Unwrap() error { return e.Err }

// CallerGoneError is the error of a response that its caller no longer accepts.
type CallerGoneError struct{ Err error }

// Error returns the message, which includes the cause.
func (e *CallerGoneError) Error() string { return fmt.Sprintf("relay: caller gone: %v", e.Err) }

// Unwrap returns the cause.
func (e *CallerGoneError) Unwrap() error { return e.Err }

// errRejected is the cause of a response of which OnProgress rejected a piece.
var errRejected = errors.New("relay: a piece of the response was rejected")

// errEventTooLong is the cause of a stream with an event over maxEventSize.
var errEventTooLong = errors.New("an event is over the size limit")

// errNoMemory is the cause of a response for which the budget has no bytes, and which cannot be
// sent on as it arrives.
var errNoMemory = errors.New("the memory for responses is used up")

// errIncompleteJSON is the cause of a response that ended with its connection before its
// JSON did.
var errIncompleteJSON = errors.New("relay: the JSON of a response without a length is incomplete")

func isJSON(h http.Header) bool {
	mediaType, _, _ := strings.Cut(h.Get("Content-Type"), ";")
	return strings.EqualFold(strings.TrimSpace(mediaType), "application/json")
}

// Relay relays one response. OnProgress is called for each piece received from the
// target before it is sent on. If it returns false, neither the piece nor anything after
// it is sent, and the response is incomplete. It may be nil.
type Relay struct {
	Status int
	Header http.Header
	Body   io.Reader
	// EndsWithConnection states that the body has neither a length nor chunks.
	EndsWithConnection bool
	Sink               *sink.Sink
	OnProgress         func() bool
	// Memory is the budget for what is held of the response. It is nil for no bound.
	Memory *membudget.Budget
	Now    func() time.Time // needed with Memory
}

// reserve returns an empty reservation for the response, and a function that closes it.
func (r *Relay) reserve() (*membudget.Reservation, func()) {
	if r.Memory == nil {
		return nil, func() {}
	}
	held := r.Memory.Open(r.Now(), membudget.Responses, nil)
	held.Write(r.Sink.UnreadSince, r.Sink.End)
	return held, func() { held.Close(r.Now()) }
}

// Stream relays an event stream. Nothing is sent before the first event is
// complete. The error is an *IncompleteError if the stream fails or ends before the
// event that contains doneLine, and a *CallerGoneError if the sink fails.
func (r *Relay) Stream() (Result, error) {
	var result Result
	held, release := r.reserve()
	defer release()
	size := bufferSize
	if !held.TryReserve(size) {
		size = minBufferSize
	}
	in := bufio.NewReaderSize(r.Body, size)
	for {
		event, err := r.readEvent(in, held)
		if len(bytes.TrimSpace(event)) == 0 && err != nil {
			return result, &IncompleteError{Err: unexpectedEOF(err)}
		}
		if err != nil {
			return result, &IncompleteError{Err: unexpectedEOF(err)}
		}
		if !r.reportProgress() {
			return result, &IncompleteError{Err: errRejected}
		}
		last := bytes.Contains(event, doneLine)
		result.countEvent(event, last)
		if !r.Sink.Started() {
			if err := r.Sink.WriteHeader(r.Status, r.Header); err != nil {
				return result, &CallerGoneError{Err: err}
			}
		}
		if last {
			result.Complete = true
		}
		if _, err := r.Sink.Write(event); err != nil {
			result.Complete = false
			return result, &CallerGoneError{Err: err}
		}
		if last {
			return result, nil
		}
	}
}

// Buffered reads a model's response that is not a stream in full and then relays it. JSON
// that ends with its connection has to be valid, since the end alone does not show that it
// is complete. Other responses for which the budget has no bytes are sent on as they arrive;
// their usage is not reported then. The errors are those of Stream.
func (r *Relay) Buffered() (Result, error) {
	held, release := r.reserve()
	defer release()
	body, whole, err := r.readWhole(held)
	if err == nil && len(body) > maxBodySize {
		err = errors.New("the response is over the size limit")
	}
	if err == nil && r.EndsWithConnection && isJSON(r.Header) {
		switch {
		case !whole:
			err = errNoMemory
		case !json.Valid(body):
			err = errIncompleteJSON
		}
	}
	if err != nil {
		return Result{}, &IncompleteError{Err: unexpectedEOF(err)}
	}
	if !whole {
		return r.copyAfter(body, held)
	}
	if !r.reportProgress() {
		return Result{}, &IncompleteError{Err: errRejected}
	}
	result := Result{Complete: true}
	result.parseUsage(body)
	if err := r.Sink.WriteHeader(r.Status, r.Header); err != nil {
		return result, &CallerGoneError{Err: err}
	}
	if _, err := r.Sink.Write(body); err != nil {
		return result, &CallerGoneError{Err: err}
	}
	return result, nil
}

// readWhole reads the body, up to one byte over maxBodySize. It returns whole=false with what it
// has read if the budget has no bytes for more.
func (r *Relay) readWhole(held *membudget.Reservation) (body []byte, whole bool, err error) {
	for {
		if len(body) == cap(body) {
			grown := max(minBufferSize, min(2*cap(body), maxBodySize+1))
			// Both buffers exist while one is copied.
			if !held.TryReserve(grown) && len(body) > 0 {
				return body, false, nil
			}
			before := cap(body)
			body = append(make([]byte, 0, grown), body...)
			if before > 0 {
				held.Return(r.Now(), before)
			}
		}
		n, err := r.Body.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		switch {
		case errors.Is(err, io.EOF) || err == nil && len(body) > maxBodySize:
			return body, true, nil
		case err != nil:
			return body, false, err
		}
	}
}

// copyAfter sends the bytes that were read, and then the rest as it arrives.
func (r *Relay) copyAfter(body []byte, held *membudget.Reservation) (Result, error) {
	if err := r.sendPiece(body); err != nil {
		return Result{}, err
	}
	if held != nil {
		held.Return(r.Now(), math.MaxInt)
	}
	return r.copyRest(held)
}

// Copy relays a service's response as it arrives. Nothing is sent before the first byte
// of the body, or its end if it is empty. The errors are those of Stream.
func (r *Relay) Copy() (Result, error) {
	held, release := r.reserve()
	defer release()
	return r.copyRest(held)
}

func (r *Relay) copyRest(held *membudget.Reservation) (Result, error) {
	var result Result
	size := PieceSize
	if !held.TryReserve(size) {
		size = minBufferSize
	}
	buf := make([]byte, size)
	for {
		n, err := r.Body.Read(buf)
		ended := errors.Is(err, io.EOF)
		if n > 0 || ended && !r.Sink.Started() {
			if err := r.sendPiece(buf[:n]); err != nil {
				return result, err
			}
		}
		if ended {
			result.Complete = true
			return result, nil
		}
		if err != nil {
			return result, &IncompleteError{Err: err}
		}
	}
}

// sendPiece sends a piece of the body, which may be empty, and before the first one the
// header.
func (r *Relay) sendPiece(piece []byte) error {
	if !r.reportProgress() {
		return &IncompleteError{Err: errRejected}
	}
	if !r.Sink.Started() {
		if err := r.Sink.WriteHeader(r.Status, r.Header); err != nil {
			return &CallerGoneError{Err: err}
		}
	}
	if len(piece) == 0 {
		return nil
	}
	if _, err := r.Sink.Write(piece); err != nil {
		return &CallerGoneError{Err: err}
	}
	return nil
}

// reportProgress reports whether the piece may be sent.
func (r *Relay) reportProgress() bool { return r.OnProgress == nil || r.OnProgress() }

// unexpectedEOF returns err, with io.EOF replaced by io.ErrUnexpectedEOF.
func unexpectedEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

// readEvent reads up to and including the blank line that ends an event. If there is
// an error, it returns the bytes read before.
func (r *Relay) readEvent(in *bufio.Reader, held *membudget.Reservation) ([]byte, error) {
	var event []byte
	reserved := 0
	defer func() {
		if reserved > 0 {
			held.Return(r.Now(), reserved) // the event is written before the next one is read
		}
	}()
	for {
		line, err := in.ReadSlice('\n')
		if n := len(event) + len(line); held != nil && n > max(freeEventSize, reserved) {
			if !held.TryReserve(2*n - reserved) {
				return event, errNoMemory
			}
			reserved = 2 * n
		}
		event = append(event, line...)
		if len(event) > maxEventSize {
			return event, errEventTooLong
		}
		if errors.Is(err, bufio.ErrBufferFull) {
			continue
		}
		if err != nil {
			return event, err
		}
		if len(bytes.TrimSpace(line)) == 0 && len(bytes.TrimSpace(event)) > 0 {
			return event, nil
		}
	}
}

// usage is the part of a response or an event that reports the tokens used.
type usage struct {
	Usage *struct {
		Total *float64 `json:"total_tokens"`
	} `json:"usage"`
}

// countEvent adds the content and the usage of an event to the result. The last event
// has neither.
func (r *Result) countEvent(event []byte, last bool) {
	if last {
		return
	}
	for line := range bytes.Lines(event) {
		data, ok := bytes.CutPrefix(bytes.TrimSpace(line), []byte("data:"))
		if !ok {
			continue
		}
		if bytes.Contains(data, []byte(`"usage"`)) {
			r.parseUsage(data)
		}
		if bytes.Contains(data, []byte(`"content"`)) || bytes.Contains(data, []byte(`"text"`)) {
			r.ContentEvents++
		}
	}
}

// parseUsage sets the tokens used if data reports them.
func (r *Result) parseUsage(data []byte) {
	var u usage
	if json.Unmarshal(data, &u) != nil || u.Usage == nil || u.Usage.Total == nil {
		return
	}
	r.UsedTokens = *u.Usage.Total
	r.UsageReported = true
}
