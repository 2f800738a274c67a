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
	text = "[environment]\nname = x\n[region r]\n[centre c]\nregion = r\nseats = 2\n" +
		"[customer k]\nrate = 100\nburst = 8000\n"
	half   = 4000.0 // burst of one of the two seats
	sliver = 1e-6   // rounding
)

var start = time.Unix(1_700_000_000, 0)

func titles(until time.Time, seats ...int) []seat.Title {
	var list []seat.Title
	for _, n := range seats {
		list = append(list, seat.Title{Seat: n, Class: seat.Floating, Fence: 1, Until: until, Fresh: true, Full: true})
	}
	return list
}

// next returns the level that the next holder of a seat starts with.
func next(drawn map[string]float64) float64 {
	if f, ok := drawn["k"]; ok {
		return f * half
	}
	return half
}

// TestHandoverMakesNoTokens checks that the record of a seat that is given up
// never holds more than the giver loses: with borrowed burst, and when the write
// is planned again after another's came first.
func TestHandoverMakesNoTokens(t *testing.T) {
	for _, borrowed := range []float64{0, 0.5} {
		for _, kept := range [][]int{{0}, nil} {
			d, err := document.Parse("x", text)
			if err != nil {
				t.Fatal(err)
			}
			l := &lender.Lender{
				Address: "a", Centre: "c", Random: func() uint64 { return 7 },
				Holders: func(string) []lender.Holder { return []lender.Holder{{Address: "b"}} },
			}
			l.Apply(start, d)
			until := start.Add(time.Hour)
			l.Hold(start, titles(until, 0, 1))
			for range 4 {
				l.Admit(start, "k", 2000)
			}
			now := start.Add(10 * time.Second)
			if borrowed > 0 {
				borrow(t, l, now, borrowed)
			}
			before := l.State(now, "k").Now.Level
			drawn := l.Drawn(now)
			l.Hold(now, titles(until, kept...))
			after := l.State(now, "k").Now.Level
			if got := next(drawn); got > before-after+sliver {
				t.Errorf("borrowed %v, kept %v: the next holder starts with %v, the giver loses %v", borrowed, kept, got, before-after)
			}
			if got := next(l.Drawn(now)); kept == nil && got > sliver {
				t.Errorf("borrowed %v: planned again, the next holder starts with %v of nothing", borrowed, got)
			}
		}
	}
}

// borrow gives the lender a loan of a part of the whole, with tokens.
func borrow(t *testing.T, l *lender.Lender, now time.Time, part float64) {
	t.Helper()
	letters := l.Round(now)
	if len(letters) == 0 {
		t.Fatal("nothing was asked")
	}
	for _, letter := range letters {
		if letter.Ask.Urgent {
			continue
		}
		l.Receive(now, "k", loan.Reply{
			ID: letter.Ask.ID, At: letter.Ask.At, Term: 10 * time.Second,
			Amount: loan.Amount{Rate: part, Burst: part, Level: 2000},
		})
		return
	}
	t.Fatal("no loan was asked")
}
