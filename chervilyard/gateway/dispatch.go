package gateway

import (
	"context"
	"errors"
	"net/http"
	"time"

	"chervilyard.example/chervilyard/pool"
	"chervilyard.example/yard/placement"
	"chervilyard.example/yard/refusal"
)

const (
	// grace is how long past the deadline a target's own answer to its end of
	// time is awaited.
	grace = 120 * time.Millisecond
	// maxUnsent is how often a request is chosen a place for that it could not
	// be sent to.
	maxUnsent = 4
	// patienceGoal and patienceWait say how long a repeatable request waits for
	// the first byte before it is tried elsewhere: parts of the objective, and
	// times the expected wait.
	patienceGoal = 0.75
	patienceWait = 4
)

const codeGone = "caller_gone"

// errPatience ends an attempt that took too long to begin its answer.
var errPatience = errors.New("no first byte within the expected time")

// dispatch brings the request to an answer, or returns why there is none.
func (g *Gateway) dispatch(ctx context.Context, x *exchange) error {
	for unsent := 0; unsent < maxUnsent; unsent++ {
		now := g.Now()
		if left := x.deadline.Sub(now); left <= 0 {
			return g.overdue(ctx, x)
		}
		place, err := g.place(now, x)
		if err != nil {
			return err
		}
		if place.remote == nil {
			if place.ticket = g.Picker.Choose(now, place.near, place.request, place.fleet); place.ticket == nil {
				return g.unplaced(x)
			}
		}
		again, err := g.attempt(ctx, x, place)
		if !again {
			return err
		}
	}
	return g.unplaced(x)
}

// attempt sends the request to one place. It returns true where another may be
// tried.
func (g *Gateway) attempt(ctx context.Context, x *exchange, p place) (bool, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	now := g.Now()
	if len(x.tried) == 0 {
		g.Budget.First(now, g.Retries(), x.service)
	}
	var patience *time.Timer
	if d := g.patience(x, p); d > 0 {
		patience = time.AfterFunc(d, func() { cancel(errPatience) })
		defer patience.Stop()
	}
	a := &try{x: x, place: p, patience: patience}
	x.tried = append(x.tried, p.name())
	if p.remote != nil {
		// The same targets would get it again there.
		x.tried = append(x.tried, p.remote.Member.Region)
	}
	x.chosen, x.expected = p.name(), p.wait()
	x.sends++
	x.offers++
	resp, err := g.send(ctx, a)
	if err != nil {
		return g.failed(ctx, a, err)
	}
	return g.answer(ctx, a, resp)
}

// try is one attempt at one place.
type try struct {
	x        *exchange
	place    place
	patience *time.Timer
}

// mayRepeat draws on the fleet's budget for repeats. Where nothing reached a
// target so far, the next send is not a repeat.
func (g *Gateway) mayRepeat(now time.Time, x *exchange) bool {
	if x.offers == 0 {
		return true
	}
	return g.Budget.Repeat(now, g.Retries(), x.service, g.Instances(now))
}

// patience returns how long the place may take to begin its answer, 0 for no bound.
func (g *Gateway) patience(x *exchange, p place) time.Duration {
	if !x.route.Idempotent() || x.route.Goal() <= 0 || x.sends+1 >= x.attempts {
		return 0
	}
	return max(time.Duration(patienceGoal*float64(x.route.Goal())), patienceWait*p.wait())
}

// send sends the request to the place and returns the head of the answer.
func (g *Gateway) send(ctx context.Context, a *try) (*pool.Response, error) {
	x := a.x
	left := x.deadline.Sub(g.Now())
	header := x.ask.Header.Clone()
	if a.place.remote != nil {
		x.hopHeader(header, left)
		return g.Pool.Do(ctx, a.place.remote.Member.Forward, &pool.Request{
			Method: x.method, Target: x.target, Host: x.host, Header: header, Body: x.body,
		})
	}
	t := a.place.ticket.Target()
	g.Wire.Dress(header, Order{Target: t.Name(), Left: left, Customer: x.customer.Name(), After: x.ask.After})
	return g.Pool.Do(ctx, t.Address(), &pool.Request{
		Method: x.method, Target: x.target, Host: x.host, Header: header, Body: x.body,
		Fresh: !x.route.Idempotent() && !x.route.Stream(),
		Began: func() { a.place.ticket.Sent(g.Now()) },
		Owns:  func(h http.Header) bool { owner := g.Wire.Owner(h); return owner == "" || owner == x.ask.ID },
	})
}

// failed draws the conclusions from an attempt without an answer.
func (g *Gateway) failed(ctx context.Context, a *try, err error) (bool, error) {
	x := a.x
	now := g.Now()
	var f *pool.Failure
	sent := !errors.As(err, &f) || f.Sent
	cause := context.Cause(ctx)
	x.notes = err.Error()
	switch {
	case errors.Is(cause, errPatience):
		g.end(a, now, placement.Silent)
	case ctx.Err() != nil && !now.Before(x.deadline):
		g.end(a, now, placement.Silent)
		return false, g.overdue(ctx, x)
	case ctx.Err() != nil:
		g.end(a, now, placement.Abandoned)
		return false, gone(cause)
	case sent:
		g.end(a, now, placement.Broken)
	default:
		g.end(a, now, placement.Unreachable)
	}
	if !sent {
		x.sends--
		x.offers--
		return true, nil
	}
	return g.again(now, x, err)
}

// again returns true where a request that a target may have run may be sent to
// another.
func (g *Gateway) again(now time.Time, x *exchange, err error) (bool, error) {
	if !x.route.Idempotent() || x.sends >= x.attempts || !g.mayRepeat(now, x) {
		return false, refusal.Unknown(http.StatusBadGateway, "target_failed", "the target gave no answer").Because(err)
	}
	g.repeated(x, "no answer")
	return true, nil
}

// end counts the attempt out at its target.
func (g *Gateway) end(a *try, now time.Time, o placement.Outcome) {
	if a.place.ticket == nil {
		return
	}
	a.place.ticket.End(now, o)
	if g.Suspect != nil && (o == placement.Unreachable || o == placement.Broken) {
		g.Suspect(a.place.ticket.Target())
	}
}

func (a *try) first(now time.Time) {
	if a.patience != nil {
		a.patience.Stop()
	}
	if a.x.first.IsZero() {
		a.x.first = now
	}
	if a.place.ticket != nil {
		a.place.ticket.First(now)
	}
}

func (g *Gateway) repeated(x *exchange, reason string) {
	if g.Counter.Repeat != nil {
		g.Counter.Repeat(x.service, reason)
	}
}

// refuse returns a refusal that is true to what was sent so far.
func (g *Gateway) refuse(x *exchange, code, message string, after time.Duration) error {
	if x.sends == 0 {
		return refusal.NotRun(http.StatusServiceUnavailable, code, message).After(max(after, x.later, soon))
	}
	return refusal.Unknown(http.StatusBadGateway, code, message)
}

// unplaced refuses a request for which no target may be used.
func (g *Gateway) unplaced(x *exchange) error {
	return g.refuse(x, "targets_none", "no target may take the request now", soon)
}

// overdue ends a request whose time is over.
func (g *Gateway) overdue(ctx context.Context, x *exchange) error {
	if x.sends == 0 {
		return refusal.NotRun(http.StatusServiceUnavailable, "late", "the time was over before a target was found").After(soon)
	}
	return refusal.Unknown(http.StatusGatewayTimeout, "timeout", "the target did not answer in time").Because(context.Cause(ctx))
}

func gone(cause error) error {
	return &refusal.Refusal{Status: 499, Code: codeGone, Message: "the caller left", Run: refusal.RunUnknown, Cause: cause}
}
