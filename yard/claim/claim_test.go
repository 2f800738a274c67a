package claim_test

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"pgregory.net/rapid"

	"chervilyard.example/yard/claim"
	"chervilyard.example/yard/memory"
	"chervilyard.example/yard/store"
)

func init() {
	for name, value := range map[string]string{"rapid.seed": "7", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
}

// shaky is a store whose n-th write is lost before or after it takes effect.
type shaky struct {
	store  memory.Store
	writes atomic.Int64
	blind  atomic.Bool // reads fail
	lose   func(n int64) (before, after bool)
}

func (s *shaky) get(_ context.Context, key string) (store.Value, error) {
	if s.blind.Load() {
		return store.Value{}, &store.Error{Op: "get", Key: key, Kind: store.Down}
	}
	return s.store.Get(key), nil
}

func (s *shaky) put(_ context.Context, key string, data []byte, expected int64) (int64, error) {
	before, after := s.lose(s.writes.Add(1))
	if before {
		return 0, &store.Error{Op: "put", Key: key, Kind: store.Unknown}
	}
	v, ok := s.store.Put(key, data, expected)
	switch {
	case after:
		return 0, &store.Error{Op: "put", Key: key, Kind: store.Unknown}
	case !ok:
		return 0, &store.Error{Op: "put", Key: key, Kind: store.Conflict, Revision: v.Revision}
	}
	return v.Revision, nil
}

var attempts atomic.Int64

func ledger(t testing.TB, s *shaky) *claim.Ledger {
	l := &claim.Ledger{
		Get: s.get, Put: s.put, Prefix: "claim/", Age: time.Hour, Now: time.Now,
		Random: func() string { return fmt.Sprint(attempts.Add(1)) },
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := l.Start(ctx)
	t.Cleanup(func() {
		cancel()
		<-ended
	})
	return l
}

type input struct{ attempt int }

type output struct {
	fresh   bool
	unknown bool
}

// onceModel allows one fresh claim of a key; a claim that was not proven may
// have been the one, and counts for nothing once it is withdrawn.
var onceModel = porcupine.Model{
	Init: func() any { return false },
	Step: func(state, _, out any) (bool, any) {
		o := out.(output)
		if o.fresh {
			return !state.(bool), true
		}
		return true, state
	},
}

// TestAtMostOnce checks claims of one key by several ledgers, through lost
// writes and lost answers, against a model that lets one attempt run.
func TestAtMostOnce(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		pattern := rapid.SliceOfN(rapid.IntRange(0, 3), 1, 12).Draw(r, "losses")
		s := &shaky{lose: func(n int64) (bool, bool) {
			p := pattern[int(n)%len(pattern)]
			return p == 1, p == 2
		}}
		if allLost(pattern) {
			return
		}
		history := race(t, s, rapid.IntRange(1, 4).Draw(r, "instances"), rapid.IntRange(1, 4).Draw(r, "calls"))
		if !porcupine.CheckOperations(onceModel, history) {
			r.Fatalf("two attempts were let run: %+v", history)
		}
	})
}

func allLost(pattern []int) bool {
	for _, p := range pattern {
		if p == 0 || p == 3 {
			return false
		}
	}
	return true
}

func race(t *testing.T, s *shaky, instances, calls int) []porcupine.Operation {
	var mu sync.Mutex
	var history []porcupine.Operation
	var wait sync.WaitGroup
	begin := time.Now()
	for i := range instances {
		l := ledger(t, s)
		for c := range calls {
			wait.Add(1)
			go func() {
				defer wait.Done()
				called := time.Since(begin)
				id, bucket := claim.ID("customer", "booking", "key")
				_, fresh, err := l.Claim(context.Background(), id, bucket, "body")
				var unproven *claim.Unproven
				o := output{fresh: fresh && err == nil, unknown: errors.As(err, &unproven)}
				mu.Lock()
				defer mu.Unlock()
				history = append(history, porcupine.Operation{
					ClientId: i*calls + c, Input: input{c}, Call: int64(called), Output: o, Return: int64(time.Since(begin)),
				})
			}()
		}
	}
	wait.Wait()
	return history
}

// TestOutcome checks that a repeat finds the outcome, at another instance and
// after lost answers.
func TestOutcome(t *testing.T) {
	s := &shaky{lose: func(n int64) (bool, bool) { return n%3 == 1, n%3 == 2 }}
	a, b := ledger(t, s), ledger(t, s)
	id, bucket := claim.ID("c", "r", "k")
	mine, fresh, err := a.Claim(t.Context(), id, bucket, "body")
	if err != nil || !fresh {
		t.Fatalf("fresh %v, %v", fresh, err)
	}
	if _, again, err := b.Claim(t.Context(), id, bucket, "body"); err != nil || again {
		t.Fatalf("a second claim was let run: %v", err)
	}
	if err := a.Finish(t.Context(), bucket, mine, claim.Done, claim.Outcome{Status: 201, Body: []byte("made")}); err != nil {
		t.Fatal(err)
	}
	r, again, err := b.Claim(t.Context(), id, bucket, "body")
	if err != nil || again || r.State != claim.Done || string(r.Outcome.Body) != "made" {
		t.Errorf("repeat found %+v, fresh %v, %v", r, again, err)
	}
}

// TestWithdrawn checks that a claim which was given up does not stand in the
// way of the next call with its key.
func TestWithdrawn(t *testing.T) {
	s := &shaky{}
	s.lose = func(int64) (bool, bool) {
		s.blind.Store(true) // the write takes effect, and then nothing answers
		return false, true
	}
	l := ledger(t, s)
	id, bucket := claim.ID("c", "r", "k")
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	var unproven *claim.Unproven
	if _, _, err := l.Claim(ctx, id, bucket, "body"); !errors.As(err, &unproven) {
		t.Fatalf("claim without an answer of the store: %v", err)
	}
	s.lose = func(int64) (bool, bool) { return false, false }
	s.blind.Store(false)
	if _, fresh, err := l.Claim(t.Context(), id, bucket, "body"); err != nil || !fresh {
		t.Errorf("fresh %v, %v", fresh, err)
	}
}

// TestWritesGrowSlowly checks that calls which arrive during a write share the
// next one.
func TestWritesGrowSlowly(t *testing.T) {
	const calls = 400
	s := &shaky{lose: func(int64) (bool, bool) {
		time.Sleep(time.Millisecond)
		return false, false
	}}
	l := ledger(t, s)
	var wait sync.WaitGroup
	for n := range calls {
		wait.Add(1)
		go func() {
			defer wait.Done()
			id, _ := claim.ID("c", "r", fmt.Sprint(n))
			if _, fresh, err := l.Claim(t.Context(), id, 0, "body"); err != nil || !fresh {
				t.Errorf("fresh %v, %v", fresh, err)
			}
		}()
	}
	wait.Wait()
	if w := s.writes.Load(); w > calls/4 {
		t.Errorf("%d writes for %d calls", w, calls)
	}
}
