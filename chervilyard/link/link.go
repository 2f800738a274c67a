// Package link carries messages to other instances over gRPC.
package link

import (
	"context"
	"errors"
	"io"
	"net/http"
	"sync"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/keepalive"
	"google.golang.org/grpc/status"

	"chervilyard.example/chervilyard/call"
	"chervilyard.example/chervilyard/dispatch"
	"chervilyard.example/yard/lender"
	"chervilyard.example/yard/loan"
	"chervilyard.example/yard/peer"
	"chervilyard.example/yard/refusal"
)

const (
	callTime  = 2 * time.Second // for a message with a short answer
	aliveTime = 10 * time.Second
	maxPiece  = 16 << 20 // bytes of one message
	letters   = 64       // messages of the lender on their way at once
)

// Link is an instance's connections to others, made as they are needed. Its
// fields are set before use. It is safe for concurrent use.
type Link struct {
	// Credentials prove this instance to others; nil for none.
	Credentials credentials.TransportCredentials
	Lender      *lender.Lender
	Now         func() time.Time
	// Sent is told the kind and bytes of each message; it may be nil.
	Sent func(kind string, bytes int)

	once   sync.Once
	out    chan struct{} // a place for each of the lender's messages on their way
	mu     sync.Mutex
	conns  map[string]*grpc.ClientConn
	closed bool
}

func (l *Link) init() {
	l.once.Do(func() {
		l.conns = make(map[string]*grpc.ClientConn)
		l.out = make(chan struct{}, letters)
	})
}

var errClosed = errors.New("link: closed")

func (l *Link) client(address string) (peer.LinkClient, error) {
	l.init()
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return nil, errClosed
	}
	if c, ok := l.conns[address]; ok {
		return peer.NewLinkClient(c), nil
	}
	creds := l.Credentials
	if creds == nil {
		creds = insecure.NewCredentials()
	}
	c, err := grpc.NewClient("passthrough:///"+address,
		grpc.WithTransportCredentials(creds),
		grpc.WithDisableRetry(),
		grpc.WithDisableServiceConfig(),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxPiece), grpc.MaxCallSendMsgSize(maxPiece)),
		grpc.WithKeepaliveParams(keepalive.ClientParameters{Time: aliveTime, Timeout: aliveTime / 2}),
	)
	if err != nil {
		return nil, err
	}
	l.conns[address] = c
	return peer.NewLinkClient(c), nil
}

// Beat sends a heartbeat and returns the other's.
func (l *Link) Beat(ctx context.Context, to string, p *peer.Pulse) (*peer.Pulse, error) {
	return exchange(ctx, l, "beat", to, p, peer.LinkClient.Beat)
}

// Sync exchanges rolls.
func (l *Link) Sync(ctx context.Context, to string, r *peer.Roll) (*peer.Roll, error) {
	return exchange(ctx, l, "sync", to, r, peer.LinkClient.Sync)
}

// Fetch returns the document that the other runs, where it is above a revision.
func (l *Link) Fetch(ctx context.Context, to string, above int64) (*peer.Accepted, error) {
	return exchange(ctx, l, "fetch", to, &peer.Revision{Above: above}, peer.LinkClient.Fetch)
}

// exchange makes one unary call.
func exchange[Q, A any](
	ctx context.Context, l *Link, kind, to string, q *Q,
	do func(peer.LinkClient, context.Context, *Q, ...grpc.CallOption) (*A, error),
) (*A, error) {
	c, err := l.client(to)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, callTime)
	defer cancel()
	l.count(kind, q)
	return do(c, ctx, q)
}

// Exchange sends asks and takes their replies in; it returns when all have come
// or the context ends.
func (l *Link) Exchange(ctx context.Context, asks []lender.Letter) {
	var wait sync.WaitGroup
	for _, letter := range asks {
		wait.Add(1)
		go func() {
			defer wait.Done()
			l.deliver(ctx, letter)
		}()
	}
	wait.Wait()
}

// Deliver sends the lender's messages without waiting. Those over the bound of
// messages on their way are dropped, as if lost.
func (l *Link) Deliver(messages []lender.Letter) {
	l.init()
	for _, m := range messages {
		if !l.enter() {
			continue
		}
		go func() {
			defer func() { <-l.out }()
			l.deliver(context.Background(), m)
		}()
	}
}

func (l *Link) enter() bool {
	select {
	case l.out <- struct{}{}:
		return true
	default:
		return false
	}
}

func (l *Link) deliver(ctx context.Context, m lender.Letter) {
	if m.Return.ID != 0 {
		r := &peer.LoanReturn{
			Id: m.Return.ID, Customer: m.Return.Customer, Level: m.Return.Level, Urgent: m.Return.Urgent, Used: m.Return.Used,
		}
		_, _ = exchange(ctx, l, "give", m.Peer, r, peer.LinkClient.Give) // a lost return is taken back in time
		return
	}
	q := &peer.LoanAsk{
		Id: m.Ask.ID, Customer: m.Ask.Customer, Borrower: m.Ask.Borrower, Amount: amount(m.Ask.Amount),
		Term: int64(m.Ask.Term), At: m.Ask.At.UnixNano(), Extend: m.Ask.Extend, Urgent: m.Ask.Urgent, Spare: m.Ask.Spare,
	}
	a, err := exchange(ctx, l, "ask", m.Peer, q, peer.LinkClient.Ask)
	if err != nil {
		return
	}
	l.Deliver(l.Lender.Receive(l.Now(), m.Ask.Customer, loan.Reply{
		ID: a.GetId(), At: time.Unix(0, a.GetAt()), Term: time.Duration(a.GetTerm()),
		Amount: FromAmount(a.GetAmount()), Spare: FromAmount(a.GetSpare()),
	}))
}

func amount(a loan.Amount) *peer.Amount {
	return &peer.Amount{Rate: a.Rate, Burst: a.Burst, Level: a.Level}
}

// FromAmount returns the amount of a message.
func FromAmount(a *peer.Amount) loan.Amount {
	return loan.Amount{Rate: a.GetRate(), Burst: a.GetBurst(), Level: a.GetLevel()}
}

// ToAmount returns the message of an amount.
func ToAmount(a loan.Amount) *peer.Amount { return amount(a) }

// Forward has an instance of another data centre serve the call.
func (l *Link) Forward(ctx context.Context, to dispatch.Remote, c *call.Call) (*dispatch.Response, error) {
	client, err := l.client(to.Address)
	if err != nil {
		return nil, &dispatch.Unsent{Err: err}
	}
	ctx, cancel := context.WithCancel(ctx)
	m := message(l.Now(), c)
	l.count("forward", m)
	stream, err := client.Forward(ctx, m)
	if err != nil {
		cancel()
		return nil, sendError(err)
	}
	first, err := stream.Recv()
	if err != nil {
		cancel()
		return nil, sendError(err)
	}
	if r := first.GetRefused(); r != nil {
		cancel()
		return nil, FromRefused(r)
	}
	return &dispatch.Response{
		Status: int(first.GetStatus()),
		Header: fromHeaders(first.GetHeaders()),
		Body:   &body{stream: stream, rest: first.GetBody(), ended: first.GetEnd(), cancel: cancel},
		Target: first.GetTarget(),
	}, nil
}

// sendError tells a call that cannot have left from one that may have run. gRPC
// says Unavailable for both, so that only a refused connection proves the first.
func sendError(err error) error {
	if s, ok := status.FromError(err); ok && s.Code() == codes.Unavailable && isDial(s.Message()) {
		return &dispatch.Unsent{Err: err}
	}
	return err
}

func message(now time.Time, c *call.Call) *peer.Call {
	return &peer.Call{
		Id: c.ID, Customer: c.Customer.Name(), Route: c.Route.Name(), Method: c.Method,
		Path: c.Path, Query: c.Query, Headers: toHeaders(c.Header), Body: c.Body,
		Hop: int32(c.Hop) + 1, Deadline: c.Deadline.Sub(now).Milliseconds(), From: c.From, Tokens: c.Tokens,
	}
}

// body reads a forwarded answer; it ends well only where the other instance
// said that it does.
type body struct {
	stream grpc.ServerStreamingClient[peer.Piece]
	rest   []byte
	ended  bool
	cancel context.CancelFunc
}

// Read implements io.Reader.
func (b *body) Read(p []byte) (int, error) {
	for len(b.rest) == 0 {
		if b.ended {
			return 0, io.EOF
		}
		piece, err := b.stream.Recv()
		if errors.Is(err, io.EOF) {
			return 0, io.ErrUnexpectedEOF
		}
		if err != nil {
			return 0, err
		}
		if r := piece.GetRefused(); r != nil {
			return 0, FromRefused(r)
		}
		b.rest, b.ended = piece.GetBody(), piece.GetEnd()
	}
	n := copy(p, b.rest)
	b.rest = b.rest[n:]
	return n, nil
}

// Close ends the forwarded call.
func (b *body) Close() error {
	b.cancel()
	return nil
}

// FromRefused returns the refusal of a message.
func FromRefused(r *peer.Refused) *refusal.Refusal {
	return &refusal.Refusal{
		Status: int(r.GetStatus()), Code: r.GetCode(), Message: r.GetMessage(), Run: r.GetRun(),
		Retry: time.Duration(r.GetRetry()) * time.Millisecond,
	}
}

// ToRefused returns the message of a refusal.
func ToRefused(r *refusal.Refusal) *peer.Refused {
	return &peer.Refused{Status: int32(r.Status), Code: r.Code, Message: r.Message, Run: r.Run, Retry: r.Retry.Milliseconds()}
}

// Close closes all connections.
func (l *Link) Close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed = true
	for _, c := range l.conns {
		_ = c.Close() // nothing is left to send
	}
}

func fromHeaders(list []*peer.Header) http.Header {
	h := make(http.Header)
	for _, one := range list {
		h.Add(one.GetName(), one.GetValue())
	}
	return h
}
