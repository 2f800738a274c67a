package gateway

import (
	"errors"
	"fmt"
	"net/http"
	"slices"
	"time"

	"chervilyard.example/chervilyard/placereport"
	"chervilyard.example/yard/placement"
	"chervilyard.example/yard/refusal"
	"chervilyard.example/yard/target"
)

// Explain returns where the request of the query would go now, and why. It sends nothing, and
// changes nothing that a request would: the choice is made by a copy of what it depends on. The
// error says why no route or customer was found.
func (g *Gateway) Explain(q placereport.Query) (placereport.Report, error) {
	r, err := q.Request()
	if err != nil {
		return placereport.Report{}, err
	}
	now := g.Now()
	x := &exchange{w: placereport.NoResponse{}, arrived: now, method: r.Method, host: r.Host, requestTarget: r.RequestURI, allowedDeliveries: 1}
	var key string
	x.req, key = g.Protocol.ParseRequest(r)
	x.req.replace(q)
	if err := g.matchQuery(x, q, key); err != nil {
		return placereport.Report{}, err
	}
	report := placereport.Report{
		Instance: g.Name, Region: g.Region, Route: x.route.Name(), Customer: x.customer.Name(), Version: x.catalog.Version(),
		ConfigurationAge: -1, TargetsAge: -1, LatencyAge: -1,
	}
	if g.StateAges != nil {
		configuration, targets := g.StateAges(now)
		report.ConfigurationAge, report.TargetsAge = placereport.Age(configuration), placereport.Age(targets)
	}
	e := &explanation{real: g, now: now, report: &report}
	e.copy = e.newCopy()
	if err := e.copy.prepare(x, r); err != nil {
		e.refuse(x, err)
		return report, nil
	}
	report.Service = x.service
	if n := len(x.route.Services()); n > 1 {
		e.note("the route divides its requests among %d services by weight; this is one of them at random", n)
	}
	report.LatencyAge = placereport.Age(g.Picker.LearnedAge(now, x.service))
	e.describeQuota(x)
	e.decide(x)
	return report, nil
}

// replace replaces the parameters that the query states.
func (r *Request) replace(q placereport.Query) {
	if q.PromptTokens != nil {
		r.PromptTokens, r.HasTokenCounts = *q.PromptTokens, true
	}
	if q.OutputTokens != nil {
		r.MaxOutputTokens, r.HasTokenCounts = *q.OutputTokens, true
	}
	if q.Parts != nil {
		r.Parts = make([]placement.Part, 0, len(q.Parts))
		for _, part := range q.Parts {
			r.Parts = append(r.Parts, placement.Part(part))
		}
	}
}

// matchQuery sets the route and the customer, which the query may name in place of a key.
func (g *Gateway) matchQuery(x *exchange, q placereport.Query, key string) error {
	if q.Customer == "" {
		return g.match(x, key)
	}
	if err := g.matchRoute(x); err != nil || !x.requiresKey() {
		return err
	}
	var ok bool
	if x.customer, ok = x.catalog.Customer(q.Customer); !ok {
		return refusal.NotRun(http.StatusNotFound, "customer_unknown", fmt.Sprintf("no customer is named %q", q.Customer))
	}
	return nil
}

// explanation is the state of one call of Explain.
type explanation struct {
	real   *Gateway
	copy   *Gateway // decides by copies of what a decision changes, and by the same remote instances and targets
	now    time.Time
	report *placereport.Report

	share      placement.ColdShare
	candidates []target.Target
	remotes    []RemoteInstance
	preferred  string // target
	region     string // of the preferred target
}

// newCopy returns a gateway that can choose a destination and refuse a request. It has no
// metrics and no log. What it reads of the real one is not changed by reading. The fields that
// it has must be those that these steps use.
func (e *explanation) newCopy() *Gateway {
	g := e.real
	c := &Gateway{
		Now: func() time.Time { return e.now }, Region: g.Region, Name: g.Name, Random: g.Random, Cutoff: g.Cutoff,
		IsCutOff: g.IsCutOff, Shares: g.Shares, Silence: g.Silence, Suspects: g.Suspects, TrialRank: g.TrialRank,
		Targets:   func(time.Time, string) []target.Target { return e.candidates },
		ColdShare: func(time.Time) placement.ColdShare { return e.share },
		Remotes: func(now time.Time, service string, lesser bool, permits func(string) bool) []RemoteInstance {
			e.remotes = g.Remotes(now, service, lesser, permits)
			return slices.Clone(e.remotes)
		},
	}
	if g.PreferredTarget != nil {
		c.PreferredTarget = func(service string, parts []placement.Part, reachable func(string) bool) (string, string) {
			e.preferred, e.region = g.PreferredTarget(service, parts, reachable)
			return e.preferred, e.region
		}
	}
	return c
}

// describeQuota compares the request with what the instance holds of the customer's quota.
func (e *explanation) describeQuota(x *exchange) {
	if x.customer.Name() == "" {
		return
	}
	level, rate, capacity := e.real.Limiter.State(e.now, x.customer.Name())
	needed := x.quotaTokens()
	e.report.Quota = &placereport.Quota{Needed: needed, Level: level, Capacity: capacity, PerSecond: rate}
	if needed > level {
		e.note("this instance holds too few tokens of the customer; it would ask others, and refuse the request with 429 quota if they have none")
	}
}

func (e *explanation) note(format string, args ...any) {
	e.report.Notes = append(e.report.Notes, fmt.Sprintf(format, args...))
}

func (e *explanation) refuse(x *exchange, err error) {
	var r *refusal.Refusal
	if !errors.As(err, &r) {
		r = refusal.Unknown(http.StatusBadGateway, "internal", err.Error())
	}
	e.report.Refusal = placereport.NewRefusal(r, x.detail)
}

// decide follows dispatch until the request would be sent.
func (e *explanation) decide(x *exchange) {
	g, now := e.copy, e.now
	e.share = e.real.ColdShare(now)
	if x.permits(g.Region) {
		e.candidates = e.real.Targets(now, x.service)
	}
	request := g.request(x)
	before := e.real.Picker.Snapshot(e.candidates, request)
	g.Picker = before.Snapshot(e.candidates, request)

	x.parts = x.sharedParts()
	verdict := g.Suspects.Peek(now, g.suspectParts(x))
	dest, err := g.chooseDestination(now, x)
	if err == nil && dest.remote == nil && dest.ticket == nil {
		if dest.ticket = g.Picker.Choose(now, dest.local, dest.request, dest.coldShare); dest.ticket == nil {
			err = g.noTarget(x)
		}
	}
	if verdict.Blocked() && !g.mayTry(now, x, verdict) {
		err = g.refusePart(now, x, verdict)
	} else if verdict.Blocked() {
		e.note("targets ended under part %s; the request would be sent as a trial if no other instance sends one", verdict.Part)
	}
	request = dest.request
	if err != nil || dest.remote != nil {
		request = g.request(x)
		request.PreferredTarget = e.preferred
	}
	request.WaitLimit = g.waitLimit(now, x)
	e.report.WaitLimit = placereport.Milliseconds(request.WaitLimit)
	e.describeCandidates(x, before, request)
	e.describeRemotes(request)
	e.describeDestination(x, dest, err)
}

func (e *explanation) describeCandidates(x *exchange, before *placement.Picker, r placement.Request) {
	e.report.Candidates = placereport.NewCandidates(before.Candidates(e.now, e.candidates, r, e.share))
	if x.cutOff {
		e.note("this instance reaches no target of the service, so none of the candidates is used")
	}
	if e.real.RateLimit == nil {
		return
	}
	for i := range e.report.Candidates {
		c := &e.report.Candidates[i]
		j := slices.IndexFunc(e.candidates, func(t target.Target) bool { return t.Name() == c.Target })
		if perSecond, age, ok := e.real.RateLimit(e.now, e.candidates[j]); ok {
			c.LimitPerSecond, c.LimitAge = perSecond, placereport.Age(age)
		}
	}
}

func (e *explanation) describeRemotes(r placement.Request) {
	usable := e.copy.usableHops(e.now, slices.Clone(e.remotes), len(e.candidates) > 0)
	estimates := e.copy.remoteEstimates(r, e.remotes, e.region)
	e.report.Remotes = make([]placereport.Remote, 0, len(e.remotes))
	for i, remote := range e.remotes {
		described := placereport.Remote{
			Instance: remote.Member.Name, Region: remote.Member.Region, HeardAge: -1, ReportAge: -1,
			Wait: placereport.Milliseconds(estimates[i].Estimate.Wait), Cost: placereport.Milliseconds(estimates[i].Estimate.Cost),
		}
		if heard := remote.Member.Heard; !heard.IsZero() {
			described.HeardAge = placereport.Age(e.now.Sub(heard))
		}
		if e.real.WaitReportAge != nil {
			if age, ok := e.real.WaitReportAge(e.now, remote.Member); ok {
				described.ReportAge = placereport.Age(age)
			}
		}
		switch {
		case !slices.ContainsFunc(usable, func(u RemoteInstance) bool { return u.Member.Name == remote.Member.Name }):
			described.Barred = "silent"
		case remote.Full && remote.Member.Region != e.region:
			described.Barred = "full of less urgent requests"
		case estimates[i].Estimate.Wait >= r.WaitLimit:
			described.Barred = "too slow"
		}
		e.report.Remotes = append(e.report.Remotes, described)
	}
}

// describeDestination reports the destination, or the refusal err.
func (e *explanation) describeDestination(x *exchange, dest destination, err error) {
	if x.awaitsProof {
		e.note("a target could take the request once it is proved to be warm; the request would wait for that for up to %v", maxProofWait)
	}
	if err != nil {
		e.refuse(x, err)
		return
	}
	e.report.Wait = placereport.Milliseconds(dest.expectedWait())
	if x.latencyTrial {
		e.note("the request would be a trial: it shows whether the destination still takes too long")
	}
	if dest.remote != nil {
		e.report.Forward, e.report.ForwardRegion = dest.remote.Member.Name, dest.remote.Member.Region
		return
	}
	e.report.Target = dest.ticket.Target().Name()
	if dest.ticket.NeedsPermit() {
		e.note("%s has a rate limit; the request would be sent with a permit, or to another target", e.report.Target)
	}
	if x.latencyTrial || e.report.Candidates[0].Target == e.report.Target {
		return
	}
	if slices.ContainsFunc(e.report.Candidates, func(c placereport.Candidate) bool { return c.Target == e.report.Target && c.Ejected }) {
		e.note("the request would be a trial of %s, which is ejected", e.report.Target)
	} else {
		e.note("each choice compares a random sample of the candidates")
	}
}
