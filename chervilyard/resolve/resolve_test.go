package resolve_test

import (
	"encoding/json"
	"errors"
	"net/http"
	"testing"

	"chervilyard.example/chervilyard/call"
	"chervilyard.example/chervilyard/resolve"
	"chervilyard.example/yard/document"
	"chervilyard.example/yard/refusal"
)

const config = `[environment]
name = x
[region r]
[centre c]
region = r
[customer k]
rate = 10
burst = 1000
[route m]
kind = model
limit = 100
open = k
[target t]
centre = c
address = 127.0.0.1:1
serves = m
`

// FuzzBody checks that any request body is either refused as not run, or sent to
// the target with a limit on the answer that the reserved tokens cover.
func FuzzBody(f *testing.F) {
	d, err := document.Parse("x", config)
	if err != nil {
		f.Fatal(err)
	}
	for _, seed := range []string{
		`{"model":"m","messages":[{"role":"user","content":"x"}]}`,
		`{"model":"m","max_tokens":5,"MAX_TOKENS":500,"messages":[{"content":[1,{"a":"b"}]}]}`,
		`{"model":"m","n":2,"messages":[{}]}`,
		`{"model":"m","max_completion_tokens":1e2,"max_tokens":1e9,"messages":[null]}`,
		`{"model":"m","model":"other","messages":[]}`, `null`, `[]`, `{"model":7}`, "{\"model\":\"m\",\"messages\":\"\xff\"}",
	} {
		f.Add([]byte(seed))
	}
	s := resolve.Stage{Region: func() string { return "r" }}
	f.Fuzz(func(t *testing.T, body []byte) {
		c := &call.Call{Method: http.MethodPost, Path: resolve.ChatPath, Body: body, Document: d, Header: http.Header{}}
		if err := s.Run(c); err != nil {
			var r *refusal.Refusal
			if !errors.As(err, &r) || r.Run != refusal.RunNo || r.Status >= http.StatusInternalServerError {
				t.Fatalf("refused, but not as a client error marked as not run: %v", err)
			}
			return
		}
		var sent struct {
			Model string `json:"model"`
			Max   int    `json:"max_tokens"`
		}
		if err := json.Unmarshal(c.TargetBody, &sent); err != nil {
			t.Fatalf("target body %s is not valid: %v", c.TargetBody, err)
		}
		if sent.Model != "m" || sent.Max < 1 || sent.Max > 100 || c.MaxTokens < c.MaxPromptTokens+float64(sent.Max) {
			t.Fatalf("reserved %v tokens for target body %s", c.MaxTokens, c.TargetBody)
		}
	})
}
