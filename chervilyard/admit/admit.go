// Package admit reserves the tokens of a call from its customer's quota. It
// collects tokens from peers if the instance does not hold enough.
package admit

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"chervilyard.example/chervilyard/call"
	"chervilyard.example/chervilyard/decisionlog"
	"chervilyard.example/yard/lender"
	"chervilyard.example/yard/pause"
	"chervilyard.example/yard/refusal"
)

const (
	maxCollectionRounds    = 4                       // rounds of requests to peers for one call
	collectionRoundTimeout = 400 * time.Millisecond  // wait for the replies of one round
	collectionTimeout      = 1500 * time.Millisecond // for all rounds and the wait for a refill
	minRetryAfter          = 100 * time.Millisecond
	// defaultRetryAfter is used for a customer whose rate is zero.
	defaultRetryAfter = time.Second
)

// Stage admits calls. Its fields are set before use.
type Stage struct {
	Lender *lender.Lender
	// SendLoansAndWait sends requests for tokens to peers and passes the replies
	// to Lender. It returns when each request was answered or has failed, at the
	// latest when ctx ends.
	SendLoansAndWait func(ctx context.Context, messages []lender.Message)
	// SendLoans sends messages to peers without waiting for replies.
	SendLoans func(messages []lender.Message)
	Now       func() time.Time
	Decisions *decisionlog.Log
	// CountRefusal counts a refusal of a customer's call for lack of quota. It may
	// be nil.
	CountRefusal func(customer string)
}

// Run reserves the call's tokens, or returns a *refusal.Refusal. The refusal
// says when to retry, except if the call needs more than the customer's burst.
func (s *Stage) Run(ctx context.Context, c *call.Call) error {
	now := s.Now()
	if err := CheckBurst(c); err != nil {
		return err
	}
	r, ok := s.Lender.Admit(now, c.Customer.Name(), c.MaxTokens)
	source := "held"
	if !ok {
		r, ok = s.collect(ctx, c)
		source = "gathered"
	}
	if !ok {
		return s.refuse(c)
	}
	c.Reservation = r
	s.logDecision(c, "admit", source)
	return nil
}

// CheckBurst refuses a call that needs more than the burst of its customer.
func CheckBurst(c *call.Call) error {
	if c.MaxTokens <= c.Customer.Burst() {
		return nil
	}
	return refusal.NotRun(http.StatusRequestEntityTooLarge, "over_burst",
		fmt.Sprintf("the request may take %.0f tokens, more than the burst of %.0f; lower max_tokens", c.MaxTokens, c.Customer.Burst()))
}

// collect requests the missing tokens from peers in rounds, nearest peers first.
// It takes at most collectionTimeout or half of the time left until the call's
// deadline, whichever is shorter. After the rounds it may wait for the
// instance's own share to refill.
func (s *Stage) collect(ctx context.Context, c *call.Call) (lender.Reservation, bool) {
	now := s.Now()
	ctx, cancel := context.WithTimeout(ctx, min(collectionTimeout, c.Deadline.Sub(now)/2))
	defer cancel()
	var collection lender.Collection
	for range maxCollectionRounds {
		requests := s.Lender.CollectTokens(s.Now(), c.Customer.Name(), c.MaxTokens, &collection)
		if len(requests) == 0 {
			break
		}
		roundCtx, cancelRound := context.WithTimeout(ctx, collectionRoundTimeout)
		s.SendLoansAndWait(roundCtx, requests)
		cancelRound()
		r, ok, messages := s.Lender.TryAdmit(s.Now(), &collection, false)
		if ok {
			s.SendLoans(messages)
			return r, true
		}
		if ctx.Err() != nil {
			break
		}
	}
	if wait, ok := s.Lender.RefillWait(s.Now(), &collection); ok {
		pause.For(ctx, wait)
	}
	r, ok, messages := s.Lender.TryAdmit(s.Now(), &collection, true)
	s.SendLoans(messages)
	return r, ok
}

// refuse returns the refusal for lack of quota, with the time after which a
// retry may succeed.
func (s *Stage) refuse(c *call.Call) error {
	if s.CountRefusal != nil {
		s.CountRefusal(c.Customer.Name())
	}
	s.logDecision(c, "refuse", "quota")
	wait, ok := s.Lender.RefillTime(s.Now(), c.Customer.Name(), c.MaxTokens)
	if !ok {
		wait = s.fleetRefillTime(c)
	}
	return refusal.NotRun(http.StatusTooManyRequests, "quota",
		fmt.Sprintf("the customer's rate of %.0f tokens a second is used up", c.Customer.Rate())).WithRetryAfter(max(wait, minRetryAfter))
}

// fleetRefillTime estimates how long the quota of the whole fleet needs to
// refill by the call's tokens, at most one minute.
func (s *Stage) fleetRefillTime(c *call.Call) time.Duration {
	if c.Customer.Rate() <= 0 {
		return defaultRetryAfter
	}
	return min(time.Duration(c.MaxTokens/c.Customer.Rate()*float64(time.Second)), time.Minute)
}

func (s *Stage) logDecision(c *call.Call, choice, reason string) {
	now := s.Now()
	s.Decisions.Record(decisionlog.Decision{
		Time: now, RequestID: c.ID, Kind: "admit", Customer: c.Customer.Name(), Route: c.Route.Name(),
		Choice: choice, Reason: reason, Tokens: c.MaxTokens, DurationMS: float64(now.Sub(c.Arrived).Microseconds()) / 1000,
	})
}
