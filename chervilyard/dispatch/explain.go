package dispatch

import (
	"slices"
	"time"

	"chervilyard.example/chervilyard/call"
	"chervilyard.example/chervilyard/placereport"
	"chervilyard.example/yard/balancer"
	"chervilyard.example/yard/refusal"
	"chervilyard.example/yard/target"
)

// Explain adds to the report where Run would first send the call, and why. It sends nothing, and
// does not count as a call. The function heardAge returns the age of the last heartbeat of the
// instance with an address, with the free slots of its centre, or -1.
func (s *Stage) Explain(c *call.Call, report *placereport.Report, heardAge func(address string) time.Duration) {
	now := s.Now()
	parts := s.suspectParts(c)
	verdict := s.Suspects.Peek(now, parts)
	dest, ok := s.chooseDestination(c, nil)
	req := balancer.Request{PrefixHashes: balancer.PrefixHashes(c.Customer.Name(), c.Prompt), BlockTokens: blockTokens}
	s.describeCandidates(now, c, req, report)
	for _, remote := range s.Remotes(now, c.Route) {
		if dest.remote != nil && dest.remote.Centre == remote.Centre {
			remote = *dest.remote // of several instances, another one may be named each time
		}
		s.describeRemote(c, remote, report, heardAge)
	}
	mayTry := ok && verdict.Blocked() && s.TrialRank != nil && s.Suspects.MayTry(now, parts, s.TrialRank(now, verdict.Part))
	switch {
	case verdict.Blocked() && !mayTry:
		report.Refusal = placereport.NewRefusal(partRefusal(c, verdict), describeVerdict(now, verdict))
		return
	case verdict.Blocked():
		report.Notes = append(report.Notes, "targets ended under part "+verdict.Part+"; the call would be sent as a trial")
	}
	var refused *refusal.Refusal
	switch {
	case !ok:
		refused = s.noTarget(c)
	case dest.remote != nil:
		report.Forward, report.ForwardRegion = dest.remote.Address, dest.remote.Region
	default:
		refused = s.explainLocal(now, c, dest, req, report)
	}
	if refused != nil {
		report.Refusal = placereport.NewRefusal(refused, "")
	}
	if dest.reason != "" {
		report.Notes = append(report.Notes, "reason: "+dest.reason)
	}
}

// explainLocal adds the target that the call would be sent to after its turn in the queue.
func (s *Stage) explainLocal(now time.Time, c *call.Call, dest destination, req balancer.Request, report *placereport.Report) *refusal.Refusal {
	selection, ok := s.Picker.Pick(now, dest.local, req)
	if !ok {
		return s.noTarget(c)
	}
	report.Target, report.Wait = selection.Target.Name(), placereport.Milliseconds(max(selection.Score, 0))
	if s.queueFor(c.Route).Len() > 0 || s.Picker.FreeSlots(now, dest.local) == 0 {
		report.Notes = append(report.Notes, "the call would wait for its turn; the target is that of a call whose turn is now")
	}
	if report.Candidates[0].Target != report.Target {
		report.Notes = append(report.Notes, "each choice compares a random sample of the candidates")
	}
	return nil
}

func (s *Stage) describeCandidates(now time.Time, c *call.Call, req balancer.Request, report *placereport.Report) {
	listed := s.listedTargets(c.Route)
	deferral := func(name string) time.Duration { return s.Picker.DeferralLeft(now, name) }
	wanting := slices.DeleteFunc(slices.Clone(listed), func(t target.Target) bool { return deferral(t.Name()) > 0 })
	deferred := slices.DeleteFunc(listed, func(t target.Target) bool { return deferral(t.Name()) <= 0 })
	for i, candidate := range append(s.Picker.Candidates(now, wanting, req), s.Picker.Candidates(now, deferred, req)...) {
		described := placereport.Candidate{
			Target: candidate.Name, Wait: placereport.Milliseconds(max(candidate.Score, 0)), Cost: placereport.Milliseconds(candidate.Score), Timely: true,
			CachedTokens: candidate.CachedTokens, Open: candidate.Load, ColdLimit: -1, Ejected: candidate.Failing != "",
			LoadAge: placereport.Age(candidate.ReportAge), SampleAge: placereport.Age(candidate.SampleAge), KnownAge: -1, LimitAge: -1,
		}
		switch {
		case i >= len(wanting):
			described.Barred = "wants no request for " + deferral(candidate.Name).Round(time.Millisecond).String()
		case !candidate.Usable:
			described.Barred = candidate.Failing
		}
		report.Candidates = append(report.Candidates, described)
	}
}

func (s *Stage) describeRemote(c *call.Call, remote RemoteCentre, report *placereport.Report, heardAge func(address string) time.Duration) {
	age := placereport.Age(heardAge(remote.Address))
	described := placereport.Remote{Instance: remote.Address, Region: remote.Region, FreeSlots: &remote.FreeSlots, HeardAge: age, ReportAge: age}
	switch {
	case !c.Route.AllowsRegion(remote.Region, c.Customer.HomeRegion()):
		described.Barred = "outside the residency"
	case remote.FreeSlots <= 0:
		described.Barred = "full"
	}
	report.Remotes = append(report.Remotes, described)
}
