package relay_test

import (
	"bytes"
	"errors"
	"net/http"
	"strings"
	"testing"

	"chervilyard.example/chervilyard/relay"
	"chervilyard.example/chervilyard/sink"
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
