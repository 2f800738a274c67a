// Package queue holds requests that wait for a target: bounded for each
// customer, fair among customers by weighted tokens, live calls before batch
// calls, with a floor so that batch calls still arrive.
package queue

import (
	"context"
	"fmt"
	"sync"
	"time"
)

const (
	batchFloor  = 0.1 // part of the granted tokens that waiting batch calls get
	rateMemo    = 0.1 // weight of a new gap between grants in the average
	startupRate = 20.0
)

// Item is one waiting request.
type Item struct {
	Customer string
	Weight   float64
	Batch    bool
	Tokens   float64
	Deadline time.Time
}

// Full is the error of a request that the queue does not take, since its
// customer's part is full or its turn would come after its deadline.
type Full struct {
	Reason string
	Retry  time.Duration // when the queue is expected to have moved on
}

// Error returns the reason.
func (e *Full) Error() string { return fmt.Sprintf("queue: %s", e.Reason) }

// Gate lets requests through while Room has slots. Its fields are set before
// use. It is safe for concurrent use.
type Gate struct {
	// Room returns how many more requests may go to targets now.
	Room func(now time.Time) int
	// Bound is how many requests of one customer wait.
	Bound int

	mu      sync.Mutex
	live    lane
	batch   lane
	granted [2]float64 // tokens granted to live and batch since both wait
	rate    float64    // grants a second while requests wait
	last    time.Time  // of the last grant
}

type waiter struct {
	item   Item
	finish float64 // virtual time at which its tokens are served
	ready  chan struct{}
	done   bool
}

// lane is one class: a first-in-first-out list for each customer, served in
// the order of virtual finish times (start-time fair queueing, Goyal et al. 1996).
type lane struct {
	customers map[string][]*waiter
	last      map[string]float64
	clock     float64
	size      int
}

// Enter waits until the request may go to a target. The error is a *Full, or
// the context's.
func (g *Gate) Enter(ctx context.Context, now time.Time, item Item) error {
	g.mu.Lock()
	if g.live.size+g.batch.size == 0 && g.Room(now) > 0 {
		g.mu.Unlock()
		return nil
	}
	w, err := g.push(now, item)
	g.mu.Unlock()
	if err != nil {
		return err
	}
	select {
	case <-w.ready:
		return nil
	case <-ctx.Done():
		return g.leave(w, ctx.Err())
	}
}

func (g *Gate) push(now time.Time, item Item) (*waiter, error) {
	l := g.lane(item.Batch)
	wait := g.expect(item)
	if len(l.customers[item.Customer]) >= g.Bound {
		return nil, &Full{Reason: "the customer's part of the queue is full", Retry: max(wait, 100*time.Millisecond)}
	}
	if now.Add(wait).After(item.Deadline) {
		return nil, &Full{Reason: "its turn would come after the deadline", Retry: wait}
	}
	return l.push(item), nil
}

// expect estimates how long a new item would wait.
func (g *Gate) expect(item Item) time.Duration {
	ahead := g.live.size
	if item.Batch {
		ahead += g.batch.size
	}
	rate := g.rate
	if rate <= 0 {
		rate = startupRate
	}
	return time.Duration(float64(ahead) / rate * float64(time.Second))
}

// leave takes a waiter out whose caller gave up. Its turn may have come at the
// same moment; then it is passed on by the next Pump.
func (g *Gate) leave(w *waiter, err error) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	w.done = true
	return err
}

// Pump lets waiting requests through as far as there is room. It is called when
// a request ends and when load reports arrive.
func (g *Gate) Pump(now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for room := g.Room(now); room > 0; room-- {
		w := g.pop()
		if w == nil {
			return
		}
		g.note(now)
		close(w.ready)
	}
}

func (g *Gate) note(now time.Time) {
	if gap := now.Sub(g.last).Seconds(); !g.last.IsZero() && gap < 5 {
		rate := 1 / max(gap, 1e-4)
		if g.rate == 0 {
			g.rate = startupRate
		}
		g.rate = 1 / ((1-rateMemo)/g.rate + rateMemo/rate)
	}
	g.last = now
}

// pop returns the next waiter: of the live lane unless batch is owed.
func (g *Gate) pop() *waiter {
	g.live.skip()
	g.batch.skip()
	switch {
	case g.live.size == 0 && g.batch.size == 0:
		g.granted = [2]float64{}
		return nil
	case g.live.size == 0:
		return g.batch.pop()
	case g.batch.size == 0:
		return g.live.pop()
	}
	total := g.granted[0] + g.granted[1]
	if g.granted[1] < batchFloor*total {
		w := g.batch.pop()
		g.granted[1] += w.item.Tokens
		return w
	}
	w := g.live.pop()
	g.granted[0] += w.item.Tokens
	return w
}

// Waiting returns how many requests wait.
func (g *Gate) Waiting() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.live.size + g.batch.size
}

func (g *Gate) lane(batch bool) *lane {
	if batch {
		return &g.batch
	}
	return &g.live
}

func (l *lane) push(item Item) *waiter {
	if l.customers == nil {
		l.customers = make(map[string][]*waiter)
		l.last = make(map[string]float64)
	}
	start := max(l.clock, l.last[item.Customer])
	w := &waiter{item: item, ready: make(chan struct{})}
	w.finish = start + max(item.Tokens, 1)/max(item.Weight, 1e-3)
	l.last[item.Customer] = w.finish
	l.customers[item.Customer] = append(l.customers[item.Customer], w)
	l.size++
	return w
}

// skip drops waiters whose caller gave up.
func (l *lane) skip() {
	for name, list := range l.customers {
		for len(list) > 0 && list[0].done {
			list = list[1:]
			l.size--
		}
		l.set(name, list)
	}
}

func (l *lane) set(name string, list []*waiter) {
	if len(list) == 0 {
		delete(l.customers, name)
		if l.last[name] <= l.clock {
			delete(l.last, name)
		}
		return
	}
	l.customers[name] = list
}

func (l *lane) pop() *waiter {
	best := ""
	for name, list := range l.customers {
		if best == "" || list[0].finish < l.customers[best][0].finish {
			best = name
		}
	}
	list := l.customers[best]
	w := list[0]
	l.clock = max(l.clock, w.finish)
	l.size--
	l.set(best, list[1:])
	return w
}
