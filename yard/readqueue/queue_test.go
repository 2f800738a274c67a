package readqueue_test

import (
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"

	"chervilyard.example/yard/readqueue"
)

// Guards against a queue that differs from that of an engine which reads in the order of
// arrival: tokens that are known at once are all counted until they are read, and those that are
// known later count as if they had been, where the engine did not fall idle in between.
func TestQueueFollowsEngine(t *testing.T) {
	const perTokenMS = 0.01
	rapid.Check(t, func(t *rapid.T) {
		start := time.Unix(1_700_000_000, 0)
		now, freeAt := start, start // of the engine
		var q readqueue.Queue
		for range rapid.IntRange(1, 50).Draw(t, "events") {
			now = now.Add(time.Duration(rapid.IntRange(0, 200).Draw(t, "pause")) * time.Millisecond)
			tokens := rapid.IntRange(0, 20_000).Draw(t, "tokens")
			sentAt := now
			if freeAt.After(now) { // else part of the late tokens would have been read in an idle time
				sentAt = now.Add(-time.Duration(rapid.IntRange(0, 100).Draw(t, "age")) * time.Millisecond)
			}
			if freeAt.Before(sentAt) {
				freeAt = sentAt
			}
			freeAt = freeAt.Add(time.Duration(float64(tokens) * perTokenMS * float64(time.Millisecond)))
			q.Add(now, sentAt, tokens, perTokenMS)
			want := max(freeAt.Sub(now).Seconds()*1000/perTokenMS, 0)
			if got := q.Tokens(now, perTokenMS); math.Abs(got-want) > 1 {
				t.Fatalf("%v tokens after %v, the engine has %v to read", got, now.Sub(start), want)
			}
		}
	})
}

// Guards against tokens that stay in the queue although a first event shows that they were read, or
// although their request has ended, and against removing those that came later.
func TestReadAndRemove(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	var q readqueue.Queue
	q.Add(now, now, 5000, 1)
	mark := q.Add(now, now, 1000, 1)
	q.Add(now, now, 300, 1)
	q.Read(now, mark, 1)
	if got := q.Tokens(now, 1); got != 300 {
		t.Errorf("%v tokens after all but 300 were read", got)
	}
	q.Add(now, now.Add(-time.Second), 4000, 1)
	if got := q.Tokens(now, 1); got != 300 {
		t.Errorf("%v tokens, those that were sent before the request that was read count again", got)
	}
	q.Remove(now, 200, 1)
	q.Limit(now, 250, 1)
	if got := q.Tokens(now, 1); got != 100 {
		t.Errorf("%v tokens, want 100", got)
	}
}
