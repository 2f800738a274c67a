package gateway

import (
	"fmt"
	"slices"
	"time"

	"chervilyard.example/yard/placement"
	"chervilyard.example/yard/spill"
	"chervilyard.example/yard/target"
)

// maxWait is the part of the time that is left that a request may be
// expected to wait for its first byte; a longer wait is refused at once.
const maxWait = 0.7

// place is where an attempt goes: a target, or an instance of another region.
type place struct {
	near    []target.Target // candidates of this region, where remote is nil
	request placement.Request
	fleet   placement.Fleet
	remote  *Remote
	away    time.Duration     // until the first byte from there
	ticket  *placement.Ticket // for the target that was chosen among them
}

// place decides between the targets of the region and another region where the
// request would be answered earlier.
func (g *Gateway) place(now time.Time, x *exchange) (place, error) {
	var candidates []target.Target
	if x.permits(g.Region) {
		candidates = g.Targets(now, x.service)
	}
	limit := g.limit(now, x)
	p := place{near: candidates, request: g.request(x), fleet: g.Fleet(now)}
	remotes := g.Remotes(now, x.service, x.permits)
	home := g.home(x, &p.request, remotes)
	near, ok := g.Picker.Best(now, candidates, p.request, p.fleet)
	if !x.hop { // which is never forwarded again
		offers := g.offers(p.request, remotes, home)
		if i := spill.Choose(near, ok, offers, x.tried, limit); i >= 0 {
			return place{remote: &remotes[i], away: offers[i].Estimate.Wait}, nil
		}
	}
	switch {
	case !ok:
		x.notes = fmt.Sprintf("%d targets here: %s", len(candidates), g.Picker.Explain(now, candidates, p.request, p.fleet))
		return place{}, g.unplaced(x)
	case near.Wait > limit:
		x.notes = fmt.Sprintf("%d targets here, the best in %v, allowed %v", len(candidates), near.Wait.Round(time.Millisecond), limit.Round(time.Millisecond))
		return place{}, g.refuse(x, "overloaded", "the targets would not answer in time", near.Wait/2)
	}
	return p, nil
}

// limit returns the longest wait that a request may be expected to have. Where
// more come than can be served, a queue as long as the objective keeps the
// targets just as busy as a longer one, and those that are admitted are on time.
func (g *Gateway) limit(now time.Time, x *exchange) time.Duration {
	d := time.Duration(maxWait * float64(x.deadline.Sub(now)))
	if goal := x.route.Goal(); goal > 0 {
		d = min(d, goal)
	}
	return d
}

// home puts the home of the prompt's shared parts into the request and returns
// its region. Regions without a live instance have no homes.
func (g *Gateway) home(x *exchange, r *placement.Request, remotes []Remote) (region string) {
	if g.Home == nil || len(r.Parts) == 0 {
		return ""
	}
	r.Home, region = g.Home(x.service, r.Parts, func(region string) bool {
		return region == g.Region && x.permits(region) ||
			slices.ContainsFunc(remotes, func(one Remote) bool { return one.Member.Region == region })
	})
	return region
}

// offers returns what the request may expect in other regions. What is read
// again costs targets time, so a prompt may go a longer way to where its shared
// parts are held.
func (g *Gateway) offers(r placement.Request, remotes []Remote, home string) []spill.Offer {
	list := make([]spill.Offer, len(remotes))
	for i, one := range remotes {
		region := one.Member.Region
		list[i] = spill.Offer{Region: region, Estimate: g.Picker.Abroad(r, one.Wait, region == home)}
	}
	return list
}

func (g *Gateway) request(x *exchange) placement.Request {
	return placement.Request{
		Service: x.catalog.Service(x.service), Prompt: x.ask.Prompt, Output: x.ask.Output,
		Parts: x.ask.Parts, Gap: x.route.Gap(), Tried: x.tried,
	}
}

func (p place) name() string {
	if p.remote != nil {
		return p.remote.Member.Name
	}
	return p.ticket.Target().Name()
}

// wait returns how long the first byte is expected to take.
func (p place) wait() time.Duration {
	if p.remote != nil {
		return p.away
	}
	return p.ticket.Expected()
}
