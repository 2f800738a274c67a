package quota_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"

	"chervilyard.example/yard/loan"
	"chervilyard.example/yard/quota"
)

var start = time.Unix(1_700_000_000, 0)

const (
	rate   = 100.0
	burst  = 1000.0
	sliver = 1e-6 // rounding
)

func full(now time.Time, fraction float64) *quota.Bucket {
	b := &quota.Bucket{}
	b.Configure(now, rate, burst, 0, 0)
	b.Hold(now, []quota.Part{{ID: "a", Fraction: fraction, Until: now.Add(time.Hour), Level: 1}})
	return b
}

func ExampleBucket() {
	b := full(start, 0.5)
	t, ok := b.Take(start, 300)
	fmt.Println(ok, b.Read(start).Now.Level)
	b.Settle(start.Add(time.Second), t, 100)
	fmt.Println(b.Read(start.Add(time.Second)).Now.Level)
	// Output:
	// true 200
	// 450
}

// TestRefundNeverRefills checks the case in which a plain refund would admit
// more than the burst: the bucket was full since the reservation.
func TestRefundNeverRefills(t *testing.T) {
	b := full(start, 1)
	ticket, _ := b.Take(start, 900)
	later := start.Add(20 * time.Second) // full again
	b.Take(later, 800)
	b.Settle(later, ticket, 0)
	if level := b.Read(later).Now.Level; level > 200+sliver {
		t.Errorf("level %v after a refund that had overflowed", level)
	}
}

// TestGrantOfBorrowed checks that tokens granted out of borrowed burst lock it.
func TestGrantOfBorrowed(t *testing.T) {
	b := full(start, 0.1)
	b.Borrow(start, loan.Loan{ID: 1, Amount: loan.Amount{Rate: 0.1, Burst: 0.1, Level: 100}, Until: start.Add(10 * time.Second)})
	given := b.Grant(start, loan.Ask{ID: 2, Amount: loan.Amount{Level: 150}, Term: time.Second}, 0)
	s := b.Read(start)
	if given != 150 || s.Now.Burst > 50+sliver {
		t.Errorf("granted %v, burst %v is left of 200", given, s.Now.Burst)
	}
}

// TestExpiredWhileAsleep checks that a bucket whose holder slept through the
// end of its part admits nothing by it.
func TestExpiredWhileAsleep(t *testing.T) {
	b := full(start, 1)
	if _, ok := b.Take(start.Add(2*time.Hour), 1); ok {
		t.Error("a lapsed part admitted a token")
	}
}

// TestAsIf checks refunds against the definition: after every settlement the
// level is that of a bucket from which only the used tokens were taken.
func TestAsIf(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := full(start, 1)
		type reservation struct {
			ticket quota.Ticket
			used   float64
		}
		type taken struct {
			at   time.Time
			used float64
		}
		var open []reservation
		var history []taken
		now := start
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond)
			n := rapid.Float64Range(0, 500).Draw(t, "tokens")
			if ticket, ok := b.Take(now, n); ok {
				used := n * rapid.Float64Range(0, 1).Draw(t, "used")
				open = append(open, reservation{ticket, used})
				history = append(history, taken{now, used})
			}
			if len(open) > 0 && rapid.Bool().Draw(t, "settle") {
				b.Settle(now, open[0].ticket, open[0].used)
				open = open[1:]
			}
		}
		for _, r := range open {
			b.Settle(now, r.ticket, r.used)
		}
		level, last := burst, start
		for _, h := range history {
			level = min(level+h.at.Sub(last).Seconds()*rate, burst) - h.used
			last = h.at
		}
		level = min(level+now.Sub(last).Seconds()*rate, burst)
		if got := b.Read(now).Now.Level; math.Abs(got-level) > sliver {
			t.Fatalf("level %v, only-used bucket has %v", got, level)
		}
	})
}

func TestTakeDoesNotAllocate(t *testing.T) {
	b := full(start, 1)
	now := start
	allocs := testing.AllocsPerRun(1000, func() {
		now = now.Add(time.Millisecond)
		b.Take(now, 0.05)
	})
	if allocs != 0 {
		t.Errorf("%v allocations for one Take", allocs)
	}
}

func BenchmarkTake(b *testing.B) {
	q := full(start, 1)
	now := start
	for b.Loop() {
		now = now.Add(time.Millisecond)
		q.Take(now, 0.05)
	}
}
