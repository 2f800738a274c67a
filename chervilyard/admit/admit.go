// Package admit reserves a call's tokens of its customer's quota, and gathers
// them from peers where the instance does not hold enough.
package admit

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"chervilyard.example/chervilyard/call"
	"chervilyard.example/chervilyard/journal"
	"chervilyard.example/yard/lender"
	"chervilyard.example/yard/pause"
	"chervilyard.example/yard/refusal"
)

const (
	rounds       = 4                      // of asking peers for one call
	roundTime    = 400 * time.Millisecond // that a round waits for replies
	gatherTime   = 1500 * time.Millisecond
	retryLeast   = 100 * time.Millisecond
	retryUnknown = time.Second
)

// Stage admits calls.
type Stage struct {
	Lender *lender.Lender
	// Exchange sends asks to peers, takes the replies in, and returns when all
	// have come or the context ends.
	Exchange func(ctx context.Context, letters []lender.Letter)
	// Deliver sends messages without waiting.
	Deliver func(letters []lender.Letter)
	Now     func() time.Time
	Journal *journal.Journal
	// Refused counts a refusal; wrongful where the call was inside what the
	// customer's quota should have allowed as far as this instance knows.
	Refused func(customer string)
}

// Run reserves the call's tokens, or refuses the call.
func (s *Stage) Run(ctx context.Context, c *call.Call) error {
	now := s.Now()
	if c.Tokens > c.Customer.Burst() {
		return refusal.NotRun(http.StatusRequestEntityTooLarge, "over_burst",
			fmt.Sprintf("the request may take %.0f tokens, more than the burst of %.0f; lower max_tokens", c.Tokens, c.Customer.Burst()))
	}
	r, ok := s.Lender.Admit(now, c.Customer.Name(), c.Tokens)
	how := "held"
	if !ok {
		r, ok = s.gather(ctx, c)
		how = "gathered"
	}
	if !ok {
		return s.refuse(c)
	}
	c.Reservation = r
	s.note(c, "admit", how)
	return nil
}

// gather asks peers round by round, the nearest first, within part of the time
// that the call has.
func (s *Stage) gather(ctx context.Context, c *call.Call) (lender.Reservation, bool) {
	now := s.Now()
	ctx, cancel := context.WithTimeout(ctx, min(gatherTime, c.Deadline.Sub(now)/2))
	defer cancel()
	var pot lender.Pot
	for range rounds {
		asks := s.Lender.Gather(s.Now(), c.Customer.Name(), c.Tokens, &pot)
		if len(asks) == 0 {
			break
		}
		round, done := context.WithTimeout(ctx, roundTime)
		s.Exchange(round, asks)
		done()
		r, ok, letters := s.Lender.Gathered(s.Now(), &pot, false)
		if ok {
			s.Deliver(letters)
			return r, true
		}
		if ctx.Err() != nil {
			break
		}
	}
	if wait, ok := s.Lender.Wait(s.Now(), &pot); ok {
		pause.For(ctx, wait)
	}
	r, ok, letters := s.Lender.Gathered(s.Now(), &pot, true)
	s.Deliver(letters)
	return r, ok
}

func (s *Stage) refuse(c *call.Call) error {
	if s.Refused != nil {
		s.Refused(c.Customer.Name())
	}
	s.note(c, "refuse", "quota")
	wait, ok := s.Lender.Refill(s.Now(), c.Customer.Name(), c.Tokens)
	if !ok {
		wait = s.fleetWait(c)
	}
	return refusal.NotRun(http.StatusTooManyRequests, "quota",
		fmt.Sprintf("the customer's rate of %.0f tokens a second is used up", c.Customer.Rate())).After(max(wait, retryLeast))
}

// fleetWait estimates when the whole fleet will hold the call's tokens.
func (s *Stage) fleetWait(c *call.Call) time.Duration {
	if c.Customer.Rate() <= 0 {
		return retryUnknown
	}
	return min(time.Duration(c.Tokens/c.Customer.Rate()*float64(time.Second)), time.Minute)
}

func (s *Stage) note(c *call.Call, choice, reason string) {
	now := s.Now()
	s.Journal.Note(journal.Decision{
		Time: now, Request: c.ID, Kind: "admit", Customer: c.Customer.Name(), Route: c.Route.Name(),
		Choice: choice, Reason: reason, Tokens: c.Tokens, Millis: float64(now.Sub(c.Arrived).Microseconds()) / 1000,
	})
}
