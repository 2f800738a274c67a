package port_test

import (
	"context"
	"testing"
	"time"

	"google.golang.org/grpc"

	"chervilyard.example/chervilyard/call"
	"chervilyard.example/chervilyard/port"
	"chervilyard.example/yard/document"
	"chervilyard.example/yard/peer"
)

// stream keeps what a port answers.
type stream struct {
	grpc.ServerStream
	pieces []*peer.Piece
}

func (s *stream) Context() context.Context { return context.Background() }

func (s *stream) Send(p *peer.Piece) error {
	s.pieces = append(s.pieces, p)
	return nil
}

// TestNoSecondHop checks that a call which was forwarded before, or claims to
// have been never forwarded, reaches no target.
func TestNoSecondHop(t *testing.T) {
	for _, hop := range []int32{-1, 0, 2, 9} {
		served := false
		p := port.Port{
			Now:      time.Now,
			Document: func() (*document.Document, error) { return &document.Document{}, nil },
			Serve: func(context.Context, *call.Call) error {
				served = true
				return nil
			},
		}
		s := &stream{}
		if err := p.Forward(&peer.Call{Hop: hop, Customer: "c"}, s); err != nil {
			t.Fatal(err)
		}
		if served || len(s.pieces) != 1 || s.pieces[0].GetRefused().GetRun() != "no" {
			t.Errorf("hop %d: served %v, answered %v", hop, served, s.pieces)
		}
	}
}
