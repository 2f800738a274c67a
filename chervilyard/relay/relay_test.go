package relay_test

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"chervilyard.example/chervilyard/relay"
	"chervilyard.example/chervilyard/sink"
	"chervilyard.example/yard/membudget"
)

// Guards against a model's JSON without a length that its target broke off and that is
// relayed as if it were complete.
func TestBrokenJSONIsIncomplete(t *testing.T) {
	const body = `{"choices":[{"index":0,"text":"a"}],"usage":{"total_tokens":3}}`
	for n := range len(body) + 1 {
		var sent bytes.Buffer
		r := relay.Relay{
			Status: http.StatusOK, Header: http.Header{"Content-Type": {"application/json; charset=utf-8"}},
			Body: strings.NewReader(body[:n]), EndsWithConnection: true,
			Sink: &sink.Sink{SendHeader: func(int, http.Header) error { return nil }, Send: func(p []byte) error {
				sent.Write(p)
				return nil
			}},
		}
		result, err := r.Buffered()
		if n == len(body) {
			if err != nil || !result.Complete || sent.String() != body || result.UsedTokens != 3 {
				t.Errorf("the whole response: %+v, %v, %q", result, err, sent.String())
			}
			continue
		}
		var incomplete *relay.IncompleteError
		if !errors.As(err, &incomplete) || result.Complete || sent.Len() > 0 {
			t.Errorf("%d bytes: %+v, %v, %q", n, result, err, sent.String())
		}
	}
}

// endless repeats its text until it has been read more often than a relay may do, and then
// fails the test.
type endless struct {
	t    *testing.T
	text string
	read int
}

func (e *endless) Read(p []byte) (int, error) {
	const limit = 8 << 20
	if e.read > limit {
		e.t.Errorf("more than %d bytes of one event were read", limit)
		return 0, io.EOF
	}
	n := 0
	for n+len(e.text) <= len(p) {
		n += copy(p[n:], e.text)
	}
	e.read += n
	return n, nil
}

// Guards against an event that never ends and fills the memory, in one line or in many.
func TestEndlessEvent(t *testing.T) {
	for _, text := range []string{"x", "data: x\n", ": x\n"} {
		r := relay.Relay{
			Status: http.StatusOK, Header: http.Header{"Content-Type": {"text/event-stream"}}, Body: &endless{t: t, text: text},
			Sink: &sink.Sink{SendHeader: func(int, http.Header) error { return nil }, Send: func([]byte) error { return nil }},
		}
		result, err := r.Stream()
		var incomplete *relay.IncompleteError
		if !errors.As(err, &incomplete) || result.Complete {
			t.Errorf("%q without end: %+v, %v", text, result, err)
		}
	}
}

// Guards against a model's response that is held although the budget has no bytes for it, that
// is cut off for that, and against JSON without a length that is sent on unchecked then.
func TestBufferedWithoutRoom(t *testing.T) {
	body := `{"text":"` + strings.Repeat("x", 64<<10) + `"}`
	for _, endsWithConnection := range []bool{false, true} {
		var memory membudget.Budget
		memory.SetLimit(time.Now(), 32<<10)
		var sent bytes.Buffer
		r := relay.Relay{
			Status: http.StatusOK, Header: http.Header{"Content-Type": {"application/json"}}, Body: strings.NewReader(body),
			EndsWithConnection: endsWithConnection, Memory: &memory, Now: time.Now,
			Sink: &sink.Sink{SendHeader: func(int, http.Header) error { return nil }, Send: func(p []byte) error {
				sent.Write(p)
				return nil
			}},
		}
		result, err := r.Buffered()
		if whole := err == nil && result.Complete && sent.String() == body; whole == endsWithConnection || endsWithConnection && sent.Len() > 0 {
			t.Errorf("endsWithConnection=%v: %+v, %v, %d bytes sent", endsWithConnection, result, err, sent.Len())
		}
		if n := memory.Held(membudget.Responses); n != 0 {
			t.Errorf("%d bytes are held afterwards", n)
		}
	}
}
