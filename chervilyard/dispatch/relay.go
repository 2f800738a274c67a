package dispatch

import (
	"context"
	"errors"
	"net/http"
	"strings"
	"time"

	"chervilyard.example/chervilyard/call"
	"chervilyard.example/chervilyard/firstbyte"
	"chervilyard.example/chervilyard/relay"
	"chervilyard.example/chervilyard/session"
	"chervilyard.example/yard/refusal"
	"chervilyard.example/yard/route"
	"chervilyard.example/yard/suspect"
)

// stallTimeout is the longest gap between two pieces of a response. It applies only
// to attempts with a first-byte timeout.
const stallTimeout = 15 * time.Second

// progressWatch observes the progress of a response and limits the time until its next
// piece.
type progressWatch struct {
	start  time.Time
	target string // empty for a forwarded call
	name   string // of the target, also of a forwarded call
	sound  bool   // the target has answered for longer than its beginning

	// Set by startLimits.
	cancel    context.CancelCauseFunc // nil if the time is not limited
	firstByte firstbyte.Timer
	stall     *time.Timer // nil before the first piece
}

// startLimits limits the time until the first piece and the gaps between later ones. If
// a limit ends, cancel is called.
func (w *progressWatch) startLimits(firstByteTimeout time.Duration, cancel context.CancelCauseFunc) {
	w.cancel = cancel
	w.firstByte.Start(firstByteTimeout, func() bool {
		cancel(errFirstByteTimeout)
		return true
	})
}

// recordPiece records that a piece arrived. It returns false if it is the first one and
// its limit has ended: the attempt is cancelled, and nothing of it may be sent on.
func (w *progressWatch) recordPiece() bool {
	if !w.firstByte.Arrive() {
		return false
	}
	switch {
	case w.cancel == nil:
	case w.stall == nil:
		w.stall = time.AfterFunc(stallTimeout, func() { w.cancel(errStalled) })
	default:
		w.stall.Reset(stallTimeout)
	}
	return true
}

// stopLimits releases the timers.
func (w *progressWatch) stopLimits() {
	w.firstByte.Stop()
	if w.stall != nil {
		w.stall.Stop()
	}
}

// relay relays a response to the caller and records its usage and outcome.
func (s *Stage) relay(ctx context.Context, c *call.Call, res *Response, w *progressWatch) *failure {
	h := endToEndHeader(res.Header)
	h.Set("Chervil-Centre", c.Result.Centre)
	h.Set("Chervil-Target", res.Target)
	r := relay.Relay{Status: res.Status, Header: h, Body: res.Body, EndsWithConnection: res.EndsWithConnection, Sink: c.Sink, OnProgress: s.progressFunc(c, w), Memory: s.Memory, Now: s.Now}
	c.Result.Status, w.name = res.Status, res.Target
	relayed, err := s.relayBody(c, &r)
	s.recordUsage(c, relayed, res.Status)
	c.Result.Complete = relayed.Complete && err == nil
	s.recordOutcome(ctx, c, w, relayed, err)
	s.recordRelayed(ctx, c, w, err)
	if err == nil {
		return nil
	}
	return s.brokenResponse(ctx, c, err)
}

func (s *Stage) relayBody(c *call.Call, r *relay.Relay) (relay.Result, error) {
	events := strings.HasPrefix(r.Header.Get("Content-Type"), "text/event-stream")
	switch {
	case c.Route.Kind() != route.KindModel:
		return r.Copy()
	case events:
		return r.Stream()
	}
	return r.Buffered()
}

// progressFunc returns a function that records the arrival of a piece, and reports
// whether it may be sent on.
func (s *Stage) progressFunc(c *call.Call, w *progressWatch) func() bool {
	return func() bool {
		if !w.recordPiece() {
			return false
		}
		now := s.Now()
		if c.Result.FirstByteAt.IsZero() {
			c.Result.FirstByteAt = now
		}
		if !w.sound && c.Result.Status < http.StatusMultipleChoices && now.Sub(c.Result.FirstByteAt) > suspect.BeginningTime {
			w.sound = true
			s.recordSound(c, w.name)
		}
		return true
	}
}

// recordOutcome reports the outcome at the target to the picker. An error on the
// caller's side has no bearing on the target and is not reported.
func (s *Stage) recordOutcome(ctx context.Context, c *call.Call, w *progressWatch, relayed relay.Result, err error) {
	if w.target == "" {
		return
	}
	now := s.Now()
	var incomplete *relay.IncompleteError
	if errors.As(err, &incomplete) && !relayed.Complete {
		if isFirstByteTimeout(ctx) {
			s.recordFirstByteTimeout(now, w)
			return
		}
		s.Picker.RecordFailure(now, w.target, false)
		return
	}
	if err != nil {
		return
	}
	s.Picker.RecordSuccess(now, w.target)
	firstByteTime := c.Result.FirstByteAt.Sub(w.start)
	if !c.Stream && relayed.UsageReported {
		// A response that is not streamed arrives after all of its tokens have been
		// generated. To be comparable with the first-byte time of a stream, its
		// duration is divided by an eighth of their estimated number, where the
		// prompt counts as half of its upper bound.
		firstByteTime /= time.Duration(max(1, (relayed.UsedTokens-c.MaxPromptTokens/2)/8))
	}
	s.Picker.RecordFirstByte(now, w.target, firstByteTime)
}

// recordUsage sets the usage of the call: 1 for a service, else the count reported
// by the target. If there is none, it is 0 for a complete error response, and
// otherwise the upper bound of the prompt's tokens plus the number of content
// events, but at most the tokens reserved.
func (s *Stage) recordUsage(c *call.Call, relayed relay.Result, status int) {
	switch {
	case c.Route.Kind() == route.KindService:
		c.Result.UsedTokens = 1
	case relayed.UsageReported:
		c.Result.UsedTokens, c.Result.UsageReported = relayed.UsedTokens, true
	case status >= http.StatusBadRequest && relayed.Complete:
		c.Result.UsedTokens = 0
	default:
		c.Result.UsedTokens = min(c.MaxPromptTokens+float64(relayed.ContentEvents), c.MaxTokens)
	}
}

// brokenResponse returns the failure of a response that did not reach its end.
func (s *Stage) brokenResponse(ctx context.Context, c *call.Call, err error) *failure {
	var gone *relay.CallerGoneError
	if errors.As(err, &gone) {
		return &failure{refusal: &refusal.Refusal{Status: 499, Code: codeCallerGone, Message: "the caller did not take the answer", Run: refusal.RunYes, Cause: err}}
	}
	if !c.Sink.Started() {
		return s.noUsableResponse(ctx, c, err)
	}
	r := &refusal.Refusal{Status: http.StatusBadGateway, Code: "answer_broken", Message: "the answer broke off", Run: refusal.RunYes, RetryAfter: targetRetryAfter, Cause: err}
	switch {
	case session.IsKeyWithdrawn(ctx):
		r.Code, r.Message, r.RetryAfter = "key_withdrawn", "the key was withdrawn", 0
	case errors.Is(context.Cause(ctx), context.DeadlineExceeded):
		r.Code, r.Message = "deadline", "the answer did not end before the deadline"
	}
	return &failure{refusal: r}
}

// droppedHeaders apply to one connection only (RFC 9110, section 7.6.1) or are set
// by the gateway.
var droppedHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length", "X-Request-Id",
}

// endToEndHeader returns the header fields of a response to pass to the caller.
func endToEndHeader(h http.Header) http.Header {
	out := h.Clone()
	if out == nil {
		out = make(http.Header)
	}
	for _, line := range h.Values("Connection") {
		for _, field := range strings.Split(line, ",") {
			out.Del(strings.TrimSpace(field))
		}
	}
	for _, name := range droppedHeaders {
		out.Del(name)
	}
	return out
}
