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
	minBatchShare              = 0.1 // fraction of the admitted tokens that waiting batch requests get
	intervalWeight             = 0.1 // weight of a new interval between admissions in the moving average
	initialAdmissionsPerSecond = 20.0
)

// Item is one request to queue.
type Item struct {
	Customer string
	Weight   float64 // share of the customer relative to other customers
	Batch    bool
	Tokens   float64
	Deadline time.Time // by which the request must leave the queue
}

// RejectedError is the error for a request that is not queued, because its customer
// already has too many waiting requests or because it would wait beyond its
// deadline.
type RejectedError struct {
	Reason     string
	RetryAfter time.Duration // time after which a retry may succeed
}

// Error returns the reason with the name of the package.
func (e *RejectedError) Error() string { return fmt.Sprintf("queue: %s", e.Reason) }

// Queue admits requests while FreeSlots returns free slots and queues the others.
// The exported fields must be set before use. It is safe for concurrent use.
type Queue struct {
	// FreeSlots returns how many more requests may be sent to targets now. It must
	// not call methods of the queue, whose mutex is locked during the call.
	FreeSlots func(now time.Time) int
	// MaxWaitingPerCustomer is the maximum number of waiting requests of one
	// customer and class.
	MaxWaitingPerCustomer int

	mu                  sync.Mutex
	live                fairQueue
	batch               fairQueue
	admittedTokens      [2]float64 // of live and batch requests admitted while both waited; reset when none wait
	admissionsPerSecond float64    // moving average while requests wait; 0 if unknown
	lastAdmission       time.Time
}

type waiter struct {
	item          Item
	virtualFinish float64       // virtual time at which its tokens are served
	ready         chan struct{} // closed when the request is admitted
	abandoned     bool
}

// fairQueue holds the waiters of one class in a first-in-first-out list for each
// customer and serves them in the order of their virtual finish times (self-clocked
// fair queueing, Golestani 1994).
type fairQueue struct {
	waiters     map[string][]*waiter // by customer
	lastFinish  map[string]float64   // virtual finish time of the last waiter, by customer
	virtualTime float64
	size        int // number of waiters, including abandoned ones
}

// Wait waits until the request may be sent to a target. The error is a
// *RejectedError or ctx.Err().
func (q *Queue) Wait(ctx context.Context, now time.Time, item Item) error {
	q.mu.Lock()
	if q.live.size+q.batch.size == 0 && q.FreeSlots(now) > 0 {
		q.mu.Unlock()
		return nil
	}
	w, err := q.enqueue(now, item)
	q.mu.Unlock()
	if err != nil {
		return err
	}
	select {
	case <-w.ready:
		return nil
	case <-ctx.Done():
		return q.abandon(w, ctx.Err())
	}
}

// enqueue adds the item to the queue of its class. The caller must hold q.mu.
func (q *Queue) enqueue(now time.Time, item Item) (*waiter, error) {
	class := q.queueFor(item.Batch)
	wait := q.expectedWait(item)
	if len(class.waiters[item.Customer]) >= q.MaxWaitingPerCustomer {
		return nil, &RejectedError{Reason: "the customer's part of the queue is full", RetryAfter: max(wait, 100*time.Millisecond)}
	}
	if now.Add(wait).After(item.Deadline) {
		return nil, &RejectedError{Reason: "its turn would come after the deadline", RetryAfter: wait}
	}
	return class.push(item), nil
}

// expectedWait estimates how long a new item would wait.
func (q *Queue) expectedWait(item Item) time.Duration {
	ahead := q.live.size
	if item.Batch {
		ahead += q.batch.size
	}
	rate := q.admissionsPerSecond
	if rate <= 0 {
		rate = initialAdmissionsPerSecond
	}
	return time.Duration(float64(ahead) / rate * float64(time.Second))
}

// abandon marks a waiter whose context is done and returns err. If the waiter was
// admitted at the same time, the next Admit gives its slot to another one.
func (q *Queue) abandon(w *waiter, err error) error {
	q.mu.Lock()
	defer q.mu.Unlock()
	w.abandoned = true
	return err
}

// Admit admits waiting requests while there are free slots. It must be called when
// a request ends and when load reports arrive.
func (q *Queue) Admit(now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for free := q.FreeSlots(now); free > 0; free-- {
		w := q.pop()
		if w == nil {
			return
		}
		q.recordAdmission(now)
		close(w.ready)
	}
}

// recordAdmission updates the average rate of admissions. Intervals of 5 s or more
// are ignored.
func (q *Queue) recordAdmission(now time.Time) {
	if seconds := now.Sub(q.lastAdmission).Seconds(); !q.lastAdmission.IsZero() && seconds < 5 {
		rate := 1 / max(seconds, 1e-4)
		if q.admissionsPerSecond == 0 {
			q.admissionsPerSecond = initialAdmissionsPerSecond
		}
		q.admissionsPerSecond = 1 / ((1-intervalWeight)/q.admissionsPerSecond + intervalWeight/rate)
	}
	q.lastAdmission = now
}

// pop removes and returns the next waiter, or nil if none waits. It prefers live
// requests unless batch requests are below their minimum share.
func (q *Queue) pop() *waiter {
	q.live.dropAbandoned()
	q.batch.dropAbandoned()
	switch {
	case q.live.size == 0 && q.batch.size == 0:
		q.admittedTokens = [2]float64{}
		return nil
	case q.live.size == 0:
		return q.batch.pop()
	case q.batch.size == 0:
		return q.live.pop()
	}
	total := q.admittedTokens[0] + q.admittedTokens[1]
	if q.admittedTokens[1] < minBatchShare*total {
		w := q.batch.pop()
		q.admittedTokens[1] += w.item.Tokens
		return w
	}
	w := q.live.pop()
	q.admittedTokens[0] += w.item.Tokens
	return w
}

// Len returns the number of queued requests, including abandoned ones that
// were not dropped yet.
func (q *Queue) Len() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.live.size + q.batch.size
}

func (q *Queue) queueFor(batch bool) *fairQueue {
	if batch {
		return &q.batch
	}
	return &q.live
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
