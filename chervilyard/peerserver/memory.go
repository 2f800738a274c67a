package peerserver

import (
	"context"
	"errors"
	"strconv"

	"google.golang.org/grpc"
	"google.golang.org/grpc/metadata"
	"google.golang.org/protobuf/proto"

	"chervilyard.example/chervilyard/peerclient"
	"chervilyard.example/chervilyard/reqbody"
	"chervilyard.example/yard/membudget"
	"chervilyard.example/yard/peer"
)

const (
	// callWindow is how many bytes of a forwarded call may arrive before its memory has been
	// reserved, and connWindow how many of all calls of a connection may be under way, where
	// memory is bounded. At 110 ms both ways a call gets 2.3 MB/s.
	callWindow = 256 << 10
	connWindow = 4 << 20
	// receiveFactor is how many times the size of a call is needed until it has been decoded.
	receiveFactor = 2
	// maxStatedSize bounds the size that a sender may state. gRPC refuses such messages.
	maxStatedSize = 1 << 30
)

// Admission reserves the memory of forwarded calls before they are received.
type Admission struct {
	Bodies reqbody.Reader
}

// Options returns the options of a server whose calls are in the budget. There are none if it
// has no bound.
func (a Admission) Options() []grpc.ServerOption {
	if !a.Bodies.Budget.Bounded() {
		return nil
	}
	return []grpc.ServerOption{
		grpc.StaticStreamWindowSize(callWindow), grpc.StaticConnWindowSize(connWindow), grpc.StreamInterceptor(a.intercept),
	}
}

// intercept serves a forwarded call, or refuses it if the budget has no bytes for it. The part
// that may arrive meanwhile is not waited for: it would be held without a reservation.
func (a Admission) intercept(server any, stream grpc.ServerStream, _ *grpc.StreamServerInfo, handler grpc.StreamHandler) error {
	size, known := statedSize(stream.Context())
	held := a.Bodies.Budget.Open(a.Bodies.Now(), membudget.Forwarded, nil)
	defer func() { held.Close(a.Bodies.Now()) }()
	err := a.reserve(stream.Context(), held, size)
	var failed *reqbody.Error
	if errors.As(err, &failed) {
		return stream.SendMsg(&peer.Piece{Refused: peerclient.RefusalToProto(peerclient.NoMemory(failed))})
	}
	return handler(server, &reservedStream{ServerStream: stream, received: func(m any) error {
		if known {
			held.Return(a.Bodies.Now(), (receiveFactor-1)*size)
			return nil
		}
		message, _ := m.(proto.Message)
		return a.Bodies.Extend(stream.Context(), held, membudget.Forwarded, max(0, proto.Size(message)-size))
	}})
}

func (a Admission) reserve(ctx context.Context, held *membudget.Reservation, size int) error {
	first := min(size, callWindow)
	if !held.TryReserve(first) {
		return a.Bodies.Refuse(membudget.Forwarded)
	}
	return a.Bodies.Extend(ctx, held, membudget.Forwarded, receiveFactor*size-first)
}

// statedSize returns the size of the call as its sender states it. Earlier versions do not, and
// then it is not known before the call has been received.
func statedSize(ctx context.Context) (size int, known bool) {
	if values := metadata.ValueFromIncomingContext(ctx, peerclient.BodyBytesKey); len(values) > 0 {
		if n, err := strconv.Atoi(values[0]); err == nil && n >= 0 && n <= maxStatedSize {
			return n, true
		}
	}
	return callWindow / receiveFactor, false
}

// reservedStream calls received once the call has been received.
type reservedStream struct {
	grpc.ServerStream
	received func(m any) error
}

// RecvMsg receives the call.
func (s *reservedStream) RecvMsg(m any) error {
	if err := s.ServerStream.RecvMsg(m); err != nil {
		return err
	}
	return s.received(m)
}
