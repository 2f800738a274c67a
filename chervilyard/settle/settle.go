// Package settle completes a call: it charges the customer for the tokens used,
// logs the outcome and updates the metrics.
package settle

import (
	"net/http"
	"time"

	"chervilyard.example/chervilyard/call"
	"chervilyard.example/chervilyard/decisionlog"
	"chervilyard.example/chervilyard/meter"
	"chervilyard.example/yard/lender"
	"chervilyard.example/yard/refusal"
	"chervilyard.example/yard/route"
)

// Stage settles calls. Its fields are set before use.
type Stage struct {
	Lender *lender.Lender
	// SendLoans sends messages to peers without waiting for replies.
	SendLoans func(messages []lender.Message)
	Now       func() time.Time
	Decisions *decisionlog.Log
	Meter     *meter.Meter
	Centre    string // data centre of this instance
}

// Run settles a call. The refusal r is nil if the call was answered.
func (s *Stage) Run(c *call.Call, r *refusal.Refusal) {
	now := s.Now()
	usedTokens := s.usedTokens(c, r)
	if c.Reservation.Customer != "" {
		s.SendLoans(s.Lender.Settle(now, c.Reservation, usedTokens))
	}
	code, run, status := "ok", refusal.RunYes, c.Sink.Status()
	if r != nil {
		code, run, status = r.Code, r.Run, r.Status
	}
	s.Meter.ObserveCall(c, code, status, usedTokens, now)
	s.Decisions.Record(decisionlog.Decision{
		Time: now, RequestID: c.ID, Kind: "settle", Customer: c.Customer.Name(), Route: c.Route.Name(),
		Choice: code, Reason: http.StatusText(status), Target: c.Result.Target, Centre: c.Result.Centre,
		Tokens: usedTokens, DurationMS: float64(now.Sub(c.Arrived).Microseconds()) / 1000, Run: run,
	})
}

// usedTokens returns the number of tokens to charge. A call that may have reached a
// target and got no complete answer may have run. If the target reported no usage,
// such a call is charged for the upper bound of its prompt, or for one token if it
// is a call of a plain service.
func (s *Stage) usedTokens(c *call.Call, r *refusal.Refusal) float64 {
	if c.Result.UsedTokens > 0 || c.Result.Complete {
		return c.Result.UsedTokens
	}
	if r == nil || r.Run == refusal.RunNo || !c.Result.MaybeSent {
		return 0
	}
	if c.Route.Kind() == route.KindService {
		return 1
	}
	return c.MaxPromptTokens
}
