// Package idempotency makes non-idempotent calls with an idempotency key run at
// most once. It claims the key in the store before the call is sent, and answers
// later calls with the same key from the recorded outcome.
package idempotency

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"time"

	"chervilyard.example/chervilyard/call"
	"chervilyard.example/chervilyard/decisionlog"
	"chervilyard.example/chervilyard/sink"
	"chervilyard.example/yard/claim"
	"chervilyard.example/yard/head"
	"chervilyard.example/yard/refusal"
)

const (
	claimTimeout    = 2 * time.Second // for the store to confirm a claim
	recordTimeout   = time.Second     // for the store to record an outcome; the answer waits for it
	claimRetryAfter = time.Second     // Retry-After for claims that are unconfirmed or open
)

// Stage claims calls. Its fields are set before use.
type Stage struct {
	Ledger           *claim.Ledger
	Now              func() time.Time
	Decisions        *decisionlog.Log
	MaxRecordedBytes int // maximum size of a recorded answer body in bytes
}

// Run claims the call if it has an idempotency key and is not idempotent. It
// returns done if it answered the call from the recorded outcome, and a
// *refusal.Refusal if the call must not be sent. If it claims the call, it sets
// the call's Claim and ClaimBucket.
func (s *Stage) Run(ctx context.Context, c *call.Call) (done bool, err error) {
	if !c.NonIdempotent || c.IdempotencyKey == "" {
		return false, nil
	}
	id, bucket := claim.ID(c.Customer.Name(), c.Route.Name(), c.IdempotencyKey)
	requestHash := claim.RequestHash(c.Method, c.TargetPath, c.Body)
	ctx, cancel := context.WithTimeout(ctx, min(claimTimeout, c.Deadline.Sub(s.Now())))
	defer cancel()
	record, fresh, err := s.Ledger.Claim(ctx, id, bucket, requestHash)
	if err != nil {
		return false, s.refuse(c, err)
	}
	if !fresh {
		return true, s.replay(c, record, requestHash)
	}
	s.logDecision(c, "claimed", "first")
	c.ClaimBucket = bucket
	c.Claim = record
	return false, nil
}

// isRegionBound reports whether the call's content must stay in certain regions.
// The answer body of such a call is not recorded, since the store may be
// elsewhere.
func (s *Stage) isRegionBound(c *call.Call) bool {
	return c.Customer.HomeRegion() != "" || len(c.Route.Residency()) > 0
}

// refuse returns the refusal of a call that could not be claimed.
func (s *Stage) refuse(c *call.Call, err error) error {
	s.logDecision(c, "refuse", "unproven")
	var full *claim.BucketFullError
	if errors.As(err, &full) {
		return refusal.NotRun(http.StatusServiceUnavailable, "claims_full", "no more idempotency keys can be kept now").WithRetryAfter(time.Minute).WithCause(err)
	}
	return refusal.NotRun(http.StatusServiceUnavailable, "claim_unproven", "the store did not confirm the idempotency key, so the call was not sent").WithRetryAfter(claimRetryAfter).WithCause(err)
}

// replay answers a call whose key was already claimed. It returns a refusal if
// the key belongs to a different request, if no outcome is recorded, or if the
// recorded outcome omits the body.
func (s *Stage) replay(c *call.Call, r claim.Record, requestHash string) error {
	switch {
	case r.RequestHash != requestHash:
		s.logDecision(c, "refuse", "other body")
		return refusal.NotRun(http.StatusUnprocessableEntity, "idempotency_mismatch", "the Idempotency-Key was used for another call")
	case r.State != claim.Done || head.Check(r.Outcome.Status, nil) != nil: // older versions recorded any status
		s.logDecision(c, "refuse", r.State)
		return refusal.Unknown(http.StatusConflict, "idempotency_open", "a call with this Idempotency-Key was begun, and its outcome is not known").WithRetryAfter(claimRetryAfter)
	}
	s.logDecision(c, "replay", "recorded")
	h := http.Header{"Idempotency-Replayed": {"true"}}
	if r.Outcome.BodyOmitted {
		return &refusal.Refusal{
			Status: http.StatusConflict, Code: "idempotency_done", Run: refusal.RunYes,
			Message: "the call ran and was answered with status " + strconv.Itoa(r.Outcome.Status) + "; its answer was not kept",
		}
	}
	if r.Outcome.ContentType != "" {
		h.Set("Content-Type", r.Outcome.ContentType)
	}
	if err := c.Sink.WriteHeader(r.Outcome.Status, h); err != nil {
		return nil // the caller may have disconnected
	}
	_, _ = c.Sink.Write(r.Outcome.Body) // the caller may have disconnected
	return nil
}

// RecordOutcome records the outcome of a claimed call with a complete answer. It
// waits up to recordTimeout for the store, so that a retry sent after the answer
// finds the outcome. The answer should not be released before RecordOutcome
// returns.
func (s *Stage) RecordOutcome(c *call.Call, answer *sink.Buffered) {
	contentType, body, complete := answer.Content()
	o := claim.Outcome{Status: c.Result.Status, ContentType: contentType, Body: body}
	if !complete || len(body) > s.MaxRecordedBytes || s.isRegionBound(c) {
		o.Body, o.BodyOmitted = nil, true
	}
	s.finish(c, claim.Done, o)
}

// CloseClaim ends the claim of a call without a complete answer. It withdraws
// the claim if nothing can have reached a target, and records that the outcome is
// unknown otherwise.
func (s *Stage) CloseClaim(c *call.Call) {
	if !c.Result.MaybeSent {
		s.Ledger.Withdraw(c.ClaimBucket, c.Claim)
		s.logDecision(c, "withdraw", "not sent")
		return
	}
	s.finish(c, claim.OutcomeUnknown, claim.Outcome{})
}

// finish writes the final state of the call's claim and logs it.
func (s *Stage) finish(c *call.Call, state string, o claim.Outcome) {
	ctx, cancel := context.WithTimeout(context.Background(), recordTimeout)
	defer cancel()
	reason := "in time"
	if err := s.Ledger.Finish(ctx, c.ClaimBucket, c.Claim, state, o); err != nil {
		reason = "late" // the ledger keeps retrying the write in the background
	}
	s.logDecision(c, "record "+state, reason)
}

func (s *Stage) logDecision(c *call.Call, choice, reason string) {
	s.Decisions.Record(decisionlog.Decision{
		Time: s.Now(), RequestID: c.ID, Kind: "claim", Customer: c.Customer.Name(),
		Route: c.Route.Name(), Choice: choice, Reason: reason,
	})
}
