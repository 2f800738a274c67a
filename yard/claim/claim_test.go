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
	"chervilyard.example/yard/memstore"
	"chervilyard.example/yard/store"
)

func init() {
	for name, value := range map[string]string{"rapid.seed": "7", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
}

// faultyStore is a store in memory whose reads and writes can fail.
type faultyStore struct {
	store     memstore.Store
	writes    atomic.Int64
	readsFail atomic.Bool
	// writeLoss reports whether the n-th write is lost before it takes effect, or
	// its response afterwards.
	writeLoss func(n int64) (before, after bool)
}

func (s *faultyStore) get(_ context.Context, key string) (store.Value, error) {
	if s.readsFail.Load() {
		return store.Value{}, &store.Error{Op: "get", Key: key, Kind: store.Unreachable}
	}
	return s.store.Get(key), nil
}

func (s *faultyStore) put(_ context.Context, key string, data []byte, expected int64) (int64, error) {
	before, after := s.writeLoss(s.writes.Add(1))
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

var lastAttempt atomic.Int64

func newLedger(t testing.TB, s *faultyStore) *claim.Ledger {
	l := &claim.Ledger{
		Get: s.get, Put: s.put, Prefix: "claim/", Retention: time.Hour, Now: time.Now,
		NewAttemptID: func() string { return fmt.Sprint(lastAttempt.Add(1)) },
	}
	ctx, cancel := context.WithCancel(context.Background())
	stopped := l.Start(ctx)
	t.Cleanup(func() {
		cancel()
		<-stopped
	})
	return l
}

type input struct{ attempt int }

type output struct {
	fresh       bool
	unconfirmed bool
}

// atMostOnceModel allows one fresh claim of a key. A claim that the store did not
// confirm does not change the state, since its call is not sent.
var atMostOnceModel = porcupine.Model{
	Init: func() any { return false },
	Step: func(state, _, out any) (bool, any) {
		o := out.(output)
		if o.fresh {
			return !state.(bool), true
		}
		return true, state
	},
}

// TestAtMostOnce checks that at most one of several concurrent claims of one key
// succeeds, across ledgers, with lost writes and lost responses.
func TestAtMostOnce(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		// 1 loses a write, 2 loses its response, and 0 and 3 lose nothing.
		losses := rapid.SliceOfN(rapid.IntRange(0, 3), 1, 12).Draw(r, "losses")
		s := &faultyStore{writeLoss: func(n int64) (bool, bool) {
			loss := losses[int(n)%len(losses)]
			return loss == 1, loss == 2
		}}
		if noWriteConfirmed(losses) {
			return
		}
		history := claimConcurrently(t, s, rapid.IntRange(1, 4).Draw(r, "instances"), rapid.IntRange(1, 4).Draw(r, "calls"))
		if !porcupine.CheckOperations(atMostOnceModel, history) {
			r.Fatalf("more than one attempt may run: %+v", history)
		}
	})
}

// noWriteConfirmed reports whether the store loses every write or its response, so
// that no claim can be confirmed by a write.
func noWriteConfirmed(losses []int) bool {
	for _, loss := range losses {
		if loss == 0 || loss == 3 {
			return false
		}
	}
	return true
}

// claimConcurrently makes concurrent claims of one key, with one ledger for each
// instance, and returns their history.
func claimConcurrently(t *testing.T, s *faultyStore, instances, calls int) []porcupine.Operation {
	var mu sync.Mutex
	var history []porcupine.Operation
	var wg sync.WaitGroup
	start := time.Now()
	for i := range instances {
		l := newLedger(t, s)
		for c := range calls {
			wg.Add(1)
			go func() {
				defer wg.Done()
				callTime := time.Since(start)
				id, bucket := claim.ID("customer", "booking", "key")
				_, fresh, err := l.Claim(context.Background(), id, bucket, "body")
				var unconfirmedErr *claim.UnconfirmedError
				o := output{fresh: fresh && err == nil, unconfirmed: errors.As(err, &unconfirmedErr)}
				mu.Lock()
				defer mu.Unlock()
				history = append(history, porcupine.Operation{
					ClientId: i*calls + c, Input: input{c}, Call: int64(callTime), Output: o, Return: int64(time.Since(start)),
				})
			}()
		}
	}
	wg.Wait()
	return history
}

// TestOutcome checks that a repeat at another instance finds the recorded outcome,
// although the store loses writes and responses.
func TestOutcome(t *testing.T) {
	s := &faultyStore{writeLoss: func(n int64) (bool, bool) { return n%3 == 1, n%3 == 2 }}
	a, b := newLedger(t, s), newLedger(t, s)
	id, bucket := claim.ID("c", "r", "k")
	own, fresh, err := a.Claim(t.Context(), id, bucket, "body")
	if err != nil || !fresh {
		t.Fatalf("fresh %v, %v", fresh, err)
	}
	if _, secondFresh, err := b.Claim(t.Context(), id, bucket, "body"); err != nil || secondFresh {
		t.Fatalf("a second claim may run: %v", err)
	}
	if err := a.Finish(t.Context(), bucket, own, claim.Done, claim.Outcome{Status: 201, Body: []byte("made")}); err != nil {
		t.Fatal(err)
	}
	r, secondFresh, err := b.Claim(t.Context(), id, bucket, "body")
	if err != nil || secondFresh || r.State != claim.Done || string(r.Outcome.Body) != "made" {
		t.Errorf("repeat found %+v, fresh %v, %v", r, secondFresh, err)
	}
}

// TestWithdrawnClaimDoesNotBlock checks that a withdrawn claim does not block the
// next call with its key, even if the write of the claim took effect.
func TestWithdrawnClaimDoesNotBlock(t *testing.T) {
	s := &faultyStore{}
	s.writeLoss = func(int64) (bool, bool) {
		s.readsFail.Store(true) // the write takes effect, but its response is lost and the store cannot be read
		return false, true
	}
	l := newLedger(t, s)
	id, bucket := claim.ID("c", "r", "k")
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	var unconfirmedErr *claim.UnconfirmedError
	if _, _, err := l.Claim(ctx, id, bucket, "body"); !errors.As(err, &unconfirmedErr) {
		t.Fatalf("claim without a response of the store: %v", err)
	}
	s.writeLoss = func(int64) (bool, bool) { return false, false }
	s.readsFail.Store(false)
	if _, fresh, err := l.Claim(t.Context(), id, bucket, "body"); err != nil || !fresh {
		t.Errorf("fresh %v, %v", fresh, err)
	}
}

// TestWritesAreBatched checks that claims that arrive during a write are batched
// into the next one.
func TestWritesAreBatched(t *testing.T) {
	const calls = 400
	s := &faultyStore{writeLoss: func(int64) (bool, bool) {
		time.Sleep(time.Millisecond)
		return false, false
	}}
	l := newLedger(t, s)
	var wg sync.WaitGroup
	for n := range calls {
		wg.Add(1)
		go func() {
			defer wg.Done()
			id, _ := claim.ID("c", "r", fmt.Sprint(n))
			if _, fresh, err := l.Claim(t.Context(), id, 0, "body"); err != nil || !fresh {
				t.Errorf("fresh %v, %v", fresh, err)
			}
		}()
	}
	wg.Wait()
	if w := s.writes.Load(); w > calls/4 {
		t.Errorf("%d writes for %d calls", w, calls)
	}
}
