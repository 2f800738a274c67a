// Package call holds the state of one request as it passes through the stages of
// an instance.
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

// Call is one request. Each stage sets fields that later stages read. A Call must
// be used by one goroutine at a time.
type Call struct {
	// Set by accept, or by peerserver for a forwarded request.
	ID           string
	Arrived      time.Time
	Method       string
	Path         string // as sent by the caller
	Query        string
	Header       http.Header
	Body         []byte
	Sink         *sink.Sink
	Hops         int    // 0 for a caller's request, 1 for a forwarded one
	OriginRegion string // region in which the request arrived
	ReleaseBody  func() // returns the memory of Body; nil for a forwarded request

	// Set by authenticate, or by peerserver for a forwarded request, which has no
	// KeyHash.
	Document *document.Document
	KeyHash  string // empty for a call without a key
	Customer customer.Customer

	// Set by resolve.
	Route           route.Route
	Deadline        time.Time // of a forwarded request: as set by peerserver
	Stream          bool
	NonIdempotent   bool   // must not be retried once it may have run
	TargetPath      string // path and query at the target
	TargetBody      []byte
	Prompt          []byte  // prompt text that a target may have cached
	MaxPromptTokens float64 // upper bound of the prompt's tokens
	MaxTokens       float64 // upper bound of all tokens, to be reserved

	// Reservation is set by admit, IdempotencyKey by resolve, and the claim by
	// idempotency.
	Reservation    lender.Reservation
	IdempotencyKey string // value of the Idempotency-Key header
	ClaimBucket    int
	Claim          claim.Record // of the idempotency key; zero if the call has no claim

	// Trial states that the call is sent although its prompt blocks it, once at most. It is
	// set by dispatch, or by peerserver for a forwarded request.
	Trial bool

	// Set by dispatch.
	Result Result
}

// Result is the outcome of a call.
type Result struct {
	MaybeSent     bool // something may have reached a target
	Target        string
	Centre        string
	Status        int
	UsedTokens    float64       // tokens to charge
	UsageReported bool          // UsedTokens was counted by the target
	Attempts      int           // number of attempts; may be one too many if the call fails
	FirstByteAt   time.Time     // when the first byte of the response arrived
	QueueTime     time.Duration // total time in the queue for targets
	Complete      bool          // the response reached its end
	EndedTargets  int           // number of targets that ended as they began to answer
}
