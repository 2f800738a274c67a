package gateway

import (
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
	if x.permits(g.Region) {
		candidates = g.Targets(now, x.service)
	}
	waitLimit := g.waitLimit(now, x)
	dest := destination{local: candidates, request: g.request(x), coldShare: g.ColdShare(now)}
	remotes := slices.DeleteFunc(g.Remotes(now, x.service, x.permits), func(r RemoteInstance) bool {
		return slices.Contains(x.tried, r.Member.Name)
	})
	preferredRegion := g.setPreferredTarget(x, &dest.request, remotes)
	local, ok := g.Picker.EstimateBest(now, candidates, dest.request, dest.coldShare)
	if !x.forwarded { // a forwarded request is never forwarded again
		remoteEstimates := g.remoteEstimates(dest.request, remotes, preferredRegion)
		if i := spill.ChooseRegion(local, ok, remoteEstimates, x.tried, waitLimit); i >= 0 {
			return destination{remote: &remotes[i], remoteWait: remoteEstimates[i].Estimate.Wait}, nil
		}
	}
	x.awaitsProof = (!ok || local.Wait > waitLimit) && g.Picker.AwaitsProof(now, candidates, dest.request, dest.coldShare)
	switch {
	case !ok:
		x.detail = fmt.Sprintf("%d targets here: %s", len(candidates), g.Picker.Explain(now, candidates, dest.request, dest.coldShare))
		x.deferral, _ = g.Picker.DeferralLeft(now, candidates)
		return destination{}, g.noTarget(x)
	case local.Wait > waitLimit:
		x.detail = fmt.Sprintf("%d targets here, the best in %v, allowed %v", len(candidates), local.Wait.Round(time.Millisecond), waitLimit.Round(time.Millisecond))
		return destination{}, g.refuse(x, "overloaded", "the targets would not answer in time", max(local.Wait/2, x.remoteRetryAfter))
	}
	return dest, nil
}

// waitLimit returns the longest acceptable expected wait for the first byte. Under
// overload, a queue as long as the route's latency objective keeps the targets as
// busy as a longer one would, and the admitted requests still meet the objective.
func (g *Gateway) waitLimit(now time.Time, x *exchange) time.Duration {
	d := time.Duration(maxWaitFraction * float64(x.deadline.Sub(now)))
	if objective := x.route.LatencyObjective(); objective > 0 {
		d = min(d, objective)
	}
	return d
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
		estimates[i] = spill.RemoteEstimate{Region: region, Estimate: g.Picker.EstimateRemote(r, remote.Wait, region == preferredRegion)}
	}
	return estimates
}

func (g *Gateway) request(x *exchange) placement.Request {
	return placement.Request{
		Service: x.catalog.Service(x.service), PromptTokens: x.req.PromptTokens, MaxOutputTokens: x.req.MaxOutputTokens,
		Parts: x.req.Parts, MaxEventGap: x.route.MaxEventGap(), Exclude: x.tried,
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
