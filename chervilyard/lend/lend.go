// Package lend runs the background rounds in which an instance's quota moves
// toward demand.
package lend

import (
	"context"
	"time"

	"chervilyard.example/chervilyard/journal"
	"chervilyard.example/yard/lender"
	"chervilyard.example/yard/pause"
)

const interval = 500 * time.Millisecond

// Duty makes one lender's rounds. Its fields are set before Run.
type Duty struct {
	Lender  *lender.Lender
	Deliver func(letters []lender.Letter)
	Now     func() time.Time
	Journal *journal.Journal
}

// Run makes rounds until the context ends.
func (d *Duty) Run(ctx context.Context) <-chan struct{} {
	return pause.Every(ctx, interval, d.round)
}

func (d *Duty) round() {
	now := d.Now()
	letters := d.Lender.Round(now)
	for _, l := range letters {
		if l.Return.ID != 0 {
			d.note(now, l.Return.Customer, "give back", "not needed now", l.Return.Level)
		} else if !l.Ask.Extend {
			d.note(now, l.Ask.Customer, "ask "+l.Peer, "forecast over share", l.Ask.Amount.Rate)
		}
	}
	d.Deliver(letters)
}

func (d *Duty) note(now time.Time, customer, choice, reason string, tokens float64) {
	d.Journal.Note(journal.Decision{Time: now, Kind: "loan", Customer: customer, Choice: choice, Reason: reason, Tokens: tokens})
}
