// Package call is one request on its way through the stages of an instance.
package call

import (
	"net/http"
	"time"

	"chervilyard.example/chervilyard/sink"
	"chervilyard.example/yard/claim"
	"chervilyard.example/yard/customer"
	"chervilyard.example/yard/document"
	"chervilyard.example/yard/lender"
	"chervilyard.example/yard/route"
)

// Call is one request. Each stage fills in what the later ones read; it is used
// by one goroutine at a time.
type Call struct {
	// Set by accept, or by the peer port for a forwarded request.
	ID      string
	Arrived time.Time
	Method  string
	Path    string // as the caller sent it
	Query   string
	Header  http.Header
	Body    []byte
	Answer  *sink.Sink
	Hop     int    // 0 for a caller's request, 1 for a forwarded one
	From    string // region that it arrived in

	// Set by authenticate.
	Document *document.Document
	KeyHash  string // empty on open routes
	Customer customer.Customer

	// Set by resolve.
	Route       route.Route
	Deadline    time.Time
	Stream      bool
	Once        bool   // may not be repeated
	TargetPath  string // path and query at the target
	TargetBody  []byte
	Prompt      []byte  // text that a target may have cached
	PromptBound float64 // most tokens of the prompt
	Tokens      float64 // most tokens in all, to reserve

	// Set by admit and once.
	Reservation lender.Reservation
	Idempotency string
	ClaimBucket int
	Claim       claim.Record

	// Set by dispatch.
	Result Result
}

// Result is what became of a call at its target.
type Result struct {
	Sent    bool // something may have reached a target
	Target  string
	Centre  string
	Status  int
	Used    float64 // tokens to charge
	Counted bool    // Used is the target's own count
	Tries   int
	First   time.Time // of the first byte
	Waited  time.Duration
	Whole   bool // the answer reached its end
}
