package resolve_test

import (
	"encoding/json"
	"errors"
	"net/http"
	"os"
	"strconv"
	"strings"
	"testing"
	"unicode"

	"pgregory.net/rapid"

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

// TestFoldedNames guards against fields whose names a JSON decoder takes for equal,
// of which the gateway counts one and the target reads another. It runs the cases of
// testdata/names.txt.
func TestFoldedNames(t *testing.T) {
	d, err := document.Parse("x", config)
	if err != nil {
		t.Fatal(err)
	}
	s := resolve.Stage{Region: func() string { return "r" }}
	text, err := os.ReadFile("testdata/names.txt")
	if err != nil {
		t.Fatal(err)
	}
	for i, line := range strings.Split(string(text), "\n") {
		if line == "" || strings.HasPrefix(line, "#") {
			continue
		}
		columns := strings.Split(line, " | ")
		if len(columns) != 3 {
			t.Fatalf("line %d has %d columns, want 3", i+1, len(columns))
		}
		c := &call.Call{Method: http.MethodPost, Path: resolve.ChatPath, Body: []byte(columns[1]), Document: d, Header: http.Header{}}
		var got, body string
		var r *refusal.Refusal
		switch err := s.Run(c); {
		case errors.As(err, &r):
			got, body = r.Code, "-"
		case err != nil:
			t.Errorf("line %d: %v", i+1, err)
			continue
		default:
			got, body = strconv.FormatFloat(c.MaxPromptTokens, 'f', -1, 64), string(c.TargetBody)
		}
		if got != columns[0] || body != columns[2] {
			t.Errorf("line %d: %s, %s, want %s, %s", i+1, got, body, columns[0], columns[2])
		}
	}
}

// TestReservedTokensCoverFoldedNames guards against names of fields, in any case and
// folding, with which a target reads more tokens than are reserved.
func TestReservedTokensCoverFoldedNames(t *testing.T) {
	d, err := document.Parse("x", config)
	if err != nil {
		t.Fatal(err)
	}
	s := resolve.Stage{Region: func() string { return "r" }}
	names := rapid.SampledFrom([]string{"messages", "tools", "functions", "response_format", "max_tokens", "max_completion_tokens"})
	rapid.Check(t, func(t *rapid.T) {
		parts := []string{`"model":"m"`, `"messages":` + drawMessages(t)}
		for range rapid.IntRange(0, 6).Draw(t, "fields") {
			name := names.Draw(t, "name")
			var value string
			switch {
			case name == "messages":
				value = drawMessages(t)
			case strings.HasPrefix(name, "max"):
				value = strconv.Itoa(rapid.IntRange(1, 100).Draw(t, "max"))
			default:
				value = drawText(t)
			}
			parts = append(parts, foldedName(t, name)+":"+value)
		}
		body := "{" + strings.Join(rapid.Permutation(parts).Draw(t, "order"), ",") + "}"
		c := &call.Call{Method: http.MethodPost, Path: resolve.ChatPath, Body: []byte(body), Document: d, Header: http.Header{}}
		if err := s.Run(c); err != nil {
			t.Fatalf("body %s: %v", body, err)
		}
		prompt, answer := readTokens(t, c.TargetBody)
		if c.MaxPromptTokens < float64(prompt) || c.MaxTokens < float64(prompt+answer) {
			t.Fatalf("reserved %v tokens for the prompt and %v in all, the target reads %d and %d in %s",
				c.MaxPromptTokens, c.MaxTokens, prompt, prompt+answer, c.TargetBody)
		}
	})
}

// A target may read more than the role and content of messages, and in /v1/completions the
// prompt whatever else the request has.
func TestReservedTokensCoverOtherFields(t *testing.T) {
	d, err := document.Parse("x", config)
	if err != nil {
		t.Fatal(err)
	}
	s := resolve.Stage{Region: func() string { return "r" }}
	text := strings.Repeat("x", 400)
	for path, body := range map[string]string{
		resolve.CompletionsPath: `{"model":"m","prompt":"` + text + `","messages":[{"role":"user","content":"x"}]}`,
		resolve.ChatPath:        `{"model":"m","messages":[{"role":"assistant","content":"x","tool_calls":[{"function":{"arguments":"` + text + `"}}]}]}`,
	} {
		c := &call.Call{Method: http.MethodPost, Path: path, Body: []byte(body), Document: d, Header: http.Header{}}
		if err := s.Run(c); err != nil {
			t.Errorf("%s: %v", path, err)
		} else if c.MaxPromptTokens < 418 {
			t.Errorf("%s: %v tokens are reserved for 400 characters and more", path, c.MaxPromptTokens)
		}
	}
}

func drawText(t *rapid.T) string {
	return `"` + strings.Repeat("x", rapid.IntRange(0, 200).Draw(t, "length")) + `"`
}

// drawMessages returns a list of messages, some with several contents.
func drawMessages(t *rapid.T) string {
	var messages []string
	for range rapid.IntRange(1, 3).Draw(t, "messages") {
		fields := []string{`"role":"user"`}
		for range rapid.IntRange(0, 2).Draw(t, "contents") {
			fields = append(fields, foldedName(t, "content")+":"+drawText(t))
		}
		messages = append(messages, "{"+strings.Join(fields, ",")+"}")
	}
	return "[" + strings.Join(messages, ",") + "]"
}

// foldedName returns a name in quotes that a JSON decoder may take for the given one.
func foldedName(t *rapid.T, name string) string {
	var b strings.Builder
	for _, r := range name {
		for range rapid.IntRange(0, 2).Draw(t, "folds") {
			r = unicode.SimpleFold(r)
		}
		if r != '_' || rapid.Bool().Draw(t, "underscore") {
			b.WriteRune(r)
		}
	}
	return strconv.Quote(b.String())
}

// readTokens returns the most tokens of the prompt and of the answer that a target
// may read in a chat request, whichever of the fields with equal names it reads.
func readTokens(t *rapid.T, body []byte) (prompt, answer int) {
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(body, &fields); err != nil {
		t.Fatalf("target body %s is not valid: %v", body, err)
	}
	promptTokens := make(map[string]int)
	for name, raw := range fields {
		name = strings.ReplaceAll(name, "_", "")
		for _, known := range []string{"tools", "functions", "responseformat"} {
			if strings.EqualFold(name, known) {
				promptTokens[known] = max(promptTokens[known], len(raw))
			}
		}
		switch {
		case strings.EqualFold(name, "messages"):
			promptTokens["messages"] = max(promptTokens["messages"], readMessages(t, raw))
		case strings.EqualFold(name, "maxtokens"), strings.EqualFold(name, "maxcompletiontokens"):
			n, err := strconv.Atoi(string(raw))
			if err != nil {
				t.Fatal(err)
			}
			answer = max(answer, n)
		}
	}
	for _, n := range promptTokens {
		prompt += n
	}
	return prompt, answer
}

// readMessages returns the tokens of messages, of which a target reads either the
// fields that encoding/json reads or those with the exact names.
func readMessages(t *rapid.T, raw []byte) int {
	var messages []struct {
		Role    string          `json:"role"`
		Content json.RawMessage `json:"content"`
	}
	var exact []map[string]json.RawMessage
	if err := errors.Join(json.Unmarshal(raw, &messages), json.Unmarshal(raw, &exact)); err != nil {
		t.Fatal(err)
	}
	tokens := 0
	for i, m := range messages {
		tokens += 16 + len(m.Role) + max(len(m.Content), len(exact[i]["content"]))
	}
	return tokens
}
