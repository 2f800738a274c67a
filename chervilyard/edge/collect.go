package edge

import (
	"context"
	"sync"
	"time"

	"chervilyard.example/yard/membership"
)

const (
	// collectBackoff is how long no round is started for a customer after a round
	// with other regions that gained no tokens.
	collectBackoff = 150 * time.Millisecond
	// askedPerRemoteRegion bounds the members that are asked in each other region.
	askedPerRemoteRegion = 2
)

// tokenCollector merges concurrent token requests of a customer into one round. It is
// safe for concurrent use.
type tokenCollector struct {
	mu       sync.Mutex
	rounds   map[string]chan struct{} // in progress, by customer; closed at the end of the round
	failedAt map[string]time.Time     // when collectBackoff last began, by customer
}

// collectTokens requests tokens from the instances of the region and then from those of
// other regions. It reports whether the request's tokens could be taken from the quota, and
// otherwise the time after which they may. It takes longer than the patience only if homes that
// it asks do not answer.
func (e *Edge) collectTokens(ctx context.Context, customer string, tokens float64, patience time.Duration) (bool, time.Duration) {
	if d := e.division.Load(); d != nil && d.Pooled() {
		return e.takeFromHomes(ctx, *d, customer, tokens, patience)
	}
	ctx, cancel := context.WithTimeout(ctx, patience)
	defer cancel()
	return e.gatherTokens(ctx, customer, tokens), e.quota.RefillTime(e.now(), customer, tokens)
}

// gatherTokens moves tokens of the others to this instance's bucket until it holds the
// request's, and takes them.
func (e *Edge) gatherTokens(ctx context.Context, customer string, tokens float64) bool {
	for _, candidates := range []func() []membership.Member{e.localMembers, e.remoteMembers} {
		finished := e.joinRound(ctx, customer, tokens, candidates())
		if e.quota.Take(e.now(), customer, tokens) {
			return true
		}
		if !finished {
			return false
		}
	}
	return false
}

// joinRound joins the customer's round in progress, or starts one, and waits for
// its end. It returns false if collectBackoff prevents a new round, or if the context
// ended.
func (e *Edge) joinRound(ctx context.Context, customer string, tokens float64, members []membership.Member) bool {
	now := e.now()
	c := &e.collector
	c.mu.Lock()
	if c.rounds == nil {
		c.rounds, c.failedAt = make(map[string]chan struct{}), make(map[string]time.Time)
	}
	done := c.rounds[customer]
	if done == nil && now.Sub(c.failedAt[customer]) < collectBackoff {
		c.mu.Unlock()
		return false
	}
	if done == nil {
		done = make(chan struct{})
		c.rounds[customer] = done
		go e.runRound(ctx, done, customer, tokens, members)
	}
	c.mu.Unlock()
	select {
	case <-done:
		return true
	case <-ctx.Done():
		return false
	}
}

// runRound requests the missing tokens from the members and closes done at the end.
// Only a round with members of other regions starts the backoff, since it is the
// last resort.
func (e *Edge) runRound(ctx context.Context, done chan<- struct{}, customer string, tokens float64, members []membership.Member) {
	missing := e.quota.Deficit(e.now(), customer, tokens)
	e.gossiper.RequestTokens(ctx, members, customer, missing)
	c := &e.collector
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.rounds, customer)
	remote := len(members) > 0 && members[0].Region != e.Settings().Region
	if now := e.now(); remote && e.quota.Deficit(now, customer, tokens) >= missing {
		c.failedAt[customer] = now
	}
	close(done)
}

func (e *Edge) localMembers() []membership.Member {
	return e.liveMembers(func(region string, _ int) bool { return region == e.Settings().Region })
}

func (e *Edge) remoteMembers() []membership.Member {
	return e.liveMembers(func(region string, n int) bool { return region != e.Settings().Region && n < askedPerRemoteRegion })
}

// liveMembers returns the live members for which include returns true, given their
// region and the number of members already selected there.
func (e *Edge) liveMembers(include func(region string, n int) bool) []membership.Member {
	counts := make(map[string]int)
	var list []membership.Member
	for _, m := range e.memberTable.Live(e.now(), liveTimeout) {
		if include(m.Region, counts[m.Region]) {
			counts[m.Region]++
			list = append(list, m)
		}
	}
	return list
}
