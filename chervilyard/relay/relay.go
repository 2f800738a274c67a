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
	"net/http"
	"strings"

	"chervilyard.example/chervilyard/sink"
)

const (
	maxBodySize  = 64 << 20 // bytes of a response relayed by Buffered
	maxEventSize = 4 << 20  // bytes of one event
	bufferSize   = 32 << 10 // bytes of the read buffer
)

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
}

// Stream relays an event stream. Nothing is sent before the first event is
// complete. The error is an *IncompleteError if the stream fails or ends before the
// event that contains doneLine, and a *CallerGoneError if the sink fails.
func (r *Relay) Stream() (Result, error) {
	var result Result
	in := bufio.NewReaderSize(r.Body, bufferSize)
	for {
		event, err := readEvent(in)
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
// is complete. The errors are those of Stream.
func (r *Relay) Buffered() (Result, error) {
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBodySize+1))
	if err == nil && len(body) > maxBodySize {
		err = errors.New("the response is over the size limit")
	}
	if err == nil && r.EndsWithConnection && isJSON(r.Header) && !json.Valid(body) {
		err = errIncompleteJSON
	}
	if err != nil {
		return Result{}, &IncompleteError{Err: unexpectedEOF(err)}
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

// Copy relays a service's response as it arrives. Nothing is sent before the first byte
// of the body, or its end if it is empty. The errors are those of Stream.
func (r *Relay) Copy() (Result, error) {
	var result Result
	buf := make([]byte, bufferSize)
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
func readEvent(in *bufio.Reader) ([]byte, error) {
	var event []byte
	for {
		line, err := in.ReadSlice('\n')
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
