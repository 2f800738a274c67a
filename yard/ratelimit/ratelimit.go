// Package ratelimit divides each customer's rate and burst over the instances, so
// that all instances together never exceed them. No message is sent on the path of
// a request.
//
// Each instance has a token bucket that refills at its share of the rate. Tokens
// are transferred with heartbeats: an instance announces its expected deficit, and
// a peer transfers tokens that it does not expect to need. The sender subtracts the
// tokens before it sends them, so a lost message can lose tokens but never creates
// any.
package ratelimit

import (
	"math"
	"sync"
	"time"
)

const (
	// forecastHorizon is the period for which an instance keeps or requests
	// tokens: two heartbeats to a distant region, including their latency.
	forecastHorizon = 800 * time.Millisecond
	// demandHalfLife is the half-life of the moving average of the demand.
	demandHalfLife = 500 * time.Millisecond
	// minTransferFraction is the smallest deficit, as a fraction of the bucket's
	// capacity, that is announced to peers.
	minTransferFraction = 0.02
)

// Limits are the limits of a customer over all instances.
type Limits struct {
	Rate  float64 // tokens per second; 0 or less means no limit
	Burst float64 // tokens
}

// Limiter holds the buckets of one instance. The zero value has no customers and
// admits nothing. A Limiter is safe for concurrent use.
type Limiter struct {
	mu       sync.Mutex
	accounts map[string]*account // by customer name
}

// account is the bucket of one customer, with the demand for its tokens.
type account struct {
	unlimited bool
	rate      float64 // this instance's share, in tokens per second
	capacity  float64 // this instance's share of the burst, in tokens
	level     float64 // tokens; negative after a request larger than the bucket
	updatedAt time.Time
	demand    float64 // moving average of the requested tokens per second
}

// SetLimits sets the limits of all customers, by name, and the number of instances
// that share them equally. See SetShares.
func (l *Limiter) SetLimits(now time.Time, limits map[string]Limits, instances int) {
	l.SetShares(now, limits, func(string) float64 { return 1 / float64(max(instances, 1)) })
}

// SetShares sets the limits of all customers, by name, and this instance's share in
// those of each. Customers that are not in limits are removed. A new bucket
// starts empty, because an earlier run of this instance may have spent its tokens. An
// instance without a share admits no request of the customer, unless its rate is unlimited.
func (l *Limiter) SetShares(now time.Time, limits map[string]Limits, share func(customer string) float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.accounts == nil {
		l.accounts = make(map[string]*account)
	}
	for name := range l.accounts {
		if _, ok := limits[name]; !ok {
			delete(l.accounts, name)
		}
	}
	for name, limit := range limits {
		a := l.accounts[name]
		if a == nil {
			a = &account{updatedAt: now}
			l.accounts[name] = a
		}
		a.advance(now)
		a.unlimited = limit.Rate <= 0
		part := share(name)
		a.rate, a.capacity = limit.Rate*part, limit.Burst*part
		a.level = min(a.level, a.capacity)
	}
}

// Take takes the tokens of a request and reports whether it is admitted. A request
// larger than the bucket is admitted if the bucket is full; its level is then
// negative until it has refilled. An unknown customer is not admitted.
func (l *Limiter) Take(now time.Time, customer string, tokens float64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	a := l.accounts[customer]
	if a == nil {
		return false
	}
	if a.unlimited {
		return true
	}
	a.advance(now)
	a.demand += tokens * math.Ln2 / demandHalfLife.Seconds()
	if a.rate <= 0 || a.level < min(tokens, a.capacity) {
		return false
	}
	a.level -= tokens
	return true
}

// Refund returns the tokens of a request that no target processed. Tokens beyond
// the capacity are lost.
func (l *Limiter) Refund(now time.Time, customer string, tokens float64) {
	l.Add(now, customer, tokens)
}

// Add adds tokens that a peer transferred. Tokens beyond the capacity are lost.
func (l *Limiter) Add(now time.Time, customer string, tokens float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if a := l.accounts[customer]; a != nil && !a.unlimited && tokens > 0 {
		a.advance(now)
		a.level = min(a.level+tokens, a.capacity)
	}
}

// Deficits returns the expected deficit of the instance in tokens, by customer.
// Customers without a deficit that is worth a transfer are left out.
func (l *Limiter) Deficits(now time.Time) map[string]float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	deficits := make(map[string]float64)
	for name, a := range l.accounts {
		if a.unlimited {
			continue
		}
		a.advance(now)
		deficit := min(a.expectedNeed(), a.capacity) - a.level
		if deficit > minTransferFraction*a.capacity {
			deficits[name] = deficit
		}
	}
	return deficits
}

// Deficit returns the tokens that are missing for a request of the given size, or
// for the expected demand if that is larger, up to the capacity. It returns 0 if
// none are missing or the customer is unknown or unlimited.
func (l *Limiter) Deficit(now time.Time, customer string, tokens float64) float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	a := l.accounts[customer]
	if a == nil || a.unlimited {
		return 0
	}
	a.advance(now)
	return max(min(max(tokens, a.expectedNeed()), a.capacity)-a.level, 0)
}

// TakeSpare takes up to want tokens out of the bucket for transfer to a peer, and
// returns how many it took. It leaves the tokens that the instance expects to
// need. It returns 0 if the amount is at most half of minTransferFraction of the
// capacity.
func (l *Limiter) TakeSpare(now time.Time, customer string, want float64) float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	a := l.accounts[customer]
	if a == nil || a.unlimited || want <= 0 {
		return 0
	}
	a.advance(now)
	taken := min(want, a.level-a.expectedNeed())
	if taken <= minTransferFraction*a.capacity/2 {
		return 0
	}
	a.level -= taken
	return taken
}

// RefillTime returns how long the bucket takes to refill for a request at its own rate.
// It returns 0 if the request fits now, and also if the customer is unknown,
// unlimited or has no rate.
func (l *Limiter) RefillTime(now time.Time, customer string, tokens float64) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	a := l.accounts[customer]
	if a == nil || a.unlimited || a.rate <= 0 {
		return 0
	}
	a.advance(now)
	deficit := min(tokens, a.capacity) - a.level
	if deficit <= 0 {
		return 0
	}
	return time.Duration(deficit / a.rate * float64(time.Second))
}

// State returns the level of a customer's bucket in tokens, its refill rate in
// tokens per second and its capacity in tokens. All are 0 for an unknown customer.
func (l *Limiter) State(now time.Time, customer string) (level, rate, capacity float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	a := l.accounts[customer]
	if a == nil {
		return 0, 0, 0
	}
	a.advance(now)
	return a.level, a.rate, a.capacity
}

// expectedNeed returns the tokens that the bucket should hold for the recent
// demand: the demand beyond the refill rate over forecastHorizon, and the demand
// that the refill covers over demandHalfLife.
func (a *account) expectedNeed() float64 {
	return max(a.demand-a.rate, 0)*forecastHorizon.Seconds() + min(a.demand, a.rate)*demandHalfLife.Seconds()
}

// advance refills the bucket and decays the demand up to now.
func (a *account) advance(now time.Time) {
	elapsed := now.Sub(a.updatedAt)
	if elapsed <= 0 {
		return
	}
	a.updatedAt = now
	a.level = min(a.level+a.rate*elapsed.Seconds(), a.capacity)
	a.demand *= math.Exp2(-elapsed.Seconds() / demandHalfLife.Seconds())
}
