package gossip

import (
	"context"
	"net"
	"testing"
	"time"

	"chervilyard.example/yard/fleet"
	"chervilyard.example/yard/membership"
)

// The sender of a heartbeat requests tokens and gets what the replier can spare. The reply
// requests none: the sender would not answer it.
func TestHeartbeatRequestsTokens(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	sender, replier := fleetGossiper("region0-00", "", 1), fleetGossiper("region0-01", l.Addr().String(), 1)
	for _, g := range []*Gossiper{sender, replier} {
		g.Wants = func(time.Time) []*fleet.Tokens { return []*fleet.Tokens{{Customer: "c", Amount: 8}} }
		g.TakeSpare = func(_ time.Time, _ string, want float64) float64 { return want / 2 }
	}
	messages, bytes := 0, 0
	sender.OnMessage = func(kind string, remote bool, n int) {
		if kind == "heartbeat" && !remote {
			messages, bytes = messages+1, bytes+n
		}
	}
	var replies []*fleet.Heartbeat
	sender.HandlePayload = func(_, _ time.Time, _ membership.Member, h *fleet.Heartbeat) { replies = append(replies, h) }
	s := NewServer(replier, func(time.Time, string) *fleet.Content { return nil })
	done := make(chan error, 1)
	go func() { done <- s.Serve(l) }()
	sender.exchange(context.Background(), replier.Self(time.Now()))
	if len(replies) != 1 {
		t.Fatalf("%d replies", len(replies))
	}
	if grants := replies[0].GetGrants(); len(grants) != 1 || grants[0].GetCustomer() != "c" || grants[0].GetAmount() != 4 {
		t.Errorf("granted %v", grants)
	}
	if wants := replies[0].GetWants(); len(wants) != 0 {
		t.Errorf("the reply requests %v", wants)
	}
	if messages != 1 || bytes < 100 {
		t.Errorf("%d exchanges of %d bytes are counted", messages, bytes)
	}
	sender.close()
	s.Stop()
	if err := <-done; err != nil {
		t.Error(err)
	}
}
