// Package once claims calls with an idempotency key before they are sent, and
// answers their repeats from the record.
package once

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"time"

	"chervilyard.example/chervilyard/call"
	"chervilyard.example/chervilyard/journal"
	"chervilyard.example/chervilyard/sink"
	"chervilyard.example/yard/claim"
	"chervilyard.example/yard/refusal"
)

const (
	claimTime  = 2 * time.Second // to prove a claim
	finishTime = time.Second     // that an answer waits for its record
	retryOpen  = time.Second
)

// Stage claims calls.
type Stage struct {
	Ledger  *claim.Ledger
	Now     func() time.Time
	Journal *journal.Journal
	Outcome int // most bytes of a recorded body
}

// Run claims the call where it has an idempotency key and may not be repeated.
// It reports done where the record answered the call.
func (s *Stage) Run(ctx context.Context, c *call.Call) (done bool, err error) {
	if !c.Once || c.Idempotency == "" {
		return false, nil
	}
	id, bucket := claim.ID(c.Customer.Name(), c.Route.Name(), c.Idempotency)
	request := claim.Request(c.Method, c.TargetPath, c.Body)
	ctx, cancel := context.WithTimeout(ctx, min(claimTime, c.Deadline.Sub(s.Now())))
	defer cancel()
	record, fresh, err := s.Ledger.Claim(ctx, id, bucket, request)
	if err != nil {
		return false, s.refuse(c, err)
	}
	if !fresh {
		return true, s.repeat(c, record, request)
	}
	s.note(c, "claimed", "first")
	c.ClaimBucket = bucket
	c.Claim = record
	return false, nil
}

// bound reports whether the call's content may not leave a region, so that its
// answer is not kept in the store, which may stand elsewhere.
func (s *Stage) bound(c *call.Call) bool {
	return c.Customer.Home() != "" || len(c.Route.Residency()) > 0
}

func (s *Stage) refuse(c *call.Call, err error) error {
	s.note(c, "refuse", "unproven")
	var crowded *claim.Crowded
	if errors.As(err, &crowded) {
		return refusal.NotRun(http.StatusServiceUnavailable, "claims_full", "no more idempotency keys can be kept now").After(time.Minute).Because(err)
	}
	return refusal.NotRun(http.StatusServiceUnavailable, "claim_unproven", "the store did not confirm the idempotency key, so the call was not sent").After(retryOpen).Because(err)
}

// repeat answers a call whose key was claimed before.
func (s *Stage) repeat(c *call.Call, r claim.Record, request string) error {
	switch {
	case r.Body != request:
		s.note(c, "refuse", "other body")
		return refusal.NotRun(http.StatusUnprocessableEntity, "idempotency_mismatch", "the Idempotency-Key was used for another call")
	case r.State != claim.Done:
		s.note(c, "refuse", r.State)
		return refusal.Unknown(http.StatusConflict, "idempotency_open", "a call with this Idempotency-Key was begun, and its outcome is not known").After(retryOpen)
	}
	s.note(c, "replay", "recorded")
	h := http.Header{"Idempotency-Replayed": {"true"}}
	if r.Outcome.Cut {
		return &refusal.Refusal{
			Status: http.StatusConflict, Code: "idempotency_done", Run: refusal.RunYes,
			Message: "the call ran and was answered with status " + strconv.Itoa(r.Outcome.Status) + "; its answer was not kept",
		}
	}
	if r.Outcome.Type != "" {
		h.Set("Content-Type", r.Outcome.Type)
	}
	if err := c.Answer.Head(r.Outcome.Status, h); err != nil {
		return nil
	}
	_, _ = c.Answer.Write(r.Outcome.Body) // the caller may be gone
	return nil
}

// Record writes the outcome of a claimed call that was answered whole, and
// waits for the store for a short time, so that a repeat after the answer finds
// it. The answer is released after it.
func (s *Stage) Record(c *call.Call, answer *sink.Held) {
	kind, body, whole := answer.Content()
	o := claim.Outcome{Status: c.Result.Status, Type: kind, Body: body}
	if !whole || len(body) > s.Outcome || s.bound(c) {
		o.Body, o.Cut = nil, true
	}
	s.finish(c, claim.Done, o)
}

// Close ends the claim of a call that has no whole answer: withdrawn where
// nothing was sent, else lost.
func (s *Stage) Close(c *call.Call) {
	if !c.Result.Sent {
		s.Ledger.Withdraw(c.ClaimBucket, c.Claim)
		s.note(c, "withdraw", "not sent")
		return
	}
	s.finish(c, claim.Lost, claim.Outcome{})
}

func (s *Stage) finish(c *call.Call, state string, o claim.Outcome) {
	ctx, cancel := context.WithTimeout(context.Background(), finishTime)
	defer cancel()
	reason := "in time"
	if err := s.Ledger.Finish(ctx, c.ClaimBucket, c.Claim, state, o); err != nil {
		reason = "late" // the ledger's writer goes on by itself
	}
	s.note(c, "record "+state, reason)
}

func (s *Stage) note(c *call.Call, choice, reason string) {
	s.Journal.Note(journal.Decision{
		Time: s.Now(), Request: c.ID, Kind: "claim", Customer: c.Customer.Name(),
		Route: c.Route.Name(), Choice: choice, Reason: reason,
	})
}
