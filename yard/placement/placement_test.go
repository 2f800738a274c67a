package placement_test

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"chervilyard.example/yard/placement"
	"chervilyard.example/yard/scripttest"
	"chervilyard.example/yard/service"
	"chervilyard.example/yard/target"
	"chervilyard.example/yard/warmup"
)

var (
	engineService  = service.New("m").WithColdLimit(4).WithEngine(8, 100_000)
	checkedService = engineService.WithHealthPath("/health")
	plainService   = service.New("p")
	coldShare      = placement.ColdShare{Position: placement.Position{Instances: 1}, RateFactor: 1.5, ExtraRequests: 3}
)

var outcomes = map[string]placement.Outcome{
	"answered": placement.Answered, "failed": placement.Failed, "unreachable": placement.Unreachable,
	"broken": placement.ConnectionBroken, "full": placement.Overloaded, "silent": placement.TimedOut, "left": placement.Canceled,
}

// player runs one script. The steps are:
//
//	list A B=cold:2s     a list of targets, read now; B is cold for 2 s
//	list A=run:2         the same; A has a new run ID
//	send K 500 x,y -> A  request K with 500 prompt tokens and parts x and y goes to A
//	send K 500           the same without parts, to any target
//	sends 20 500 -> 9    9 of 20 requests find a target, and are sent at once
//	sent K               the connection for K is established, and the request is sent at once
//	withheld K           the connection for K is established, and the request may not be sent
//	first K, end K OUTCOME, pause K 200ms
//	believed K TEXT      the description of what was believed for K; - if it is empty
//	proved A 0s          a health check after a failure reports how long A stays cold
//	defer K 2s           the target of K wants no requests for 2 s
//	deferral A B -> 2s   when the first of the targets wants requests again; - if one of them does now
//	old                  from now on it is not known whether listed targets are still warm
//	ask A yes            whether a health check may be sent now
//	peer P A 3 900 200   peer P reports 3 open requests and 900 waiting tokens at A, 200 of them of
//	                     less urgent requests; these may be left out
//	arrive 10 500        10 requests with 500 prompt tokens arrive; followed by "lesser" if they are
//	refuse 2              2 of them are refused; followed by "lesser" if they are
//	                     less urgent
//	wait urgent A -> 0s  the shortest queueing time at the targets, or none; for less urgent requests
//	                     with "lesser" in place of "urgent"
type player struct {
	t       *testing.T
	picker  placement.Picker
	targets []target.Target
	tickets map[string]*placement.Ticket
	check   *placement.HealthCheck // the last one that was sent
	old     bool
}

// share returns the share of the cold limit, and whether the lists are old.
func (p *player) share(time.Time) placement.ColdShare {
	share := coldShare
	share.Unproved = p.old
	return share
}

func TestScripts(t *testing.T) {
	scripttest.Run(t, func(t *testing.T, steps []scripttest.Step) {
		p := &player{t: t, tickets: make(map[string]*placement.Ticket)}
		for _, s := range steps {
			p.step(s)
		}
	})
}

func (p *player) step(s scripttest.Step) {
	switch s.Words[0] {
	case "list":
		p.list(s)
	case "send":
		got := p.send(s, s.Words[1], s.Words[2:])
		if i := slices.Index(s.Words, "->"); i > 0 && got != s.Words[i+1] {
			p.t.Errorf("line %d: the request goes to %s, want %s", s.Line, got, s.Words[i+1])
		}
	case "sends":
		found := 0
		for n := range int(s.Number(p.t, 1)) {
			if label := fmt.Sprint("many", n); p.send(s, label, s.Words[2:]) != "none" {
				found++
				p.sent(s, label)
			}
		}
		if want := int(s.Number(p.t, 4)); found != want {
			p.t.Errorf("line %d: %d requests find a target, want %d", s.Line, found, want)
		}
	case "sent":
		p.sent(s, s.Words[1])
	case "withheld":
		if p.tickets[s.Words[1]].Admit(s.At, p.share) {
			p.t.Errorf("line %d: the request may be sent", s.Line)
		}
		p.tickets[s.Words[1]].End(s.At, placement.Withheld)
	case "first":
		p.tickets[s.Words[1]].RecordFirstByte(s.At)
	case "end":
		p.tickets[s.Words[1]].End(s.At, outcomes[s.Words[2]])
	case "believed":
		if got := p.tickets[s.Words[1]].ColdBelief(); got != strings.TrimPrefix(s.Words[2], "-") {
			p.t.Errorf("line %d: the belief is %q, want %q", s.Line, got, s.Words[2])
		}
	case "pause":
		p.tickets[s.Words[1]].RecordPause(s.At, s.Duration(p.t, 2))
	case "defer":
		p.tickets[s.Words[1]].Defer(s.At, s.Duration(p.t, 2))
	case "deferral":
		n := len(s.Words)
		got := "-"
		if d, ok := p.picker.DeferralLeft(s.At, p.named(s.Words[1:n-2])); ok {
			got = d.String()
		}
		if want := s.Words[n-1]; got != want {
			p.t.Errorf("line %d: the deferral is %s, want %s", s.Line, got, want)
		}
	case "old":
		p.old = true
	case "ask":
		check := p.picker.StartHealthCheck(s.At, s.Words[1], checkedService, p.share(s.At))
		if got, want := check != nil, s.Words[2] == "yes"; got != want {
			p.t.Errorf("line %d: a health check may be sent: %v, want %v", s.Line, got, want)
		}
		if check != nil {
			check.Sent(s.At)
			p.check = check
		}
	case "proved":
		report := warmup.Report{Earliest: s.At, Latest: s.At}
		if cold := s.Duration(p.t, 2); cold > 0 {
			report.ColdUntil = s.At.Add(cold)
		}
		if p.picker.RecordCheck(s.Words[1], report); report.ColdUntil.IsZero() && p.check != nil {
			p.check.FoundWarm()
		}
	case "peer":
		load := placement.Load{Target: s.Words[2], Open: int(s.Number(p.t, 3)), WaitingTokens: int(s.Number(p.t, 4))}
		if len(s.Words) > 5 {
			load.LesserWaiting = int(s.Number(p.t, 5))
		}
		p.picker.UpdatePeerLoads(s.At, s.At, s.Words[1], []placement.Load{load})
	case "arrive":
		for range int(s.Number(p.t, 1)) {
			p.picker.RecordArrival(s.At, placement.Request{Service: checkedService, PromptTokens: int(s.Number(p.t, 2)), Lesser: len(s.Words) > 3, WaitLimit: 500 * time.Millisecond})
		}
	case "refuse":
		for range int(s.Number(p.t, 1)) {
			p.picker.RecordRefusal(checkedService.Name(), len(s.Words) > 2)
		}
	case "wait":
		n, got, queueWait := len(s.Words), "none", p.picker.QueueWait
		if s.Words[1] == "lesser" {
			queueWait = p.picker.LesserQueueWait
		}
		if d, ok := queueWait(s.At, p.named(s.Words[2:n-2]), checkedService, p.share(s.At)); ok {
			got = d.String()
		}
		if want := s.Words[n-1]; got != want {
			p.t.Errorf("line %d: a request waits %s, want %s", s.Line, got, want)
		}
	default:
		p.t.Fatalf("line %d: %q is not a step", s.Line, s.Words[0])
	}
}

func (p *player) sent(s scripttest.Step, label string) {
	if !p.tickets[label].Admit(s.At, p.share) {
		p.t.Errorf("line %d: the request may not be sent", s.Line)
	}
	p.tickets[label].Sent(s.At)
}

func (p *player) named(names []string) []target.Target {
	return slices.DeleteFunc(slices.Clone(p.targets), func(t target.Target) bool { return !slices.Contains(names, t.Name()) })
}

func (p *player) list(s scripttest.Step) {
	p.targets = nil
	for _, word := range s.Words[1:] {
		name, attribute, _ := strings.Cut(word, "=")
		listed := target.New(name, "c", "", []string{"m"}, 8, 1, false)
		if remaining, ok := strings.CutPrefix(attribute, "cold:"); ok {
			d, err := time.ParseDuration(remaining)
			if err != nil {
				p.t.Fatalf("line %d: %v", s.Line, err)
			}
			listed = listed.WithColdRemaining(d)
		}
		if run, ok := strings.CutPrefix(attribute, "run:"); ok {
			listed = listed.WithRunID(int64(run[0]))
		}
		p.targets = append(p.targets, listed)
	}
	p.picker.UpdateTargets(s.At, s.At, time.Second, p.targets)
}

func (p *player) send(s scripttest.Step, label string, words []string) string {
	r := placement.Request{Service: checkedService, MaxOutputTokens: 10, MaxEventGap: 300 * time.Millisecond}
	if _, err := fmt.Sscan(words[0], &r.PromptTokens); err != nil {
		p.t.Fatalf("line %d: %v", s.Line, err)
	}
	if len(words) > 1 && words[1] != "->" {
		for id := range strings.SplitSeq(words[1], ",") {
			r.Parts = append(r.Parts, placement.Part{ID: id, Tokens: r.PromptTokens / (strings.Count(words[1], ",") + 1)})
		}
	}
	if preferred, _, ok := placement.PreferredTargets(p.targets, r.Parts); ok {
		r.PreferredTarget = preferred.Name()
	}
	ticket := p.picker.Choose(s.At, p.targets, r, p.share(s.At))
	if ticket == nil {
		return "none"
	}
	p.tickets[label] = ticket
	return ticket.Target().Name()
}

// Guards against overestimating the latency of a plain service from the prompt
// tokens of its first requests, since its latency does not depend on tokens.
func TestTokensDoNotSlowPlainServices(t *testing.T) {
	var p placement.Picker
	now := time.Unix(0, 0)
	list := []target.Target{target.New("a", "c", "", []string{"p"}, 8, 1, false)}
	r := placement.Request{Service: plainService, PromptTokens: 200}
	for range 3 {
		ticket := p.Choose(now, list, r, coldShare)
		now = now.Add(300 * time.Millisecond)
		ticket.RecordFirstByte(now)
		ticket.End(now, placement.Answered)
	}
	if estimate, ok := p.EstimateBest(now, list, r, coldShare); !ok || estimate.Wait > 400*time.Millisecond {
		t.Errorf("an idle target that answers in 300 ms is expected to take %v", estimate.Wait)
	}
}

// A report of a peer replaces its earlier one. Guards against load that stays at targets
// that the newer report omits.
func TestPeerLoadsReplaced(t *testing.T) {
	var p placement.Picker
	now := time.Unix(0, 0)
	list := []target.Target{target.New("a", "c", "", []string{"m"}, 8, 1, false), target.New("b", "c", "", []string{"m"}, 8, 1, false)}
	load := placement.Load{Open: 5, WaitingTokens: 50_000, MemoryTokens: 60_000}
	for _, busy := range []string{"a", "b", "a"} {
		load.Target = busy
		p.UpdatePeerLoads(now, now, "peer", []placement.Load{load})
		ticket := p.Choose(now, list, placement.Request{Service: engineService, PromptTokens: 1000}, coldShare)
		if ticket == nil || ticket.Target().Name() == busy {
			t.Fatalf("with load at %s alone, the ticket is %+v", busy, ticket)
		}
		ticket.End(now, placement.Answered)
	}
	p.UpdatePeerLoads(now, now, "peer", nil)
	for _, alone := range list {
		wait, ok := p.QueueWait(now, []target.Target{alone}, engineService, coldShare)
		if !ok || wait != 0 {
			t.Errorf("without load, a request at %s waits %v", alone.Name(), wait)
		}
	}
}

// Checks that the load of a target returns to zero after all its requests have
// ended, in any order and with any outcome.
func TestCountsReturnToZero(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var p placement.Picker
		now := time.Unix(0, 0)
		list := []target.Target{target.New("a", "c", "", []string{"m"}, 8, 1, false), target.New("b", "c", "", []string{"m"}, 8, 1, false)}
		var open []*placement.Ticket
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 900).Draw(t, "pause")) * time.Millisecond)
			if rapid.Bool().Draw(t, "send") {
				if ticket := p.Choose(now, list, placement.Request{Service: engineService, PromptTokens: rapid.IntRange(0, 9000).Draw(t, "prompt")}, coldShare); ticket != nil {
					open = append(open, ticket)
				}
				continue
			}
			if len(open) == 0 {
				continue
			}
			i := rapid.IntRange(0, len(open)-1).Draw(t, "ticket")
			if rapid.Bool().Draw(t, "first") {
				open[i].RecordFirstByte(now)
			} else {
				open[i].End(now, placement.Outcome(rapid.IntRange(0, int(placement.TimedOut)).Draw(t, "outcome")))
				open = slices.Delete(open, i, i+1)
			}
		}
		for _, ticket := range open {
			ticket.End(now, placement.Answered)
		}
		for _, l := range p.Loads(now.Add(time.Minute)) { // outcomes no longer count
			t.Fatalf("load left at %s: %d open requests, %d waiting tokens, %d tokens in memory", l.Target, l.Open, l.WaitingTokens, l.MemoryTokens)
		}
	})
}
