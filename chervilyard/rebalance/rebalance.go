// Package rebalance runs the background rounds in which an instance borrows quota for
// its forecast demand, extends the loans that it still needs, and returns the others.
package rebalance

import (
	"context"
	"time"

	"chervilyard.example/chervilyard/decisionlog"
	"chervilyard.example/yard/lender"
	"chervilyard.example/yard/pause"
)

const roundInterval = 500 * time.Millisecond

// Rebalancer runs the rounds of one lender. The exported fields must be set before Run
// and must not change afterwards.
type Rebalancer struct {
	Lender *lender.Lender
	// SendLoans sends the loan messages without waiting for replies.
	SendLoans func(messages []lender.Message)
	Now       func() time.Time
	Decisions *decisionlog.Log
}

// Run starts a goroutine that runs a round at a fixed interval. The goroutine stops
// when ctx is done; the returned channel is then closed.
func (r *Rebalancer) Run(ctx context.Context) <-chan struct{} {
	return pause.Every(ctx, roundInterval, r.runRound)
}

// runRound sends the messages of one round and records its new requests and its
// returns. Extensions of running loans are not recorded. The value recorded as
// tokens of a request is its rate, a fraction of the customer's limit, which is 0
// for a request for tokens alone.
func (r *Rebalancer) runRound() {
	now := r.Now()
	messages := r.Lender.Round(now)
	for _, m := range messages {
		if m.Return.ID != 0 {
			r.record(now, m.Return.Customer, "give back", "borrowed quota is not needed now", m.Return.ReturnedTokens)
		} else if !m.Request.Extend {
			r.record(now, m.Request.Customer, "ask "+m.Peer, "forecast demand exceeds the quota held", m.Request.Amount.Rate)
		}
	}
	r.SendLoans(messages)
}

func (r *Rebalancer) record(now time.Time, customer, choice, reason string, tokens float64) {
	r.Decisions.Record(decisionlog.Decision{Time: now, Kind: "loan", Customer: customer, Choice: choice, Reason: reason, Tokens: tokens})
}
