package gateway

import (
	"cmp"
	"context"
	"errors"
	"net/http"
	"slices"
	"time"

	"chervilyard.example/chervilyard/firstbyte"
	"chervilyard.example/chervilyard/pool"
	"chervilyard.example/yard/placement"
	"chervilyard.example/yard/refusal"
	"chervilyard.example/yard/suspect"
)

const (
	// deadlineGrace is how long after the deadline the gateway still waits for
	// the target's own timeout response.
	deadlineGrace = 120 * time.Millisecond
	// maxDestinations is how many destinations are chosen for one request at most.
	// It also counts those that the request could not be sent to.
	maxDestinations = 4
	// maxPermitsRefused is how many targets with a rate limit have no permit for a request
	// before each counts as a destination.
	maxPermitsRefused = 8
	// A request waits for up to maxProofWait until health checks prove that a target is warm,
	// and looks for one every proofPause.
	maxProofWait = 300 * time.Millisecond
	proofPause   = 25 * time.Millisecond
	// An idempotent request is retried elsewhere, where it can be, if the first byte
	// takes longer than firstByteObjectiveFraction of the route's latency objective
	// and longer than firstByteWaitFactor times the expected wait.
	firstByteObjectiveFraction = 0.75
	firstByteWaitFactor        = 4
	// A target that has not responded for silenceThreshold and firstByteWaitFactor times the
	// expected wait may be out of reach.
	silenceThreshold = 500 * time.Millisecond
)

const codeCallerGone = "caller_gone"

// errFirstByteTimeout is the cancellation cause of an attempt without a timely
// first byte.
var errFirstByteTimeout = errors.New("no first byte within the expected time")

// dispatch sends the request to destinations until one responds, or returns the
// reason why none did.
func (g *Gateway) dispatch(ctx context.Context, x *exchange) error {
	x.parts = x.sharedParts()
	for n := 0; n < maxDestinations; n++ {
		now := g.Now()
		if left := x.deadline.Sub(now); left <= 0 {
			return g.deadlineExceeded(ctx, x)
		}
		if ctx.Err() != nil {
			return g.cutOffOrGone(now, x, context.Cause(ctx))
		}
		verdict := g.checkParts(now, x)
		if verdict.Blocked() && !g.mayTry(now, x, verdict) {
			return g.refusePart(now, x, verdict)
		}
		dest, err := g.chooseDestination(now, x)
		if err != nil && x.awaitsProof && g.awaitProof(ctx, now, x) {
			n-- // the request has not been sent anywhere
			continue
		}
		if err != nil {
			return err
		}
		if verdict.Blocked() && !g.startTrial(ctx, now, x, verdict) {
			if dest.ticket != nil {
				dest.ticket.End(now, placement.Withheld)
			}
			return g.refusePart(now, x, verdict)
		}
		if dest.remote == nil {
			if dest.ticket == nil {
				dest.ticket = g.Picker.Choose(now, dest.local, dest.request, dest.coldShare)
			}
			if dest.ticket == nil {
				return g.noTarget(x)
			}
			if !g.obtainPermit(ctx, now, x, dest.ticket) {
				if x.permitsRefused++; x.permitsRefused <= maxPermitsRefused {
					n-- // the request has not been sent anywhere
				}
				continue
			}
		}
		retryable, err := g.tryDestination(ctx, x, dest)
		if !retryable {
			return err
		}
	}
	return g.noTarget(x)
}

// awaitProof waits for a short time in which a target may be proved to be warm, and reports
// whether the request has time left for that.
func (g *Gateway) awaitProof(ctx context.Context, now time.Time, x *exchange) bool {
	if x.proofWaited >= min(maxProofWait, g.waitLimit(now, x)/2) {
		return false
	}
	x.proofWaited += proofPause
	timer := time.NewTimer(proofPause)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
	return true
}

// tryDestination sends the request to one destination. It returns true if the
// request may be sent to another.
func (g *Gateway) tryDestination(ctx context.Context, x *exchange, dest destination) (bool, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	now := g.Now()
	if len(x.tried) == 0 && !x.forwarded { // the forwarding instance has recorded it
		g.RetryBudget.RecordRequest(now, g.RetryLimits(), x.service)
	}
	a := &attempt{x: x, dest: dest}
	firstByteTimeout := g.firstByteTimeout(x, dest)
	x.tried = append(x.tried, dest.name())
	if dest.remote != nil {
		// Another instance of that region would use the same targets.
		x.tried = append(x.tried, dest.remote.Member.Region)
	}
	if dest.ticket != nil {
		x.recordPlacement(dest.ticket)
	}
	x.lastDestination, x.expectedFirstByte = dest.name(), dest.expectedWait()
	x.possibleRuns++
	x.deliveries++
	if firstByteTimeout > 0 {
		state := *x // the timer runs beside this goroutine
		state.tried = slices.Clone(x.tried)
		a.firstByte.Start(firstByteTimeout, func() bool { return g.giveUp(&state, cancel) })
		defer a.firstByte.Stop()
	}
	stopHopWatch := g.watchHop(ctx, cancel, now, a)
	defer stopHopWatch()
	stopWatch := g.watchSilence(now, dest)
	resp, err := g.send(ctx, a)
	stopWatch()
	if err != nil {
		return g.handleFailure(ctx, a, err)
	}
	return g.handleResponse(ctx, a, resp)
}

// watchSilence calls OnSilent if the target does not respond in time, unless the returned
// function is called before.
func (g *Gateway) watchSilence(now time.Time, dest destination) (stop func()) {
	if dest.ticket == nil || g.OnSilent == nil {
		return func() {}
	}
	timer := time.AfterFunc(max(silenceThreshold, firstByteWaitFactor*dest.expectedWait()), func() { g.OnSilent(dest.ticket.Target(), now) })
	return func() { timer.Stop() }
}

// giveUp cancels an attempt without a timely first byte if the request can be sent to
// another destination, for which it draws on the retry budget. It reports whether the
// attempt was canceled.
func (g *Gateway) giveUp(x *exchange, cancel context.CancelCauseFunc) bool {
	now := g.Now()
	if g.checkParts(now, x).Blocked() {
		return false
	}
	if _, err := g.chooseDestination(now, x); err != nil || !g.allowRetry(now, x) {
		return false
	}
	cancel(errFirstByteTimeout)
	return true
}

// obtainPermit obtains a permit if the ticket's target has a rate limit, and reports whether the
// request may be sent. If not, the ticket has ended. The request waits for the permit no longer
// than it would at another target, and not for so long that its response would be late.
func (g *Gateway) obtainPermit(ctx context.Context, now time.Time, x *exchange, ticket *placement.Ticket) bool {
	if !ticket.NeedsPermit() || g.ObtainPermit == nil {
		return true
	}
	p, ok := g.ObtainPermit(ctx, ticket.Target(), ticket.PermitPatience(g.waitLimit(now, x)))
	x.recordPermit(ticket.Target().Name(), p, ok)
	if !ok {
		ticket.End(g.Now(), placement.Withheld)
		return false
	}
	ticket.Permit(p.Until)
	return true
}

// untry allows attempts at other instances of a region again.
func (x *exchange) untry(region string) {
	x.tried = slices.DeleteFunc(x.tried, func(name string) bool { return name == region })
}

// attempt is one attempt to serve a request at one destination.
type attempt struct {
	x           *exchange
	dest        destination
	firstByte   firstbyte.Timer
	sentAt      time.Time // when there was a connection; zero for a remote instance
	headerRead  bool      // the response header has been read
	firstByteAt time.Time // zero until a byte of the body has been read
	sound       bool      // the target has answered well
}

// allowRetry reports whether the request may be sent again, and draws on the
// retry budget of the fleet for it. A request that has not reached any target
// needs no budget, nor does one whose last retry has not reached any.
func (g *Gateway) allowRetry(now time.Time, x *exchange) bool {
	if x.deliveries < x.allowedDeliveries {
		return true
	}
	if !g.RetryBudget.AllowRetry(now, g.RetryLimits(), x.service, g.RetrySharers(now)) {
		return false
	}
	x.allowedDeliveries = x.deliveries + 1
	return true
}

// firstByteTimeout returns how long the destination may take to send the first
// byte, or 0 for no limit. The last allowed attempt has none, nor has any attempt on
// a route that is not idempotent or has no latency objective.
func (g *Gateway) firstByteTimeout(x *exchange, dest destination) time.Duration {
	if !x.route.Idempotent() || x.latencyObjective() <= 0 || x.possibleRuns+1 >= x.maxAttempts {
		return 0
	}
	return max(time.Duration(firstByteObjectiveFraction*float64(x.latencyObjective())), firstByteWaitFactor*dest.expectedWait())
}

// send sends the request to the destination and returns the response once its
// header has been read.
func (g *Gateway) send(ctx context.Context, a *attempt) (*pool.Response, error) {
	x := a.x
	now := g.Now()
	header := x.req.Header.Clone()
	if a.dest.remote != nil {
		x.setForwardingHeaders(header, now, a.dest)
		if g.Name != "" {
			header.Set(headerSender, g.Name)
		}
		if g.Metrics.Forwarded != nil {
			g.Metrics.Forwarded(x.body.Len())
		}
		return g.Pool.Do(ctx, a.dest.remote.Member.Forward, &pool.Request{
			Method: x.method, RequestTarget: x.requestTarget, Host: x.host, Header: header, Pieces: x.body.Pieces(),
			OnReceived: g.recordReceived(a.dest.remote.Member),
		})
	}
	t := a.dest.ticket.Target()
	g.Protocol.SetTargetHeaders(header, TargetContext{Target: t.Name(), TimeLeft: x.deadline.Sub(now), Customer: x.customer.Name(), LastEventID: x.req.LastEventID})
	return g.Pool.Do(ctx, t.Address(), &pool.Request{
		Method: x.method, RequestTarget: x.requestTarget, Host: x.host, Header: header, Pieces: x.body.Pieces(),
		NewConn: !x.route.Idempotent() && !x.route.Stream(),
		Admit: func() bool {
			now := g.Now()
			if !a.dest.ticket.Admit(now, g.ColdShare) {
				return false
			}
			a.sentAt = now
			g.recordAdmitted(now, x)
			g.recordSent(x, t.Name(), now)
			return true
		},
		OnWritten: func() { a.dest.ticket.Sent(g.Now()) },
		Accepts:   func(h http.Header, kept bool) bool { return g.accepts(x, h, kept) },
	})
}

// accepts reports whether a response belongs to the request. One on a kept connection that
// names no request may be a copy of what was sent to an earlier one, such as a refusal.
func (g *Gateway) accepts(x *exchange, h http.Header, kept bool) bool {
	if g.Protocol.ResponseRequestID == nil {
		return true
	}
	id := g.Protocol.ResponseRequestID(h)
	return id == x.req.ID || id == "" && !kept
}

// handleFailure records the outcome of an attempt without a usable response. It
// returns true if the request may be sent to another destination.
func (g *Gateway) handleFailure(ctx context.Context, a *attempt, err error) (bool, error) {
	x := a.x
	now := g.Now()
	var poolErr *pool.Error
	sent := !errors.As(err, &poolErr) || poolErr.MaybeSent
	cause := context.Cause(ctx)
	x.detail = err.Error()
	if !sent {
		x.possibleRuns--
		x.deliveries--
	}
	if failedConn := ctx.Err() == nil && !a.headerRead && poolErr != nil && !poolErr.Kept && poolErr.Op != pool.OpAdmit; failedConn && a.dest.ticket != nil && g.OnConnFailed != nil {
		g.OnConnFailed(now, a.dest.ticket.Target())
	}
	if !sent {
		g.recordUnreached(ctx, now, a, err)
	}
	if errors.Is(cause, errHopSilent) {
		g.leaveSilentHop(now, a)
	}
	switch {
	case errors.Is(cause, errFirstByteTimeout):
		g.endAttempt(a, now, placement.TimedOut)
	case errors.Is(cause, errHopSilent): // retried or ended like an attempt whose connection broke
	case ctx.Err() != nil && !now.Before(x.deadline):
		g.endAttempt(a, now, placement.TimedOut)
		return false, g.deadlineExceeded(ctx, x)
	case ctx.Err() != nil:
		g.endAttempt(a, now, placement.Canceled)
		return false, g.cutOffOrGone(now, x, cause)
	case sent:
		g.endBrokenAttempt(ctx, a, now)
	case poolErr.Op == pool.OpAdmit:
		g.endAttempt(a, now, placement.Withheld)
	default:
		g.endAttempt(a, now, placement.Unreachable)
	}
	if !sent {
		return true, nil
	}
	if errors.Is(cause, errFirstByteTimeout) && x.mayRunAgain() { // giveUp has drawn on the retry budget
		x.allowedDeliveries = x.deliveries + 1
		g.countRetry(x, "no answer")
		return true, nil
	}
	return g.retryOrFail(now, x, err)
}

// mayRunAgain reports whether the route allows that another target runs the request, and the
// request has not ended too many.
func (x *exchange) mayRunAgain() bool {
	return x.route.Idempotent() && x.possibleRuns < x.maxAttempts && x.endedTargets < maxEndedTargets
}

// retryOrFail returns true if a request that a target may have run may be sent to
// another one, and the error for the caller otherwise.
func (g *Gateway) retryOrFail(now time.Time, x *exchange, err error) (bool, error) {
	if !x.mayRunAgain() || !g.allowRetry(now, x) {
		return false, refusal.Unknown(http.StatusBadGateway, "target_failed", "the target gave no answer").WithCause(err)
	}
	g.countRetry(x, "no answer")
	return true, nil
}

// endAttempt ends the attempt's ticket, if it has one, with the outcome and reports
// a target that may have restarted.
func (g *Gateway) endAttempt(a *attempt, now time.Time, o placement.Outcome) {
	if a.dest.ticket == nil {
		return
	}
	a.dest.ticket.End(now, o)
	a.x.recordColdBelief(a.dest.ticket)
	if g.OnSuspectedRestart != nil && (o == placement.Unreachable || o == placement.ConnectionBroken) {
		g.OnSuspectedRestart(a.dest.ticket.Target())
	}
}

// endBrokenAttempt ends an attempt whose connection broke, and records how far the response
// had come.
func (g *Gateway) endBrokenAttempt(ctx context.Context, a *attempt, now time.Time) {
	g.endAttempt(a, now, placement.ConnectionBroken)
	if a.dest.ticket == nil {
		return // the other instance records it
	}
	phase := a.phase(now)
	a.x.broken = append(a.x.broken, a.dest.name()+":"+phase)
	if g.Metrics.AttemptBroken != nil {
		g.Metrics.AttemptBroken(a.x.service, phase)
	}
	g.recordTargetEnd(ctx, a, now, phase)
}

// The phases of an attempt.
const (
	phaseWaiting   = "waiting"   // for the header of the response
	phaseBeginning = "beginning" // the header has been read, and nothing of the body before suspect.BeginningTime
	phaseAnswering = "answering"
)

// phase returns how far the response has come.
func (a *attempt) phase(now time.Time) string {
	switch {
	case !a.headerRead:
		return phaseWaiting
	case a.firstByteAt.IsZero() || now.Sub(a.firstByteAt) <= suspect.BeginningTime:
		return phaseBeginning
	}
	return phaseAnswering
}

// markFirstByte records that a byte of the response body has been read. It reports false
// if the time limit of the first byte has ended: the attempt is canceled.
func (g *Gateway) markFirstByte(a *attempt, now time.Time) bool {
	if !a.firstByte.Arrive() {
		return false
	}
	if a.firstByteAt.IsZero() {
		a.firstByteAt = now
	}
	if a.x.firstByteAt.IsZero() {
		a.x.firstByteAt = now
	}
	if a.dest.ticket != nil {
		a.dest.ticket.RecordFirstByte(now)
	}
	return true
}

func (g *Gateway) countRetry(x *exchange, reason string) {
	if g.Metrics.Retry != nil {
		g.Metrics.Retry(x.service, reason)
	}
}

// refuse returns a refusal that states correctly whether the request may have run.
func (g *Gateway) refuse(x *exchange, code, message string, retryAfter time.Duration) error {
	if x.possibleRuns == 0 {
		return refusal.NotRun(http.StatusServiceUnavailable, code, message).WithRetryAfter(retryAfter)
	}
	return refusal.Unknown(http.StatusBadGateway, code, message)
}

// noTarget returns the refusal of a request that no target can serve. The caller may
// return when the first target of this region or another one is expected to take it.
func (g *Gateway) noTarget(x *exchange) error {
	retryAfter := cmp.Or(x.deferral, x.remoteRetryAfter)
	if x.remoteRetryAfter > 0 {
		retryAfter = min(retryAfter, x.remoteRetryAfter)
	}
	delay := max(retryAfter, shortRetryAfter)
	if now := g.Now(); g.Shares != nil && g.Shares.Short(now) {
		delay = g.retryDelay(now, x, cmp.Or(retryAfter, x.remoteWait), retryAfter)
	}
	return g.refuse(x, codeNoTarget, "no target may take the request now", delay)
}

// deadlineExceeded returns the refusal of a request whose deadline has passed.
func (g *Gateway) deadlineExceeded(ctx context.Context, x *exchange) error {
	if x.possibleRuns == 0 {
		return refusal.NotRun(http.StatusServiceUnavailable, "late", "the time was over before a target was found").WithRetryAfter(shortRetryAfter)
	}
	return refusal.Unknown(http.StatusGatewayTimeout, "timeout", "the target did not answer in time").WithCause(context.Cause(ctx))
}
