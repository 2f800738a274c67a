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
	"chervilyard.example/yard/memory"
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

func operator(t *testing.T, m *memory.Store, author string) *environment.Environment {
	s := httptest.NewServer(m)
	t.Cleanup(s.Close)
	return &environment.Environment{
		Store: store.New(s.URL), Name: "trial", Author: author,
		Pause: func(context.Context, time.Duration) {},
	}
}

// TestRace has operators change the same revision at once: one wins, and each
// other is told by whose revision.
func TestRace(t *testing.T) {
	m := &memory.Store{}
	if _, err := operator(t, m, "first").Apply(t.Context(), time.Now(), text, "apply", 0); err != nil {
		t.Fatal(err)
	}
	var mu sync.Mutex
	won, told := 0, 0
	var wait sync.WaitGroup
	for n := range 6 {
		e := operator(t, m, fmt.Sprint("operator", n))
		wait.Add(1)
		go func() {
			defer wait.Done()
			_, err := e.Apply(t.Context(), time.Now(), text+fmt.Sprintf("weight = %d\n", n+1), "apply", 1)
			mu.Lock()
			defer mu.Unlock()
			var conflict *environment.Conflict
			switch {
			case err == nil:
				won++
			case errors.As(err, &conflict) && strings.HasPrefix(conflict.Found.Author, "operator"):
				told++
			default:
				t.Errorf("unexpected: %v", err)
			}
		}()
	}
	wait.Wait()
	if won != 1 || told != 5 {
		t.Errorf("%d won, %d were told", won, told)
	}
}

// TestLostAnswer checks that a change whose answer was lost is found to have
// taken effect, and that every revision stays in the history.
func TestLostAnswer(t *testing.T) {
	m := &memory.Store{}
	e := operator(t, m, "a")
	if _, err := e.Apply(t.Context(), time.Now(), text, "apply", 0); err != nil {
		t.Fatal(err)
	}
	m.Fail(memory.FaultLose)
	_, err := e.Apply(t.Context(), time.Now(), text+"weight = 2\n", "apply", 1)
	if err != nil {
		t.Fatalf("a change that took effect was reported as %v", err)
	}
	m.Fail(memory.FaultNone)
	history, err := e.History(t.Context())
	if err != nil || len(history) != 2 || history[0].Revision != 2 {
		t.Errorf("history %+v, %v", history, err)
	}
}

// TestKeys checks that keys issued at once are all kept, and that a rollback
// gives no withdrawn key back.
func TestKeys(t *testing.T) {
	m := &memory.Store{}
	e := operator(t, m, "a")
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
	now, err := e.Read(t.Context())
	if err != nil || strings.Contains(now.Text, k.Hash()) {
		t.Errorf("a withdrawn key is back after a rollback, %v", err)
	}
	var wait sync.WaitGroup
	for range 4 {
		wait.Add(1)
		go func() {
			defer wait.Done()
			if _, _, err := operator(t, m, "b").IssueKey(t.Context(), time.Now(), "c"); err != nil {
				t.Error(err)
			}
		}()
	}
	wait.Wait()
	if now, err = e.Read(t.Context()); err != nil || strings.Count(now.Text, "[key ") != 4 {
		t.Errorf("%d of 4 keys, %v", strings.Count(now.Text, "[key "), err)
	}
}

// TestPromote checks that an environment keeps its own name, keys and targets.
func TestPromote(t *testing.T) {
	m := &memory.Store{}
	e := operator(t, m, "a")
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
	now, err := p.Read(t.Context())
	if err != nil || !strings.Contains(now.Text, "name = production") || strings.Contains(now.Text, "name = trial") {
		t.Errorf("%s, %v", now.Text, err)
	}
}
