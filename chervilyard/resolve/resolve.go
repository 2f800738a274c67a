// Package resolve finds the route of a call, checks residency, and works out
// what the call may cost and what its target gets.
package resolve

import (
	"encoding/json"
	"math"
	"net/http"
	"slices"
	"strconv"
	"strings"

	"chervilyard.example/chervilyard/call"
	"chervilyard.example/yard/refusal"
	"chervilyard.example/yard/route"
)

// The callers' paths.
const (
	ChatPath     = "/v1/chat/completions"
	TextPath     = "/v1/completions"
	ServicePath  = "/s/"
	messageExtra = 16 // tokens that an engine may add for one message
)

// Stage resolves calls.
type Stage struct {
	Region func() string // of this instance
}

// Run sets the call's route and what follows from it.
func (s *Stage) Run(c *call.Call) error {
	if err := s.read(c); err != nil {
		return err
	}
	if c.Customer.Name() == "" {
		owner, ok := c.Document.Customer(c.Route.Open())
		if !ok {
			return refusal.NotRun(http.StatusUnauthorized, "key_missing", "send a key as Authorization: Bearer KEY")
		}
		c.Customer = owner
	}
	c.Deadline = c.Arrived.Add(c.Route.Deadline())
	return s.permit(c)
}

// permit refuses a call that may not be handled in this region.
func (s *Stage) permit(c *call.Call) error {
	region := s.Region()
	if c.Route.Permits(region, c.Customer.Home()) {
		return nil
	}
	return refusal.NotRun(http.StatusForbidden, "residency", "the request may not be handled in region "+region+"; ask /locate for an instance inside its residency")
}

func (s *Stage) read(c *call.Call) error {
	if rest, ok := strings.CutPrefix(c.Path, ServicePath); ok {
		return readService(c, rest)
	}
	if c.Path != ChatPath && c.Path != TextPath {
		return refusal.NotRun(http.StatusNotFound, "path_unknown", "no such path")
	}
	if c.Method != http.MethodPost {
		return refusal.NotRun(http.StatusMethodNotAllowed, "method", "use POST")
	}
	return readModel(c)
}

// readService resolves a call of a plain service. A method that is safe by
// RFC 9110 may be repeated on any route.
func readService(c *call.Call, rest string) error {
	name, path, _ := strings.Cut(rest, "/")
	r, ok := c.Document.Route(name)
	if !ok || r.Kind() != route.KindService {
		return refusal.NotRun(http.StatusNotFound, "service_unknown", "no service of that name")
	}
	if leaves(path) {
		return refusal.NotRun(http.StatusBadRequest, "path_leaves", "the path leaves the service's")
	}
	c.Route = r
	c.TargetPath = "/" + path
	if c.Query != "" {
		c.TargetPath += "?" + c.Query
	}
	c.TargetBody = c.Body
	c.Tokens = 1
	safe := c.Method == http.MethodGet || c.Method == http.MethodHead || c.Method == http.MethodOptions
	c.Once = !r.Repeatable() && !safe
	if c.Once {
		c.Idempotency = c.Header.Get("Idempotency-Key")
		if len(c.Idempotency) > 256 {
			return refusal.NotRun(http.StatusBadRequest, "idempotency_key", "the Idempotency-Key is over 256 bytes")
		}
	}
	return nil
}

// leaves reports whether dot segments lead a path above its beginning. An
// encoded dot or slash counts as a plain one, as targets may decode it.
func leaves(path string) bool {
	path = strings.NewReplacer("%2e", ".", "%2E", ".", "%2f", "/", "%2F", "/").Replace(path)
	depth := 0
	for segment := range strings.SplitSeq(path, "/") {
		switch segment {
		case "..":
			depth--
		case ".", "":
		default:
			depth++
		}
		if depth < 0 {
			return true
		}
	}
	return false
}

// body is the part of a completion request that the gateway reads.
type body struct {
	Model     string          `json:"model"`
	Stream    bool            `json:"stream"`
	Max       *float64        `json:"max_tokens"`
	MaxNew    *float64        `json:"max_completion_tokens"`
	N         *float64        `json:"n"`
	BestOf    *float64        `json:"best_of"`
	Prompt    json.RawMessage `json:"prompt"`
	Messages  []message       `json:"messages"`
	Tools     json.RawMessage `json:"tools"`
	Functions json.RawMessage `json:"functions"`
	Format    json.RawMessage `json:"response_format"`
}

type message struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

func readModel(c *call.Call) error {
	fields, err := object(c.Body)
	if err != nil {
		return err
	}
	plain, err := json.Marshal(fields)
	if err != nil {
		return err
	}
	var b body
	if err := json.Unmarshal(plain, &b); err != nil {
		return refusal.NotRun(http.StatusBadRequest, "body_malformed", "the body is not a completion request in JSON").Because(err)
	}
	r, ok := c.Document.Route(b.Model)
	if !ok || r.Kind() != route.KindModel {
		return refusal.NotRun(http.StatusNotFound, "model_unknown", "no model of that name")
	}
	chat := c.Path == ChatPath
	if chat && len(b.Messages) == 0 || !chat && len(b.Prompt) == 0 {
		return refusal.NotRun(http.StatusBadRequest, "body_malformed", "the request has no messages or prompt")
	}
	most, err := bound(b, r)
	if err != nil {
		return err
	}
	c.Route = r
	c.Stream = b.Stream
	c.Once = !r.Repeatable()
	c.Prompt = b.prompt()
	c.PromptBound = math.Ceil(float64(b.bytes())/r.Density()) + float64(messageExtra*max(len(b.Messages), 1))
	c.Tokens = c.PromptBound + float64(most)
	c.TargetPath = c.Path
	c.TargetBody, err = rewrite(fields, most, b.Stream)
	return err
}

// bound returns the most tokens that the answer may have.
func bound(b body, r route.Route) (int, error) {
	if b.N != nil && *b.N != 1 || b.BestOf != nil && *b.BestOf != 1 {
		return 0, refusal.NotRun(http.StatusBadRequest, "n_unsupported", "n and best_of have to be 1")
	}
	asked := b.Max
	if b.MaxNew != nil {
		asked = b.MaxNew
	}
	if asked == nil {
		return r.Limit(), nil
	}
	if *asked < 1 || *asked != math.Trunc(*asked) {
		return 0, refusal.NotRun(http.StatusBadRequest, "max_tokens", "max_tokens has to be a whole number from 1")
	}
	if *asked > float64(r.Limit()) {
		return 0, refusal.NotRun(http.StatusBadRequest, "max_tokens", "max_tokens is over the route's limit")
	}
	return int(*asked), nil
}

// prompt returns the text whose prefix an engine may have cached.
func (b body) prompt() []byte {
	if len(b.Messages) == 0 {
		return b.Prompt
	}
	var text []byte
	for _, m := range b.Messages {
		text = append(text, m.Role...)
		text = append(text, m.Content...)
	}
	return text
}

// bytes returns the size of all that becomes prompt tokens.
func (b body) bytes() int {
	n := len(b.Tools) + len(b.Functions) + len(b.Format)
	return n + len(b.prompt())
}

// object reads a JSON object. Names of fields that the gateway reads count
// only as they are spelt, and the last of equal names counts, so that the
// target reads the same request as the gateway.
func object(raw []byte) (map[string]json.RawMessage, error) {
	fields := make(map[string]json.RawMessage)
	if err := json.Unmarshal(raw, &fields); err != nil {
		return nil, refusal.NotRun(http.StatusBadRequest, "body_malformed", "the body is not a JSON object").Because(err)
	}
	for name := range fields {
		lower := strings.ToLower(name)
		if lower != name && slices.Contains(readFields, lower) {
			delete(fields, name)
		}
	}
	return fields, nil
}

var readFields = []string{
	"model", "stream", "stream_options", "max_tokens", "max_completion_tokens", "n", "best_of",
	"prompt", "messages", "tools", "functions", "response_format",
}

// rewrite returns the body with the bound on the answer and a request for the
// usage of a stream; all else stays as the caller sent it.
func rewrite(fields map[string]json.RawMessage, most int, stream bool) ([]byte, error) {
	delete(fields, "max_completion_tokens")
	delete(fields, "stream_options")
	fields["max_tokens"] = json.RawMessage(strconv.Itoa(most))
	if stream {
		fields["stream_options"] = json.RawMessage(`{"include_usage":true}`)
	}
	return json.Marshal(fields)
}
