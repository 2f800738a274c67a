package placement_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"chervilyard.example/yard/placement"
	"chervilyard.example/yard/target"
)

// pendingEnd holds when and how an open request ends.
type pendingEnd struct {
	ticket  *placement.Ticket
	at      time.Time
	fails   bool
	failure placement.Outcome
}

func (e pendingEnd) end() {
	if e.fails {
		e.ticket.End(e.at, e.failure)
		return
	}
	e.ticket.RecordFirstByte(e.at)
	e.ticket.End(e.at, placement.Answered)
}

// Checks that targets that fail a fraction of their requests lose most of their
// traffic to healthy targets and get it back after they recover, for each kind of
// failure. Every request must find a target while a healthy one is left.
func TestPartiallyFailingTargets(t *testing.T) {
	const (
		interval      = 10 * time.Millisecond // between requests
		phaseDuration = 10 * time.Second
		warmup        = 4 * time.Second // initial part of a phase in which requests are not counted
		answerLatency = 60 * time.Millisecond
	)
	failures := []placement.Outcome{placement.Failed, placement.ConnectionBroken, placement.Unreachable}
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(2, 5).Draw(t, "targets")
		var list []target.Target
		for i := range n {
			list = append(list, target.New(fmt.Sprint("t", i), "c", "", []string{"p"}, 8, 1, false))
		}
		failure := rapid.SampledFrom(failures).Draw(t, "failure")
		failing := rapid.IntRange(1, n-1).Draw(t, "failing")
		failFraction := rapid.Float64Range(0.4, 1).Draw(t, "failFraction")
		var p placement.Picker
		now := time.Unix(1_700_000_000, 0)
		p.UpdateTargets(now, now, time.Second, list)
		var open []pendingEnd
		runPhase := func(failFraction float64) (sent, toFailing int) {
			failuresDue := 0.0
			for at := time.Duration(0); at < phaseDuration; at += interval {
				now = now.Add(interval)
				for len(open) > 0 && !open[0].at.After(now) {
					open[0].end()
					open = open[1:]
				}
				if at%time.Second == 0 {
					p.UpdateTargets(now, now, time.Second/2, list) // reports continue
				}
				ticket := p.Choose(now, list, placement.Request{Service: plainService}, coldShare)
				if ticket == nil {
					t.Fatalf("no target for a request, though %d are healthy", n-failing)
				}
				var i int
				if _, err := fmt.Sscanf(ticket.Target().Name(), "t%d", &i); err != nil {
					t.Fatal(err)
				}
				if at > warmup {
					sent++
					if i < failing {
						toFailing++
					}
				}
				fails := false
				if i < failing {
					if failuresDue += failFraction; failuresDue >= 1 {
						failuresDue--
						fails = true
					}
				}
				open = append(open, pendingEnd{ticket: ticket, at: now.Add(answerLatency), fails: fails, failure: failure})
			}
			return sent, toFailing
		}
		runPhase(0)
		fairShare := float64(failing) / float64(n)
		if sent, toFailing := runPhase(failFraction); float64(toFailing) > fairShare*float64(sent)/2 {
			t.Fatalf("%d of %d targets fail %.0f%% of requests (outcome %v) and get %d of %d requests", failing, n, 100*failFraction, failure, toFailing, sent)
		}
		if sent, toFailing := runPhase(0); float64(toFailing) < fairShare*float64(sent)/3 {
			t.Fatalf("%d of %d targets recovered and get only %d of %d requests", failing, n, toFailing, sent)
		}
	})
}
