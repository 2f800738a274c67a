package edge

import (
	"fmt"
	"math"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"chervilyard.example/yard/fairshare"
	"chervilyard.example/yard/fleet"
	"chervilyard.example/yard/membership"
)

// Guards against counts that another instance adds to the wrong service or customer, and
// against amounts that no instance sends.
func TestCountsRoundTrip(t *testing.T) {
	var a, b fairshare.Ledger
	now := time.Unix(1_700_000_000, 0)
	a.Admit(now, "chat", "c1", 12_000)
	a.Admit(now, "chat", "", 5)
	a.Refuse(now, "chat", "c1", 300)
	a.Refuse(now, "draft", "c1", 2400)
	var h fleet.Heartbeat
	h.Admitted, h.Refused = encodeCounts(a.Counts(now))
	encoded, err := proto.Marshal(&h)
	if err != nil {
		t.Fatal(err)
	}
	h.Reset()
	if err := proto.Unmarshal(encoded, &h); err != nil {
		t.Fatal(err)
	}
	h.Admitted = append(h.Admitted, &fleet.Tokens{Customer: "c1", Amount: -7}, &fleet.Tokens{Customer: "c1", Amount: math.Inf(1)}, &fleet.Tokens{Customer: "c1", Amount: math.NaN()})
	b.UpdatePeer(now, "a", decodeCounts(h.Admitted, h.Refused))
	for _, want := range a.Counts(now) {
		if got, _ := b.Share(now, want.Service, want.Customer); got != want {
			t.Errorf("got %+v, want %+v", got, want)
		}
	}
}

// Guards against bytes between centres without a shortage, and against reports with each of the
// heartbeats of a shortage. Load: 16 customers of one service.
func TestSharesAreToldInShortage(t *testing.T) {
	e := &Edge{}
	now := time.Unix(1_700_000_000, 0)
	to := membership.Member{Name: "b"}
	tell := func(d time.Duration, sums bool) (messages, bytes int) {
		for end := now.Add(d); now.Before(end); now = now.Add(50 * time.Millisecond) {
			h := &fleet.Heartbeat{}
			if e.tellShares(now, to, sums, h); len(h.GetAdmitted())+len(h.GetRefused()) > 0 {
				messages++
				bytes += proto.Size(h)
			}
		}
		return messages, bytes
	}
	for i := range 16 {
		e.shares.ledger.Admit(now, "chat", fmt.Sprintf("customer%02d", i), 100_000)
	}
	if n, _ := tell(time.Second, false); n != 0 {
		t.Errorf("%d reports without a shortage", n)
	}
	for i := range 16 {
		e.shares.ledger.Refuse(now, "chat", fmt.Sprintf("customer%02d", i), 100_000)
	}
	n, bytes := tell(time.Second, false)
	t.Logf("%d reports with %d bytes in a second", n, bytes)
	if n != 5 || bytes > 4000 {
		t.Errorf("%d reports with %d bytes in a second of shortage, 5 and 4000 allowed", n, bytes)
	}
	if n, _ = tell(800*time.Millisecond, true); n != 2 {
		t.Errorf("a hub told sums %d times in 0.8 s, want 2", n)
	}
	if n, _ = tell(5*time.Second, false); n > 5 {
		t.Errorf("%d reports after the shortage", n)
	}
}
