package dispatch

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"chervilyard.example/chervilyard/call"
	"chervilyard.example/chervilyard/relay"
	"chervilyard.example/yard/balancer"
	"chervilyard.example/yard/fingerprint"
	"chervilyard.example/yard/refusal"
	"chervilyard.example/yard/route"
	"chervilyard.example/yard/suspect"
)

// maxEndedTargets is how many targets may end as they begin to answer one call.
const maxEndedTargets = 2

// Codes of refusals because targets ended under a part of the prompt or the call itself.
const (
	codePartSuspected = "part_suspected" // it may yet turn out to be sound
	codePartCrashes   = "part_crashes"
	codeCallSuspected = "request_suspected"
)

// promptParts returns the names of the leading parts of the call's prompt. A part is a block
// and all blocks before it.
func promptParts(c *call.Call) []string {
	if c.Route.Kind() != route.KindModel {
		return nil
	}
	hashes := balancer.PrefixHashes(c.Route.Name(), c.Prompt)
	names := make([]string, 0, len(hashes)+1) // one more for the call itself
	for _, h := range hashes {
		names = append(names, suspect.PartName(c.Route.Name(), strconv.FormatUint(h, 16)))
	}
	return names
}

// fingerprintOf returns what makes another call the same as this one.
func fingerprintOf(c *call.Call) fingerprint.Request {
	return fingerprint.Request{Service: c.Route.Name(), Method: c.Method, Target: c.Path + "?" + c.Query, Customer: c.Customer.Name(), Body: c.Body}
}

// suspectParts returns the parts that an end of a target may be attributed to: those of the
// prompt, and the call itself if targets ended under calls of its shape.
func (s *Stage) suspectParts(c *call.Call) []string {
	parts := promptParts(c)
	if f := fingerprintOf(c); s.Suspects.Tracks(f.Shape()) {
		parts = append(parts, f.Name())
	}
	return parts
}

// checkParts returns why the call is refused because of its prompt or itself, or nil. A call
// that has a destination and has not been sent anywhere may be let through as a trial.
func (s *Stage) checkParts(c *call.Call, hasDestination bool) *failure {
	if c.Trial {
		return nil
	}
	now := s.Now()
	parts := s.suspectParts(c)
	v := s.Suspects.Check(now, parts)
	if !v.Blocked() {
		return nil
	}
	if hasDestination && c.Hops == 0 && c.Result.Attempts == 1 && s.TrialRank != nil && s.Suspects.StartTrial(now, parts, s.TrialRank(now, v.Part)) {
		c.Trial = true
		return nil
	}
	if s.CountPartRefusal != nil {
		s.CountPartRefusal(c.Route.Name(), v.Confirmed)
	}
	s.logDecision(c, "refused", describeVerdict(now, v), "", s.Centre, 0)
	return &failure{refusal: partRefusal(c, v)}
}

// partRefusal returns the refusal of a call that the verdict blocks.
func partRefusal(c *call.Call, v suspect.Verdict) *refusal.Refusal {
	r := refusal.NotRun(http.StatusServiceUnavailable, codePartSuspected, "targets ended as they began to answer calls with the same start of the prompt").
		WithRetryAfter(max(v.RetryAfter, queueRetryAfter))
	switch _, isCall := fingerprint.ShapeOf(v.Part); {
	case isCall:
		r.Code, r.Message = codeCallSuspected, "targets ended as they ran this call"
	case v.Confirmed:
		r = refusal.NotRun(http.StatusUnprocessableEntity, codePartCrashes, "targets crash as they begin to answer calls with the same start of the prompt")
	}
	if c.Result.MaybeSent {
		r.Run = refusal.RunUnknown
	}
	return r
}

// describeVerdict formats a verdict for the log.
func describeVerdict(now time.Time, v suspect.Verdict) string {
	targets := make([]string, len(v.Ends))
	for i, e := range v.Ends {
		targets[i] = e.Target
	}
	return fmt.Sprintf("part=%s ended=%s last=%v confirmed=%t", v.Part, strings.Join(targets, ","), now.Sub(v.Ends[len(v.Ends)-1].At).Round(time.Millisecond), v.Confirmed)
}

// isPartRefusal reports whether the call was refused because of itself or a part of its
// prompt: other targets would not serve it either.
func isPartRefusal(r *refusal.Refusal) bool {
	return r.Code == codePartSuspected || r.Code == codePartCrashes || r.Code == codeCallSuspected
}

// recordTargetEnd attributes the end of the target to the call and the parts of its prompt, if
// the target has ended before it answered for long. Begun states whether it had sent a header.
func (s *Stage) recordTargetEnd(ctx context.Context, c *call.Call, target string, begun bool) {
	if s.TargetEnded == nil || ctx.Err() != nil {
		return
	}
	now := s.Now()
	first := c.Result.FirstByteAt
	if begun && !first.IsZero() && now.Sub(first) > suspect.BeginningTime {
		return
	}
	address := s.address(target)
	if address == "" || !s.TargetEnded(ctx, now, address) {
		return
	}
	if begun {
		c.Result.EndedTargets++
	}
	s.Suspects.RecordEnd(s.Now(), suspect.End{Target: target, At: now, Begun: begun, Trial: c.Trial}, append(promptParts(c), fingerprintOf(c).Name()))
}

// address returns the address of a target, or "" if it is not known.
func (s *Stage) address(name string) string {
	for _, t := range s.Document().Targets() {
		if t.Name() == name {
			return t.Address()
		}
	}
	return ""
}

// recordRelayed records what the end of a response tells about the call and the parts of its
// prompt.
func (s *Stage) recordRelayed(ctx context.Context, c *call.Call, w *progressWatch, err error) {
	var incomplete *relay.IncompleteError
	switch {
	case err == nil && c.Result.Status >= 200 && c.Result.Status < 300:
		if !w.sound {
			s.recordSound(c, w.name)
		}
	case err == nil && w.target != "":
		// The target has survived the call. That says nothing of the parts.
		if f := fingerprintOf(c); s.Suspects.Tracks(f.Shape()) {
			s.Suspects.RecordAnswer(s.Now(), w.name, s.Now(), []string{f.Name()})
		}
	case errors.As(err, &incomplete) && w.target != "":
		s.recordTargetEnd(ctx, c, w.target, true)
	}
}

// recordSound records that the target has answered the call well, in full or for longer than
// its beginning.
func (s *Stage) recordSound(c *call.Call, target string) {
	now := s.Now()
	first := c.Result.FirstByteAt
	if first.IsZero() {
		first = now
	}
	s.Suspects.RecordAnswer(now, target, first, s.suspectParts(c))
}
