package config_test

import (
	"context"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"chervilyard.example/chervilyard/config"
	"chervilyard.example/yard/document"
	"chervilyard.example/yard/envelope"
	"chervilyard.example/yard/store"
)

const text = "[environment]\nname = x\n"

func keeper(watch func(context.Context, string, int64, time.Duration) (store.Value, error)) *config.Keeper {
	return &config.Keeper{
		Name: "x", Now: time.Now, Log: hclog.NewNullLogger(), Watch: watch,
		Reader:  func(time.Time) bool { return true },
		Changed: func(time.Time, *document.Document) {},
	}
}

// TestNeverReverts offers revisions in every order, from the store and from
// peers, and checks that the one in force only rises.
func TestNeverReverts(t *testing.T) {
	k := keeper(nil)
	highest := int64(0)
	for _, revision := range []int64{3, 1, 3, 5, 4, 2, 5, 6, 1} {
		accepted := k.Accept(time.Now(), envelope.Envelope{Revision: revision, Text: text}, "peer")
		if accepted != (revision > highest) {
			t.Errorf("revision %d above %d: accepted %v", revision, highest, accepted)
		}
		highest = max(highest, revision)
		if k.Revision() != highest {
			t.Errorf("revision %d runs, want %d", k.Revision(), highest)
		}
	}
}

// TestOldStore checks that a store which answers with an older value, or a
// broken one, changes nothing.
func TestOldStore(t *testing.T) {
	old, err := envelope.Envelope{Revision: 2, Text: text}.Encode()
	if err != nil {
		t.Fatal(err)
	}
	values := [][]byte{old, []byte("broken"), old}
	ctx, cancel := context.WithCancel(t.Context())
	calls := 0
	k := keeper(func(context.Context, string, int64, time.Duration) (store.Value, error) {
		if calls == len(values) {
			cancel()
			return store.Value{}, ctx.Err()
		}
		calls++
		return store.Value{Data: values[calls-1], Revision: int64(calls)}, nil
	})
	k.Accept(time.Now(), envelope.Envelope{Revision: 7, Text: text}, "peer")
	<-k.Run(ctx)
	if k.Revision() != 7 {
		t.Errorf("revision %d runs after an old store", k.Revision())
	}
}

// TestBadDocument checks that a document that does not check, or is another
// environment's, is not put in force.
func TestBadDocument(t *testing.T) {
	k := keeper(nil)
	for _, bad := range []string{"", "[environment]\nname = y\n", "nonsense"} {
		if k.Accept(time.Now(), envelope.Envelope{Revision: 1, Text: bad}, "peer") {
			t.Errorf("accepted %q", bad)
		}
	}
}
