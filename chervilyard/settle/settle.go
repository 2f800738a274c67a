// Package settle closes a call: its customer is charged for what was used, and
// its outcome is logged and counted.
package settle

import (
	"net/http"
	"time"

	"chervilyard.example/chervilyard/call"
	"chervilyard.example/chervilyard/journal"
	"chervilyard.example/chervilyard/meter"
	"chervilyard.example/yard/lender"
	"chervilyard.example/yard/refusal"
	"chervilyard.example/yard/route"
)

// Stage settles calls.
type Stage struct {
	Lender  *lender.Lender
	Deliver func(letters []lender.Letter)
	Now     func() time.Time
	Journal *journal.Journal
	Meter   *meter.Meter
	Centre  string
}

// Run settles a call that ended with the refusal, or nil where it was answered.
func (s *Stage) Run(c *call.Call, r *refusal.Refusal) {
	now := s.Now()
	used := s.used(c, r)
	if c.Reservation.Customer != "" {
		s.Deliver(s.Lender.Settle(now, c.Reservation, used))
	}
	code, run, status := "ok", refusal.RunYes, c.Answer.Status()
	if r != nil {
		code, run, status = r.Code, r.Run, r.Status
	}
	s.Meter.Call(c, code, status, used, now)
	s.Journal.Note(journal.Decision{
		Time: now, Request: c.ID, Kind: "settle", Customer: c.Customer.Name(), Route: c.Route.Name(),
		Choice: code, Reason: http.StatusText(status), Target: c.Result.Target, Centre: c.Result.Centre,
		Tokens: used, Millis: float64(now.Sub(c.Arrived).Microseconds()) / 1000, Run: run,
	})
}

// used returns the tokens to charge. A call that was sent and of which nothing
// came back may have run; its prompt is charged.
func (s *Stage) used(c *call.Call, r *refusal.Refusal) float64 {
	if c.Result.Used > 0 || c.Result.Whole {
		return c.Result.Used
	}
	if r == nil || r.Run == refusal.RunNo || !c.Result.Sent {
		return 0
	}
	if c.Route.Kind() == route.KindService {
		return 1
	}
	return c.PromptBound
}
