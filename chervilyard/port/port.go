// Package port answers other instances over gRPC, on an address that callers
// do not reach.
package port

import (
	"context"
	"errors"
	"math"
	"net/http"
	"time"

	"chervilyard.example/chervilyard/call"
	"chervilyard.example/chervilyard/link"
	"chervilyard.example/chervilyard/sink"
	"chervilyard.example/yard/document"
	"chervilyard.example/yard/lender"
	"chervilyard.example/yard/loan"
	"chervilyard.example/yard/peer"
	"chervilyard.example/yard/refusal"
)

// Port serves peers. Its fields are set before use. It is safe for concurrent use.
type Port struct {
	peer.UnimplementedLinkServer

	Lender   *lender.Lender
	Now      func() time.Time
	Document func() (*document.Document, error)
	Deliver  func(letters []lender.Letter) // sends without waiting
	OnBeat   func(now time.Time, p *peer.Pulse) *peer.Pulse
	OnSync   func(now time.Time, r *peer.Roll) *peer.Roll
	OnFetch  func(now time.Time, above int64) *peer.Accepted
	// Serve takes a forwarded call through the stages that are left of its way.
	Serve func(ctx context.Context, c *call.Call) error
}

// Beat takes a heartbeat in and answers with the own.
func (p *Port) Beat(_ context.Context, in *peer.Pulse) (*peer.Pulse, error) {
	return p.OnBeat(p.Now(), in), nil
}

// Sync takes a roll in and answers with the own.
func (p *Port) Sync(_ context.Context, in *peer.Roll) (*peer.Roll, error) {
	return p.OnSync(p.Now(), in), nil
}

// Fetch answers with the document in force.
func (p *Port) Fetch(_ context.Context, in *peer.Revision) (*peer.Accepted, error) {
	return p.OnFetch(p.Now(), in.GetAbove()), nil
}

// Ask answers an ask for a loan.
func (p *Port) Ask(_ context.Context, in *peer.LoanAsk) (*peer.LoanReply, error) {
	ask := loan.Ask{
		ID: in.GetId(), Customer: in.GetCustomer(), Borrower: in.GetBorrower(), Amount: finite(link.FromAmount(in.GetAmount())),
		Term: time.Duration(in.GetTerm()), At: time.Unix(0, in.GetAt()), Extend: in.GetExtend(), Urgent: in.GetUrgent(), Spare: in.GetSpare(),
	}
	r, returns := p.Lender.Answer(p.Now(), ask)
	p.Deliver(returns)
	return &peer.LoanReply{Id: r.ID, At: in.GetAt(), Term: int64(r.Term), Amount: link.ToAmount(r.Amount), Spare: link.ToAmount(r.Spare)}, nil
}

// Give takes a returned loan in.
func (p *Port) Give(_ context.Context, in *peer.LoanReturn) (*peer.Done, error) {
	r := loan.Return{
		ID: in.GetId(), Customer: in.GetCustomer(), Urgent: in.GetUrgent(),
		Level: finite(loan.Amount{Level: in.GetLevel()}).Level, Used: finite(loan.Amount{Level: in.GetUsed()}).Level,
	}
	p.Lender.Regain(p.Now(), r)
	return &peer.Done{}, nil
}

// finite replaces what is no number, so that a broken message moves nothing.
func finite(a loan.Amount) loan.Amount {
	fix := func(v float64) float64 {
		if math.IsNaN(v) || math.IsInf(v, 0) {
			return 0
		}
		return v
	}
	return loan.Amount{Rate: fix(a.Rate), Burst: fix(a.Burst), Level: fix(a.Level)}.Positive()
}

// Forward serves a call at a target of the own data centre. It never goes
// further, whatever the call says.
func (p *Port) Forward(in *peer.Call, stream peer.Link_ForwardServer) error {
	now := p.Now()
	c := &call.Call{
		ID: in.GetId(), Arrived: now, Method: in.GetMethod(), Path: in.GetPath(), Query: in.GetQuery(),
		Header: header(in), Body: in.GetBody(), Hop: max(int(in.GetHop()), 1), From: in.GetFrom(),
		Deadline: now.Add(time.Duration(in.GetDeadline()) * time.Millisecond),
	}
	c.Answer = pieces(stream, c)
	err := p.serve(stream.Context(), c, in)
	if err == nil {
		return stream.Send(&peer.Piece{End: true})
	}
	var r *refusal.Refusal
	if !errors.As(err, &r) {
		r = refusal.Unknown(http.StatusInternalServerError, "internal", "the instance failed").Because(err)
	}
	return stream.Send(&peer.Piece{Refused: link.ToRefused(r)})
}

func (p *Port) serve(ctx context.Context, c *call.Call, in *peer.Call) error {
	if in.GetHop() != 1 {
		return refusal.NotRun(http.StatusLoopDetected, "loop", "a forwarded call may not be forwarded again")
	}
	d, err := p.Document()
	if err != nil {
		return err
	}
	owner, ok := d.Customer(in.GetCustomer())
	if !ok {
		return refusal.NotRun(http.StatusServiceUnavailable, "customer_unknown", "the instance does not know the customer yet")
	}
	c.Document, c.Customer = d, owner
	return p.Serve(ctx, c)
}

func header(in *peer.Call) http.Header {
	h := make(http.Header)
	for _, one := range in.GetHeaders() {
		h.Add(one.GetName(), one.GetValue())
	}
	return h
}

// pieces returns a sink that answers the forwarding instance.
func pieces(stream peer.Link_ForwardServer, c *call.Call) *sink.Sink {
	return &sink.Sink{
		Start: func(status int, h http.Header) error {
			return stream.Send(&peer.Piece{Status: int32(status), Headers: link.ToHeaders(h), Target: c.Result.Target})
		},
		Send: func(piece []byte) error {
			return stream.Send(&peer.Piece{Body: piece})
		},
	}
}
