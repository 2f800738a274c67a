// Package rebalance runs the background rounds in which an instance borrows quota for
// its forecast demand and returns borrowed quota that it no longer needs.
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
	Journal   *decisionlog.Log
}

// Run starts a goroutine that runs a round at a fixed interval. The goroutine stops
// when ctx is done; the returned channel is then closed.
func (d *Rebalancer) Run(ctx context.Context) <-chan struct{} {
	return pause.Every(ctx, roundInterval, d.runRound)
}

// runRound sends the messages of one round and records its new asks and its
// returns. Extensions of running loans are not recorded.
func (d *Rebalancer) runRound() {
	now := d.Now()
	messages := d.Lender.Round(now)
	for _, m := range messages {
		if m.Return.ID != 0 {
			d.record(now, m.Return.Customer, "give back", "borrowed quota is not needed now", m.Return.ReturnedTokens)
		} else if !m.Request.Extend {
			d.record(now, m.Request.Customer, "ask "+m.Peer, "forecast demand exceeds the quota held", m.Request.Amount.Rate)
		}
	}
	d.SendLoans(messages)
}

func (d *Rebalancer) record(now time.Time, customer, choice, reason string, tokens float64) {
	d.Journal.Record(decisionlog.Decision{Time: now, Kind: "loan", Customer: customer, Choice: choice, Reason: reason, Tokens: tokens})
}
