package queue_test

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"chervilyard.example/yard/queue"
)

// drain queues the items at a queue without free slots, admits them one at a time
// and returns their customers in that order.
func drain(t *testing.T, q *queue.Queue, items []queue.Item) []string {
	t.Helper()
	free := 0
	q.FreeSlots = func(time.Time) int { return free }
	var order []string
	synctest.Test(t, func(t *testing.T) {
		done := make(chan string, len(items))
		for _, item := range items {
			item.Deadline = time.Now().Add(time.Hour)
			go func() {
				if err := q.Wait(t.Context(), time.Now(), item); err != nil {
					t.Errorf("%s: %v", item.Customer, err)
				}
				done <- item.Customer
			}()
			synctest.Wait()
		}
		free = 1
		for range items {
			q.Admit(time.Now())
			order = append(order, <-done)
		}
	})
	return order
}

func repeat(item queue.Item, n int) []queue.Item {
	var list []queue.Item
	for range n {
		list = append(list, item)
	}
	return list
}

// TestFair checks that tokens are shared by the weights of the customers, not by
// the order of arrival.
func TestFair(t *testing.T) {
	items := repeat(queue.Item{Customer: "greedy", Weight: 1, Tokens: 100}, 20)
	items = append(items, repeat(queue.Item{Customer: "double", Weight: 2, Tokens: 100}, 20)...)
	order := drain(t, &queue.Queue{MaxWaitingPerCustomer: 100}, items)
	got := map[string]int{}
	for _, c := range order[:15] {
		got[c]++
	}
	if got["double"] < 9 || got["double"] > 11 {
		t.Errorf("the customer of weight 2 got %d of the first 15 calls, want 9 to 11", got["double"])
	}
}

// TestBatchFloor checks that live requests go first and batch requests are not
// starved.
func TestBatchFloor(t *testing.T) {
	items := repeat(queue.Item{Customer: "batch", Weight: 1, Tokens: 100, Batch: true}, 10)
	items = append(items, repeat(queue.Item{Customer: "live", Weight: 1, Tokens: 100}, 40)...)
	order := drain(t, &queue.Queue{MaxWaitingPerCustomer: 100}, items)
	batch := 0
	for _, c := range order[:30] {
		if c == "batch" {
			batch++
		}
	}
	if batch < 2 || batch > 5 {
		t.Errorf("%d of the first 30 calls were batch, want 2 to 5", batch)
	}
}

// TestRefusals checks that a request is rejected at once, with a time to retry, if
// its customer has too many waiting requests or it would wait beyond its deadline.
func TestRefusals(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := &queue.Queue{MaxWaitingPerCustomer: 2, FreeSlots: func(time.Time) int { return 0 }}
		ctx, cancel := context.WithCancel(t.Context())
		for range 2 {
			go func() {
				_ = q.Wait(ctx, time.Now(), queue.Item{Customer: "a", Weight: 1, Deadline: time.Now().Add(time.Hour)})
			}()
		}
		synctest.Wait()
		var rejected *queue.RejectedError
		if err := q.Wait(ctx, time.Now(), queue.Item{Customer: "a", Weight: 1, Deadline: time.Now().Add(time.Hour)}); !errors.As(err, &rejected) || rejected.RetryAfter <= 0 {
			t.Errorf("a full part of the queue: got error %v, want a *RejectedError with a time to retry", err)
		}
		if err := q.Wait(ctx, time.Now(), queue.Item{Customer: "b", Weight: 1, Deadline: time.Now().Add(time.Millisecond)}); !errors.As(err, &rejected) {
			t.Errorf("a turn after the deadline: got error %v, want a *RejectedError", err)
		}
		cancel()
		synctest.Wait()
	})
}
