package gateway

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"chervilyard.example/yard/placement"
	"chervilyard.example/yard/spill"
	"chervilyard.example/yard/target"
)

// maxWaitFraction is the largest part of the remaining time that a request may be
// expected to wait for its first byte. If the wait is longer, the request is
// refused immediately.
const maxWaitFraction = 0.7

// suitedTimeLeft is how many times the wait limit a request has left at least that goes first
// as a trial: its caller gets an answer even if it is late.
const suitedTimeLeft = 2

// destination is where an attempt is sent: a target of this region, or an
// instance of another one.
type destination struct {
	local      []target.Target // candidates of this region, if remote is nil
	request    placement.Request
	coldShare  placement.ColdShare
	remote     *RemoteInstance
	remoteWait time.Duration     // expected time until the first byte from remote
	ticket     *placement.Ticket // for the target chosen among local
}

// chooseDestination returns the targets of this region as candidates, or an
// instance of another region if the request is expected to cost less there or if
// no target of this region can be used. If neither can serve the request in time,
// the error is the refusal for the caller.
func (g *Gateway) chooseDestination(now time.Time, x *exchange) (destination, error) {
	var candidates []target.Target
	x.cutOff = g.IsCutOff != nil && g.IsCutOff(now, x.service)
	if x.permits(g.Region) && !x.cutOff {
		candidates = g.Targets(now, x.service)
	}
	waitLimit := g.waitLimit(now, x)
	dest := destination{local: candidates, request: g.request(x), coldShare: g.ColdShare(now)}
	dest.request.WaitLimit = waitLimit
	if len(candidates) > 0 && !x.arrivalRecorded {
		x.arrivalRecorded = true
		g.Picker.RecordArrival(now, dest.request)
	}
	remotes := slices.DeleteFunc(g.Remotes(now, x.service, dest.request.Lesser, x.permits), func(r RemoteInstance) bool {
		return slices.Contains(x.tried, r.Member.Name)
	})
	remotes = g.usableHops(now, remotes, len(candidates) > 0)
	preferredRegion := g.setPreferredTarget(x, &dest.request, remotes)
	x.preferredRegion = preferredRegion
	remotes = slices.DeleteFunc(remotes, func(r RemoteInstance) bool { return r.Full && r.Member.Region != preferredRegion })
	local, ok := g.Picker.EstimateBest(now, candidates, dest.request, dest.coldShare)
	spillTo := -1
	var remoteEstimates []spill.RemoteEstimate
	if !x.forwarded { // a forwarded request is never forwarded again
		remoteEstimates = g.remoteEstimates(dest.request, remotes, preferredRegion)
		spillTo = spill.ChooseRegion(local, ok && local.Wait <= waitLimit, remoteEstimates, x.tried, waitLimit)
	}
	slower := spillTo >= 0 && local.Wait > remoteEstimates[spillTo].Estimate.Wait // and not chosen for its cache
	if ok && (slower || local.Wait > waitLimit) || !ok && spillTo < 0 {
		if trial, ok := g.chooseTrial(now, x, dest, remotes, spillTo >= 0, waitLimit); ok {
			return trial, nil
		}
	}
	if spillTo >= 0 {
		return destination{remote: &remotes[spillTo], remoteWait: remoteEstimates[spillTo].Estimate.Wait}, nil
	}
	x.awaitsProof = (!ok || local.Wait > waitLimit) && g.Picker.AwaitsProof(now, candidates, dest.request, dest.coldShare)
	switch {
	case !ok:
		x.detail = fmt.Sprintf("%d targets here: %s", len(candidates), g.Picker.Explain(now, candidates, dest.request, dest.coldShare))
		x.deferral, x.remoteWait = 0, shortestWait(remoteEstimates)
		if d, deferred := g.Picker.DeferralLeft(now, candidates); deferred {
			x.deferral = d
		}
		return destination{}, g.noTarget(x)
	case local.Wait > waitLimit:
		x.detail = fmt.Sprintf("%d targets here, the best in %v, allowed %v: %s", len(candidates), local.Wait.Round(time.Millisecond), waitLimit.Round(time.Millisecond),
			g.Picker.DescribeLoad(now, candidates, dest.request))
		return destination{}, g.refuse(x, codeOverloaded, "the targets would not answer in time", g.retryDelay(now, x, local.Wait, max(local.Wait/2, x.remoteRetryAfter)))
	}
	dest.request.PreferredTarget, dest.request.OverflowTarget = "", ""
	if first, second, ok := placement.PreferredTargets(candidates, dest.request.Parts); ok {
		dest.request.PreferredTarget, dest.request.OverflowTarget = first.Name(), second.Name()
	}
	return dest, nil
}

// chooseTrial chooses a destination for a request that all regions are expected to serve too
// slowly, or that another one would serve because this one is. What is expected is learned from
// answers, so without such requests a wrong expectation would last. It returns false if the
// request is not to be a trial. Only the first attempt of a request may be one.
func (g *Gateway) chooseTrial(now time.Time, x *exchange, dest destination, remotes []RemoteInstance, forwarding bool, waitLimit time.Duration) (destination, bool) {
	if len(x.tried) > 0 {
		return destination{}, false
	}
	terms := placement.TrialTerms{Limit: waitLimit, Suited: x.route.Idempotent() && x.deadline.Sub(now) > suitedTimeLeft*waitLimit, Forwarding: forwarding}
	dest.ticket = g.Picker.ChooseTrial(now, dest.local, dest.request, dest.coldShare, terms)
	if dest.ticket == nil {
		if forwarding || len(remotes) == 0 || remotes[0].Wait >= waitLimit || !g.Picker.StartRemoteTrial(now, dest.request, dest.coldShare, terms) {
			return destination{}, false
		}
		dest = destination{remote: &remotes[0], remoteWait: waitLimit}
	}
	x.latencyTrial = true
	if g.Metrics.LatencyTrial != nil {
		g.Metrics.LatencyTrial(x.service)
	}
	return dest, true
}

// waitLimit returns the longest acceptable expected wait for the first byte. Under
// overload, a queue as long as the route's latency objective keeps the targets as
// busy as a longer one would, and the admitted requests still meet the objective. In a
// shortage, customers above their share wait less.
func (g *Gateway) waitLimit(now time.Time, x *exchange) time.Duration {
	d := time.Duration(maxWaitFraction * float64(x.deadline.Sub(now)))
	if objective := x.latencyObjective(); objective > 0 {
		d = min(d, objective)
	}
	return g.fairWait(now, x, d)
}

// setPreferredTarget sets the preferred target for the prompt's shared parts in r
// and returns its region. Only regions that may serve the request and have a live
// instance are considered.
func (g *Gateway) setPreferredTarget(x *exchange, r *placement.Request, remotes []RemoteInstance) (region string) {
	if g.PreferredTarget == nil || len(r.Parts) == 0 {
		return ""
	}
	r.PreferredTarget, region = g.PreferredTarget(x.service, r.Parts, func(region string) bool {
		return region == g.Region && x.permits(region) ||
			slices.ContainsFunc(remotes, func(remote RemoteInstance) bool { return remote.Member.Region == region })
	})
	return region
}

// remoteEstimates returns the expected wait and cost of the request at each of
// remotes. Prompt parts that are not cached must be processed again, so the region
// that caches the shared parts may cost less despite a longer network path.
func (g *Gateway) remoteEstimates(r placement.Request, remotes []RemoteInstance, preferredRegion string) []spill.RemoteEstimate {
	estimates := make([]spill.RemoteEstimate, len(remotes))
	for i, remote := range remotes {
		region := remote.Member.Region
		estimates[i] = spill.RemoteEstimate{Region: region, Estimate: g.Picker.EstimateRemote(r, remote.Wait, remote.Latency, region == preferredRegion)}
	}
	return estimates
}

// shortestWait returns the shortest expected wait of the estimates, 0 if there are none.
func shortestWait(estimates []spill.RemoteEstimate) time.Duration {
	if len(estimates) == 0 {
		return 0
	}
	return slices.MinFunc(estimates, func(a, b spill.RemoteEstimate) int { return cmp.Compare(a.Estimate.Wait, b.Estimate.Wait) }).Estimate.Wait
}

func (g *Gateway) request(x *exchange) placement.Request {
	return placement.Request{
		Service: x.catalog.Service(x.service), PromptTokens: x.req.PromptTokens, MaxOutputTokens: x.req.MaxOutputTokens,
		Parts: x.req.Parts, MaxEventGap: x.route.MaxEventGap(), Exclude: x.tried,
		Lesser:     x.catalog.IsLesser(x.service, x.route.Priority()),
		Repeatable: x.route.Idempotent() && x.possibleRuns+1 < x.maxAttempts,
	}
}

func (d destination) name() string {
	if d.remote != nil {
		return d.remote.Member.Name
	}
	return d.ticket.Target().Name()
}

// expectedWait returns how long the first byte is expected to take.
func (d destination) expectedWait() time.Duration {
	if d.remote != nil {
		return d.remoteWait
	}
	return d.ticket.ExpectedWait()
}
