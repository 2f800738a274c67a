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

// maxHomesAsked bounds the members of a region that are asked for the tokens of one request.
const maxHomesAsked = 6

// takeFromHomes takes the tokens of a request from a customer's home: one of the region or,
// if those have too few, one of another region. If none grants them, it returns the
// shortest time after which one may.
func (e *Edge) takeFromHomes(ctx context.Context, d division.Division, customer string, tokens float64) (bool, time.Duration) {
	own := e.Settings().Region
	regions := []string{own}
	others := d.Regions()
	rand.Shuffle(len(others), func(a, b int) { others[a], others[b] = others[b], others[a] })
	for _, region := range others {
		if region != own {
			regions = append(regions, region)
		}
	}
	search := homeSearch{
		self: e.Settings().Name,
		wait: e.quota.RefillTime(e.now(), customer, tokens), // 0 unless this instance is a home
		ask: func(ctx context.Context, m membership.Member) (bool, time.Duration, []membership.Member) {
			return e.gossiper.RequestWhole(ctx, m, customer, tokens)
		},
	}
	for _, region := range regions {
		homes := d.Homes(region, customer)
		if region != own && len(homes) > 1 {
			homes = homes[:1] // there is no time for more
		}
		homes = slices.DeleteFunc(homes, func(m membership.Member) bool { return !e.isLive(m) })
		if search.run(ctx, homes) {
			return true, 0
		}
	}
	return false, search.wait
}

// homeSearch asks the homes of a customer for the tokens of one request.
type homeSearch struct {
	self string
	wait time.Duration // until a home may grant the tokens, if known
	// ask asks a member, which grants the tokens, or returns the time after which it may and
	// the members that it takes for homes if it is none.
	ask func(ctx context.Context, m membership.Member) (granted bool, wait time.Duration, homes []membership.Member)
}

// run asks the members of a region, and those that they name, until one grants the tokens, and
// reports whether one did. Instances that have not heard of the same members yet have
// different plans of the homes.
func (s *homeSearch) run(ctx context.Context, members []membership.Member) bool {
	for n := 0; n < len(members) && n < maxHomesAsked && ctx.Err() == nil; n++ {
		granted, wait, homes := s.ask(ctx, members[n])
		if granted {
			return true
		}
		if wait > 0 && (s.wait == 0 || wait < s.wait) {
			s.wait = wait
		}
		for _, home := range homes {
			known := func(m membership.Member) bool { return m.Name == home.Name }
			if home.Name != s.self && !slices.ContainsFunc(members, known) {
				members = append(members, home)
			}
		}
	}
	return false
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
