package gateway

import (
	"fmt"
	"slices"
	"time"

	"chervilyard.example/yard/placement"
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
	near, ok := g.Picker.Wait(now, candidates, p.request, p.fleet)
	if remote := g.better(now, x, p.request, near, ok); remote != nil && remote.Wait < limit {
		return place{remote: remote}, nil
	}
	switch {
	case !ok:
		x.notes = fmt.Sprintf("%d targets here: %s", len(candidates), g.Picker.Explain(now, candidates, p.request, p.fleet))
		return place{}, g.unplaced(x)
	case near > limit:
		x.notes = fmt.Sprintf("%d targets here, the best in %v, allowed %v", len(candidates), near.Round(time.Millisecond), limit.Round(time.Millisecond))
		return place{}, g.refuse(x, "overloaded", "the targets would not answer in time", near/2)
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

// better returns an instance of another region that would answer earlier than
// the targets of this one, or nil.
func (g *Gateway) better(now time.Time, x *exchange, r placement.Request, near time.Duration, ok bool) *Remote {
	if x.hop {
		return nil
	}
	own := g.Picker.Own(r)
	for _, remote := range g.Remotes(now, x.service, x.permits) {
		remote.Wait += own
		if !slices.Contains(x.tried, remote.Member.Region) && (!ok || remote.Wait < near) {
			return &remote
		}
	}
	return nil
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
		return p.remote.Wait
	}
	return p.ticket.Expected()
}
