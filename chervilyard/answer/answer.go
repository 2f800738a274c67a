// Package answer relays a target's answer to its sink and counts what it used:
// event streams event by event, other answers whole.
package answer

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"

	"chervilyard.example/chervilyard/sink"
)

const (
	maxWhole = 64 << 20 // bytes of an answer that is not a stream
	maxLine  = 4 << 20  // bytes of one line of a stream
	copySize = 32 << 10
)

var doneLine = []byte("data: [DONE]")

// Relayed is how far an answer came.
type Relayed struct {
	Used    float64 // tokens that the target counted, where Counted
	Counted bool
	Events  int  // events of a stream that carried content
	Whole   bool // the answer reached its end
}

// Broken is the error of an answer that its target did not finish.
type Broken struct{ Err error }

// Error returns the cause.
func (e *Broken) Error() string { return fmt.Sprintf("answer: broken: %v", e.Err) }

// Unwrap returns the cause.
func (e *Broken) Unwrap() error { return e.Err }

// Gone is the error of an answer that its caller does not take.
type Gone struct{ Err error }

// Error returns the cause.
func (e *Gone) Error() string { return fmt.Sprintf("answer: caller gone: %v", e.Err) }

// Unwrap returns the cause.
func (e *Gone) Unwrap() error { return e.Err }

// Relay is one answer on its way. Progress is called at each piece that came
// from the target, before it is passed on; it may be nil.
type Relay struct {
	Status   int
	Header   http.Header
	Body     io.Reader
	To       *sink.Sink
	Progress func()
}

// Stream relays an event stream. Nothing is sent before the first event is
// whole, and a stream without its closing event is Broken.
func (r *Relay) Stream() (Relayed, error) {
	var done Relayed
	in := bufio.NewReaderSize(r.Body, copySize)
	for {
		event, err := readEvent(in)
		if len(bytes.TrimSpace(event)) == 0 && err != nil {
			return done, &Broken{Err: ended(err)}
		}
		if err != nil {
			return done, &Broken{Err: ended(err)}
		}
		r.progress()
		last := bytes.Contains(event, doneLine)
		done.count(event, last)
		if !r.To.Started() {
			if err := r.To.Head(r.Status, r.Header); err != nil {
				return done, &Gone{Err: err}
			}
		}
		if last {
			done.Whole = true
		}
		if _, err := r.To.Write(event); err != nil {
			done.Whole = false
			return done, &Gone{Err: err}
		}
		if last {
			return done, nil
		}
	}
}

// Whole relays a model's answer that is not a stream, after it came whole.
func (r *Relay) Whole() (Relayed, error) {
	body, err := io.ReadAll(io.LimitReader(r.Body, maxWhole+1))
	if err == nil && len(body) > maxWhole {
		err = errors.New("the answer is over the limit")
	}
	if err != nil {
		return Relayed{}, &Broken{Err: ended(err)}
	}
	r.progress()
	done := Relayed{Whole: true}
	done.usage(body)
	if err := r.To.Head(r.Status, r.Header); err != nil {
		return done, &Gone{Err: err}
	}
	if _, err := r.To.Write(body); err != nil {
		return done, &Gone{Err: err}
	}
	return done, nil
}

// Copy relays a service's answer as it comes.
func (r *Relay) Copy() (Relayed, error) {
	var done Relayed
	if err := r.To.Head(r.Status, r.Header); err != nil {
		return done, &Gone{Err: err}
	}
	buf := make([]byte, copySize)
	for {
		n, err := r.Body.Read(buf)
		if n > 0 {
			r.progress()
			if _, werr := r.To.Write(buf[:n]); werr != nil {
				return done, &Gone{Err: werr}
			}
		}
		if errors.Is(err, io.EOF) {
			done.Whole = true
			return done, nil
		}
		if err != nil {
			return done, &Broken{Err: err}
		}
	}
}

func (r *Relay) progress() {
	if r.Progress != nil {
		r.Progress()
	}
}

// ended makes an early end of a stream an error of its own.
func ended(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

// readEvent reads the lines up to and with the blank one that ends an event.
func readEvent(in *bufio.Reader) ([]byte, error) {
	var event []byte
	for {
		line, err := in.ReadSlice('\n')
		event = append(event, line...)
		if errors.Is(err, bufio.ErrBufferFull) {
			if len(event) > maxLine {
				return event, errors.New("an event is over the limit")
			}
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

type usage struct {
	Usage *struct {
		Total *float64 `json:"total_tokens"`
	} `json:"usage"`
}

func (d *Relayed) count(event []byte, last bool) {
	if last {
		return
	}
	for line := range bytes.Lines(event) {
		data, ok := bytes.CutPrefix(bytes.TrimSpace(line), []byte("data:"))
		if !ok {
			continue
		}
		if bytes.Contains(data, []byte(`"usage"`)) {
			d.usage(data)
		}
		if bytes.Contains(data, []byte(`"content"`)) || bytes.Contains(data, []byte(`"text"`)) {
			d.Events++
		}
	}
}

func (d *Relayed) usage(data []byte) {
	var u usage
	if json.Unmarshal(data, &u) != nil || u.Usage == nil || u.Usage.Total == nil {
		return
	}
	d.Used = *u.Usage.Total
	d.Counted = true
}
