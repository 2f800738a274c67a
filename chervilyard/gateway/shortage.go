package gateway

import (
	"fmt"
	"time"

	"chervilyard.example/yard/backlog"
	"chervilyard.example/yard/refusal"
)

// Codes of refusals that can be due to a lack of capacity.
const (
	codeOverloaded = "overloaded"
	codeNoTarget   = "targets_none"
)

// sharesCapacity reports whether customers share the capacity of the request's service: its
// targets are model engines.
func (g *Gateway) sharesCapacity(x *exchange) bool {
	return g.Shares != nil && x.catalog != nil && x.catalog.Service(x.service).Slots() > 0
}

// fairWait returns the wait limit of a request by its customer's share of the capacity. A
// request that a target may have run keeps its limit, since what it used counts already, and so
// does one that this region may not serve, since what others lack is not known here.
func (g *Gateway) fairWait(now time.Time, x *exchange, limit time.Duration) time.Duration {
	if g.Shares == nil || !g.Shares.Short(now) || x.possibleRuns > 0 || !g.sharesCapacity(x) || !x.permits(g.Region) {
		return limit
	}
	x.waitFraction = g.Shares.WaitFraction(now, x.service, x.customer.Name())
	return time.Duration(x.waitFraction * float64(x.returningWait(limit)))
}

// minReturningFraction is the part of the wait limit that a caller keeps whose objective has
// passed. Half of the limit is still a queue, so engines stay busy with such requests alone.
const minReturningFraction = 0.5

// returningWait returns the wait limit in a shortage of a request whose caller was refused before:
// what remains of its objective, since most of its value is lost after that. With the full limit,
// requests that can only be late take the place of ones that would be in time.
func (x *exchange) returningWait(limit time.Duration) time.Duration {
	if x.waited <= 0 || x.latencyObjective() <= 0 {
		return limit
	}
	return max(min(limit, x.latencyObjective()-x.waited), time.Duration(minReturningFraction*float64(limit)))
}

// statedTimeLeft returns the time that the caller says it has left, at most the timeout of its
// route, or 0 if it does not say.
func (x *exchange) statedTimeLeft() time.Duration {
	if timeout := x.route.Timeout(); timeout > 0 {
		return min(x.req.Deadline, timeout)
	}
	return x.req.Deadline
}

// retryDelay returns the retry delay of a request that no target can serve in time. For one
// to engines it follows from the backlog, the shortest expected wait and the time left, and is
// noted for the log; else it is otherwise, but at least shortRetryAfter.
func (g *Gateway) retryDelay(now time.Time, x *exchange, shortestWait, otherwise time.Duration) time.Duration {
	if !g.sharesCapacity(x) {
		return max(otherwise, shortRetryAfter)
	}
	counts, share := g.Shares.Share(now, x.service, x.customer.Name())
	refused, admittedPerSecond := g.Shares.Total(now, x.service)
	estimate := backlog.New(refused, admittedPerSecond, shortestWait)
	delay := estimate.Delay(x.deadline.Sub(now), g.Random())
	x.shortage = fmt.Sprintf("share=%.0f asked=%d admitted=%d wait_fraction=%.2f backlog=%d admitted_a_second=%.0f drain=%v delay=%v",
		share, counts.Asked(), counts.Admitted, x.waitFraction, refused, admittedPerSecond, estimate.Drain().Round(time.Millisecond), delay)
	return delay
}

// requestTokens returns the prompt and output tokens of the request.
func (x *exchange) requestTokens() int {
	if !x.req.HasTokenCounts {
		return int(x.catalog.DefaultTokens(x.customer.Name()))
	}
	return x.req.PromptTokens + x.req.MaxOutputTokens
}

// recordAdmitted counts the tokens of a request as it is first sent to a target.
func (g *Gateway) recordAdmitted(now time.Time, x *exchange) {
	if x.admittedTokens > 0 || !g.sharesCapacity(x) {
		return
	}
	x.admittedTokens = x.requestTokens()
	g.Shares.Admit(now, x.service, x.customer.Name(), x.admittedTokens)
}

// recordRefused counts the tokens of a request that was refused for lack of capacity: it did
// not run although the region has targets. Tokens that no target processed do not count as
// admitted.
func (g *Gateway) recordRefused(now time.Time, x *exchange, r *refusal.Refusal) {
	if r.Run != refusal.RunNo || !g.sharesCapacity(x) {
		return
	}
	if x.admittedTokens > 0 {
		g.Shares.Admit(now, x.service, x.customer.Name(), -x.admittedTokens)
	}
	if r.Code != codeOverloaded && r.Code != codeNoTarget || len(g.Targets(now, x.service)) == 0 {
		return
	}
	if x.arrivalRecorded {
		g.Picker.RecordRefusal(x.service, x.catalog.IsLesser(x.service, x.route.Priority()))
	}
	g.Shares.Refuse(now, x.service, x.customer.Name(), x.requestTokens())
	if g.Metrics.CapacityRefused != nil {
		g.Metrics.CapacityRefused(x.service, x.waitFraction > 0 && x.waitFraction < 1, r.RetryAfter)
	}
}
