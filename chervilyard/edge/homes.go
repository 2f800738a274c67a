package edge

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"chervilyard.example/yard/division"
	"chervilyard.example/yard/fleet"
	"chervilyard.example/yard/membership"
)

// takeFromHomes takes the tokens of a request from a customer's home: one of the region or,
// if those have too few, one of another region. If none grants them, it returns the
// shortest time after which one may. Past the patience it waits only as long as none has
// refused.
func (e *Edge) takeFromHomes(ctx context.Context, d division.Division, customer string, tokens float64, patience time.Duration) (bool, time.Duration) {
	own := e.Settings().Region
	members := slices.DeleteFunc(d.Homes(own, customer), func(m membership.Member) bool { return !e.isLive(m) })
	others := d.Regions()
	rand.Shuffle(len(others), func(a, b int) { others[a], others[b] = others[b], others[a] })
	for _, region := range others {
		// There is no time for more than one.
		if homes := d.Homes(region, customer); region != own && len(homes) > 0 && e.isLive(homes[0]) {
			members = append(members, homes[0])
		}
	}
	search := homeSearch{
		self: e.Settings().Name,
		ask: func(ctx context.Context, m membership.Member) homeAnswer {
			granted, wait, homes := e.gossiper.RequestWhole(ctx, m, customer, tokens)
			return homeAnswer{m, granted, wait, homes}
		},
		patience: patience,
		overdue:  func(m membership.Member) time.Duration { return max(patience/3, 2*e.gossiper.RoundTripTime(m.Name)) },
		refund: func(m membership.Member) {
			if m.Region == own { // others may exchange no heartbeats with this instance
				e.refunds.add(m.Name, customer, tokens)
			}
		},
	}
	granted, wait := search.run(ctx, members)
	if after := e.quota.RefillTime(e.now(), customer, tokens); after > 0 && (wait == 0 || after < wait) {
		wait = after // this instance is a home
	}
	return granted, wait
}

// isLive reports whether a member has been heard within liveTimeout.
func (e *Edge) isLive(m membership.Member) bool {
	known, ok := e.memberTable.Get(m.Name)
	return ok && e.now().Sub(known.Heard) <= liveTimeout
}

// takeWhole takes the tokens of another instance's request. If this instance holds no share of
// the customer's limits, it returns the members of the region that do.
func (e *Edge) takeWhole(now time.Time, customer string, tokens float64) (taken bool, wait time.Duration, homes []membership.Member) {
	if e.quota.Take(now, customer, tokens) {
		return true, 0, nil
	}
	if d := e.division.Load(); d != nil && d.Share(customer) == 0 {
		homes = d.Homes(e.Settings().Region, customer)
	}
	return false, e.quota.RefillTime(now, customer, tokens), homes
}

// refundTokens returns the tokens of a request that no target processed to the customer's
// bucket, which may be a home's.
func (e *Edge) refundTokens(now time.Time, customer string, tokens float64) {
	d := e.division.Load()
	if d == nil || !d.Pooled() || d.Share(customer) > 0 {
		e.quota.Refund(now, customer, tokens)
		return
	}
	for _, m := range d.Homes(e.Settings().Region, customer) {
		if e.isLive(m) {
			e.refunds.add(m.Name, customer, tokens)
			return
		}
	}
}

// refunds holds the tokens that are returned to homes with the next heartbeats. It is safe
// for concurrent use.
type refunds struct {
	mu     sync.Mutex
	byHome map[string]map[string]float64 // tokens by name of the home and customer
}

func (r *refunds) add(home, customer string, tokens float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.byHome == nil {
		r.byHome = make(map[string]map[string]float64)
	}
	if r.byHome[home] == nil {
		r.byHome[home] = make(map[string]float64)
	}
	r.byHome[home][customer] += tokens
}

// take removes and returns the tokens that are returned to the member.
func (r *refunds) take(member string) []*fleet.Tokens {
	r.mu.Lock()
	defer r.mu.Unlock()
	var list []*fleet.Tokens
	for customer, tokens := range r.byHome[member] {
		list = append(list, &fleet.Tokens{Customer: customer, Amount: tokens})
	}
	delete(r.byHome, member)
	return list
}

// retain drops the tokens of members other than those for which keep returns true.
func (r *refunds) retain(keep func(member string) bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for member := range r.byHome {
		if !keep(member) {
			delete(r.byHome, member)
		}
	}
}
