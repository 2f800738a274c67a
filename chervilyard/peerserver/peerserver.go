// Package peerserver is the server side of the gRPC protocol between instances. It is
// served on the peer address, which callers cannot reach.
package peerserver

import (
	"context"
	"errors"
	"math"
	"net/http"
	"slices"
	"time"

	"chervilyard.example/chervilyard/call"
	"chervilyard.example/chervilyard/peerclient"
	"chervilyard.example/chervilyard/relay"
	"chervilyard.example/chervilyard/sink"
	"chervilyard.example/yard/document"
	"chervilyard.example/yard/lender"
	"chervilyard.example/yard/loan"
	"chervilyard.example/yard/peer"
	"chervilyard.example/yard/refusal"
)

// Server implements peer.LinkServer. The exported fields must be set before use and
// must not change afterwards. A Server is safe for concurrent use.
type Server struct {
	peer.UnimplementedLinkServer

	Lender *lender.Lender
	Now    func() time.Time
	// Document returns the active configuration document, or a *refusal.Refusal if
	// there is none or it must not be used.
	Document func() (*document.Document, error)
	// SendLoans sends loan messages without waiting for replies.
	SendLoans func(messages []lender.Message)
	// OnHeartbeat processes a heartbeat and returns the heartbeat of this instance.
	OnHeartbeat func(now time.Time, p *peer.Pulse) *peer.Pulse
	// OnMemberList processes a member list and returns the member list of this
	// instance.
	OnMemberList func(now time.Time, r *peer.Roll) *peer.Roll
	// OnFetch returns the active document, or a delta to it from the given revision,
	// if its revision is above the given one, else an empty message.
	OnFetch func(now time.Time, above int64) *peer.Accepted
	// ServeForwarded runs the remaining stages of a forwarded call and writes the
	// response to its Sink.
	ServeForwarded func(ctx context.Context, c *call.Call) error
}

// Beat processes a heartbeat and returns the heartbeat of this instance.
func (s *Server) Beat(_ context.Context, in *peer.Pulse) (*peer.Pulse, error) {
	return s.OnHeartbeat(s.Now(), in), nil
}

// Sync processes a member list and returns the member list of this instance.
func (s *Server) Sync(_ context.Context, in *peer.Roll) (*peer.Roll, error) {
	return s.OnMemberList(s.Now(), in), nil
}

// Fetch returns the active configuration document, or a delta to it, if its revision is
// above the one in the request, else an empty message.
func (s *Server) Fetch(_ context.Context, in *peer.Revision) (*peer.Accepted, error) {
	return s.OnFetch(s.Now(), in.GetAbove()), nil
}

// Ask answers a request for a loan of quota.
func (s *Server) Ask(_ context.Context, in *peer.LoanAsk) (*peer.LoanReply, error) {
	request := loan.Request{
		ID: in.GetId(), Customer: in.GetCustomer(), Borrower: in.GetBorrower(), Amount: sanitize(peerclient.AmountFromProto(in.GetAmount())),
		Term: time.Duration(in.GetTerm()), At: time.Unix(0, in.GetAt()), Extend: in.GetExtend(), Urgent: in.GetUrgent(), SpareOnly: in.GetSpare(),
	}
	reply, returns := s.Lender.HandleRequest(s.Now(), request)
	s.SendLoans(returns)
	return &peer.LoanReply{Id: reply.ID, At: in.GetAt(), Term: int64(reply.Term), Amount: peerclient.AmountToProto(reply.Amount), Spare: peerclient.AmountToProto(reply.Spare)}, nil
}

// Give processes the return of a loan.
func (s *Server) Give(_ context.Context, in *peer.LoanReturn) (*peer.Done, error) {
	returned := loan.Return{
		ID: in.GetId(), Customer: in.GetCustomer(), Urgent: in.GetUrgent(),
		ReturnedTokens: sanitize(loan.Amount{Level: in.GetLevel()}).Level, UsedTokens: sanitize(loan.Amount{Level: in.GetUsed()}).Level,
	}
	s.Lender.HandleReturn(s.Now(), returned)
	return &peer.Done{}, nil
}

// sanitize replaces NaN, infinite and negative values by 0, so that a malformed
// message moves no quota.
func sanitize(a loan.Amount) loan.Amount {
	finiteOrZero := func(v float64) float64 {
		if math.IsNaN(v) || math.IsInf(v, 0) {
			return 0
		}
		return v
	}
	return loan.Amount{Rate: finiteOrZero(a.Rate), Burst: finiteOrZero(a.Burst), Level: finiteOrZero(a.Level)}.Positive()
}

// Forward serves a forwarded call at a target in the data centre of this instance and
// streams the response. To prevent loops, it refuses every call whose hop count is not
// 1. A failure is sent to the peer as a refusal in the stream; the returned error is
// that of the stream.
func (s *Server) Forward(in *peer.Call, stream peer.Link_ForwardServer) error {
	now := s.Now()
	c := &call.Call{
		ID: in.GetId(), Arrived: now, Method: in.GetMethod(), Path: in.GetPath(), Query: in.GetQuery(),
		Header: requestHeader(in), Body: in.GetBody(), Hops: max(int(in.GetHop()), 1), OriginRegion: in.GetFrom(),
		Deadline: now.Add(time.Duration(in.GetDeadline()) * time.Millisecond), Trial: in.GetTrial(),
	}
	c.Sink = responseSink(stream, c)
	err := s.serve(stream.Context(), c, in)
	if err == nil {
		return stream.Send(&peer.Piece{End: true})
	}
	var refused *refusal.Refusal
	if !errors.As(err, &refused) {
		refused = refusal.Unknown(http.StatusInternalServerError, "internal", "the instance failed").WithCause(err)
	}
	return stream.Send(&peer.Piece{Refused: peerclient.RefusalToProto(refused)})
}

// serve checks the hop count, sets the document and the customer of the call, and
// passes the call to ServeForwarded.
func (s *Server) serve(ctx context.Context, c *call.Call, in *peer.Call) error {
	if in.GetHop() != 1 {
		return refusal.NotRun(http.StatusLoopDetected, "loop", "a forwarded call may not be forwarded again")
	}
	d, err := s.Document()
	if err != nil {
		return err
	}
	customer, ok := d.Customer(in.GetCustomer())
	if !ok {
		return refusal.NotRun(http.StatusServiceUnavailable, "customer_unknown", "the instance does not know the customer yet")
	}
	c.Document, c.Customer = d, customer
	return s.ServeForwarded(ctx, c)
}

func requestHeader(in *peer.Call) http.Header {
	h := make(http.Header)
	for _, header := range in.GetHeaders() {
		h.Add(header.GetName(), header.GetValue())
	}
	return h
}

// responseSink returns a sink that streams the response to the forwarding instance. The
// header is sent with the target that the call has at that time.
func responseSink(stream peer.Link_ForwardServer, c *call.Call) *sink.Sink {
	return &sink.Sink{
		SendHeader: func(status int, h http.Header) error {
			return stream.Send(&peer.Piece{Status: int32(status), Headers: peerclient.HeadersToProto(h), Target: c.Result.Target})
		},
		Send: func(data []byte) error {
			for piece := range slices.Chunk(data, relay.PieceSize) {
				if err := stream.Send(&peer.Piece{Body: piece}); err != nil {
					return err
				}
			}
			return nil
		},
	}
}
