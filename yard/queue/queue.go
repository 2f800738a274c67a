// Package queue queues requests that wait for a target. The queue is bounded for
// each customer and shared among customers by weighted fair queueing of tokens.
// Live requests go before batch requests, which get a minimum share so that they
// are not starved.
package queue

import (
	"context"
	"fmt"
	"sync"
	"time"
)

const (
	minBatchShare          = 0.1 // fraction of the granted tokens that waiting batch requests get
	intervalWeight         = 0.1 // weight of a new interval between grants in the moving average
	initialGrantsPerSecond = 20.0
)

// Item is one request to queue.
type Item struct {
	Customer string
	Weight   float64 // share of the customer relative to other customers
	Batch    bool
	Tokens   float64
	Deadline time.Time // for leaving the queue
}

// RejectedError is the error for a request that is not queued, because its customer already
// has too many waiting requests or because it would wait beyond its deadline.
type RejectedError struct {
	Reason     string
	RetryAfter time.Duration // time after which a retry may succeed
}

// Error returns the reason with the name of the package.
func (e *RejectedError) Error() string { return fmt.Sprintf("queue: %s", e.Reason) }

// Queue admits requests while FreeSlots returns free slots and queues the others. The
// exported fields must be set before use. It is safe for concurrent use.
type Queue struct {
	// FreeSlots returns how many more requests may be sent to targets now.
	FreeSlots func(now time.Time) int
	// MaxWaitingPerCustomer is the maximum number of waiting requests of one customer and class.
	MaxWaitingPerCustomer int

	mu              sync.Mutex
	live            fairQueue
	batch           fairQueue
	grantedTokens   [2]float64 // to live and batch requests while both waited; reset when none wait
	grantsPerSecond float64    // moving average while requests wait; 0 if unknown
	lastGrant       time.Time
}

type waiter struct {
	item          Item
	virtualFinish float64       // virtual time at which its tokens are served
	ready         chan struct{} // closed when the request is admitted
	abandoned     bool
}

// fairQueue holds the waiters of one class in a first-in-first-out list for each
// customer and serves them in the order of their virtual finish times (start-time
// fair queueing, Goyal et al. 1996).
type fairQueue struct {
	waiters     map[string][]*waiter // by customer
	lastFinish  map[string]float64   // virtual finish time of the last waiter, by customer
	virtualTime float64
	size        int
}

// Wait waits until the request may be sent to a target. The error is a *RejectedError or
// ctx.Err().
func (g *Queue) Wait(ctx context.Context, now time.Time, item Item) error {
	g.mu.Lock()
	if g.live.size+g.batch.size == 0 && g.FreeSlots(now) > 0 {
		g.mu.Unlock()
		return nil
	}
	w, err := g.enqueue(now, item)
	g.mu.Unlock()
	if err != nil {
		return err
	}
	select {
	case <-w.ready:
		return nil
	case <-ctx.Done():
		return g.abandon(w, ctx.Err())
	}
}

// enqueue adds the item to the queue of its class. The caller must hold g.mu.
func (g *Queue) enqueue(now time.Time, item Item) (*waiter, error) {
	class := g.queueFor(item.Batch)
	wait := g.expectedWait(item)
	if len(class.waiters[item.Customer]) >= g.MaxWaitingPerCustomer {
		return nil, &RejectedError{Reason: "the customer's part of the queue is full", RetryAfter: max(wait, 100*time.Millisecond)}
	}
	if now.Add(wait).After(item.Deadline) {
		return nil, &RejectedError{Reason: "its turn would come after the deadline", RetryAfter: wait}
	}
	return class.push(item), nil
}

// expectedWait estimates how long a new item would wait.
func (g *Queue) expectedWait(item Item) time.Duration {
	ahead := g.live.size
	if item.Batch {
		ahead += g.batch.size
	}
	rate := g.grantsPerSecond
	if rate <= 0 {
		rate = initialGrantsPerSecond
	}
	return time.Duration(float64(ahead) / rate * float64(time.Second))
}

// abandon marks a waiter whose context is done and returns err. If the waiter was
// admitted at the same time, the next Admit gives its slot to another one.
func (g *Queue) abandon(w *waiter, err error) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	w.abandoned = true
	return err
}

// Admit admits waiting requests while there are free slots. It must be called when
// a request ends and when load reports arrive.
func (g *Queue) Admit(now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for room := g.FreeSlots(now); room > 0; room-- {
		w := g.pop()
		if w == nil {
			return
		}
		g.recordGrant(now)
		close(w.ready)
	}
}

// recordGrant updates the average rate of grants. Intervals of 5 s or more are
// ignored.
func (g *Queue) recordGrant(now time.Time) {
	if seconds := now.Sub(g.lastGrant).Seconds(); !g.lastGrant.IsZero() && seconds < 5 {
		rate := 1 / max(seconds, 1e-4)
		if g.grantsPerSecond == 0 {
			g.grantsPerSecond = initialGrantsPerSecond
		}
		g.grantsPerSecond = 1 / ((1-intervalWeight)/g.grantsPerSecond + intervalWeight/rate)
	}
	g.lastGrant = now
}

// pop removes and returns the next waiter, or nil if none waits. It prefers live
// requests unless batch requests are below their minimum share.
func (g *Queue) pop() *waiter {
	g.live.dropAbandoned()
	g.batch.dropAbandoned()
	switch {
	case g.live.size == 0 && g.batch.size == 0:
		g.grantedTokens = [2]float64{}
		return nil
	case g.live.size == 0:
		return g.batch.pop()
	case g.batch.size == 0:
		return g.live.pop()
	}
	total := g.grantedTokens[0] + g.grantedTokens[1]
	if g.grantedTokens[1] < minBatchShare*total {
		w := g.batch.pop()
		g.grantedTokens[1] += w.item.Tokens
		return w
	}
	w := g.live.pop()
	g.grantedTokens[0] += w.item.Tokens
	return w
}

// Len returns the number of queued requests, including abandoned ones that
// were not dropped yet.
func (g *Queue) Len() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.live.size + g.batch.size
}

func (g *Queue) queueFor(batch bool) *fairQueue {
	if batch {
		return &g.batch
	}
	return &g.live
}

func (q *fairQueue) push(item Item) *waiter {
	if q.waiters == nil {
		q.waiters = make(map[string][]*waiter)
		q.lastFinish = make(map[string]float64)
	}
	start := max(q.virtualTime, q.lastFinish[item.Customer])
	w := &waiter{item: item, ready: make(chan struct{})}
	w.virtualFinish = start + max(item.Tokens, 1)/max(item.Weight, 1e-3)
	q.lastFinish[item.Customer] = w.virtualFinish
	q.waiters[item.Customer] = append(q.waiters[item.Customer], w)
	q.size++
	return w
}

// dropAbandoned removes abandoned waiters from the head of each customer's list.
func (q *fairQueue) dropAbandoned() {
	for customer, list := range q.waiters {
		for len(list) > 0 && list[0].abandoned {
			list = list[1:]
			q.size--
		}
		q.setWaiters(customer, list)
	}
}

// setWaiters replaces the list of a customer. It deletes an empty list, and the last
// finish time if it no longer delays new requests of the customer.
func (q *fairQueue) setWaiters(customer string, list []*waiter) {
	if len(list) == 0 {
		delete(q.waiters, customer)
		if q.lastFinish[customer] <= q.virtualTime {
			delete(q.lastFinish, customer)
		}
		return
	}
	q.waiters[customer] = list
}

// pop removes and returns the waiter with the earliest virtual finish time. The
// queue must not be empty.
func (q *fairQueue) pop() *waiter {
	best := ""
	for customer, list := range q.waiters {
		if best == "" || list[0].virtualFinish < q.waiters[best][0].virtualFinish {
			best = customer
		}
	}
	list := q.waiters[best]
	w := list[0]
	q.virtualTime = max(q.virtualTime, w.virtualFinish)
	q.size--
	q.setWaiters(best, list[1:])
	return w
}
