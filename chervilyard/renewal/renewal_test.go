package renewal_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"

	"chervilyard.example/chervilyard/decisionlog"
	"chervilyard.example/chervilyard/renewal"
	"chervilyard.example/yard/document"
	"chervilyard.example/yard/lender"
	"chervilyard.example/yard/memstore"
	"chervilyard.example/yard/seat"
	"chervilyard.example/yard/store"
)

const documentText = "[environment]\nname = x\n[region r]\n[centre c]\nregion = r\n[customer k]\nrate = 10\nburst = 100\n"

func newRenewer(t *testing.T, kv *memstore.Store, address string) *renewal.Renewer {
	t.Helper()
	d, err := document.Parse("x", documentText)
	if err != nil {
		t.Fatal(err)
	}
	l := &lender.Lender{Address: address, Centre: "c"}
	l.Apply(time.Now(), d)
	return &renewal.Renewer{
		Key: "seat", Table: &seat.Table{Address: address, Run: 1, Centre: "c"}, Lender: l, Now: time.Now,
		Document: func() *document.Document { return d },
		Liveness: func(time.Time) seat.Liveness { return seat.Liveness{} },
		Get:      func(_ context.Context, key string) (store.Value, error) { return kv.Get(key), nil },
		Put: func(_ context.Context, key string, data []byte, expected int64) (int64, error) {
			v, ok := kv.Put(key, data, expected)
			if !ok {
				return 0, &store.Error{Op: "put", Key: key, Kind: store.Conflict}
			}
			return v.Revision, nil
		},
		Decisions: decisionlog.New(hclog.NewNullLogger()),
	}
}

// holder returns the address of the instance that holds the first part.
func holder(t *testing.T, kv *memstore.Store) string {
	t.Helper()
	e, err := seat.Decode("c", kv.Get("seat").Data)
	if err != nil {
		t.Fatal(err)
	}
	return e.Parts[0].Holder
}

// TestRelease checks that an instance does not claim its seat again after Release,
// and that the next holder gets it at once with the remaining level of quota.
func TestRelease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		kv := &memstore.Store{}
		ctx, cancel := context.WithCancel(t.Context())
		first := newRenewer(t, kv, "first")
		firstDone := first.Run(ctx)
		time.Sleep(2 * time.Second)
		if got := holder(t, kv); got != "first" {
			t.Fatalf("%q holds the seat", got)
		}
		first.Lender.Admit(time.Now(), "k", 60)
		if err := first.Release(ctx); err != nil {
			t.Fatal(err)
		}
		time.Sleep(5 * time.Second)
		if got := holder(t, kv); got != "" {
			t.Errorf("%q holds a released seat", got)
		}
		second := newRenewer(t, kv, "second")
		secondDone := second.Run(ctx)
		time.Sleep(2 * time.Second)
		if got := holder(t, kv); got != "second" {
			t.Errorf("%q holds the seat", got)
		}
		// The rate of 10 tokens per second adds at most 20 tokens in the 2 s.
		if level := second.Lender.State(time.Now(), "k").Effective.Level; level < 39 || level > 61 {
			t.Errorf("the next holder starts with %v of the 40 tokens that were left", level)
		}
		cancel()
		<-firstDone
		<-secondDone
	})
}
