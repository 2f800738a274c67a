package peerserver_test

import (
	"context"
	"testing"
	"time"

	"google.golang.org/grpc"

	"chervilyard.example/chervilyard/call"
	"chervilyard.example/chervilyard/peerserver"
	"chervilyard.example/yard/document"
	"chervilyard.example/yard/peer"
)

// recordingStream records the messages that a server sends.
type recordingStream struct {
	grpc.ServerStream
	pieces []*peer.Piece
}

func (s *recordingStream) Context() context.Context { return context.Background() }

func (s *recordingStream) Send(p *peer.Piece) error {
	s.pieces = append(s.pieces, p)
	return nil
}

// TestForwardRefusesOtherHopCounts guards against forwarding loops: a call with any
// hop count other than 1 is refused as not run and is not served.
func TestForwardRefusesOtherHopCounts(t *testing.T) {
	for _, hop := range []int32{-1, 0, 2, 9} {
		served := false
		server := peerserver.Server{
			Now:      time.Now,
			Document: func() (*document.Document, error) { return &document.Document{}, nil },
			ServeForwarded: func(context.Context, *call.Call) error {
				served = true
				return nil
			},
		}
		stream := &recordingStream{}
		if err := server.Forward(&peer.Call{Hop: hop, Customer: "c"}, stream); err != nil {
			t.Fatal(err)
		}
		if served || len(stream.pieces) != 1 || stream.pieces[0].GetRefused().GetRun() != "no" {
			t.Errorf("hop %d: served = %v, sent %v, want one refusal", hop, served, stream.pieces)
		}
	}
}
