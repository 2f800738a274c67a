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
	rate      = 100.0
	burst     = 1000.0
	tolerance = 1e-6 // tokens; allows for rounding
)

// newFullBucket returns a full bucket that owns the fraction of the limits.
func newFullBucket(now time.Time, fraction float64) *quota.Bucket {
	b := &quota.Bucket{}
	b.Configure(now, rate, burst, 0, 0)
	b.SetShares(now, []quota.Share{{ID: "a", Fraction: fraction, ExpiresAt: now.Add(time.Hour), InitialFill: 1}})
	return b
}

func ExampleBucket() {
	b := newFullBucket(start, 0.5)
	t, ok := b.Take(start, 300)
	fmt.Println(ok, b.State(start).Effective.Level)
	b.Settle(start.Add(time.Second), t, 100)
	fmt.Println(b.State(start.Add(time.Second)).Effective.Level)
	// Output:
	// true 200
	// 450
}

// TestRefundExcludesOverflow guards against a refund of tokens that would have
// overflowed. If the bucket became full again after the reservation, returning
// all reserved tokens would admit more than the burst.
func TestRefundExcludesOverflow(t *testing.T) {
	b := newFullBucket(start, 1)
	ticket, _ := b.Take(start, 900)
	later := start.Add(20 * time.Second) // the bucket is full again
	b.Take(later, 800)
	b.Settle(later, ticket, 0)
	if level := b.State(later).Effective.Level; level > 200+tolerance {
		t.Errorf("level %v after a refund of tokens that would have overflowed, want at most 200", level)
	}
}

// TestGrantLocksBorrowedBurst checks that granting tokens out of borrowed burst locks
// that burst.
func TestGrantLocksBorrowedBurst(t *testing.T) {
	b := newFullBucket(start, 0.1)
	b.Borrow(start, loan.Loan{ID: 1, Amount: loan.Amount{Rate: 0.1, Burst: 0.1, Level: 100}, ExpiresAt: start.Add(10 * time.Second)})
	granted := b.Grant(start, loan.Request{ID: 2, Amount: loan.Amount{Level: 150}, Term: time.Second}, 0)
	s := b.State(start)
	if granted != 150 || s.Effective.Burst > 50+tolerance {
		t.Errorf("granted %v with burst %v left, want 150 with 50 left of 200", granted, s.Effective.Burst)
	}
}

// TestExpiryDuringSuspension checks that a bucket admits nothing from a share that
// expired while the process was suspended.
func TestExpiryDuringSuspension(t *testing.T) {
	b := newFullBucket(start, 1)
	if _, ok := b.Take(start.Add(2*time.Hour), 1); ok {
		t.Error("an expired part of the quota admitted a token")
	}
}

// TestSettleMatchesUsedOnlyBucket checks refunds against their definition: once all
// reservations are settled, the level equals that of a bucket from which only the
// used tokens were taken.
func TestSettleMatchesUsedOnlyBucket(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := newFullBucket(start, 1)
		type reservation struct {
			ticket quota.Ticket
			used   float64
		}
		type consumption struct {
			at   time.Time
			used float64
		}
		var outstanding []reservation
		var consumptions []consumption
		now := start
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond)
			n := rapid.Float64Range(0, 500).Draw(t, "tokens")
			if ticket, ok := b.Take(now, n); ok {
				used := n * rapid.Float64Range(0, 1).Draw(t, "used")
				outstanding = append(outstanding, reservation{ticket, used})
				consumptions = append(consumptions, consumption{now, used})
			}
			if len(outstanding) > 0 && rapid.Bool().Draw(t, "settle") {
				b.Settle(now, outstanding[0].ticket, outstanding[0].used)
				outstanding = outstanding[1:]
			}
		}
		for _, r := range outstanding {
			b.Settle(now, r.ticket, r.used)
		}
		level, last := burst, start
		for _, c := range consumptions {
			level = min(level+c.at.Sub(last).Seconds()*rate, burst) - c.used
			last = c.at
		}
		level = min(level+now.Sub(last).Seconds()*rate, burst)
		if got := b.State(now).Effective.Level; math.Abs(got-level) > tolerance {
			t.Fatalf("level %v, want %v as if only the used tokens had been taken", got, level)
		}
	})
}

func TestTakeDoesNotAllocate(t *testing.T) {
	b := newFullBucket(start, 1)
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
	q := newFullBucket(start, 1)
	now := start
	for b.Loop() {
		now = now.Add(time.Millisecond)
		q.Take(now, 0.05)
	}
}
