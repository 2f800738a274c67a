package peerclient_test

import (
	"errors"
	"net"
	"net/http"
	"testing"
	"time"

	"google.golang.org/grpc"

	"chervilyard.example/chervilyard/call"
	"chervilyard.example/chervilyard/dispatch"
	"chervilyard.example/chervilyard/peerclient"
	"chervilyard.example/yard/head"
	"chervilyard.example/yard/peer"
)

// forwardServer answers each forwarded call with a piece.
type forwardServer struct {
	peer.UnimplementedLinkServer
	piece *peer.Piece
}

func (s *forwardServer) Forward(_ *peer.Call, stream peer.Link_ForwardServer) error {
	return stream.Send(s.piece)
}

// TestMalformedHeadOfPeer guards against a malformed head that an instance of an older version
// passes on from its target.
func TestMalformedHeadOfPeer(t *testing.T) {
	for name, tc := range map[string]struct {
		piece *peer.Piece
		sound bool
	}{
		"status 0":        {&peer.Piece{End: true}, false},
		"status 99":       {&peer.Piece{Status: 99, End: true}, false},
		"blank in a name": {&peer.Piece{Status: 200, Headers: []*peer.Header{{Name: "X A", Value: "1"}}, End: true}, false},
		"sound":           {&peer.Piece{Status: 599, Headers: []*peer.Header{{Name: "!_a", Value: "1"}}, End: true}, true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			s := grpc.NewServer()
			peer.RegisterLinkServer(s, &forwardServer{piece: tc.piece})
			stopped := make(chan error, 1)
			go func() { stopped <- s.Serve(l) }()
			defer func() {
				s.Stop()
				if err := <-stopped; err != nil {
					t.Error(err)
				}
			}()
			cl := peerclient.Client{Now: time.Now}
			defer cl.Close()
			res, err := cl.Forward(t.Context(), dispatch.RemoteCentre{Address: l.Addr().String()}, &call.Call{Method: http.MethodGet, Deadline: time.Now().Add(time.Second)})
			if err == nil {
				_ = res.Body.Close()
			}
			var malformed *head.MalformedError
			if errors.As(err, &malformed) == tc.sound || tc.sound && err != nil {
				t.Errorf("unexpected error: %v", err)
			}
		})
	}
}
