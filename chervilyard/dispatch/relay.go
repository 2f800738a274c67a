package dispatch

import (
	"context"
	"errors"
	"net/http"
	"strings"
	"time"

	"chervilyard.example/chervilyard/answer"
	"chervilyard.example/chervilyard/call"
	"chervilyard.example/chervilyard/session"
	"chervilyard.example/yard/refusal"
	"chervilyard.example/yard/route"
)

// stallTime is the longest gap between two pieces of an answer.
const stallTime = 15 * time.Second

// watch follows the progress of an answer.
type watch struct {
	start  time.Time
	target string // empty for a forwarded call
	cancel context.CancelCauseFunc
	timer  *time.Timer
}

// relay passes an answer on and settles what it used.
func (s *Stage) relay(ctx context.Context, c *call.Call, res *Response, w watch) *failure {
	h := clean(res.Header)
	h.Set("Chervil-Centre", c.Result.Centre)
	h.Set("Chervil-Target", res.Target)
	r := answer.Relay{Status: res.Status, Header: h, Body: res.Body, To: c.Answer, Progress: s.progress(c, w)}
	c.Result.Status = res.Status
	done, err := s.pass(c, &r)
	s.charge(c, done, res.Status)
	c.Result.Whole = done.Whole && err == nil
	s.learn(c, w, done, err)
	if err == nil {
		return nil
	}
	return s.cut(ctx, c, err)
}

func (s *Stage) pass(c *call.Call, r *answer.Relay) (answer.Relayed, error) {
	events := strings.HasPrefix(r.Header.Get("Content-Type"), "text/event-stream")
	switch {
	case c.Route.Kind() != route.KindModel:
		return r.Copy()
	case events:
		return r.Stream()
	}
	return r.Whole()
}

// progress notes the first piece and puts the stall timer off with each.
func (s *Stage) progress(c *call.Call, w watch) func() {
	return func() {
		now := s.Now()
		if c.Result.First.IsZero() {
			c.Result.First = now
		}
		if w.timer != nil {
			w.timer.Reset(stallTime)
		}
	}
}

// learn tells the picker how the target did. A caller that went away says
// nothing about it.
func (s *Stage) learn(c *call.Call, w watch, done answer.Relayed, err error) {
	if w.target == "" {
		return
	}
	now := s.Now()
	var broken *answer.Broken
	if errors.As(err, &broken) && !done.Whole {
		s.Picker.Fail(now, w.target, false)
		return
	}
	if err != nil {
		return
	}
	s.Picker.Succeed(now, w.target)
	took := c.Result.First.Sub(w.start)
	if !c.Stream && done.Counted {
		// An answer that comes whole took its first byte's time and that of
		// each further token; the part of the first is what compares.
		took /= time.Duration(max(1, (done.Used-c.PromptBound/2)/8))
	}
	s.Picker.First(now, w.target, took)
}

// charge sets what the call used: the target's own count, or for an answer
// without one its prompt and the events that were seen.
func (s *Stage) charge(c *call.Call, done answer.Relayed, status int) {
	switch {
	case c.Route.Kind() == route.KindService:
		c.Result.Used = 1
	case done.Counted:
		c.Result.Used, c.Result.Counted = done.Used, true
	case status >= http.StatusBadRequest && done.Whole:
		c.Result.Used = 0
	default:
		c.Result.Used = min(c.PromptBound+float64(done.Events), c.Tokens)
	}
}

// cut is the failure of an answer that did not reach its end.
func (s *Stage) cut(ctx context.Context, c *call.Call, err error) *failure {
	var gone *answer.Gone
	if errors.As(err, &gone) {
		return &failure{refusal: &refusal.Refusal{Status: 499, Code: "caller_gone", Message: "the caller did not take the answer", Run: refusal.RunYes, Cause: err}}
	}
	if !c.Answer.Started() {
		return s.interrupted(ctx, c, err)
	}
	r := &refusal.Refusal{Status: http.StatusBadGateway, Code: "answer_broken", Message: "the answer broke off", Run: refusal.RunYes, Retry: retryTarget, Cause: err}
	switch {
	case session.IsWithdrawn(ctx):
		r.Code, r.Message, r.Retry = "key_withdrawn", "the key was withdrawn", 0
	case errors.Is(context.Cause(ctx), context.DeadlineExceeded):
		r.Code, r.Message = "deadline", "the answer did not end before the deadline"
	}
	return &failure{refusal: r}
}

// hopHeaders concern one connection only (RFC 9110, section 7.6.1), or are set
// by the gateway.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length", "X-Request-Id",
}

// clean returns the headers of an answer that go on to the caller.
func clean(h http.Header) http.Header {
	out := h.Clone()
	if out == nil {
		out = make(http.Header)
	}
	for _, name := range h.Values("Connection") {
		for _, field := range strings.Split(name, ",") {
			out.Del(strings.TrimSpace(field))
		}
	}
	for _, name := range hopHeaders {
		out.Del(name)
	}
	return out
}
