// Package dispatch takes a call to a target: of the own data centre, or over
// one hop to an instance of another, with retries only where they cannot make
// a call run twice that may not.
package dispatch

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"chervilyard.example/chervilyard/budget"
	"chervilyard.example/chervilyard/call"
	"chervilyard.example/chervilyard/journal"
	"chervilyard.example/chervilyard/session"
	"chervilyard.example/yard/choice"
	"chervilyard.example/yard/document"
	"chervilyard.example/yard/queue"
	"chervilyard.example/yard/refusal"
	"chervilyard.example/yard/route"
	"chervilyard.example/yard/target"
)

const (
	maxTries    = 4
	retryQueue  = time.Second
	retryTarget = time.Second
	blockTokens = choice.BlockBytes / 4 // prompt tokens that one warm block stands for
)

// Remote is another data centre that can serve a route.
type Remote struct {
	Address string // an instance there
	Centre  string
	Region  string
	Free    int // requests that its targets take now, by its last word
}

// Response is a target's answer, of the own data centre or forwarded.
type Response struct {
	Status int
	Header http.Header
	Body   io.ReadCloser
	Target string
}

// Stage dispatches calls.
type Stage struct {
	Centre   string
	Document func() *document.Document
	Picker   *choice.Picker
	Budget   *budget.Budget
	Journal  *journal.Journal
	Now      func() time.Time
	Bound    int // requests of one customer that wait for one route

	// Remotes returns the other data centres that serve the route, nearest first.
	Remotes func(now time.Time, r route.Route) []Remote
	// Forward sends the call over its one hop. A *refusal.Refusal is the other
	// instance's; any other error means that whether it ran is not known, or
	// an Unsent where nothing left.
	Forward func(ctx context.Context, to Remote, c *call.Call) (*Response, error)
	// Send sends the call to a target of the own data centre, once. The error is
	// an *Unsent where nothing can have reached it.
	Send func(ctx context.Context, t target.Target, c *call.Call) (*Response, error)

	mu    sync.Mutex
	gates map[string]*queue.Gate
}

// failure is a try that did not answer the call.
type failure struct {
	refusal *refusal.Refusal
	again   bool // another try cannot make the call run twice
}

// place is where a try goes.
type place struct {
	local  []target.Target
	remote *Remote
	reason string
}

// Run answers the call from a target, or returns the refusal.
func (s *Stage) Run(ctx context.Context, c *call.Call) error {
	ctx, cancel := context.WithDeadline(ctx, c.Deadline)
	defer cancel()
	s.Budget.Try()
	tried := make(map[string]bool)
	last := noTarget(c)
	for c.Result.Tries = 1; c.Result.Tries <= maxTries; c.Result.Tries++ {
		p, ok := s.place(c, tried)
		if !ok {
			break
		}
		f := s.try(ctx, c, p, tried)
		if f == nil {
			return nil
		}
		last = f.refusal
		if !f.again || ctx.Err() != nil || !s.Budget.Retry() {
			break
		}
	}
	return last
}

func noTarget(c *call.Call) *refusal.Refusal {
	return refusal.NotRun(http.StatusServiceUnavailable, "no_target", "no target inside the call's residency can be reached for "+c.Route.Name()).After(retryTarget)
}

// place decides between the own data centre and another.
func (s *Stage) place(c *call.Call, tried map[string]bool) (place, bool) {
	now := s.Now()
	local := s.locals(c.Route, tried)
	if c.Hop > 0 {
		return place{local: local, reason: "forwarded"}, len(local) > 0
	}
	free, all := s.Picker.Free(now, local)
	if free > 0 && s.gate(c.Route).Waiting() == 0 {
		return place{local: local, reason: "near"}, true
	}
	var fallback *Remote
	for _, r := range s.Remotes(now, c.Route) {
		if tried[r.Address] || !c.Route.Permits(r.Region, c.Customer.Home()) {
			continue
		}
		if r.Free > 0 {
			return place{remote: &r, reason: spillReason(len(local), all)}, true
		}
		if fallback == nil {
			fallback = &r
		}
	}
	if all > 0 || len(local) > 0 && fallback == nil {
		return place{local: local, reason: "full"}, true
	}
	if fallback != nil {
		return place{remote: fallback, reason: spillReason(len(local), all)}, true
	}
	return place{}, false
}

func spillReason(targets, usable int) string {
	switch {
	case targets == 0:
		return "no target here"
	case usable == 0:
		return "targets here fail"
	}
	return "targets here are full"
}

// locals returns the targets of the own data centre that serve the route and
// were not tried.
func (s *Stage) locals(r route.Route, tried map[string]bool) []target.Target {
	var found []target.Target
	for _, t := range s.Document().Targets() {
		if t.Centre() == s.Centre && t.Serves(r.Name()) && !t.Leaving() && !tried[t.Name()] {
			found = append(found, t)
		}
	}
	return found
}

func (s *Stage) try(ctx context.Context, c *call.Call, p place, tried map[string]bool) *failure {
	if p.remote != nil {
		tried[p.remote.Address] = true
		return s.tryRemote(ctx, c, *p.remote, p.reason)
	}
	return s.tryLocal(ctx, c, p, tried)
}

func (s *Stage) tryRemote(ctx context.Context, c *call.Call, to Remote, reason string) *failure {
	now := s.Now()
	s.note(c, "forward", reason, "", to.Centre, 0)
	c.Result.Centre = to.Centre
	before := c.Result.Sent
	c.Result.Sent = true
	res, err := s.Forward(ctx, to, c)
	if err != nil {
		f := s.forwardFailure(ctx, c, err)
		if f.refusal.Run == refusal.RunNo {
			c.Result.Sent = before
		}
		return f
	}
	defer res.Body.Close()
	c.Result.Target = res.Target
	return s.relay(ctx, c, res, watch{start: now})
}

func (s *Stage) forwardFailure(ctx context.Context, c *call.Call, err error) *failure {
	var r *refusal.Refusal
	if errors.As(err, &r) {
		return &failure{refusal: r, again: r.Run == refusal.RunNo || !c.Once}
	}
	var unsent *Unsent
	if errors.As(err, &unsent) {
		return &failure{refusal: noTarget(c).Because(err), again: true}
	}
	return s.interrupted(ctx, c, err)
}

// Unsent is the error of a try of which nothing left the instance.
type Unsent struct{ Err error }

// Error returns the cause.
func (e *Unsent) Error() string { return fmt.Sprintf("dispatch: not sent: %v", e.Err) }

// Unwrap returns the cause.
func (e *Unsent) Unwrap() error { return e.Err }

// interrupted is the failure of a try that was sent and not answered.
func (s *Stage) interrupted(ctx context.Context, c *call.Call, err error) *failure {
	switch {
	case session.IsWithdrawn(ctx):
		return &failure{refusal: refusal.Unknown(http.StatusUnauthorized, "key_withdrawn", "the key was withdrawn while the call ran").Because(err)}
	case ctx.Err() != nil:
		return &failure{refusal: refusal.Unknown(http.StatusGatewayTimeout, "deadline", "the call was sent, and no answer came before its deadline").Because(err)}
	}
	return &failure{
		refusal: refusal.Unknown(http.StatusBadGateway, "target_failed", "the call was sent, and its target did not answer").After(retryTarget).Because(err),
		again:   !c.Once && !c.Answer.Started(),
	}
}

func (s *Stage) tryLocal(ctx context.Context, c *call.Call, p place, tried map[string]bool) *failure {
	entered := s.Now()
	if f := s.enter(ctx, c, entered); f != nil {
		return f
	}
	now := s.Now()
	c.Result.Waited += now.Sub(entered)
	req := choice.Request{
		Prefix:  choice.Prefix(c.Customer.Name(), c.Prompt),
		Block:   blockTokens,
		Exclude: func(name string) bool { return tried[name] },
	}
	picked, ok := s.Picker.Pick(now, s.locals(c.Route, tried), req)
	if !ok {
		return &failure{refusal: noTarget(c), again: true}
	}
	t := picked.Target
	tried[t.Name()] = true
	s.note(c, "target", p.reason+", "+picked.Reason, t.Name(), s.Centre, picked.Score)
	c.Result.Target, c.Result.Centre = t.Name(), s.Centre
	s.Picker.Start(t.Name(), req)
	defer func() {
		s.Picker.End(t.Name())
		s.gate(c.Route).Pump(s.Now())
	}()
	return s.ask(ctx, c, t, len(s.locals(c.Route, tried)) > 0)
}

// enter waits for the call's turn.
func (s *Stage) enter(ctx context.Context, c *call.Call, now time.Time) *failure {
	err := s.gate(c.Route).Enter(ctx, now, queue.Item{
		Customer: c.Customer.Name(),
		Weight:   c.Customer.Weight(),
		Batch:    c.Route.Class() == route.ClassBatch,
		Tokens:   c.Tokens,
		Deadline: c.Deadline,
	})
	var full *queue.Full
	switch {
	case err == nil:
		return nil
	case errors.As(err, &full):
		return &failure{refusal: refusal.NotRun(http.StatusServiceUnavailable, "overloaded", full.Reason).After(max(full.Retry, 100*time.Millisecond))}
	case session.IsWithdrawn(ctx):
		return &failure{refusal: refusal.NotRun(http.StatusUnauthorized, "key_withdrawn", "the key was withdrawn while the call waited")}
	}
	return &failure{refusal: refusal.NotRun(http.StatusGatewayTimeout, "deadline", "the call's turn did not come before its deadline").After(retryQueue)}
}

// ask sends the call to the target and relays its answer. Where others could
// serve it, a call that may be repeated is not left to a target that hangs.
func (s *Stage) ask(ctx context.Context, c *call.Call, t target.Target, others bool) *failure {
	start := s.Now()
	before := c.Result.Sent
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	w := watch{start: start, target: t.Name(), cancel: cancel}
	if others && !c.Once {
		patience := s.Picker.Patience(start, s.locals(c.Route, nil), c.Deadline.Sub(start))
		if c.Route.Kind() == route.KindModel && !c.Stream {
			patience = max(patience, c.Deadline.Sub(start)/2)
		}
		w.timer = time.AfterFunc(patience, func() { cancel(errSlow) })
		defer w.timer.Stop()
	}
	res, err := s.Send(ctx, t, c)
	var unsent *Unsent
	sent := !errors.As(err, &unsent)
	c.Result.Sent = before || sent
	if err != nil {
		return s.sendFailure(ctx, c, t, start, sent, err)
	}
	defer res.Body.Close()
	if refused(res.Status) && c.Route.Kind() == route.KindModel {
		s.Picker.Fail(s.Now(), t.Name(), false)
		c.Result.Sent = before
		return &failure{
			refusal: refusal.NotRun(http.StatusServiceUnavailable, "target_full", "the target took no more work").After(retryTarget),
			again:   true,
		}
	}
	if res.Status >= http.StatusInternalServerError && !c.Once {
		s.Picker.Fail(s.Now(), t.Name(), false)
		return s.interrupted(ctx, c, fmt.Errorf("status %d", res.Status))
	}
	res.Target = t.Name()
	return s.relay(ctx, c, res, w)
}

// refused reports whether a model engine says by its status that it did not
// run the request.
func refused(status int) bool {
	return status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable
}

var errSlow = errors.New("no first byte in the usual time")

func (s *Stage) sendFailure(ctx context.Context, c *call.Call, t target.Target, start time.Time, sent bool, err error) *failure {
	now := s.Now()
	if !sent && context.Cause(ctx) == nil {
		s.Picker.Fail(now, t.Name(), true)
		return &failure{refusal: noTarget(c).Because(err), again: true}
	}
	if errors.Is(context.Cause(ctx), errSlow) {
		s.Picker.First(now, t.Name(), 2*now.Sub(start))
		s.Picker.Fail(now, t.Name(), false)
		return &failure{
			refusal: refusal.Unknown(http.StatusGatewayTimeout, "target_slow", "the target did not answer in its usual time").After(retryTarget).Because(errSlow),
			again:   !c.Once,
		}
	}
	if ctx.Err() == nil {
		s.Picker.Fail(now, t.Name(), false)
	} else {
		s.Picker.First(now, t.Name(), now.Sub(start))
	}
	return s.interrupted(ctx, c, err)
}

func (s *Stage) gate(r route.Route) *queue.Gate {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.gates == nil {
		s.gates = make(map[string]*queue.Gate)
	}
	g, ok := s.gates[r.Name()]
	if !ok {
		g = &queue.Gate{Bound: s.Bound, Room: func(now time.Time) int {
			free, _ := s.Picker.Free(now, s.locals(r, nil))
			return free
		}}
		s.gates[r.Name()] = g
	}
	return g
}

// Pump lets waiting calls through after load reports arrived.
func (s *Stage) Pump(now time.Time) {
	s.mu.Lock()
	gates := make([]*queue.Gate, 0, len(s.gates))
	for _, g := range s.gates {
		gates = append(gates, g)
	}
	s.mu.Unlock()
	for _, g := range gates {
		if g.Waiting() > 0 {
			g.Pump(now)
		}
	}
}

// Waiting returns how many calls wait for a target.
func (s *Stage) Waiting() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for _, g := range s.gates {
		n += g.Waiting()
	}
	return n
}

func (s *Stage) note(c *call.Call, choice, reason, name, centre string, score time.Duration) {
	s.Journal.Note(journal.Decision{
		Time: s.Now(), Request: c.ID, Kind: "route", Customer: c.Customer.Name(), Route: c.Route.Name(),
		Choice: choice, Reason: reason, Target: name, Centre: centre, Millis: float64(score.Microseconds()) / 1000,
	})
}
