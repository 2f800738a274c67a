// Package refusal defines the error response for a request that was not served. It
// gives the reason, whether the request ran at a target, and when to retry.
package refusal

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"
)

// The values of Refusal.Run: whether the request ran at a target.
const (
	RunNo      = "no"      // nothing was sent to a target
	RunYes     = "yes"     // the target ran it completely or partially
	RunUnknown = "unknown" // it was sent, but it is not known whether it ran
)

// Refusal is an error that is reported to the caller. The zero value is a response
// with status 500 and run "unknown".
type Refusal struct {
	Status     int           // HTTP status; 0 means 500
	Code       string        // short stable identifier of the reason
	Message    string        // human-readable reason
	Run        string        // RunNo, RunYes or RunUnknown; "" means RunUnknown
	RetryAfter time.Duration // time after which to retry; 0 if a retry does not help
	Cause      error         // underlying error, not reported to the caller
}

// NotRun returns a refusal for a request of which nothing was sent to a target.
func NotRun(status int, code, message string) *Refusal {
	return &Refusal{Status: status, Code: code, Message: message, Run: RunNo}
}

// Unknown returns a refusal for a request that was sent but not answered.
func Unknown(status int, code, message string) *Refusal {
	return &Refusal{Status: status, Code: code, Message: message, Run: RunUnknown}
}

// WithRetryAfter sets the time after which the caller may retry, and returns r.
func (r *Refusal) WithRetryAfter(d time.Duration) *Refusal {
	r.RetryAfter = d
	return r
}

// WithCause sets the underlying error, and returns r.
func (r *Refusal) WithCause(err error) *Refusal {
	r.Cause = err
	return r
}

// Error returns the code, the message and the underlying error.
func (r *Refusal) Error() string {
	s := r.Code + ": " + r.Message
	if r.Cause != nil {
		s += ": " + r.Cause.Error()
	}
	return s
}

// Unwrap returns the underlying error, or nil.
func (r *Refusal) Unwrap() error { return r.Cause }

type responseBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Code    string  `json:"code"`
	Message string  `json:"message"`
	Run     string  `json:"run"`
	Retry   float64 `json:"retry"`
}

// JSON returns the response body. Its retry field is in seconds.
func (r *Refusal) JSON() []byte {
	run := r.Run
	if run == "" {
		run = RunUnknown
	}
	b, err := json.Marshal(responseBody{errorDetail{r.Code, r.Message, run, r.retrySeconds()}})
	if err != nil {
		return []byte(`{"error":{"code":"internal","message":"","run":"unknown","retry":0}}`)
	}
	return append(b, '\n')
}

// WriteResponse writes the refusal as the response of a request.
func (r *Refusal) WriteResponse(w http.ResponseWriter) {
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Del("Content-Length")
	if r.RetryAfter > 0 {
		h.Set("Retry-After", strconv.Itoa(int(math.Ceil(r.RetryAfter.Seconds()))))
	}
	status := r.Status
	if status == 0 {
		status = http.StatusInternalServerError
	}
	w.WriteHeader(status)
	_, _ = w.Write(r.JSON()) // the caller may have disconnected; the settle stage logs the outcome
}

// retrySeconds returns RetryAfter in seconds, rounded up to a tenth so that a
// caller does not retry too early.
func (r *Refusal) retrySeconds() float64 {
	return math.Ceil(r.RetryAfter.Seconds()*10) / 10
}
