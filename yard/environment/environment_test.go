package environment_test

import (
	"context"
	"errors"
	"fmt"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"chervilyard.example/yard/environment"
	"chervilyard.example/yard/memstore"
	"chervilyard.example/yard/store"
)

const text = `[environment]
name = trial
[region north]
[centre n]
region = north
[customer c]
rate = 100
burst = 1000
`

// newEnvironment returns the environment "trial" of the store m. It records changes
// under the author and does not wait between attempts.
func newEnvironment(t *testing.T, m *memstore.Store, author string) *environment.Environment {
	s := httptest.NewServer(m)
	t.Cleanup(s.Close)
	return &environment.Environment{
		Store: store.New(s.URL), Name: "trial", Author: author,
		Sleep: func(context.Context, time.Duration) {},
	}
}

// TestConcurrentApply applies changes of several operators to the same revision
// concurrently. Exactly one succeeds; each of the others returns a ConflictError that
// names the author of the current revision.
func TestConcurrentApply(t *testing.T) {
	m := &memstore.Store{}
	if _, err := newEnvironment(t, m, "first").Apply(t.Context(), time.Now(), text, "apply", 0); err != nil {
		t.Fatal(err)
	}
	var mu sync.Mutex
	succeeded, conflicts := 0, 0
	var wg sync.WaitGroup
	for n := range 6 {
		e := newEnvironment(t, m, fmt.Sprint("operator", n))
		wg.Add(1)
		go func() {
			defer wg.Done()
			_, err := e.Apply(t.Context(), time.Now(), text+fmt.Sprintf("weight = %d\n", n+1), "apply", 1)
			mu.Lock()
			defer mu.Unlock()
			var conflict *environment.ConflictError
			switch {
			case err == nil:
				succeeded++
			case errors.As(err, &conflict) && strings.HasPrefix(conflict.Current.Author, "operator"):
				conflicts++
			default:
				t.Errorf("unexpected error: %v", err)
			}
		}()
	}
	wg.Wait()
	if succeeded != 1 || conflicts != 5 {
		t.Errorf("%d changes succeeded and %d conflicts named an operator, want 1 and 5", succeeded, conflicts)
	}
}

// TestLostResponse checks that Apply succeeds when the change takes effect but the
// store's response is lost, and that every revision stays in the history.
func TestLostResponse(t *testing.T) {
	m := &memstore.Store{}
	e := newEnvironment(t, m, "a")
	if _, err := e.Apply(t.Context(), time.Now(), text, "apply", 0); err != nil {
		t.Fatal(err)
	}
	m.SetFault(memstore.FaultLoseResponse)
	_, err := e.Apply(t.Context(), time.Now(), text+"weight = 2\n", "apply", 1)
	if err != nil {
		t.Fatalf("error %v for a change that took effect", err)
	}
	m.SetFault(memstore.FaultNone)
	history, err := e.History(t.Context())
	if err != nil || len(history) != 2 || history[0].Revision != 2 {
		t.Errorf("history %+v, error %v", history, err)
	}
}

// TestKeys checks that a rollback does not restore a withdrawn key, and that
// keys issued concurrently are all stored.
func TestKeys(t *testing.T) {
	m := &memstore.Store{}
	e := newEnvironment(t, m, "a")
	if _, err := e.Apply(t.Context(), time.Now(), text, "apply", 0); err != nil {
		t.Fatal(err)
	}
	k, _, err := e.IssueKey(t.Context(), time.Now(), "c")
	if err != nil {
		t.Fatal(err)
	}
	if err := e.WithdrawKey(t.Context(), time.Now(), k.ID()); err != nil {
		t.Fatal(err)
	}
	if _, err := e.Rollback(t.Context(), time.Now(), 2); err != nil {
		t.Fatal(err)
	}
	current, err := e.Read(t.Context())
	if err != nil || strings.Contains(current.Text, k.Hash()) {
		t.Errorf("a withdrawn key is back after a rollback, error %v", err)
	}
	var wg sync.WaitGroup
	for range 4 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			if _, _, err := newEnvironment(t, m, "b").IssueKey(t.Context(), time.Now(), "c"); err != nil {
				t.Error(err)
			}
		}()
	}
	wg.Wait()
	if current, err = e.Read(t.Context()); err != nil || strings.Count(current.Text, "[key ") != 4 {
		t.Errorf("%d of 4 keys, error %v", strings.Count(current.Text, "[key "), err)
	}
}

// TestPromote checks that a promoted document gets the name of the environment
// that it is promoted to, for the first promotion and for a second one.
func TestPromote(t *testing.T) {
	m := &memstore.Store{}
	e := newEnvironment(t, m, "a")
	if _, err := e.Apply(t.Context(), time.Now(), text, "apply", 0); err != nil {
		t.Fatal(err)
	}
	p := *e
	p.Name = "production"
	for range 2 {
		if _, err := p.Promote(t.Context(), time.Now(), "trial"); err != nil {
			t.Fatal(err)
		}
	}
	current, err := p.Read(t.Context())
	if err != nil || !strings.Contains(current.Text, "name = production") || strings.Contains(current.Text, "name = trial") {
		t.Errorf("document %s, error %v", current.Text, err)
	}
}
