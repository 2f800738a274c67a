package gateway

import (
	"strconv"
	"strings"
	"time"

	"chervilyard.example/chervilyard/journal"
	"chervilyard.example/yard/refusal"
)

// note logs the outcome of a request with what decided it.
func (g *Gateway) note(now time.Time, x *exchange, r *refusal.Refusal) {
	d := journal.Decision{
		Time: now, Request: x.ask.ID, Kind: "request", Customer: x.customer.Name(), Route: x.route.Name(),
		Choice: "answered " + strconv.Itoa(x.status), Target: x.chosen, Centre: g.Region,
		Tokens: x.charged, Millis: now.Sub(x.arrived).Seconds() * 1000,
	}
	code, status := "ok", x.status
	if r != nil {
		code, status = r.Code, r.Status
		d.Choice, d.Run, d.Reason = "refused "+strconv.Itoa(r.Status)+" "+r.Code, r.Run, r.Message
		if r.Cause != nil {
			d.Reason += ": " + r.Cause.Error()
		}
	}
	d.Reason = strings.Join(nonEmpty(d.Reason, x.notes, x.inputs(), g.ages(now)), "; ")
	g.Journal.Note(d)
	if g.Counter.Ended != nil {
		var first time.Duration
		if !x.first.IsZero() {
			first = x.first.Sub(x.arrived)
		}
		g.Counter.Ended(x.route.Name(), code, status, now.Sub(x.arrived), first)
	}
}

// ages tells how old the beliefs are that a decision rested on.
func (g *Gateway) ages(now time.Time) string {
	if g.Ages == nil {
		return ""
	}
	configuration, targets := g.Ages(now)
	return "configuration_age=" + configuration.Round(time.Millisecond).String() + " targets_age=" + targets.Round(time.Millisecond).String()
}

// inputs tells what the decision rested on.
func (x *exchange) inputs() string {
	parts := []string{"tried=" + strings.Join(x.tried, ","), "sends=" + strconv.Itoa(x.sends)}
	if x.catalog != nil {
		parts = append(parts, "version="+strconv.FormatInt(x.catalog.Version(), 10))
	}
	if !x.first.IsZero() {
		parts = append(parts, "first="+x.first.Sub(x.arrived).Round(time.Millisecond).String())
	}
	if x.pause > 0 {
		parts = append(parts, "pause="+x.pause.Round(time.Millisecond).String())
	}
	if x.expected > 0 {
		parts = append(parts, "expected="+x.expected.Round(time.Millisecond).String())
	}
	if x.hop {
		parts = append(parts, "hop")
	}
	return strings.Join(parts, " ")
}

func nonEmpty(list ...string) []string {
	var out []string
	for _, s := range list {
		if s != "" {
			out = append(out, s)
		}
	}
	return out
}
