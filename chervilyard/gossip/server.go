package gossip

import (
	"context"
	"time"

	"google.golang.org/grpc"

	"chervilyard.example/yard/fleet"
)

// Server answers other instances. Its fields are set before Register.
type Server struct {
	fleet.UnimplementedFleetServer

	Duty *Duty
	// Content returns what is known of a part of the store.
	Content func(now time.Time, part string) *fleet.Content
}

// NewServer returns a gRPC server that answers for the duty.
func NewServer(d *Duty, content func(time.Time, string) *fleet.Content) *grpc.Server {
	s := grpc.NewServer(
		grpc.MaxRecvMsgSize(maxMessage),
		grpc.ReadBufferSize(4<<10), grpc.WriteBufferSize(4<<10),
	)
	fleet.RegisterFleetServer(s, &Server{Duty: d, Content: content})
	return s
}

// Pulse takes a heartbeat in and answers with one.
func (s *Server) Pulse(_ context.Context, h *fleet.Heartbeat) (*fleet.Heartbeat, error) {
	now := s.Duty.Now()
	reply := s.Duty.Heartbeat(now, s.Duty.Take(now, h))
	reply.Grants = s.Duty.grant(now, h.GetWants())
	return reply, nil
}

// Ask hands over tokens.
func (s *Server) Ask(_ context.Context, w *fleet.Wish) (*fleet.Grant, error) {
	return &fleet.Grant{Grants: s.Duty.grant(s.Duty.Now(), w.GetWants())}, nil
}

// Read returns what is known of a part of the store.
func (s *Server) Read(_ context.Context, p *fleet.Part) (*fleet.Content, error) {
	return s.Content(s.Duty.Now(), p.GetName()), nil
}
