package gateway

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"chervilyard.example/chervilyard/pool"
	"chervilyard.example/yard/event"
	"chervilyard.example/yard/placement"
	"chervilyard.example/yard/refusal"
)

const (
	// maxHeld is the longest body in bytes that is read whole before its head
	// goes out, so that a broken answer can still become a refusal or a repeat.
	maxHeld = 256 << 10
	// chunk is how many bytes of a body are read at once.
	chunk = 4 << 10
	// pauseTold: pauses over this part of the longest allowed are told.
	pauseTold = 3
)

var errNoAnswer = errors.New("the bytes are no answer of a target")

// answer deals with the head of an answer. It returns true where another place
// may be tried.
func (g *Gateway) answer(ctx context.Context, a *try, resp *pool.Response) (bool, error) {
	defer resp.Close()
	x := a.x
	if a.place.remote != nil {
		x.countThere(resp.Header)
		if run := resp.Header.Get(headerRun); run != "" {
			return g.refusedThere(a, resp, run)
		}
	}
	v := g.Wire.Judge(resp.Status, resp.Header)
	success := resp.Status >= 200 && resp.Status < 300
	switch {
	case v.Replaced:
		g.end(a, g.Now(), placement.Replaced)
		return g.notRun(a, "another target has the address")
	case v.NotRun:
		g.end(a, g.Now(), placement.Full)
		return g.notRun(a, "the target has no room")
	case success && !v.Genuine:
		return g.failed(ctx, a, &pool.Failure{Op: "judge", Address: a.place.name(), Sent: true, Err: errNoAnswer})
	case x.started && !success:
		return g.uncontinued(a, resp.Status)
	case success && x.route.Stream():
		return g.stream(ctx, a, resp)
	}
	return g.whole(ctx, a, resp)
}

// uncontinued goes on after a target that failed to continue a stream: its answer
// must not follow the events that were passed on.
func (g *Gateway) uncontinued(a *try, status int) (bool, error) {
	now := g.Now()
	g.end(a, now, placement.Failed)
	err := &pool.Failure{Op: "continue", Address: a.place.name(), Sent: true, Err: fmt.Errorf("status %d", status)}
	a.x.notes = err.Error()
	return g.again(now, a.x, err)
}

// notRun goes on after a target that ran nothing.
func (g *Gateway) notRun(a *try, reason string) (bool, error) {
	if a.place.ticket != nil {
		a.x.sends--
	}
	a.x.notes = reason
	if !g.mayRepeat(g.Now(), a.x) {
		return false, g.refuse(a.x, "retries_spent", "the budget for repeats is spent", soon)
	}
	g.repeated(a.x, reason)
	return true, nil
}

// refusedThere goes on after the refusal of an instance of another region.
func (g *Gateway) refusedThere(a *try, resp *pool.Response, run string) (bool, error) {
	if run == refusal.RunNo {
		a.x.laterThere(resp.Header)
		return g.notRun(a, "refused in region "+a.place.remote.Member.Region)
	}
	return false, refusal.Unknown(resp.Status, "remote_failed", "the other region gave no answer")
}

// whole relays an answer that is read in full before it is passed on.
func (g *Gateway) whole(ctx context.Context, a *try, resp *pool.Response) (bool, error) {
	x := a.x
	body, err := io.ReadAll(io.LimitReader(resp, maxHeld))
	if err != nil {
		return g.failed(ctx, a, &pool.Failure{Op: "read", Address: a.place.name(), Sent: true, Err: err})
	}
	now := g.Now()
	a.first(now)
	failure := resp.Status >= http.StatusInternalServerError
	if len(body) == maxHeld {
		return false, g.long(ctx, a, resp, body)
	}
	outcome := placement.Answered
	if failure {
		outcome = placement.Failed
	}
	g.end(a, now, outcome)
	if failure && resp.Status != http.StatusGatewayTimeout && x.route.Idempotent() && x.sends < x.attempts && g.another(x) {
		g.repeated(x, "the target failed")
		x.notes = "status " + strconv.Itoa(resp.Status)
		return true, nil
	}
	x.head(resp, int64(len(body)))
	x.write(body)
	return false, nil
}

// another reports whether there is another target to try and room in the
// budget for it, while an answer is at hand that could be returned instead.
func (g *Gateway) another(x *exchange) bool {
	now := g.Now()
	if x.route.Goal() > 0 && now.Sub(x.arrived) > x.route.Goal() {
		return false
	}
	if _, err := g.place(now, x); err != nil {
		x.notes = "not repeated: " + err.Error()
		return false
	}
	if !g.mayRepeat(now, x) {
		x.notes = "not repeated: the budget for repeats is spent"
		return false
	}
	return true
}

// long relays a body that is too long to be held.
func (g *Gateway) long(ctx context.Context, a *try, resp *pool.Response, begin []byte) error {
	x := a.x
	x.head(resp, resp.Length)
	x.write(begin)
	if _, err := io.Copy(x.w, resp); err != nil {
		return g.broken(ctx, a, err)
	}
	g.end(a, g.Now(), placement.Answered)
	return nil
}

// stream relays an event stream as it comes. Of a stream that may be resumed
// only whole events are passed on.
func (g *Gateway) stream(ctx context.Context, a *try, resp *pool.Response) (bool, error) {
	x := a.x
	var events event.Splitter
	buf := make([]byte, chunk)
	for {
		n, err := resp.Read(buf)
		if n > 0 {
			a.piece(g.Now())
			a.first(x.last)
			out := buf[:n]
			if x.route.Resumable() {
				out = events.Add(out)
			}
			x.event(resp, out, resp.Buffered() == 0)
		}
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			if events.Last() != "" {
				x.ask.After = events.Last()
			}
			return g.tornStream(ctx, a, err)
		}
	}
	x.event(resp, events.Rest(), true)
	if !x.started {
		x.head(resp, -1)
	}
	g.end(a, g.Now(), placement.Answered)
	return false, nil
}

// piece notes when a piece of a stream came.
func (a *try) piece(now time.Time) {
	x := a.x
	if !x.last.IsZero() {
		d := now.Sub(x.last)
		x.pause = max(x.pause, d)
		if a.place.ticket != nil && d > x.route.Gap()/pauseTold {
			a.place.ticket.Pause(now, d)
		}
	}
	x.last = now
}

// tornStream continues a broken stream at another target where it may.
func (g *Gateway) tornStream(ctx context.Context, a *try, err error) (bool, error) {
	x := a.x
	if x.route.Resumable() && (!x.started || x.ask.After != "") {
		return g.failed(ctx, a, &pool.Failure{Op: "read", Address: a.place.name(), Sent: true, Err: err})
	}
	return false, g.broken(ctx, a, err)
}

// broken ends a request whose answer broke off.
func (g *Gateway) broken(ctx context.Context, a *try, err error) error {
	now := g.Now()
	if ctx.Err() != nil && now.Before(a.x.deadline) {
		g.end(a, now, placement.Abandoned)
		return gone(context.Cause(ctx))
	}
	g.end(a, now, placement.Broken)
	return refusal.Unknown(http.StatusBadGateway, "answer_broken", "the target's answer broke off").Because(err)
}

// event passes events on; the head goes out with the first.
func (x *exchange) event(resp *pool.Response, p []byte, flush bool) {
	if len(p) == 0 {
		return
	}
	if !x.started {
		x.head(resp, -1)
	}
	x.write(p)
	if flush {
		_ = http.NewResponseController(x.w).Flush() // a caller that left ends the request's context
	}
}

// head passes the answer's head on.
func (x *exchange) head(resp *pool.Response, length int64) {
	if x.started {
		return
	}
	x.started = true
	x.status = resp.Status
	h := x.w.Header()
	for name, values := range resp.Header {
		if !perConnection(name) && !strings.HasPrefix(name, headerPrefix) {
			h[name] = values
		}
	}
	h["Date"] = resp.Header["Date"] // nil keeps net/http from adding one
	if _, ok := resp.Header["Content-Type"]; !ok {
		h["Content-Type"] = nil
	}
	if length >= 0 && resp.Status != http.StatusNoContent && resp.Status != http.StatusNotModified {
		h.Set("Content-Length", strconv.FormatInt(length, 10))
	}
	if x.hop {
		x.counted(h)
	}
	x.w.WriteHeader(resp.Status)
}

func (x *exchange) write(p []byte) {
	_, _ = x.w.Write(p) // a caller that left ends the request's context
}
