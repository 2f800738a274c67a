package gossip

import (
	"context"
	"time"

	"google.golang.org/grpc"

	"chervilyard.example/yard/fleet"
)

// Server implements the Fleet service for other instances. Its fields must be set before
// it is registered.
type Server struct {
	fleet.UnimplementedFleetServer

	Gossiper *Gossiper
	// Content returns this instance's copy of a part of the store. It must be safe
	// for concurrent use.
	Content func(now time.Time, part string) *fleet.Content
}

// NewServer returns a gRPC server with the Fleet service, which passes heartbeats to g
// and reads the store's content from content.
func NewServer(g *Gossiper, content func(time.Time, string) *fleet.Content) *grpc.Server {
	s := grpc.NewServer(
		grpc.MaxRecvMsgSize(maxMessageBytes),
		grpc.ReadBufferSize(4<<10), grpc.WriteBufferSize(4<<10),
		grpc.StaticStreamWindowSize(windowBytes), grpc.StaticConnWindowSize(windowBytes),
	)
	fleet.RegisterFleetServer(s, &Server{Gossiper: g, Content: content})
	return s
}

// Pulse processes a heartbeat and replies with this instance's own.
func (s *Server) Pulse(_ context.Context, h *fleet.Heartbeat) (*fleet.Heartbeat, error) {
	now := s.Gossiper.Now()
	reply := s.Gossiper.Heartbeat(now, s.Gossiper.Receive(now, h))
	reply.Grants = append(reply.Grants, s.Gossiper.takeTokens(now, h.GetWants())...)
	return reply, nil
}

// Ask takes the requested tokens out of this instance's bucket as far as it can spare
// them, or whole if that is asked, and returns the amounts taken.
func (s *Server) Ask(_ context.Context, w *fleet.Wish) (*fleet.Grant, error) {
	now := s.Gossiper.Now()
	if !w.GetWhole() {
		return &fleet.Grant{Grants: s.Gossiper.takeTokens(now, w.GetWants())}, nil
	}
	grant := &fleet.Grant{}
	for _, want := range w.GetWants() {
		ok, wait, homes := s.Gossiper.TakeWhole(now, want.GetCustomer(), want.GetAmount())
		if ok {
			grant.Grants = append(grant.Grants, want)
		}
		grant.Wait = max(grant.GetWait(), wait.Milliseconds())
		for _, m := range homes {
			grant.Homes = append(grant.Homes, memberToProto(now, m))
		}
	}
	return grant, nil
}

// Permit issues a permit, or says when to ask again or that another instance issues them.
func (s *Server) Permit(ctx context.Context, t *fleet.Turn) (*fleet.Slot, error) {
	return s.Gossiper.IssuePermit(ctx, t), nil
}

// Yield leaves the issuing of a target's permits to the sender, unless this instance stays
// the issuer.
func (s *Server) Yield(_ context.Context, t *fleet.Turn) (*fleet.Handover, error) {
	return s.Gossiper.YieldPermits(s.Gossiper.Now(), t), nil
}

// Prove checks a target.
func (s *Server) Prove(ctx context.Context, c *fleet.Check) (*fleet.Check, error) {
	return s.Gossiper.ProveTarget(ctx, c), nil
}

// Read returns this instance's copy of a part of the store.
func (s *Server) Read(_ context.Context, p *fleet.Part) (*fleet.Content, error) {
	return s.Content(s.Gossiper.Now(), p.GetName()), nil
}
