package dispatch_test

import (
	"context"
	"errors"
	"io"
	"net/http"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"

	"chervilyard.example/chervilyard/call"
	"chervilyard.example/chervilyard/decisionlog"
	"chervilyard.example/chervilyard/dispatch"
	"chervilyard.example/chervilyard/retrybudget"
	"chervilyard.example/chervilyard/sink"
	"chervilyard.example/yard/balancer"
	"chervilyard.example/yard/document"
	"chervilyard.example/yard/head"
	"chervilyard.example/yard/refusal"
	"chervilyard.example/yard/route"
	"chervilyard.example/yard/target"
)

const config = `[environment]
name = x
[region r]
[centre c]
region = r
[customer k]
rate = 10
burst = 1000
[route m]
kind = model
open = k
[route s]
kind = service
open = k
[target a]
centre = c
address = 127.0.0.1:1
serves = m, s
[target b]
centre = c
address = 127.0.0.1:2
serves = m, s
`

const (
	timeLeft       = 90 * time.Second
	firstByteLimit = timeLeft / 3 // of targets without samples
)

// piece is a part of a response body.
type piece struct {
	after    time.Duration // since the previous one
	received bool          // it has been received when the call is cancelled
	text     string
	err      error // returned after the text
}

// body is a response body whose reads fail once ctx is done.
type body struct {
	ctx    context.Context
	pieces []piece
	onRead func() // called before a piece is returned
}

func (b *body) Read(p []byte) (int, error) {
	if b.ctx.Err() != nil {
		return 0, b.ctx.Err()
	}
	if len(b.pieces) == 0 {
		return 0, io.EOF
	}
	next := b.pieces[0]
	b.pieces = b.pieces[1:]
	cancelled := b.ctx.Done()
	if next.received {
		cancelled = nil
	}
	select {
	case <-time.After(next.after):
	case <-cancelled:
		return 0, b.ctx.Err()
	}
	b.onRead()
	return copy(p, next.text), next.err
}

func (b *body) Close() error { return nil }

// answer is what a caller got.
type answer struct {
	headers int // number of headers sent
	status  int // of the last header
	body    string
	err     error
	score   time.Duration // of the target that would be picked next
}

// run runs a call of the route on two targets. The first one that is chosen sends the
// pieces, the other one a complete response. The clock stalls once, after the first
// piece has been read.
func run(t *testing.T, routeName string, first []piece, clockStalls time.Duration) answer {
	t.Helper()
	d, err := document.Parse("x", config)
	if err != nil {
		t.Fatal(err)
	}
	r, _ := d.Route(routeName)
	customer, _ := d.Customer("k")
	header := http.Header{}
	if r.Kind() == route.KindModel {
		header.Set("Content-Type", "text/event-stream")
	}
	stallNext := false
	sends := 0
	s := dispatch.Stage{
		Centre: "c", Document: func() *document.Document { return d },
		Picker:      &balancer.Picker{Random: func(int) int { return 0 }},
		RetryBudget: &retrybudget.Budget{}, Decisions: decisionlog.New(hclog.NewNullLogger()),
		MaxWaitingPerCustomer: 10,
		Remotes:               func(time.Time, route.Route) []dispatch.RemoteCentre { return nil },
		Now: func() time.Time {
			if stallNext {
				stallNext = false
				time.Sleep(clockStalls)
			}
			return time.Now()
		},
		Send: func(ctx context.Context, _ target.Target, _ *call.Call) (*dispatch.Response, error) {
			sends++
			b := &body{ctx: ctx, pieces: []piece{{text: "data: other\n\n"}, {text: "data: [DONE]\n\n"}}, onRead: func() {}}
			if sends == 1 {
				b.pieces = first
				b.onRead = func() { stallNext, b.onRead = true, func() {} }
			}
			return &dispatch.Response{Status: http.StatusOK, Header: header, Body: b}, nil
		},
	}
	var got answer
	var sent strings.Builder
	c := &call.Call{
		ID: "1", Document: d, Customer: customer, Route: r, Stream: r.Kind() == route.KindModel, Deadline: time.Now().Add(timeLeft),
		Sink: &sink.Sink{
			SendHeader: func(status int, _ http.Header) error {
				got.headers++
				got.status = status
				return nil
			},
			Send: func(p []byte) error {
				sent.Write(p)
				return nil
			},
		},
	}
	got.err = s.Run(t.Context(), c)
	got.body = sent.String()
	next, _ := s.Picker.Pick(time.Now(), d.Targets(), balancer.Request{})
	got.score = next.Score
	return got
}

const (
	completeA = "data: a\n\ndata: [DONE]\n\n"
	completeB = "data: other\n\ndata: [DONE]\n\n"
)

// Guards against a stream that breaks off because the time limit of its first byte ends
// while that byte is being read or right after it.
func TestFirstByteAtItsLimit(t *testing.T) {
	for _, test := range []struct {
		name        string // when the limit ends
		arrives     time.Duration
		received    bool
		clockStalls time.Duration
		want        string
	}{
		{name: "not", arrives: firstByteLimit - time.Millisecond, want: completeA},
		{name: "while it is read", arrives: firstByteLimit + time.Millisecond, received: true, want: completeB},
		{name: "before it", arrives: firstByteLimit + time.Millisecond, want: completeB},
		{name: "right after it is read", arrives: firstByteLimit - time.Millisecond, clockStalls: 2 * time.Millisecond, want: completeA},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				pieces := []piece{{text: "data: a\n\n", after: test.arrives, received: test.received}, {text: "data: [DONE]\n\n"}}
				got := run(t, "m", pieces, test.clockStalls)
				if got.body != test.want || got.err != nil {
					t.Errorf("response %q, %v; want %q", got.body, got.err, test.want)
				}
			})
		})
	}
}

// Guards against a limit on the gaps between pieces that begins before the first piece,
// or that is lost with the limit of the first byte.
func TestStallLimit(t *testing.T) {
	done := piece{text: "data: [DONE]\n\n"}
	for _, test := range []struct {
		name   string
		pieces []piece
		want   string
		code   string
	}{
		{name: "late first piece", pieces: []piece{{after: 20 * time.Second, text: "data: a\n\n"}, done}, want: completeA},
		{name: "many gaps", pieces: []piece{
			{text: "data: a\n\n"}, {after: 14 * time.Second, text: "data: a\n\n"}, {after: 14 * time.Second, text: "data: a\n\n"},
			{after: 14 * time.Second, text: "data: a\n\n"}, done,
		}, want: strings.Repeat("data: a\n\n", 4) + done.text},
		{name: "long gap", pieces: []piece{{text: "data: a\n\n"}, {after: 16 * time.Second, text: "data: a\n\n"}, done}, want: "data: a\n\n", code: "answer_broken"},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				got := run(t, "m", test.pieces, 0)
				var r *refusal.Refusal
				code := ""
				if errors.As(got.err, &r) {
					code = r.Code
				}
				if got.body != test.want || code != test.code {
					t.Errorf("response %q, %v; want %q, %q", got.body, got.err, test.want, test.code)
				}
			})
		})
	}
}

// Guards against a response of a service that begins and then breaks off, although its
// target failed before the first byte of the body and another one could be tried.
func TestServiceFailsBeforeFirstByte(t *testing.T) {
	for _, test := range []struct {
		name   string
		pieces []piece
		want   string
	}{
		{name: "broken", pieces: []piece{{err: io.ErrUnexpectedEOF}}, want: completeB},
		{name: "late", pieces: []piece{{after: firstByteLimit + time.Millisecond, text: "a"}}, want: completeB},
		{name: "while it is read", pieces: []piece{{after: firstByteLimit + time.Millisecond, received: true, text: "a"}}, want: completeB},
		{name: "empty", want: ""},
		{name: "complete", pieces: []piece{{text: "a"}, {text: "b", err: io.EOF}}, want: "ab"},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				got := run(t, "s", test.pieces, 0)
				if got.headers != 1 || got.status != http.StatusOK || got.body != test.want || got.err != nil {
					t.Errorf("%d headers, status %d, response %q, %v; want %q", got.headers, got.status, got.body, got.err, test.want)
				}
			})
		})
	}
}

// Guards against a target that is preferred to all others because the time to the first
// byte of an empty response counts as negative.
func TestEmptyResponseKeepsScore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		if got := run(t, "s", nil, 0); got.err != nil || got.score < 0 {
			t.Errorf("score %v, %v", got.score, got.err)
		}
	})
}

// Guards against failed attempts whose cause is not logged, or is logged more than once.
func TestCauseOfFailureIsLogged(t *testing.T) {
	d, err := document.Parse("x", config)
	if err != nil {
		t.Fatal(err)
	}
	for _, nonIdempotent := range []bool{false, true} {
		log := decisionlog.NewWithHistory(hclog.NewNullLogger(), 100)
		sends := 0
		s := dispatch.Stage{
			Centre: "c", Document: func() *document.Document { return d }, Now: time.Now,
			Picker:      &balancer.Picker{Random: func(int) int { return 0 }},
			RetryBudget: &retrybudget.Budget{}, Decisions: log,
			MaxWaitingPerCustomer: 10,
			Remotes:               func(time.Time, route.Route) []dispatch.RemoteCentre { return nil },
			Send: func(context.Context, target.Target, *call.Call) (*dispatch.Response, error) {
				sends++
				return nil, &head.MalformedError{Status: sends - 1}
			},
		}
		ctx, cancel := context.WithCancel(t.Context())
		stopped := log.Run(ctx)
		r, _ := d.Route("s")
		customer, _ := d.Customer("k")
		c := &call.Call{ID: "1", Document: d, Customer: customer, Route: r, NonIdempotent: nonIdempotent, Deadline: time.Now().Add(timeLeft), Sink: &sink.Sink{}}
		var refused *refusal.Refusal
		if err := s.Run(ctx, c); !errors.As(err, &refused) || refused.Status != http.StatusBadGateway {
			t.Errorf("unexpected error: %v", err)
		}
		cancel()
		<-stopped
		var got []string
		for _, d := range log.History("1") {
			if strings.Contains(d.Reason, "malformed") {
				got = append(got, d.Choice+" "+d.Target+" "+d.Reason)
			}
		}
		want := []string{"failed a target_failed: malformed response: invalid status code 0", "failed b target_failed: malformed response: invalid status code 1"}
		if nonIdempotent {
			want = want[:1]
		}
		if !slices.Equal(got, want) {
			t.Errorf("logged %q, want %q", got, want)
		}
	}
}

// Guards against more retries over the instances than their budgets, because a call that
// is forwarded earns retries at the instance that it is forwarded to as well.
func TestForwardedCallEarnsNoRetry(t *testing.T) {
	const calls, initialRetries = 100, 10
	d, err := document.Parse("x", config)
	if err != nil {
		t.Fatal(err)
	}
	sends := 0
	s := dispatch.Stage{
		Centre: "c", Document: func() *document.Document { return d }, Now: time.Now,
		Picker:      &balancer.Picker{Random: func(int) int { return 0 }},
		RetryBudget: &retrybudget.Budget{}, Decisions: decisionlog.New(hclog.NewNullLogger()),
		MaxWaitingPerCustomer: 10,
		Send: func(context.Context, target.Target, *call.Call) (*dispatch.Response, error) {
			sends++
			return &dispatch.Response{Status: http.StatusServiceUnavailable, Body: http.NoBody}, nil
		},
	}
	r, _ := d.Route("m")
	customer, _ := d.Customer("k")
	for range calls {
		s.Picker = &balancer.Picker{Random: func(int) int { return 0 }} // forgets failures
		c := &call.Call{ID: "1", Document: d, Customer: customer, Route: r, Hops: 1, Deadline: time.Now().Add(timeLeft), Sink: &sink.Sink{}}
		if err := s.Run(t.Context(), c); err == nil {
			t.Fatal("a call was answered")
		}
	}
	if retries := sends - calls; retries > initialRetries {
		t.Errorf("%d retries of %d forwarded calls, at most %d", retries, calls, initialRetries)
	}
}

// Guards against calls to targets that turned one away with Retry-After before that time is
// over, against calls that wait for these in the queue, and against a refusal that tells
// callers to return sooner.
func TestRequestedWaitIsKept(t *testing.T) {
	d, err := document.Parse("x", config)
	if err != nil {
		t.Fatal(err)
	}
	now := time.Now()
	sends := 0
	s := dispatch.Stage{
		Centre: "c", Document: func() *document.Document { return d }, Now: func() time.Time { return now },
		Picker:      &balancer.Picker{Random: func(int) int { return 0 }},
		RetryBudget: &retrybudget.Budget{}, Decisions: decisionlog.New(hclog.NewNullLogger()),
		MaxWaitingPerCustomer: 10,
		Remotes:               func(time.Time, route.Route) []dispatch.RemoteCentre { return nil },
		Send: func(_ context.Context, to target.Target, _ *call.Call) (*dispatch.Response, error) {
			sends++
			wait := map[string]string{"a": "20", "b": "7"}[to.Name()]
			return &dispatch.Response{Status: http.StatusServiceUnavailable, Header: http.Header{"Retry-After": {wait}}, Body: http.NoBody}, nil
		},
	}
	r, _ := d.Route("m")
	customer, _ := d.Customer("k")
	run := func() *refusal.Refusal {
		c := &call.Call{ID: "1", Document: d, Customer: customer, Route: r, Deadline: now.Add(timeLeft), Sink: &sink.Sink{}}
		var refused *refusal.Refusal
		if err := s.Run(t.Context(), c); !errors.As(err, &refused) {
			t.Fatal(err)
		}
		return refused
	}
	for range 10 {
		if refused := run(); refused.RetryAfter != 7*time.Second || refused.Run != refusal.RunNo {
			t.Errorf("refused with %v, return in %v", refused, refused.RetryAfter)
		}
	}
	if sends != 2 {
		t.Errorf("%d calls reached targets that wanted none, want the first two", sends)
	}
	now = now.Add(8 * time.Second)
	if refused := run(); refused.RetryAfter <= 0 {
		t.Errorf("refused without a time to return: %v", refused)
	}
	if sends != 3 {
		t.Errorf("%d calls reached targets after the wait of one of them, want 3", sends)
	}
}
