package idempotency_test

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"chervilyard.example/chervilyard/call"
	"chervilyard.example/chervilyard/decisionlog"
	"chervilyard.example/chervilyard/idempotency"
	"chervilyard.example/chervilyard/sink"
	"chervilyard.example/yard/claim"
	"chervilyard.example/yard/refusal"
	"chervilyard.example/yard/store"
)

// memory is a store with one value.
type memory struct{ value store.Value }

func (m *memory) get(context.Context, string) (store.Value, error) { return m.value, nil }

func (m *memory) put(_ context.Context, key string, data []byte, expected int64) (int64, error) {
	if expected != m.value.Revision {
		return 0, &store.Error{Op: "put", Key: key, Kind: store.Conflict, Revision: m.value.Revision}
	}
	m.value = store.Value{Key: key, Data: data, Revision: expected + 1}
	return m.value.Revision, nil
}

// TestInvalidRecordedStatus guards against a status of a target that an instance of an older
// version recorded although it is invalid, and that makes the handler of a repeat panic.
func TestInvalidRecordedStatus(t *testing.T) {
	for status, want := range map[int]int{0: http.StatusConflict, 99: http.StatusConflict, 201: http.StatusCreated, 599: 599} {
		var m memory
		attempts := 0
		ledger := &claim.Ledger{Get: m.get, Put: m.put, Now: time.Now, Retention: time.Hour, Prefix: "claims/", NewAttemptID: func() string {
			attempts++
			return string(rune('a' + attempts))
		}}
		ctx, cancel := context.WithCancel(t.Context())
		stopped := ledger.Start(ctx)
		stage := &idempotency.Stage{Ledger: ledger, Now: time.Now, Decisions: decisionlog.New(hclog.NewNullLogger()), MaxRecordedBytes: 100}
		first := &call.Call{Method: http.MethodPost, TargetPath: "/x", NonIdempotent: true, IdempotencyKey: "k", Deadline: time.Now().Add(time.Minute)}
		if done, err := stage.Run(ctx, first); done || err != nil {
			t.Fatal(done, err)
		}
		if err := ledger.Finish(ctx, first.ClaimBucket, first.Claim, claim.Done, claim.Outcome{Status: status, Body: []byte("body")}); err != nil {
			t.Fatal(err)
		}
		w := httptest.NewRecorder()
		repeat := *first
		repeat.Sink = sink.HTTP(w, time.Second)
		_, err := stage.Run(ctx, &repeat)
		got := w.Code
		var refused *refusal.Refusal
		if errors.As(err, &refused) {
			got = refused.Status
		}
		if got != want {
			t.Errorf("recorded status %d: got %d, %v; want %d", status, got, err, want)
		}
		cancel()
		<-stopped
	}
}
