// Package refusal is the one answer that a caller gets to a request that was
// not served: what happened, whether it ran, and when to come back.
package refusal

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"
)

// The values of Run: whether the request reached a target.
const (
	RunNo      = "no"      // nothing reached a target
	RunYes     = "yes"     // the target ran it, wholly or in part
	RunUnknown = "unknown" // it was sent, and whether it ran is not known
)

// Refusal is an error that is shown to the caller. The zero value is a 500
// that says run "unknown".
type Refusal struct {
	Status  int           // HTTP status
	Code    string        // short stable name of the reason
	Message string        // the reason in words
	Run     string        // RunNo, RunYes or RunUnknown
	Retry   time.Duration // when to come back; 0 when coming back does not help
	Cause   error         // what lay beneath; not shown to the caller
}

// NotRun returns a refusal of a request of which nothing reached a target.
func NotRun(status int, code, message string) *Refusal {
	return &Refusal{Status: status, Code: code, Message: message, Run: RunNo}
}

// Unknown returns a refusal of a request that was sent without an answer.
func Unknown(status int, code, message string) *Refusal {
	return &Refusal{Status: status, Code: code, Message: message, Run: RunUnknown}
}

// After returns r with the time after which the caller may come back.
func (r *Refusal) After(d time.Duration) *Refusal {
	r.Retry = d
	return r
}

// Because returns r with the error beneath it.
func (r *Refusal) Because(err error) *Refusal {
	r.Cause = err
	return r
}

// Error returns the code and the reason.
func (r *Refusal) Error() string {
	s := r.Code + ": " + r.Message
	if r.Cause != nil {
		s += ": " + r.Cause.Error()
	}
	return s
}

// Unwrap returns the error beneath the refusal.
func (r *Refusal) Unwrap() error { return r.Cause }

type body struct {
	Error detail `json:"error"`
}

type detail struct {
	Code    string  `json:"code"`
	Message string  `json:"message"`
	Run     string  `json:"run"`
	Retry   float64 `json:"retry"`
}

// JSON returns the body that the caller reads. Retry is in seconds.
func (r *Refusal) JSON() []byte {
	run := r.Run
	if run == "" {
		run = RunUnknown
	}
	b, err := json.Marshal(body{detail{r.Code, r.Message, run, r.seconds()}})
	if err != nil {
		return []byte(`{"error":{"code":"internal","message":"","run":"unknown","retry":0}}`)
	}
	return append(b, '\n')
}

// WriteTo answers the request with the refusal.
func (r *Refusal) WriteTo(w http.ResponseWriter) {
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Del("Content-Length")
	if r.Retry > 0 {
		h.Set("Retry-After", strconv.Itoa(int(math.Ceil(r.Retry.Seconds()))))
	}
	status := r.Status
	if status == 0 {
		status = http.StatusInternalServerError
	}
	w.WriteHeader(status)
	_, _ = w.Write(r.JSON()) // the caller may be gone; the outcome is logged by the stage that settles
}

// seconds rounds up to a tenth, so that a caller who waits so long is not early.
func (r *Refusal) seconds() float64 {
	return math.Ceil(r.Retry.Seconds()*10) / 10
}
