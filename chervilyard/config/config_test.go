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

const documentText = "[environment]\nname = x\n"

func newKeeper(watch func(context.Context, string, int64, time.Duration) (store.Value, error)) *config.Keeper {
	return &config.Keeper{
		Environment: "x", Now: time.Now, Log: hclog.NewNullLogger(), Watch: watch,
		IsReader:       func(time.Time) bool { return true },
		BeforeActivate: func(time.Time, *document.Document) {},
	}
}

// TestRevisionNeverDecreases checks that Activate activates only revisions above the
// active one, whatever the order in which they arrive.
func TestRevisionNeverDecreases(t *testing.T) {
	k := newKeeper(nil)
	highest := int64(0)
	for _, revision := range []int64{3, 1, 3, 5, 4, 2, 5, 6, 1} {
		activated := k.Activate(time.Now(), envelope.Envelope{Revision: revision, Text: documentText}, "peer")
		if activated != (revision > highest) {
			t.Errorf("Activate of revision %d, where only revisions above %d are new: activated = %v", revision, highest, activated)
		}
		highest = max(highest, revision)
		if k.Revision() != highest {
			t.Errorf("active revision is %d, want %d", k.Revision(), highest)
		}
	}
}

// TestIgnoresOldStoreValue checks that an older or an undecodable value from the store
// leaves the active revision unchanged.
func TestIgnoresOldStoreValue(t *testing.T) {
	old, err := envelope.Envelope{Revision: 2, Text: documentText}.Encode()
	if err != nil {
		t.Fatal(err)
	}
	values := [][]byte{old, []byte("broken"), old}
	ctx, cancel := context.WithCancel(t.Context())
	calls := 0
	k := newKeeper(func(context.Context, string, int64, time.Duration) (store.Value, error) {
		if calls == len(values) {
			cancel()
			return store.Value{}, ctx.Err()
		}
		calls++
		return store.Value{Data: values[calls-1], Revision: int64(calls)}, nil
	})
	k.Activate(time.Now(), envelope.Envelope{Revision: 7, Text: documentText}, "peer")
	<-k.Run(ctx)
	if k.Revision() != 7 {
		t.Errorf("active revision is %d after an old store value, want 7", k.Revision())
	}
}

// TestRejectsInvalidDocument checks that an invalid document and a document of another
// environment are rejected.
func TestRejectsInvalidDocument(t *testing.T) {
	k := newKeeper(nil)
	for _, bad := range []string{"", "[environment]\nname = y\n", "nonsense"} {
		if k.Activate(time.Now(), envelope.Envelope{Revision: 1, Text: bad}, "peer") {
			t.Errorf("document %q was activated", bad)
		}
	}
}
