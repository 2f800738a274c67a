package gateway

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"chervilyard.example/yard/fingerprint"
	"chervilyard.example/yard/placement"
	"chervilyard.example/yard/refusal"
	"chervilyard.example/yard/suspect"
	"chervilyard.example/yard/target"
)

// maxEndedTargets is how many targets may end as they begin to answer one request. It is not
// sent to another one.
const maxEndedTargets = 2

// Codes of refusals because targets ended under a part of the prompt or the request itself.
const (
	codePartSuspected    = "part_suspected" // it may yet turn out to be sound
	codePartCrashes      = "part_crashes"
	codeRequestSuspected = "request_suspected"
)

// sharedParts returns the names of the parts of the prompt that other requests may share: all
// but the last one.
func (x *exchange) sharedParts() []string {
	if len(x.req.Parts) < 2 {
		return nil
	}
	names := make([]string, 0, len(x.req.Parts)-1)
	for _, part := range x.req.Parts[:len(x.req.Parts)-1] {
		names = append(names, suspect.PartName(x.service, part.ID))
	}
	return names
}

// fingerprint returns what makes another request the same as this one.
func (x *exchange) fingerprint() fingerprint.Request {
	return fingerprint.Request{
		Service: x.service, Method: x.method, Host: x.host, Target: x.requestTarget, Customer: x.customer.Name(), Pieces: x.body.Pieces(),
	}
}

// fullName returns the name of the request itself.
func (x *exchange) fullName() string {
	if x.releasedName != "" {
		return x.releasedName
	}
	return x.fingerprint().Name()
}

// digest returns a digest of the request that is equal for requests that differ in ID and
// header only.
func (x *exchange) digest() string {
	name := x.fullName()
	return name[strings.LastIndexByte(name, '/')+1:]
}

// suspectParts returns the parts that an end of a target may be attributed to. The request
// itself is one of them if targets ended under requests of its shape.
func (g *Gateway) suspectParts(x *exchange) []string {
	if x.shape == "" {
		x.shape = x.fingerprint().Shape()
	}
	if x.name == "" && g.Suspects.Tracks(x.shape) {
		x.name = x.fullName()
	}
	if x.name == "" {
		return x.parts
	}
	return append(slices.Clip(x.parts), x.name)
}

// checkParts returns the verdict on the request and the parts of its prompt.
func (g *Gateway) checkParts(now time.Time, x *exchange) suspect.Verdict {
	if x.trial {
		return suspect.Verdict{}
	}
	return g.Suspects.Check(now, g.suspectParts(x))
}

// mayTry reports whether a request with a blocked part may be sent as a trial once it has a
// destination.
func (g *Gateway) mayTry(now time.Time, x *exchange, v suspect.Verdict) bool {
	return v.RetryAfter == 0 && len(x.tried) == 0 && !x.forwarded && g.TrialRank != nil &&
		g.Suspects.MayTry(now, g.suspectParts(x), g.TrialRank(now, v.Part))
}

// startTrial reports whether the request is sent although its parts block it. It is then sent
// to one target only.
func (g *Gateway) startTrial(ctx context.Context, now time.Time, x *exchange, v suspect.Verdict) bool {
	t, ok := g.Suspects.PrepareTrial(now, g.suspectParts(x), g.TrialRank(now, v.Part))
	if !ok {
		return false
	}
	if g.ClaimTrial != nil && !g.ClaimTrial(ctx, t) {
		g.Suspects.CancelTrial(t)
		return false
	}
	g.Suspects.ConfirmTrial(g.Now(), t)
	x.trial, x.maxAttempts = true, 1
	return true
}

// refusePart returns the refusal of a request because targets ended under it or a part of its
// prompt. While the part may be sound, the caller may return after the next trial; otherwise
// it should not. A request itself is never refused for good: that targets ended under it may
// be their fault, which another version of them mends.
func (g *Gateway) refusePart(now time.Time, x *exchange, v suspect.Verdict) error {
	x.verdict = v
	x.detail = describeVerdict(now, v)
	if g.Metrics.PartRefused != nil {
		g.Metrics.PartRefused(x.service, v.Confirmed)
	}
	r := refusal.NotRun(http.StatusServiceUnavailable, codePartSuspected, "targets ended as they began to answer requests with part "+v.Part).
		WithRetryAfter(max(v.RetryAfter, shortRetryAfter))
	switch _, isRequest := fingerprint.ShapeOf(v.Part); {
	case isRequest:
		r.Code, r.Message = codeRequestSuspected, "targets ended as they ran this request"
	case v.Confirmed:
		r = refusal.NotRun(http.StatusUnprocessableEntity, codePartCrashes, "targets crash as they begin to answer requests with part "+v.Part)
	}
	if x.possibleRuns > 0 {
		r.Run = refusal.RunUnknown
		if r.Status == http.StatusServiceUnavailable {
			r.Status, r.RetryAfter = http.StatusBadGateway, 0
		}
	}
	return r
}

// describeVerdict formats a verdict for the log: the part, the targets that ended under it,
// and the time since the first and the last of these ends.
func describeVerdict(now time.Time, v suspect.Verdict) string {
	targets := make([]string, len(v.Ends))
	for i, e := range v.Ends {
		targets[i] = e.Target
	}
	text := "part=" + v.Part + " ended=" + strings.Join(targets, ",")
	if n := len(v.Ends); n > 0 {
		text += fmt.Sprintf(" since=%v last=%v", now.Sub(v.Ends[0].At).Round(time.Millisecond), now.Sub(v.Ends[n-1].At).Round(time.Millisecond))
	}
	return text + " confirmed=" + strconv.FormatBool(v.Confirmed)
}

// recordTargetEnd attributes the end of the target to the request and its parts, if the target
// has ended and had not answered for long.
func (g *Gateway) recordTargetEnd(ctx context.Context, a *attempt, now time.Time, phase string) {
	x := a.x
	if phase == phaseAnswering || g.TargetEnded == nil {
		return
	}
	if x.name == "" {
		x.name = x.fullName()
	}
	t := a.dest.ticket.Target()
	end := suspect.End{Target: t.Name(), At: now, Begun: phase == phaseBeginning, Trial: x.trial}
	if !g.TargetEnded(ctx, now, t.Address()) {
		g.Suspects.RecordBroken(g.Now(), runOf(t), end, g.suspectParts(x))
		return
	}
	if end.Begun {
		x.endedTargets++
	}
	g.Suspects.RecordEnd(g.Now(), end, g.suspectParts(x))
}

func runOf(t target.Target) suspect.Run {
	return suspect.Run{Target: t.Name(), ID: t.RunID(), Address: t.Address()}
}

// recordAlive records that the target has answered the attempt.
func (g *Gateway) recordAlive(a *attempt) {
	if a.dest.ticket != nil {
		g.Suspects.RecordAlive(g.Now(), a.sentAt, a.dest.name())
	}
}

// recordAnswered ends the attempt of a request that was answered in full.
func (g *Gateway) recordAnswered(a *attempt, now time.Time, status int, outcome placement.Outcome) {
	g.endAttempt(a, now, outcome)
	switch {
	case status >= 200 && status < 300:
		g.recordSound(a, now)
	case a.dest.ticket != nil && a.x.name != "":
		// The target has survived the request. That says nothing of its parts.
		g.Suspects.RecordAnswer(now, a.dest.name(), now, []string{a.x.name})
	}
}

// recordSound records that the target has answered the request well, in full or for longer
// than its beginning.
func (g *Gateway) recordSound(a *attempt, now time.Time) {
	if a.sound {
		return
	}
	a.sound = true
	firstByteAt := a.firstByteAt
	if firstByteAt.IsZero() {
		firstByteAt = now
	}
	g.Suspects.RecordAnswer(now, a.dest.name(), firstByteAt, g.suspectParts(a.x))
}

// remoteVerdict returns the verdict because of which an instance of another region refused the
// request, and false if it refused it for another reason.
func (x *exchange) remoteVerdict(h http.Header) (suspect.Verdict, bool) {
	part := h.Get(headerPart)
	return suspect.Verdict{Part: part, Confirmed: h.Get(headerConfirmed) != "", RetryAfter: x.remoteRetryAfter}, part != ""
}

// setVerdictHeaders tells the forwarding instance because of which part of the prompt the
// request is refused.
func (x *exchange) setVerdictHeaders(h http.Header) {
	if !x.verdict.Blocked() {
		return
	}
	h.Set(headerPart, x.verdict.Part)
	if x.verdict.Confirmed {
		h.Set(headerConfirmed, "yes")
	}
}
