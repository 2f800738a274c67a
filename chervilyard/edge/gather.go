package edge

import (
	"context"
	"sync"
	"time"

	"chervilyard.example/yard/membership"
)

const (
	// emptyPause is how long after a fruitless gathering no other is begun for
	// the customer.
	emptyPause = 150 * time.Millisecond
	// askedFar members of each other region are asked at once.
	askedFar = 2
)

// gathering lets the requests of one customer share one round of asking.
type gathering struct {
	mu     sync.Mutex
	rounds map[string]chan struct{} // under way, by customer; closed at the end
	empty  map[string]time.Time
}

// gather takes a request's tokens with the help of the region's instances and
// then of other regions'.
func (e *Edge) gather(ctx context.Context, customer string, tokens float64) bool {
	for _, ask := range []func() []membership.Member{e.nearMembers, e.farMembers} {
		asked := e.ask(ctx, customer, tokens, ask())
		if e.book.Take(e.now(), customer, tokens) {
			return true
		}
		if !asked {
			return false
		}
	}
	return false
}

// ask runs a round, or waits for the one under way. It returns false where
// there is none to wait for, or the context ended.
func (e *Edge) ask(ctx context.Context, customer string, tokens float64, members []membership.Member) bool {
	now := e.now()
	g := &e.gathering
	g.mu.Lock()
	if g.rounds == nil {
		g.rounds, g.empty = make(map[string]chan struct{}), make(map[string]time.Time)
	}
	r := g.rounds[customer]
	if r == nil && now.Sub(g.empty[customer]) < emptyPause {
		g.mu.Unlock()
		return false
	}
	if r == nil {
		r = make(chan struct{})
		g.rounds[customer] = r
		go e.runRound(ctx, r, customer, tokens, members)
	}
	g.mu.Unlock()
	select {
	case <-r:
		return true
	case <-ctx.Done():
		return false
	}
}

func (e *Edge) runRound(ctx context.Context, r chan<- struct{}, customer string, tokens float64, members []membership.Member) {
	lack := e.book.Lack(e.now(), customer, tokens)
	e.beats.Ask(ctx, members, customer, lack)
	g := &e.gathering
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.rounds, customer)
	far := len(members) > 0 && members[0].Region != e.Settings().Region
	if now := e.now(); far && e.book.Lack(now, customer, tokens) >= lack {
		g.empty[customer] = now
	}
	close(r)
}

func (e *Edge) nearMembers() []membership.Member {
	return e.pickMembers(func(region string, _ int) bool { return region == e.Settings().Region })
}

func (e *Edge) farMembers() []membership.Member {
	return e.pickMembers(func(region string, n int) bool { return region != e.Settings().Region && n < askedFar })
}

// pickMembers returns live members by their region and how many of it were
// picked already.
func (e *Edge) pickMembers(fits func(region string, n int) bool) []membership.Member {
	counts := make(map[string]int)
	var list []membership.Member
	for _, m := range e.table.Live(e.now(), liveTime) {
		if fits(m.Region, counts[m.Region]) {
			counts[m.Region]++
			list = append(list, m)
		}
	}
	return list
}
