package gateway

import (
	"errors"
	"fmt"
	"io"
	"strconv"
	"strings"
	"time"

	"chervilyard.example/chervilyard/decisionlog"
	"chervilyard.example/chervilyard/pool"
	"chervilyard.example/yard/placement"
	"chervilyard.example/yard/refusal"
)

// logOutcome logs the outcome of a request and the inputs of the decision.
func (g *Gateway) logOutcome(now time.Time, x *exchange, r *refusal.Refusal) {
	d := decisionlog.Decision{
		Time: now, RequestID: x.req.ID, Kind: "request", Customer: x.customer.Name(), Route: x.route.Name(),
		Choice: "answered " + strconv.Itoa(x.status), Target: x.lastDestination, Centre: g.Region,
		Tokens: x.chargedTokens, DurationMS: now.Sub(x.arrived).Seconds() * 1000,
	}
	code, status := "ok", x.status
	if r != nil {
		code, status = r.Code, r.Status
		d.Choice, d.Run, d.Reason = "refused "+strconv.Itoa(r.Status)+" "+r.Code, r.Run, r.Message
		if r.Cause != nil {
			d.Reason += ": " + r.Cause.Error()
		}
	}
	d.Reason = strings.Join(nonEmpty(d.Reason, x.detail, x.shortage, x.decisionInputs(), g.stateAges(now), g.untilCutoff(x)), "; ")
	g.Decisions.Record(d)
	if g.Metrics.RequestDone != nil {
		var firstByte time.Duration
		if !x.firstByteAt.IsZero() {
			firstByte = x.firstByteAt.Sub(x.arrived)
		}
		g.Metrics.RequestDone(x.route.Name(), code, status, now.Sub(x.arrived), firstByte)
	}
}

// stateAges formats the ages of the configuration and of the target states that
// the decision was based on.
func (g *Gateway) stateAges(now time.Time) string {
	if g.StateAges == nil {
		return ""
	}
	configuration, targets := g.StateAges(now)
	return "configuration_age=" + configuration.Round(time.Millisecond).String() + " targets_age=" + targets.Round(time.Millisecond).String()
}

// decisionInputs formats the request state that the decision was based on.
func (x *exchange) decisionInputs() string {
	parts := []string{"tried=" + strings.Join(x.tried, ","), "sends=" + strconv.Itoa(x.possibleRuns)}
	if x.catalog != nil {
		parts = append(parts, "version="+strconv.FormatInt(x.catalog.Version(), 10))
	}
	if !x.firstByteAt.IsZero() {
		parts = append(parts, "first="+x.firstByteAt.Sub(x.arrived).Round(time.Millisecond).String())
	}
	if x.maxGap > 0 {
		parts = append(parts, "pause="+x.maxGap.Round(time.Millisecond).String())
	}
	if x.expectedFirstByte > 0 {
		parts = append(parts, "expected="+x.expectedFirstByte.Round(time.Millisecond).String())
	}
	if x.waited > 0 {
		parts = append(parts, "waited="+x.waited.Round(time.Millisecond).String())
	}
	if x.latencyTrial {
		parts = append(parts, "latency_trial")
	}
	if x.framing != "" {
		parts = append(parts, "framing="+x.framing)
	}
	if x.skipped > 0 {
		parts = append(parts, "skipped="+strconv.Itoa(x.skipped))
	}
	if x.insideEvent {
		parts = append(parts, "ended=inside_event")
	}
	if len(x.broken) > 0 {
		parts = append(parts, "broken="+strings.Join(x.broken, ","), "parts="+x.partIDs(), "same="+x.digest())
	}
	if len(x.placements) > 0 {
		parts = append(parts, "ahead="+strings.Join(x.placements, ","))
	}
	if x.preferredRegion != "" {
		parts = append(parts, "preferred_region="+x.preferredRegion)
	}
	if len(x.sentAt) > 0 {
		parts = append(parts, "sent_at="+strings.Join(x.sentAt, ","))
	}
	for _, permit := range x.permitLog {
		parts = append(parts, "permit="+permit)
	}
	for _, belief := range x.coldBeliefs {
		parts = append(parts, "believed="+belief)
	}
	if x.forwarded {
		parts = append(parts, "hop")
	}
	return strings.Join(parts, " ")
}

// partIDs returns the IDs of the first parts of the prompt, separated by commas.
func (x *exchange) partIDs() string {
	const maxLogged = 16
	var ids []string
	for _, part := range x.req.Parts[:min(len(x.req.Parts), maxLogged)] {
		ids = append(ids, part.ID)
	}
	return strings.Join(ids, ",")
}

// recordEnd keeps how a response ended that was not delimited, or that ended inside an
// event, and counts it.
func (g *Gateway) recordEnd(x *exchange, resp *pool.Response, err error) {
	var incomplete *pool.IncompleteError
	x.framing, x.insideEvent = "", errors.As(err, &incomplete) && incomplete.InsideEvent
	if resp.Framing() == pool.FramedByClose {
		x.framing = pool.FramedByClose
	}
	if g.Metrics.ResponseEnd == nil || x.framing == "" && !x.insideEvent {
		return
	}
	end := "whole"
	switch {
	case x.insideEvent:
		end = "inside_event"
	case incomplete != nil:
		end = "empty"
	case err != nil && !errors.Is(err, io.EOF):
		end = "broken"
	}
	g.Metrics.ResponseEnd(resp.Framing(), end)
}

// recordSent keeps when a request was sent to a target, in Unix milliseconds of Stamp.
func (g *Gateway) recordSent(x *exchange, name string, at time.Time) {
	if g.Stamp != nil {
		at = g.Stamp(at)
	}
	x.sentAt = append(x.sentAt, name+"@"+strconv.FormatInt(at.UnixMilli(), 10))
}

// recordPlacement keeps the load of the chosen target of an engine's service when it was
// chosen: open requests, prompt tokens that wait, tokens of all of them and requests of less
// urgent routes, and how many tokens of the prompt it was expected to have cached.
func (x *exchange) recordPlacement(ticket *placement.Ticket) {
	if x.catalog.Service(x.service).Slots() == 0 {
		return
	}
	ahead := ticket.Ahead()
	x.placements = append(x.placements, fmt.Sprintf("%s:open=%d:waiting=%d:memory=%d:cached=%d:lesser=%d:unread=%.0f:slowdown=%.2f",
		ticket.Target().Name(), ahead.Open, ahead.WaitingTokens, ahead.MemoryTokens, ticket.CachedTokens(), ahead.LesserOpen, ticket.UnreadTokens(), ticket.Slowdown()))
	if why := ticket.PreferredMissed(); why != "" {
		x.placements[len(x.placements)-1] += ":preferred=" + why
	}
}

// recordPermit keeps what was known of the limit of a target for which a permit was asked, who
// issued it and how long the request waited.
func (x *exchange) recordPermit(name string, p Permit, ok bool) {
	result := "refused"
	if ok {
		result = "issuer=" + p.Issuer
	}
	x.permitLog = append(x.permitLog, fmt.Sprintf("%s,limit=%g,age=%v,%s,waited=%v",
		name, p.PerSecond, p.Age.Round(time.Millisecond), result, p.Waited.Round(time.Millisecond)))
}

// recordColdBelief keeps what was believed about the target of an ended attempt, if it
// was cold or had been recently.
func (x *exchange) recordColdBelief(ticket *placement.Ticket) {
	if belief := ticket.ColdBelief(); belief != "" {
		x.coldBeliefs = append(x.coldBeliefs, belief)
	}
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
