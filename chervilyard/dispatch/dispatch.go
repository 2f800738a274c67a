// Package dispatch sends a call to a target of this data centre or, over one hop,
// to an instance of another. It retries a non-idempotent call only if the failed
// attempt cannot have run it.
package dispatch

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"sync"
	"time"

	"chervilyard.example/chervilyard/call"
	"chervilyard.example/chervilyard/decisionlog"
	"chervilyard.example/chervilyard/retrybudget"
	"chervilyard.example/chervilyard/session"
	"chervilyard.example/yard/balancer"
	"chervilyard.example/yard/document"
	"chervilyard.example/yard/membudget"
	"chervilyard.example/yard/queue"
	"chervilyard.example/yard/refusal"
	"chervilyard.example/yard/retryafter"
	"chervilyard.example/yard/route"
	"chervilyard.example/yard/suspect"
	"chervilyard.example/yard/target"
)

const (
	maxAttempts      = 4
	queueRetryAfter  = time.Second
	targetRetryAfter = time.Second
	codeCallerGone   = "caller_gone"
	blockTokens      = balancer.BlockBytes / 4 // prompt tokens in one cached block, at four bytes per token
)

// RemoteCentre is another data centre that serves a route.
type RemoteCentre struct {
	Address   string // of an instance there
	Centre    string
	Region    string
	FreeSlots int // how many requests its targets can accept now, as last reported
}

// Response is the response to a call from a target of this data centre or from the
// instance that it was forwarded to.
type Response struct {
	Status int
	Header http.Header
	Body   io.ReadCloser
	Target string
	// EndsWithConnection states that the body has neither a length nor chunks.
	EndsWithConnection bool
}

// Stage dispatches calls. Its exported fields must be set before use. A Stage is
// safe for concurrent use.
type Stage struct {
	Centre                string
	Document              func() *document.Document
	Picker                *balancer.Picker
	RetryBudget           *retrybudget.Budget
	Decisions             *decisionlog.Log
	Now                   func() time.Time
	MaxWaitingPerCustomer int               // maximum number of calls of one customer that wait for one route
	Memory                *membudget.Budget // for responses; nil for no bound

	// Remotes returns the other data centres that serve the route, nearest first.
	Remotes func(now time.Time, r route.Route) []RemoteCentre
	// Forward forwards the call to another data centre. The error is a
	// *refusal.Refusal of the other instance, a *NotSentError if nothing was sent, or
	// any other error if it is unknown whether the call ran.
	Forward func(ctx context.Context, to RemoteCentre, c *call.Call) (*Response, error)
	// Send sends the call once to a target of this data centre. The error is a
	// *NotSentError if nothing can have reached the target.
	Send func(ctx context.Context, t target.Target, c *call.Call) (*Response, error)

	// Suspects holds the calls and parts of prompts under which targets ended.
	Suspects suspect.Ledger
	// TargetEnded reports whether the target at an address, whose connection broke, has
	// ended. If it is nil, ends are not attributed to calls.
	TargetEnded func(ctx context.Context, now time.Time, address string) bool
	// TrialRank returns the rank of this instance among those that may send a call in spite
	// of a part of its prompt; see suspect.Rank. If it is nil, it sends none.
	TrialRank func(now time.Time, part string) int
	// CountPartRefusal counts a call that is refused because of its prompt. It may be nil.
	CountPartRefusal func(route string, confirmed bool)

	mu     sync.Mutex
	queues map[string]*queue.Queue
}

// failure is the result of an attempt that did not complete the call.
type failure struct {
	refusal   *refusal.Refusal
	retryable bool // the call did not run, or may run again
}

// destination is where an attempt is sent: the local candidates, or a remote data
// centre if remote is not nil.
type destination struct {
	local  []target.Target
	remote *RemoteCentre
	reason string // for the decision log
}

// Run completes the call at a target and sets c.Result. The error is a
// *refusal.Refusal.
func (s *Stage) Run(ctx context.Context, c *call.Call) error {
	ctx, cancel := context.WithDeadline(ctx, c.Deadline)
	defer cancel()
	if c.Hops == 0 { // the instance that forwarded a call has recorded it
		s.RetryBudget.RecordRequest()
	}
	tried := make(map[string]bool)
	var last *refusal.Refusal
	for c.Result.Attempts = 1; c.Result.Attempts <= maxAttempts; c.Result.Attempts++ {
		dest, ok := s.chooseDestination(c, tried)
		if f := s.checkParts(c, ok); f != nil {
			return f.refusal
		}
		if !ok {
			if last == nil {
				return s.noTarget(c)
			}
			if last.Run == refusal.RunNo {
				last.RetryAfter = s.retryAfter(c)
			}
			break
		}
		f := s.attempt(ctx, c, dest, tried)
		if f == nil {
			return nil
		}
		last = f.refusal
		s.logFailure(c, last)
		if !f.retryable || c.Trial && c.Result.MaybeSent || c.Result.EndedTargets >= maxEndedTargets || ctx.Err() != nil || !s.RetryBudget.AllowRetry() {
			break
		}
	}
	return last
}

func (s *Stage) noTarget(c *call.Call) *refusal.Refusal {
	return refusal.NotRun(http.StatusServiceUnavailable, "no_target", "no target inside the call's residency can be reached for "+c.Route.Name()).WithRetryAfter(s.retryAfter(c))
}

// retryAfter returns when the caller of a call that no target takes may return: when the
// first target of this data centre wants requests again, if they want none for a while.
func (s *Stage) retryAfter(c *call.Call) time.Duration {
	now := s.Now()
	first := time.Duration(0)
	for _, t := range s.listedTargets(c.Route) {
		if left := s.Picker.DeferralLeft(now, t.Name()); left > 0 && (first == 0 || left < first) {
			first = left
		}
	}
	return cmp.Or(first, targetRetryAfter)
}

// chooseDestination chooses between this data centre and another one. It returns
// false if neither can be used.
func (s *Stage) chooseDestination(c *call.Call, tried map[string]bool) (destination, bool) {
	now := s.Now()
	local := s.localTargets(now, c.Route, tried)
	if c.Hops > 0 {
		return destination{local: local, reason: "forwarded"}, len(local) > 0
	}
	free, slots := s.Picker.Capacity(now, local)
	if free > 0 && s.queueFor(c.Route).Len() == 0 {
		return destination{local: local, reason: "near"}, true
	}
	var fallback *RemoteCentre
	for _, r := range s.Remotes(now, c.Route) {
		if tried[r.Address] || !c.Route.AllowsRegion(r.Region, c.Customer.HomeRegion()) {
			continue
		}
		if r.FreeSlots > 0 {
			return destination{remote: &r, reason: spillReason(len(local), slots)}, true
		}
		if fallback == nil {
			fallback = &r
		}
	}
	if slots > 0 || len(local) > 0 && fallback == nil {
		return destination{local: local, reason: "full"}, true
	}
	if fallback != nil {
		return destination{remote: fallback, reason: spillReason(len(local), slots)}, true
	}
	return destination{}, false
}

func spillReason(targets, slots int) string {
	switch {
	case targets == 0:
		return "no local target"
	case slots == 0:
		return "local targets fail"
	}
	return "local targets are full"
}

// localTargets returns the targets of this data centre that serve the route, are not
// draining, want requests now and have not been tried.
func (s *Stage) localTargets(now time.Time, r route.Route, tried map[string]bool) []target.Target {
	return slices.DeleteFunc(s.listedTargets(r), func(t target.Target) bool {
		return tried[t.Name()] || s.Picker.DeferralLeft(now, t.Name()) > 0
	})
}

// listedTargets returns the targets of this data centre that serve the route and are not
// draining.
func (s *Stage) listedTargets(r route.Route) []target.Target {
	var found []target.Target
	for _, t := range s.Document().Targets() {
		if t.Centre() == s.Centre && t.Serves(r.Name()) && !t.Draining() {
			found = append(found, t)
		}
	}
	return found
}

func (s *Stage) attempt(ctx context.Context, c *call.Call, dest destination, tried map[string]bool) *failure {
	if dest.remote != nil {
		tried[dest.remote.Address] = true
		return s.attemptRemote(ctx, c, *dest.remote, dest.reason)
	}
	return s.attemptLocal(ctx, c, dest, tried)
}

func (s *Stage) attemptRemote(ctx context.Context, c *call.Call, to RemoteCentre, reason string) *failure {
	now := s.Now()
	s.logDecision(c, "forward", reason, "", to.Centre, 0)
	c.Result.Centre = to.Centre
	sentBefore := c.Result.MaybeSent
	c.Result.MaybeSent = true
	res, err := s.Forward(ctx, to, c)
	if err != nil {
		f := s.forwardFailure(ctx, c, err)
		if f.refusal.Run == refusal.RunNo {
			c.Result.MaybeSent = sentBefore
		}
		return f
	}
	defer res.Body.Close()
	c.Result.Target = res.Target
	return s.relay(ctx, c, res, &progressWatch{start: now})
}

func (s *Stage) forwardFailure(ctx context.Context, c *call.Call, err error) *failure {
	var r *refusal.Refusal
	if errors.As(err, &r) {
		return &failure{refusal: r, retryable: !isPartRefusal(r) && (r.Run == refusal.RunNo || !c.NonIdempotent)}
	}
	var notSent *NotSentError
	if errors.As(err, &notSent) {
		return &failure{refusal: s.noTarget(c).WithCause(err), retryable: true}
	}
	return s.noUsableResponse(ctx, c, err)
}

// NotSentError is the error of an attempt of which nothing left the instance.
type NotSentError struct{ Err error }

// Error returns the message, which includes the cause.
func (e *NotSentError) Error() string { return fmt.Sprintf("dispatch: not sent: %v", e.Err) }

// Unwrap returns the cause.
func (e *NotSentError) Unwrap() error { return e.Err }

// noUsableResponse returns the failure of an attempt that was sent but got no usable
// response.
func (s *Stage) noUsableResponse(ctx context.Context, c *call.Call, err error) *failure {
	switch {
	case session.IsKeyWithdrawn(ctx):
		return &failure{refusal: refusal.Unknown(http.StatusUnauthorized, "key_withdrawn", "the key was withdrawn while the call ran").WithCause(err)}
	case isFirstByteTimeout(ctx):
		return &failure{
			refusal:   refusal.Unknown(http.StatusGatewayTimeout, "target_slow", "the target did not answer in its usual time").WithRetryAfter(targetRetryAfter).WithCause(errFirstByteTimeout),
			retryable: !c.NonIdempotent && !c.Sink.Started(),
		}
	case ctx.Err() != nil:
		return &failure{refusal: refusal.Unknown(http.StatusGatewayTimeout, "deadline", "the call was sent, and no answer came before its deadline").WithCause(err)}
	}
	return &failure{
		refusal:   refusal.Unknown(http.StatusBadGateway, "target_failed", "the call was sent, and its target did not answer").WithRetryAfter(targetRetryAfter).WithCause(err),
		retryable: !c.NonIdempotent && !c.Sink.Started(),
	}
}

func (s *Stage) attemptLocal(ctx context.Context, c *call.Call, dest destination, tried map[string]bool) *failure {
	queuedAt := s.Now()
	if f := s.awaitTurn(ctx, c, queuedAt); f != nil {
		return f
	}
	now := s.Now()
	c.Result.QueueTime += now.Sub(queuedAt)
	if f := s.checkParts(c, false); f != nil {
		s.queueFor(c.Route).Admit(now) // the next one gets its turn
		return f
	}
	req := balancer.Request{
		PrefixHashes: balancer.PrefixHashes(c.Customer.Name(), c.Prompt),
		BlockTokens:  blockTokens,
		Exclude:      func(name string) bool { return tried[name] },
	}
	selection, ok := s.Picker.Pick(now, s.localTargets(now, c.Route, tried), req)
	if !ok {
		return &failure{refusal: s.noTarget(c), retryable: true}
	}
	t := selection.Target
	tried[t.Name()] = true
	s.logDecision(c, "target", dest.reason+", "+selection.Reason, t.Name(), s.Centre, selection.Score)
	c.Result.Target, c.Result.Centre = t.Name(), s.Centre
	s.Picker.Start(t.Name(), req)
	defer func() {
		s.Picker.End(t.Name())
		s.queueFor(c.Route).Admit(s.Now())
	}()
	return s.sendTo(ctx, c, t, len(s.localTargets(now, c.Route, tried)) > 0)
}

// awaitTurn blocks until the queue admits the call, or returns why it did not.
func (s *Stage) awaitTurn(ctx context.Context, c *call.Call, now time.Time) *failure {
	err := s.queueFor(c.Route).Wait(ctx, now, queue.Item{
		Customer: c.Customer.Name(),
		Weight:   c.Customer.Weight(),
		Batch:    c.Route.Class() == route.ClassBatch,
		Tokens:   c.MaxTokens,
		Deadline: c.Deadline,
	})
	var rejected *queue.RejectedError
	switch {
	case err == nil:
		return nil
	case errors.As(err, &rejected):
		return &failure{refusal: refusal.NotRun(http.StatusServiceUnavailable, "overloaded", rejected.Reason).WithRetryAfter(max(rejected.RetryAfter, 100*time.Millisecond))}
	case session.IsKeyWithdrawn(ctx):
		return &failure{refusal: refusal.NotRun(http.StatusUnauthorized, "key_withdrawn", "the key was withdrawn while the call waited")}
	}
	return &failure{refusal: refusal.NotRun(http.StatusGatewayTimeout, "deadline", "the call's turn did not come before its deadline").WithRetryAfter(queueRetryAfter)}
}

// sendTo sends the call to the target and relays the response. If other targets can
// serve the call and it may be retried, the wait for the first byte is limited, so
// that a hanging target does not hold the call.
func (s *Stage) sendTo(ctx context.Context, c *call.Call, t target.Target, others bool) *failure {
	start := s.Now()
	sentBefore := c.Result.MaybeSent
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	w := &progressWatch{start: start, target: t.Name()}
	if others && !c.NonIdempotent {
		firstByteTimeout := s.Picker.FirstByteTimeout(start, s.localTargets(start, c.Route, nil), c.Deadline.Sub(start))
		if c.Route.Kind() == route.KindModel && !c.Stream {
			firstByteTimeout = max(firstByteTimeout, c.Deadline.Sub(start)/2)
		}
		w.startLimits(firstByteTimeout, cancel)
		defer w.stopLimits()
	}
	res, err := s.Send(ctx, t, c)
	var notSent *NotSentError
	sent := !errors.As(err, &notSent)
	c.Result.MaybeSent = sentBefore || sent
	if err != nil {
		return s.sendFailure(ctx, c, w, sent, err)
	}
	defer res.Body.Close()
	s.recordRequestedWait(res, t.Name())
	if isRefusal(res.Status) && c.Route.Kind() == route.KindModel {
		s.Picker.RecordFailure(s.Now(), t.Name(), false)
		c.Result.MaybeSent = sentBefore
		return &failure{
			refusal:   refusal.NotRun(http.StatusServiceUnavailable, "target_full", "the target took no more work").WithRetryAfter(targetRetryAfter),
			retryable: true,
		}
	}
	if res.Status >= http.StatusInternalServerError && !c.NonIdempotent {
		s.Picker.RecordFailure(s.Now(), t.Name(), false)
		return s.noUsableResponse(ctx, c, fmt.Errorf("status %d", res.Status))
	}
	s.Suspects.RecordAlive(s.Now(), start, t.Name())
	res.Target = t.Name()
	return s.relay(ctx, c, res, w)
}

// recordRequestedWait keeps calls from a target that turned one away for the time that it
// asked for. A value that cannot be read changes nothing.
func (s *Stage) recordRequestedWait(res *Response, targetName string) {
	if !isRefusal(res.Status) {
		return
	}
	if wait, _, err := retryafter.Parse(res.Header.Get("Retry-After")); err == nil {
		s.Picker.Defer(s.Now(), targetName, wait)
	}
}

// isRefusal reports whether the status of a model engine means that it did not run
// the call.
func isRefusal(status int) bool {
	return status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable
}

// The cancellation causes of an attempt whose first byte is late, or whose response
// stalls after it.
var (
	errFirstByteTimeout = errors.New("no first byte in the usual time")
	errStalled          = errors.New("the response stalled")
)

func isFirstByteTimeout(ctx context.Context) bool {
	return errors.Is(context.Cause(ctx), errFirstByteTimeout)
}

// recordFirstByteTimeout reports to the picker that the target's first byte was late.
func (s *Stage) recordFirstByteTimeout(now time.Time, w *progressWatch) {
	s.Picker.RecordFirstByte(now, w.target, 2*now.Sub(w.start))
	s.Picker.RecordFailure(now, w.target, false)
}

func (s *Stage) sendFailure(ctx context.Context, c *call.Call, w *progressWatch, sent bool, err error) *failure {
	now := s.Now()
	switch {
	case !sent && context.Cause(ctx) == nil:
		s.Picker.RecordFailure(now, w.target, true)
		return &failure{refusal: s.noTarget(c).WithCause(err), retryable: true}
	case isFirstByteTimeout(ctx):
		s.recordFirstByteTimeout(now, w)
	case ctx.Err() == nil:
		s.Picker.RecordFailure(now, w.target, false)
		s.recordTargetEnd(ctx, c, w.target, false)
	default:
		s.Picker.RecordFirstByte(now, w.target, now.Sub(w.start))
	}
	return s.noUsableResponse(ctx, c, err)
}

func (s *Stage) queueFor(r route.Route) *queue.Queue {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.queues == nil {
		s.queues = make(map[string]*queue.Queue)
	}
	q, ok := s.queues[r.Name()]
	if !ok {
		q = &queue.Queue{MaxWaitingPerCustomer: s.MaxWaitingPerCustomer, FreeSlots: func(now time.Time) int {
			return s.Picker.FreeSlots(now, s.localTargets(now, r, nil))
		}}
		s.queues[r.Name()] = q
	}
	return q
}

// AdmitWaiting admits the waiting calls for which targets have room. It must be
// called when new load reports have arrived.
func (s *Stage) AdmitWaiting(now time.Time) {
	s.mu.Lock()
	queues := make([]*queue.Queue, 0, len(s.queues))
	for _, q := range s.queues {
		queues = append(queues, q)
	}
	s.mu.Unlock()
	for _, q := range queues {
		if q.Len() > 0 {
			q.Admit(now)
		}
	}
}

// Waiting returns the number of calls that wait for a target.
func (s *Stage) Waiting() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for _, q := range s.queues {
		n += q.Len()
	}
	return n
}

// logFailure logs the cause of a failed attempt.
func (s *Stage) logFailure(c *call.Call, r *refusal.Refusal) {
	if r.Cause == nil || r.Code == codeCallerGone {
		return
	}
	targetName := c.Result.Target
	if c.Result.Centre != s.Centre { // it is that of an earlier attempt, or not known
		targetName = ""
	}
	s.logDecision(c, "failed", r.Code+": "+r.Cause.Error(), targetName, c.Result.Centre, 0)
}

func (s *Stage) logDecision(c *call.Call, choice, reason, targetName, centre string, score time.Duration) {
	s.Decisions.Record(decisionlog.Decision{
		Time: s.Now(), RequestID: c.ID, Kind: "route", Customer: c.Customer.Name(), Route: c.Route.Name(),
		Choice: choice, Reason: reason, Target: targetName, Centre: centre, DurationMS: float64(score.Microseconds()) / 1000,
	})
}
