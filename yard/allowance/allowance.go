// Package allowance divides each customer's rate and burst over the instances
// so that all together never admit more, without a message in a request's way.
//
// Each instance refills a bucket with its part of the rate. Tokens move with
// heartbeats: an instance says what it will lack, and a peer hands over what it
// will not need. The giver subtracts before it sends, so that a lost message
// loses tokens and never makes any.
package allowance

import (
	"math"
	"sync"
	"time"
)

const (
	// horizon is how far ahead an instance keeps or asks for tokens: two
	// heartbeats to a far region with their way.
	horizon = 800 * time.Millisecond
	// halfLife of the forecast of demand.
	halfLife = 500 * time.Millisecond
	// least is the smallest part of a bucket that is worth a message.
	least = 0.02
)

// Terms are a customer's limits over all instances.
type Terms struct {
	Rate  float64 // tokens a second; 0 means no limit
	Burst float64 // tokens
}

// Book holds one instance's buckets. The zero value knows no customer and
// admits nothing. It is safe for concurrent use.
type Book struct {
	mu       sync.Mutex
	accounts map[string]*account
}

type account struct {
	open   bool // no limit
	rate   float64
	size   float64
	level  float64
	at     time.Time
	demand float64 // tokens a second that were asked for of late
}

// Divide sets the customers' terms and the number of instances that share
// them. Customers that are not named are dropped. A bucket starts empty: an
// earlier run of this instance may have spent what it held.
func (b *Book) Divide(now time.Time, terms map[string]Terms, instances int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.accounts == nil {
		b.accounts = make(map[string]*account)
	}
	for name := range b.accounts {
		if _, ok := terms[name]; !ok {
			delete(b.accounts, name)
		}
	}
	n := float64(max(instances, 1))
	for name, t := range terms {
		a := b.accounts[name]
		if a == nil {
			a = &account{at: now}
			b.accounts[name] = a
		}
		a.advance(now)
		a.open = t.Rate <= 0
		a.rate, a.size = t.Rate/n, t.Burst/n
		a.level = min(a.level, a.size)
	}
}

// Take admits a request of so many tokens, or returns false. A request larger
// than a full bucket is admitted by a full bucket, which then owes the rest.
func (b *Book) Take(now time.Time, customer string, tokens float64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	a := b.accounts[customer]
	if a == nil {
		return false
	}
	if a.open {
		return true
	}
	a.advance(now)
	a.demand += tokens * math.Ln2 / halfLife.Seconds()
	if a.level < min(tokens, a.size) {
		return false
	}
	a.level -= tokens
	return true
}

// Refund returns the tokens of a request that no target ran.
func (b *Book) Refund(now time.Time, customer string, tokens float64) {
	b.Add(now, customer, tokens)
}

// Add takes in tokens that a peer handed over.
func (b *Book) Add(now time.Time, customer string, tokens float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if a := b.accounts[customer]; a != nil && !a.open && tokens > 0 {
		a.advance(now)
		a.level = min(a.level+tokens, a.size)
	}
}

// Wants returns the tokens that the instance will lack, by customer.
func (b *Book) Wants(now time.Time) map[string]float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	wants := make(map[string]float64)
	for name, a := range b.accounts {
		if a.open {
			continue
		}
		a.advance(now)
		lack := min(a.need(), a.size) - a.level
		if lack > least*a.size {
			wants[name] = lack
		}
	}
	return wants
}

// Lack returns the tokens that a request of so many tokens, and what is
// expected besides, would need in addition to what is there.
func (b *Book) Lack(now time.Time, customer string, tokens float64) float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	a := b.accounts[customer]
	if a == nil || a.open {
		return 0
	}
	a.advance(now)
	return max(min(max(tokens, a.need()), a.size)-a.level, 0)
}

// Give hands over at most so many tokens, and only what the instance will not
// need itself. The tokens are gone from its bucket when Give returns.
func (b *Book) Give(now time.Time, customer string, want float64) float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	a := b.accounts[customer]
	if a == nil || a.open || want <= 0 {
		return 0
	}
	a.advance(now)
	give := min(want, a.level-a.need())
	if give <= least*a.size/2 {
		return 0
	}
	a.level -= give
	return give
}

// Wait returns how long the bucket needs to refill for a request by itself.
func (b *Book) Wait(now time.Time, customer string, tokens float64) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	a := b.accounts[customer]
	if a == nil || a.open || a.rate <= 0 {
		return 0
	}
	a.advance(now)
	lack := min(tokens, a.size) - a.level
	if lack <= 0 {
		return 0
	}
	return time.Duration(lack / a.rate * float64(time.Second))
}

// State returns what a customer's bucket holds, how many tokens a second flow
// in, and how many fit.
func (b *Book) State(now time.Time, customer string) (level, rate, size float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	a := b.accounts[customer]
	if a == nil {
		return 0, 0, 0
	}
	a.advance(now)
	return a.level, a.rate, a.size
}

// need returns the tokens that the demand of late will take within the horizon
// beyond what flows in.
func (a *account) need() float64 {
	return max(a.demand-a.rate, 0)*horizon.Seconds() + min(a.demand, a.rate)*halfLife.Seconds()
}

// advance refills the bucket and lets the forecast decay.
func (a *account) advance(now time.Time) {
	d := now.Sub(a.at)
	if d <= 0 {
		return
	}
	a.at = now
	a.level = min(a.level+a.rate*d.Seconds(), a.size)
	a.demand *= math.Exp2(-d.Seconds() / halfLife.Seconds())
}
