// Package placereport defines the question where an instance would send a request now, and the
// answer with the reasons, as they are exchanged between an instance and operators.
package placereport

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"strings"
	"sync"
	"time"

	"chervilyard.example/yard/placement"
	"chervilyard.example/yard/refusal"
)

// Path is the path at which an instance answers queries, on the address that has its metrics. A
// query is the body of a POST request.
const Path = "/place"

// MaxQueryBytes bounds the body of a query, so that operators' requests need little memory.
const MaxQueryBytes = 2 << 20

// Query is the request in question. The fields after Raw replace what it says.
type Query struct {
	Raw          []byte `json:"raw,omitempty"` // HTTP request as a caller sends it
	Method       string `json:"method,omitempty"`
	Host         string `json:"host,omitempty"`
	Path         string `json:"path,omitempty"`
	Customer     string `json:"customer,omitempty"` // in place of a key
	PromptTokens *int   `json:"prompt_tokens,omitempty"`
	OutputTokens *int   `json:"output_tokens,omitempty"` // at most
	Parts        []Part `json:"parts,omitempty"`
}

// Part is one part of a prompt. See placement.Part.
type Part struct {
	ID     string `json:"id"`
	Tokens int    `json:"tokens"`
}

// Request returns the HTTP request that the query describes. Its body is in memory.
func (q Query) Request() (*http.Request, error) {
	r := &http.Request{Method: http.MethodGet, RequestURI: "/", Header: make(http.Header), Body: http.NoBody}
	if len(q.Raw) > 0 {
		raw := q.Raw
		if !bytes.Contains(raw, []byte("\n\n")) && !bytes.Contains(raw, []byte("\r\n\r\n")) {
			raw = append(bytes.TrimRight(raw, "\r\n"), "\r\n\r\n"...) // a file with a header only
		}
		var err error
		if r, err = http.ReadRequest(bufio.NewReader(bytes.NewReader(raw))); err != nil {
			return nil, fmt.Errorf("the saved request cannot be read: %w", err)
		}
	}
	if q.Method != "" {
		r.Method = q.Method
	}
	if q.Host != "" {
		r.Host = q.Host
	}
	if q.Path != "" {
		r.RequestURI = q.Path
	}
	if !strings.HasPrefix(r.RequestURI, "/") {
		return nil, fmt.Errorf("the path %q does not begin with /", r.RequestURI)
	}
	var err error
	if r.URL, err = url.ParseRequestURI(r.RequestURI); err != nil {
		return nil, fmt.Errorf("the path %q cannot be read: %w", r.RequestURI, err)
	}
	return r, nil
}

// NoResponse is the response writer of a request that gets no response.
type NoResponse struct{}

// Header returns an empty header.
func (NoResponse) Header() http.Header { return make(http.Header) }

// Write drops p.
func (NoResponse) Write(p []byte) (int, error) { return len(p), nil }

// WriteHeader does nothing.
func (NoResponse) WriteHeader(int) {}

// Age is the age of a piece of information, negative if there is none. It is encoded as a number
// of milliseconds or null.
type Age time.Duration

// MarshalJSON encodes the age.
func (a Age) MarshalJSON() ([]byte, error) {
	if a < 0 {
		return []byte("null"), nil
	}
	return Milliseconds(a).MarshalJSON()
}

// UnmarshalJSON decodes an age.
func (a *Age) UnmarshalJSON(text []byte) error {
	if string(text) == "null" {
		*a = -1
		return nil
	}
	return (*Milliseconds)(a).UnmarshalJSON(text)
}

// Milliseconds is a duration that is encoded as a number of milliseconds.
type Milliseconds time.Duration

// MarshalJSON encodes the milliseconds with three decimals.
func (m Milliseconds) MarshalJSON() ([]byte, error) {
	return fmt.Appendf(nil, "%.3f", time.Duration(m).Seconds()*1000), nil
}

// UnmarshalJSON decodes a number of milliseconds.
func (m *Milliseconds) UnmarshalJSON(text []byte) error {
	var ms float64
	if err := json.Unmarshal(text, &ms); err != nil {
		return err
	}
	*m = Milliseconds(ms * float64(time.Millisecond))
	return nil
}

// Report is the answer to a query.
type Report struct {
	Instance string `json:"instance"`
	Region   string `json:"region"`
	Route    string `json:"route"`
	Service  string `json:"service"`
	Customer string `json:"customer,omitempty"`

	// Target, or Forward and ForwardRegion, are where the request would go. They are empty if
	// it would be refused.
	Target        string `json:"target,omitempty"`
	Forward       string `json:"forward,omitempty"` // instance
	ForwardRegion string `json:"forward_region,omitempty"`
	// Notes are the circumstances of the decision that the other fields do not show.
	Notes     []string     `json:"notes,omitempty"`
	Wait      Milliseconds `json:"wait_ms"` // expected time to the first byte there
	WaitLimit Milliseconds `json:"wait_limit_ms"`
	Refusal   *Refusal     `json:"refusal,omitempty"`
	Quota     *Quota       `json:"quota,omitempty"` // nil if the customer has none

	Candidates []Candidate `json:"candidates"`
	Remotes    []Remote    `json:"remotes"`

	Version          int64 `json:"version"` // of the configuration
	ConfigurationAge Age   `json:"configuration_age_ms"`
	TargetsAge       Age   `json:"targets_age_ms"`
	LatencyAge       Age   `json:"latency_age_ms"` // since the last sample of the service's latency
}

// Refusal is the response in place of a target's.
type Refusal struct {
	Status     int          `json:"status"`
	Code       string       `json:"code"`
	Message    string       `json:"message"`
	RetryAfter Milliseconds `json:"retry_after_ms"` // 0 if the response has none
	Detail     string       `json:"detail,omitempty"`
}

// NewRefusal returns the refusal r with the detail that the log has.
func NewRefusal(r *refusal.Refusal, detail string) *Refusal {
	return &Refusal{Status: r.Status, Code: r.Code, Message: r.Message, RetryAfter: Milliseconds(r.RetryAfter), Detail: detail}
}

// Quota is what the instance holds of the customer's rate, in tokens.
type Quota struct {
	Needed    float64 `json:"needed"`
	Level     float64 `json:"level"`
	Capacity  float64 `json:"capacity"`
	PerSecond float64 `json:"per_second"`
}

// Candidate is a target of the region, in the order in which the choice prefers them. See
// placement.Candidate.
type Candidate struct {
	Target         string       `json:"target"`
	Wait           Milliseconds `json:"wait_ms"`
	Cost           Milliseconds `json:"cost_ms"`
	Timely         bool         `json:"timely"`
	CachedTokens   int          `json:"cached_tokens"`
	Open           int          `json:"open"`
	WaitingTokens  int          `json:"waiting_tokens"`
	Cold           bool         `json:"cold"`
	ColdLeft       Milliseconds `json:"cold_left_ms"`
	ColdLimit      int          `json:"cold_limit"` // -1 for none
	Ejected        bool         `json:"ejected"`
	Limited        bool         `json:"limited"`
	PermitWait     Milliseconds `json:"permit_wait_ms"`
	Barred         string       `json:"barred,omitempty"` // by what; "" if it can get the request
	LoadAge        Age          `json:"load_age_ms"`
	SampleAge      Age          `json:"sample_age_ms"`
	KnownAge       Age          `json:"known_age_ms"`
	LimitPerSecond float64      `json:"limit_per_second"` // that the target named; 0 for none
	LimitAge       Age          `json:"limit_age_ms"`     // since it did
}

// NewCandidates converts candidates.
func NewCandidates(candidates []placement.Candidate) []Candidate {
	list := make([]Candidate, 0, len(candidates))
	for _, c := range candidates {
		list = append(list, Candidate{
			Target: c.Name, Wait: Milliseconds(c.Wait), Cost: Milliseconds(c.Cost), Timely: c.Timely, CachedTokens: c.CachedTokens,
			Open: c.Load.Open, WaitingTokens: c.Load.WaitingTokens, Cold: c.Cold, ColdLeft: Milliseconds(c.ColdLeft), ColdLimit: c.ColdLimit,
			Ejected: c.Ejected, Limited: c.RateLimited, PermitWait: Milliseconds(c.PermitWait), Barred: c.Barred,
			LoadAge: Age(c.LoadAge), SampleAge: Age(c.SampleAge), KnownAge: Age(c.KnownAge), LimitAge: -1,
		})
	}
	return list
}

// Remote is an instance that the request could be forwarded to.
type Remote struct {
	Instance  string       `json:"instance"`
	Region    string       `json:"region"`
	FreeSlots *int         `json:"free_slots,omitempty"` // that its centre reported; nil where it reports a wait
	Wait      Milliseconds `json:"wait_ms"`              // expected time to the first byte
	Cost      Milliseconds `json:"cost_ms"`
	Barred    string       `json:"barred,omitempty"`
	HeardAge  Age          `json:"heard_age_ms"`  // of its last known heartbeat
	ReportAge Age          `json:"report_age_ms"` // of the wait that its region reported
}

// Handler answers queries by the function explain. An error of it that is a refusal has its
// status. One query is answered at a time.
func Handler(explain func(q Query) (Report, error)) http.Handler {
	var busy sync.Mutex
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method != http.MethodPost {
			http.Error(w, "use POST", http.StatusMethodNotAllowed)
			return
		}
		if !busy.TryLock() {
			http.Error(w, "another query is being answered", http.StatusServiceUnavailable)
			return
		}
		defer busy.Unlock()
		// A client that sends nothing must not keep others out.
		_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(queryTimeout))
		var q Query
		if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, MaxQueryBytes)).Decode(&q); err != nil {
			http.Error(w, "the query cannot be read: "+err.Error(), http.StatusBadRequest)
			return
		}
		report, err := explain(q)
		var refused *refusal.Refusal
		switch {
		case errors.As(err, &refused):
			http.Error(w, refused.Message, refused.Status)
		case err != nil:
			http.Error(w, err.Error(), http.StatusBadRequest)
		default:
			w.Header().Set("Content-Type", "application/json")
			_ = json.NewEncoder(w).Encode(report) // the client may have disconnected
		}
	})
}

// queryTimeout is the time for the body of a query to arrive.
const queryTimeout = time.Second
