// Package resolve finds the route of a call, checks residency, computes the
// upper bound of the tokens that the call may use, and builds the request for
// the target.
package resolve

import (
	"encoding/json"
	"math"
	"net/http"
	"strings"
	"unicode"

	"chervilyard.example/chervilyard/call"
	"chervilyard.example/yard/refusal"
	"chervilyard.example/yard/route"
)

// The paths of callers' requests. ServicePathPrefix is followed by the name of
// the service.
const (
	ChatPath          = "/v1/chat/completions"
	CompletionsPath   = "/v1/completions"
	ServicePathPrefix = "/s/"
	// messageOverheadTokens is the maximum number of prompt tokens that an engine
	// adds for each message.
	messageOverheadTokens = 16
)

// Stage resolves calls. Its fields are set before use.
type Stage struct {
	Region func() string // returns the region of this instance
}

// Run sets the call's route and the fields derived from it, including the
// deadline. A call without a customer is assigned the customer of its open
// route, or refused if the route is not open.
func (s *Stage) Run(c *call.Call) error {
	if err := s.resolveRoute(c); err != nil {
		return err
	}
	if c.Customer.Name() == "" {
		owner, ok := c.Document.Customer(c.Route.OpenCustomer())
		if !ok {
			return refusal.NotRun(http.StatusUnauthorized, "key_missing", "send a key as Authorization: Bearer KEY")
		}
		c.Customer = owner
	}
	c.Deadline = c.Arrived.Add(c.Route.Timeout())
	return s.checkResidency(c)
}

// checkResidency refuses a call that must not be processed in this region.
func (s *Stage) checkResidency(c *call.Call) error {
	region := s.Region()
	if c.Route.AllowsRegion(region, c.Customer.HomeRegion()) {
		return nil
	}
	return refusal.NotRun(http.StatusForbidden, "residency", "the request may not be handled in region "+region+"; ask /locate for an instance inside its residency")
}

// resolveRoute sets the route, the tokens and the target request of the call.
func (s *Stage) resolveRoute(c *call.Call) error {
	if rest, ok := strings.CutPrefix(c.Path, ServicePathPrefix); ok {
		return resolveService(c, rest)
	}
	if c.Path != ChatPath && c.Path != CompletionsPath {
		return refusal.NotRun(http.StatusNotFound, "path_unknown", "no such path")
	}
	if c.Method != http.MethodPost {
		return refusal.NotRun(http.StatusMethodNotAllowed, "method", "use POST")
	}
	return resolveModel(c)
}

// resolveService resolves a call of a plain service, where rest is the path after
// ServicePathPrefix. A call with the method GET, HEAD or OPTIONS, which are safe
// by RFC 9110, counts as idempotent on any route.
func resolveService(c *call.Call, rest string) error {
	name, path, _ := strings.Cut(rest, "/")
	r, ok := c.Document.Route(name)
	if !ok || r.Kind() != route.KindService {
		return refusal.NotRun(http.StatusNotFound, "service_unknown", "no service of that name")
	}
	if escapesRoot(path) {
		return refusal.NotRun(http.StatusBadRequest, "path_leaves", "the path leaves the service's")
	}
	c.Route = r
	c.TargetPath = "/" + path
	if c.Query != "" {
		c.TargetPath += "?" + c.Query
	}
	c.TargetBody = c.Body
	c.MaxTokens = 1
	safe := c.Method == http.MethodGet || c.Method == http.MethodHead || c.Method == http.MethodOptions
	c.NonIdempotent = !r.Repeatable() && !safe
	if c.NonIdempotent {
		c.IdempotencyKey = c.Header.Get("Idempotency-Key")
		if len(c.IdempotencyKey) > 256 {
			return refusal.NotRun(http.StatusBadRequest, "idempotency_key", "the Idempotency-Key is over 256 bytes")
		}
	}
	return nil
}

// escapesRoot reports whether the ".." segments of a path lead above its root.
// An encoded dot or slash counts as a plain one, since targets may decode it.
func escapesRoot(path string) bool {
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

// completionRequest holds the fields of a completion request that the gateway
// reads.
type completionRequest struct {
	Model               string                       `json:"model"`
	Stream              bool                         `json:"stream"`
	MaxTokens           *float64                     `json:"max_tokens"`
	MaxCompletionTokens *float64                     `json:"max_completion_tokens"`
	N                   *float64                     `json:"n"`
	BestOf              *float64                     `json:"best_of"`
	Prompt              json.RawMessage              `json:"prompt"`
	Messages            []map[string]json.RawMessage `json:"messages"`
	Tools               json.RawMessage              `json:"tools"`
	Functions           json.RawMessage              `json:"functions"`
	ResponseFormat      json.RawMessage              `json:"response_format"`
}

// resolveModel resolves a completion request to a model.
func resolveModel(c *call.Call) error {
	fields := make(map[string]json.RawMessage)
	if err := json.Unmarshal(c.Body, &fields); err != nil {
		return refusal.NotRun(http.StatusBadRequest, "body_malformed", "the body is not a JSON object").WithCause(err)
	}
	removeAliases(fields, requestFields)
	normalized, err := json.Marshal(fields)
	if err != nil {
		return err
	}
	var b completionRequest
	if err := json.Unmarshal(normalized, &b); err != nil {
		return malformedRequest(err)
	}
	for _, m := range b.Messages {
		removeAliases(m, messageFields)
	}
	prompt, err := b.prompt()
	if err != nil {
		return malformedRequest(err)
	}
	r, ok := c.Document.Route(b.Model)
	if !ok || r.Kind() != route.KindModel {
		return refusal.NotRun(http.StatusNotFound, "model_unknown", "no model of that name")
	}
	chat := c.Path == ChatPath
	if chat && len(b.Messages) == 0 || !chat && len(b.Prompt) == 0 {
		return refusal.NotRun(http.StatusBadRequest, "body_malformed", "the request has no messages or prompt")
	}
	answerLimit, err := maxAnswerTokens(b, r)
	if err != nil {
		return err
	}
	c.Route = r
	c.Stream = b.Stream
	c.NonIdempotent = !r.Repeatable()
	c.Prompt = prompt
	promptBytes := len(prompt) + b.otherPromptBytes(chat)
	c.MaxPromptTokens = math.Ceil(float64(promptBytes)/r.MinBytesPerToken()) + float64(messageOverheadTokens*max(len(b.Messages), 1))
	c.MaxTokens = c.MaxPromptTokens + float64(answerLimit)
	c.TargetPath = c.Path
	c.TargetBody, err = rewriteBody(fields, b.Messages, answerLimit, b.Stream)
	return err
}

func malformedRequest(err error) error {
	return refusal.NotRun(http.StatusBadRequest, "body_malformed", "the body is not a completion request in JSON").WithCause(err)
}

// maxAnswerTokens returns the maximum number of tokens of the answer: the limit
// that the caller asks for, or else the limit of the route.
func maxAnswerTokens(b completionRequest, r route.Route) (int, error) {
	if b.N != nil && *b.N != 1 || b.BestOf != nil && *b.BestOf != 1 {
		return 0, refusal.NotRun(http.StatusBadRequest, "n_unsupported", "n and best_of have to be 1")
	}
	requested := b.MaxTokens
	if b.MaxCompletionTokens != nil {
		requested = b.MaxCompletionTokens
	}
	if requested == nil {
		return r.MaxAnswerTokens(), nil
	}
	if *requested < 1 || *requested != math.Trunc(*requested) {
		return 0, refusal.NotRun(http.StatusBadRequest, "max_tokens", "max_tokens has to be a whole number from 1")
	}
	if *requested > float64(r.MaxAnswerTokens()) {
		return 0, refusal.NotRun(http.StatusBadRequest, "max_tokens", "max_tokens is over the route's limit")
	}
	return int(*requested), nil
}

// prompt returns the text whose prefix a model engine may have in its cache.
func (b completionRequest) prompt() ([]byte, error) {
	if len(b.Messages) == 0 {
		return b.Prompt, nil
	}
	var text []byte
	for _, m := range b.Messages {
		if raw, ok := m["role"]; ok {
			var role string
			if err := json.Unmarshal(raw, &role); err != nil {
				return nil, err
			}
			text = append(text, role...)
		}
		text = append(text, m["content"]...)
	}
	return text, nil
}

// otherPromptBytes returns the bytes that a target may read in addition to the text that
// prompt returns: the fields of messages beside role and content, such as tool calls, the
// prompt of a request that also has messages, and the descriptions of tools and formats.
func (b completionRequest) otherPromptBytes(chat bool) int {
	n := len(b.Tools) + len(b.Functions) + len(b.ResponseFormat)
	for _, m := range b.Messages {
		for name, value := range m {
			if name != "role" && name != "content" {
				n += len(value)
			}
		}
	}
	if !chat && len(b.Messages) > 0 {
		n += len(b.Prompt)
	}
	return n
}

// removeAliases removes fields whose names a decoder may take for one of the known
// names, so that the target reads the same fields as the gateway.
func removeAliases(fields map[string]json.RawMessage, known map[string]string) {
	for name := range fields {
		if exact, ok := known[foldName(name)]; ok && name != exact {
			delete(fields, name)
		}
	}
}

// requestFields and messageFields map the folded names of the fields that the
// gateway reads or sets to their names.
var (
	requestFields = byFoldedName(
		"model", "stream", "stream_options", "max_tokens", "max_completion_tokens", "n", "best_of",
		"prompt", "messages", "tools", "functions", "response_format",
	)
	messageFields = byFoldedName("role", "content")
)

func byFoldedName(names ...string) map[string]string {
	folded := make(map[string]string, len(names))
	for _, name := range names {
		folded[foldName(name)] = name
	}
	return folded
}

// foldName returns the form that all names share which some JSON decoder takes for
// the same field: encoding/json folds case as Unicode does (U+017F to s, U+212A to
// k), others use upper or lower case (U+0130 and U+0131 to i), encoding/json/v2
// skips "_" and "-", and protojson also reads the camel case of a name with "_".
func foldName(name string) string {
	return strings.Map(func(r rune) rune {
		if r == '_' || r == '-' {
			return -1
		}
		return unicode.ToLower(unicode.ToUpper(r))
	}, name)
}

// rewriteBody encodes the fields with max_tokens set to the answer limit, in
// place of max_completion_tokens. The messages replace those of the fields, which
// may have duplicate names. The stream options are replaced by a request for the
// usage report if the answer is a stream, and removed otherwise. All other fields
// keep the values that the caller sent.
func rewriteBody(fields map[string]json.RawMessage, messages []map[string]json.RawMessage, answerLimit int, stream bool) ([]byte, error) {
	body := make(map[string]any, len(fields)+2)
	for name, value := range fields {
		body[name] = value
	}
	if _, ok := fields["messages"]; ok {
		body["messages"] = messages
	}
	delete(body, "max_completion_tokens")
	delete(body, "stream_options")
	body["max_tokens"] = answerLimit
	if stream {
		body["stream_options"] = json.RawMessage(`{"include_usage":true}`)
	}
	return json.Marshal(body)
}
