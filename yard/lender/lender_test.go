package lender_test

import (
	"testing"
	"time"

	"chervilyard.example/yard/document"
	"chervilyard.example/yard/lender"
	"chervilyard.example/yard/loan"
	"chervilyard.example/yard/seat"
)

const (
	documentText = "[environment]\nname = x\n[region r]\n[centre c]\nregion = r\nseats = 2\n" +
		"[customer k]\nrate = 100\nburst = 8000\n"
	seatBurst = 4000.0 // tokens; each of the two seats has half of the burst
	tolerance = 1e-6   // tokens; allows for rounding
)

var start = time.Unix(1_700_000_000, 0)

// newHoldings returns fresh holdings of the floating parts of the seats.
func newHoldings(until time.Time, seats ...int) []seat.Holding {
	var list []seat.Holding
	for _, n := range seats {
		list = append(list, seat.Holding{Seat: n, Class: seat.ClassFloating, Fence: 1, ExpiresAt: until, Fresh: true, DefaultFull: true})
	}
	return list
}

// nextHolderLevel returns the tokens that the next holder of a seat starts with.
func nextHolderLevel(levels map[string]float64) float64 {
	if fraction, ok := levels["k"]; ok {
		return fraction * seatBurst
	}
	return seatBurst
}

// TestHandoverCreatesNoTokens guards against a handover that creates tokens: the
// level recorded for a released seat must not exceed what the instance that
// releases it loses. The cases cover borrowed burst, and a release that is planned
// again because another instance wrote the entry first.
func TestHandoverCreatesNoTokens(t *testing.T) {
	for _, borrowed := range []float64{0, 0.5} {
		for _, kept := range [][]int{{0}, nil} {
			d, err := document.Parse("x", documentText)
			if err != nil {
				t.Fatal(err)
			}
			l := &lender.Lender{
				Address: "a", Centre: "c", NewID: func() uint64 { return 7 },
				Holders: func(string) []lender.Holder { return []lender.Holder{{Address: "b"}} },
			}
			l.Apply(start, d)
			until := start.Add(time.Hour)
			l.SetHoldings(start, newHoldings(until, 0, 1))
			for range 4 {
				l.Admit(start, "k", 2000)
			}
			now := start.Add(10 * time.Second)
			if borrowed > 0 {
				borrow(t, l, now, borrowed)
			}
			before := l.State(now, "k").Effective.Level
			levels := l.ReleaseLevels(now)
			l.SetHoldings(now, newHoldings(until, kept...))
			after := l.State(now, "k").Effective.Level
			if got := nextHolderLevel(levels); got > before-after+tolerance {
				t.Errorf("borrowed %v, kept %v: the next holder starts with %v, want at most the %v that the releaser loses", borrowed, kept, got, before-after)
			}
			if got := nextHolderLevel(l.ReleaseLevels(now)); kept == nil && got > tolerance {
				t.Errorf("borrowed %v: after the release is planned again the next holder starts with %v, want 0", borrowed, got)
			}
		}
	}
}

// borrow makes the lender borrow the fraction of the customer's rate and burst,
// with 2000 tokens.
func borrow(t *testing.T, l *lender.Lender, now time.Time, fraction float64) {
	t.Helper()
	messages := l.Round(now)
	if len(messages) == 0 {
		t.Fatal("the round sent no requests")
	}
	for _, message := range messages {
		if message.Request.Urgent {
			continue
		}
		l.HandleReply(now, "k", loan.Reply{
			ID: message.Request.ID, At: message.Request.At, Term: 10 * time.Second,
			Amount: loan.Amount{Rate: fraction, Burst: fraction, Level: 2000},
		})
		return
	}
	t.Fatal("no loan was requested")
}
