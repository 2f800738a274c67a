// Package peerclient is the client side of the gRPC protocol between instances.
package peerclient

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/keepalive"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/proto"

	"chervilyard.example/chervilyard/call"
	"chervilyard.example/chervilyard/dispatch"
	"chervilyard.example/chervilyard/reqbody"
	"chervilyard.example/yard/head"
	"chervilyard.example/yard/lender"
	"chervilyard.example/yard/loan"
	"chervilyard.example/yard/membudget"
	"chervilyard.example/yard/peer"
	"chervilyard.example/yard/refusal"
)

const (
	unaryTimeout      = 2 * time.Second
	keepaliveInterval = 10 * time.Second
	maxMessageBytes   = 16 << 20
	maxLoanMessages   = 64 // limit on the messages of SendLoans in flight
	// responseWindow is how many bytes of a response may arrive before they are read, and
	// connWindow how many of all responses of a connection may be under way, where memory is
	// bounded. gRPC otherwise lets up to 16 MB of each response arrive.
	responseWindow = 64 << 10
	connWindow     = 4 << 20
)

// BodyBytesKey is the name of the metadata with the size of a forwarded call in bytes.
const BodyBytesKey = "chervil-body-bytes"

// Client sends messages to other instances. It opens one connection per address on
// first use and keeps it until Close. The exported fields must be set before use
// and must not change afterwards. A Client is safe for concurrent use.
type Client struct {
	// Credentials authenticate this instance to its peers. If nil, connections
	// are neither encrypted nor authenticated.
	Credentials credentials.TransportCredentials
	// Lender receives the replies to loan requests.
	Lender *lender.Lender
	Now    func() time.Time
	// OnSend is called with the kind and the encoded size of each message before it
	// is sent. Calls may be concurrent. It may be nil.
	OnSend func(kind string, bytes int)
	// Bodies reserves the memory of forwarded calls. Without a Budget there is no bound.
	Bodies reqbody.Reader

	initOnce  sync.Once
	loanSlots chan struct{} // semaphore of the loan messages in flight
	mu        sync.Mutex
	conns     map[string]*grpc.ClientConn // by peer address
	closed    bool
}

func (cl *Client) init() {
	cl.initOnce.Do(func() {
		cl.conns = make(map[string]*grpc.ClientConn)
		cl.loanSlots = make(chan struct{}, maxLoanMessages)
	})
}

var errClosed = errors.New("peerclient: closed")

// client returns a gRPC client of the peer at the address, over a connection that
// all users of the Client share. It returns errClosed after Close.
func (cl *Client) client(address string) (peer.LinkClient, error) {
	cl.init()
	cl.mu.Lock()
	defer cl.mu.Unlock()
	if cl.closed {
		return nil, errClosed
	}
	if c, ok := cl.conns[address]; ok {
		return peer.NewLinkClient(c), nil
	}
	creds := cl.Credentials
	if creds == nil {
		creds = insecure.NewCredentials()
	}
	options := []grpc.DialOption{
		grpc.WithTransportCredentials(creds),
		grpc.WithDisableRetry(),
		grpc.WithDisableServiceConfig(),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxMessageBytes), grpc.MaxCallSendMsgSize(maxMessageBytes)),
		grpc.WithKeepaliveParams(keepalive.ClientParameters{Time: keepaliveInterval, Timeout: keepaliveInterval / 2}),
	}
	if cl.Bodies.Budget.Bounded() {
		options = append(options, grpc.WithStaticStreamWindowSize(responseWindow), grpc.WithStaticConnWindowSize(connWindow))
	}
	c, err := grpc.NewClient("passthrough:///"+address, options...)
	if err != nil {
		return nil, err
	}
	cl.conns[address] = c
	return peer.NewLinkClient(c), nil
}

// SendHeartbeat sends a heartbeat to the peer and returns the heartbeat of the peer.
func (cl *Client) SendHeartbeat(ctx context.Context, to string, p *peer.Pulse) (*peer.Pulse, error) {
	return sendUnary(ctx, cl, "beat", to, p, peer.LinkClient.Beat)
}

// ExchangeMembers sends a member list to the peer and returns the member list of
// the peer.
func (cl *Client) ExchangeMembers(ctx context.Context, to string, r *peer.Roll) (*peer.Roll, error) {
	return sendUnary(ctx, cl, "sync", to, r, peer.LinkClient.Sync)
}

// FetchDocument returns the active configuration document of the peer if its revision
// is above the given one, else an empty message. The reply may hold only a delta
// to the document with the given revision.
func (cl *Client) FetchDocument(ctx context.Context, to string, above int64) (*peer.Accepted, error) {
	return sendUnary(ctx, cl, "fetch", to, &peer.Revision{Above: above}, peer.LinkClient.Fetch)
}

// sendUnary sends a request to the peer with the method and returns the reply. It
// waits for at most unaryTimeout.
func sendUnary[Request, Reply any](
	ctx context.Context, cl *Client, kind, to string, request *Request,
	method func(peer.LinkClient, context.Context, *Request, ...grpc.CallOption) (*Reply, error),
) (*Reply, error) {
	c, err := cl.client(to)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, unaryTimeout)
	defer cancel()
	cl.countSent(kind, request)
	return method(c, ctx, request)
}

// SendLoansAndWait sends loan messages concurrently and passes the replies to the
// lender. It returns when all messages have been answered or have failed; a message
// fails after unaryTimeout or when ctx is done. The limit on the messages of SendLoans
// in flight does not apply.
func (cl *Client) SendLoansAndWait(ctx context.Context, messages []lender.Message) {
	var wg sync.WaitGroup
	for _, m := range messages {
		wg.Add(1)
		go func() {
			defer wg.Done()
			cl.sendLoanMessage(ctx, m)
		}()
	}
	wg.Wait()
}

// SendLoans sends loan messages in the background. It drops messages above the limit
// on those in flight, which the loan protocol treats like a loss on the network.
func (cl *Client) SendLoans(messages []lender.Message) {
	cl.init()
	for _, m := range messages {
		if !cl.acquireLoanSlot() {
			continue
		}
		go func() {
			defer func() { <-cl.loanSlots }()
			cl.sendLoanMessage(context.Background(), m)
		}()
	}
}

// acquireLoanSlot reports whether another loan message may be sent. If so, the
// caller must release the slot by receiving from loanSlots.
func (cl *Client) acquireLoanSlot() bool {
	select {
	case cl.loanSlots <- struct{}{}:
		return true
	default:
		return false
	}
}

// sendLoanMessage sends a return or a request. It passes the reply to a request to the
// lender, and sends the messages that the lender then returns with SendLoans.
func (cl *Client) sendLoanMessage(ctx context.Context, m lender.Message) {
	if m.Return.ID != 0 {
		loanReturn := &peer.LoanReturn{
			Id: m.Return.ID, Customer: m.Return.Customer, Level: m.Return.ReturnedTokens, Urgent: m.Return.Urgent, Used: m.Return.UsedTokens,
		}
		// If the return is lost, the peer takes the quota back when the loan expires.
		_, _ = sendUnary(ctx, cl, "give", m.Peer, loanReturn, peer.LinkClient.Give)
		return
	}
	request := &peer.LoanAsk{
		Id: m.Request.ID, Customer: m.Request.Customer, Borrower: m.Request.Borrower, Amount: amountMessage(m.Request.Amount),
		Term: int64(m.Request.Term), At: m.Request.At.UnixNano(), Extend: m.Request.Extend, Urgent: m.Request.Urgent, Spare: m.Request.SpareOnly,
	}
	reply, err := sendUnary(ctx, cl, "ask", m.Peer, request, peer.LinkClient.Ask)
	if err != nil {
		return
	}
	cl.SendLoans(cl.Lender.HandleReply(cl.Now(), m.Request.Customer, loan.Reply{
		ID: reply.GetId(), At: time.Unix(0, reply.GetAt()), Term: time.Duration(reply.GetTerm()),
		Amount: AmountFromProto(reply.GetAmount()), Spare: AmountFromProto(reply.GetSpare()),
	}))
}

func amountMessage(a loan.Amount) *peer.Amount {
	return &peer.Amount{Rate: a.Rate, Burst: a.Burst, Level: a.Level}
}

// AmountFromProto converts an amount from its message form. A nil message is the zero
// amount.
func AmountFromProto(a *peer.Amount) loan.Amount {
	return loan.Amount{Rate: a.GetRate(), Burst: a.GetBurst(), Level: a.GetLevel()}
}

// AmountToProto converts an amount to its message form.
func AmountToProto(a loan.Amount) *peer.Amount { return amountMessage(a) }

// Forward sends the call to an instance of another data centre and returns the
// head of its response. The error is a *refusal.Refusal if that instance refused
// the call and a *dispatch.NotSentError if the call was not sent; after any other error
// the call may have been executed. The caller must close the response body.
func (cl *Client) Forward(ctx context.Context, to dispatch.RemoteCentre, c *call.Call) (*dispatch.Response, error) {
	client, err := cl.client(to.Address)
	if err != nil {
		return nil, &dispatch.NotSentError{Err: err}
	}
	request := callToProto(cl.Now(), c)
	size := proto.Size(request)
	// The encoded call is a second copy of its body until it has been sent.
	encoded, err := cl.Bodies.Reserve(ctx, membudget.Forwarded, size)
	var failed *reqbody.Error
	if errors.As(err, &failed) {
		return nil, NoMemory(failed)
	}
	ctx, cancel := context.WithCancel(metadata.AppendToOutgoingContext(ctx, BodyBytesKey, strconv.Itoa(size)))
	cl.countSent("forward", request)
	stream, err := client.Forward(ctx, request)
	encoded.Close(cl.Now())
	if err != nil {
		cancel()
		return nil, forwardError(err)
	}
	first, err := stream.Recv()
	if err != nil {
		cancel()
		return nil, forwardError(err)
	}
	if r := first.GetRefused(); r != nil {
		cancel()
		return nil, RefusalFromProto(r)
	}
	header := headersFromProto(first.GetHeaders())
	// Instances of older versions pass on what a target sent.
	if err := head.Check(int(first.GetStatus()), header); err != nil {
		cancel()
		return nil, err
	}
	return &dispatch.Response{
		Status: int(first.GetStatus()),
		Header: header,
		Body: &responseBody{
			stream: stream, buffered: first.GetBody(), complete: first.GetEnd(), cancel: cancel,
			window: cl.Bodies.Budget.Open(cl.Now(), membudget.Responses, nil), now: cl.Now,
		},
		Target: first.GetTarget(),
	}, nil
}

// NoMemory returns the refusal of a forwarded call for whose body the budget has no bytes.
func NoMemory(err *reqbody.Error) *refusal.Refusal {
	return refusal.NotRun(http.StatusServiceUnavailable, "memory", "the memory for forwarded calls is used up").WithRetryAfter(reqbody.RetryAfter).WithCause(err)
}

// forwardError returns a *dispatch.NotSentError if the call cannot have reached the
// peer, else err. gRPC uses the code Unavailable for both cases; only a failure to
// establish the connection proves that the call was not sent.
func forwardError(err error) error {
	if s, ok := status.FromError(err); ok && s.Code() == codes.Unavailable && isDialError(s.Message()) {
		return &dispatch.NotSentError{Err: err}
	}
	return err
}

// callToProto converts a call to its message form, with the hop count increased by
// one and the deadline as the time left from now.
func callToProto(now time.Time, c *call.Call) *peer.Call {
	return &peer.Call{
		Id: c.ID, Customer: c.Customer.Name(), Route: c.Route.Name(), Method: c.Method,
		Path: c.Path, Query: c.Query, Headers: targetHeadersToProto(c.Header), Body: c.Body,
		Hop: int32(c.Hops) + 1, Deadline: c.Deadline.Sub(now).Milliseconds(), From: c.OriginRegion, Tokens: c.MaxTokens, Trial: c.Trial,
	}
}

// responseBody is the response body of a forwarded call. If the stream ends without
// an end mark, the body is truncated and Read returns io.ErrUnexpectedEOF.
type responseBody struct {
	stream   grpc.ServerStreamingClient[peer.Piece]
	buffered []byte // received but not yet read
	complete bool   // the end mark was received
	cancel   context.CancelFunc
	received int                    // bytes of the body
	window   *membudget.Reservation // for what arrives before it is read
	now      func() time.Time
}

// Read implements io.Reader. It returns a *refusal.Refusal if the peer failed
// after it had sent the head of the response.
func (b *responseBody) Read(p []byte) (int, error) {
	for len(b.buffered) == 0 {
		if b.complete {
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
			return 0, RefusalFromProto(r)
		}
		b.buffered, b.complete = piece.GetBody(), piece.GetEnd()
		// A short response never fills the window. For a long one the budget shows that it
		// does, so that bodies are refused before memory is short.
		if before := b.received; before <= responseWindow && before+len(b.buffered) > responseWindow {
			b.window.TryReserve(responseWindow)
		}
		b.received += len(b.buffered)
	}
	n := copy(p, b.buffered)
	b.buffered = b.buffered[n:]
	return n, nil
}

// Close implements io.Closer. It cancels the forwarded call if it still runs.
func (b *responseBody) Close() error {
	b.cancel()
	b.window.Close(b.now())
	return nil
}

// RefusalFromProto converts a refusal from its message form.
func RefusalFromProto(r *peer.Refused) *refusal.Refusal {
	return &refusal.Refusal{
		Status: int(r.GetStatus()), Code: r.GetCode(), Message: r.GetMessage(), Run: r.GetRun(),
		RetryAfter: time.Duration(r.GetRetry()) * time.Millisecond,
	}
}

// RefusalToProto converts a refusal to its message form.
func RefusalToProto(r *refusal.Refusal) *peer.Refused {
	return &peer.Refused{Status: int32(r.Status), Code: r.Code, Message: r.Message, Run: r.Run, Retry: r.RetryAfter.Milliseconds()}
}

// Close closes all connections, which fails the calls in flight. Later calls fail
// as well.
func (cl *Client) Close() {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	cl.closed = true
	for _, c := range cl.conns {
		_ = c.Close() // fails only if c is already closed
	}
}

func headersFromProto(headers []*peer.Header) http.Header {
	h := make(http.Header)
	for _, header := range headers {
		h.Add(header.GetName(), header.GetValue())
	}
	return h
}
