package gateway

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"chervilyard.example/chervilyard/pool"
	"chervilyard.example/yard/event"
	"chervilyard.example/yard/membudget"
	"chervilyard.example/yard/placement"
	"chervilyard.example/yard/refusal"
	"chervilyard.example/yard/retryafter"
	"chervilyard.example/yard/suspect"
)

const (
	// Bodies shorter than maxBufferedBody bytes are read in full before the
	// response header is sent, so that a broken response can still be replaced by
	// a refusal or a retry.
	maxBufferedBody = 256 << 10
	// maxEvent is the largest event in bytes of a stream that may be resumed. Its bytes are
	// held back until it is complete.
	maxEvent = 1 << 20
	// While all streams together hold back more than maxHeldBack bytes, none may hold back
	// more than minHeldBack.
	maxHeldBack = 16 << 20
	minHeldBack = 64 << 10
	// readSize is the buffer size in bytes for reading a stream, and the size of the first
	// piece of another response. The following ones have up to maxReadSize bytes.
	readSize    = 4 << 10
	maxReadSize = 64 << 10
	// copySize is the buffer size in bytes for a response that is relayed as it arrives, if
	// the budget has them.
	copySize = 32 << 10
	// heldBufferFactor is how much larger than an event its growing buffer may be.
	heldBufferFactor = 2
	// unreadGrace is how long after the deadline of a request its caller may still take to
	// read the response.
	unreadGrace = 5 * time.Second
	// Gaps between reads that exceed the route's maximum gap divided by
	// reportedGapDivisor are reported to the picker.
	reportedGapDivisor = 3
)

// errEventTooLong is the error of a stream with an event that is too long to be held back.
var errEventTooLong = errors.New("an event is over the size limit")

// heldBytes counts the bytes that a stream holds back until its event is complete.
type heldBytes struct {
	total    *gauge // of all streams
	own      int64
	memory   *membudget.Reservation
	reserved int
}

// set changes the number of bytes, and reports whether the stream may hold back so many.
func (h *heldBytes) set(now time.Time, n int) bool {
	total := h.total.Add(int64(n) - h.own)
	h.own = int64(n)
	reserved := true
	switch want := heldBufferFactor * n; {
	case n <= readSize && h.reserved > 0:
		h.memory.Return(now, h.reserved)
		h.reserved = 0
	case n > readSize && want > h.reserved:
		if reserved = h.memory.TryReserve(want - h.reserved); reserved {
			h.reserved = want
		}
	}
	return n <= maxEvent && (total <= maxHeldBack && reserved || n <= minHeldBack)
}

// errNotFromTarget is the error of a response with a success status that is not
// marked as sent by a target.
var errNotFromTarget = errors.New("the bytes are not a response of a target")

// handleResponse handles a response whose header has been read. It returns true
// if the request may be sent to another destination.
func (g *Gateway) handleResponse(ctx context.Context, a *attempt, resp *pool.Response) (bool, error) {
	defer resp.Close()
	x := a.x
	a.headerRead = true
	x.skipped += resp.Skipped
	g.recordAlive(a)
	if a.dest.ticket != nil && g.OnConnAnswered != nil {
		g.OnConnAnswered(g.Now(), a.dest.ticket.Target(), resp.Kept)
	}
	g.closeAfterResponse(x)
	if a.dest.remote != nil {
		x.addRemoteCounts(resp.Header)
		if run := resp.Header.Get(headerRun); run != "" {
			return g.handleRemoteRefusal(a, resp, run)
		}
	}
	class := g.Protocol.ClassifyResponse(resp.Status, resp.Header)
	if a.dest.ticket != nil {
		g.recordRequestedWait(a, resp)
		if class.Leaving && !class.Replaced && g.OnTargetLeaving != nil {
			g.OnTargetLeaving(g.Now(), a.dest.ticket.Target())
		}
		if g.OnRateLimit != nil && class.TellsRateLimit(resp.Status) {
			g.OnRateLimit(a.sentAt, g.Now(), a.dest.ticket.Target(), class.RateLimit)
		}
	}
	success := resp.Status >= 200 && resp.Status < 300
	switch {
	case class.Replaced:
		g.endAttempt(a, g.Now(), placement.Replaced)
		return g.retryNotRun(a, "another target has the address")
	case class.NotRun:
		g.endAttempt(a, g.Now(), placement.Overloaded)
		return g.retryNotRun(a, "the target has no room")
	case success && !class.FromTarget:
		return g.handleFailure(ctx, a, &pool.Error{Op: "judge", Address: a.dest.name(), MaybeSent: true, Err: errNotFromTarget})
	case x.started && (resp.Status != http.StatusOK || !resp.IsEventStream()):
		return g.handleFailedResume(a, resp)
	case success && x.route.Stream():
		return g.relayStream(ctx, a, resp)
	}
	return g.relayBuffered(ctx, a, resp)
}

// recordRequestedWait keeps requests from a target that turned one away for the time that
// it asked for. A value that cannot be read changes nothing.
func (g *Gateway) recordRequestedWait(a *attempt, resp *pool.Response) {
	values := resp.Header["Retry-After"]
	if resp.Status != http.StatusServiceUnavailable || len(values) == 0 {
		return
	}
	wait, reduced, err := retryafter.Parse(values[0])
	result := "kept"
	switch {
	case err != nil:
		result = "malformed"
	case reduced:
		result = "reduced"
	}
	if g.Metrics.RequestedWait != nil {
		g.Metrics.RequestedWait(result)
	}
	a.dest.ticket.Defer(g.Now(), wait)
}

// handleFailedResume handles a response of a target that was asked to resume a stream and
// does not. That response must not follow the events already sent.
func (g *Gateway) handleFailedResume(a *attempt, resp *pool.Response) (bool, error) {
	now := g.Now()
	g.endAttempt(a, now, placement.Failed)
	err := &pool.Error{
		Op: "continue", Address: a.dest.name(), MaybeSent: true,
		Err: fmt.Errorf("status %d with content type %.64q", resp.Status, resp.Header.Get("Content-Type")),
	}
	a.x.detail = err.Error()
	return g.retryOrFail(now, a.x, err)
}

// retryNotRun returns true if a request that the destination did not run may be
// sent to another one.
func (g *Gateway) retryNotRun(a *attempt, reason string) (bool, error) {
	if a.dest.ticket != nil { // for a remote instance, addRemoteCounts has corrected the count
		a.x.possibleRuns--
	}
	a.x.detail = reason
	if !g.allowRetry(g.Now(), a.x) {
		return false, g.refuse(a.x, "retries_spent", "the budget for repeats is spent", shortRetryAfter)
	}
	g.countRetry(a.x, reason)
	return true, nil
}

// handleRemoteRefusal handles a refusal by an instance of another region.
func (g *Gateway) handleRemoteRefusal(a *attempt, resp *pool.Response, run string) (bool, error) {
	if run == refusal.RunNo {
		a.x.recordRemoteRetry(resp.Header)
	}
	if v, ok := a.x.remoteVerdict(resp.Header); ok {
		return false, g.refusePart(g.Now(), a.x, v)
	}
	if run == refusal.RunNo {
		if resp.Header.Get(headerElsewhere) != "" {
			a.x.untry(a.dest.remote.Member.Region)
		}
		if resp.Header.Get(headerLeaving) != "" {
			a.x.untry(a.dest.remote.Member.Region)
			if g.OnRemoteLeaving != nil {
				g.OnRemoteLeaving(g.Now(), a.dest.remote.Member)
			}
		}
		return g.retryNotRun(a, "refused in region "+a.dest.remote.Member.Region)
	}
	return false, refusal.Unknown(resp.Status, "remote_failed", "the other region gave no answer")
}

// bufferedBody holds the first bytes of a response that may still be replaced.
type bufferedBody struct {
	pieces [][]byte
	length int
	whole  bool // there are no more bytes
	memory *membudget.Reservation
}

// read reads up to maxBufferedBody bytes, or as many as the budget allows.
func (b *bufferedBody) read(source io.Reader, expected int64) error {
	for size := readSize; b.length < maxBufferedBody; size = min(2*size, maxReadSize) {
		if left := expected - int64(b.length); left > 0 {
			size = int(min(left, int64(size)))
		}
		size = min(size, maxBufferedBody-b.length)
		if !b.memory.TryReserve(size) && b.length > 0 {
			return nil
		}
		piece := make([]byte, 0, size)
		var err error
		for err == nil && len(piece) < size {
			var n int
			n, err = source.Read(piece[len(piece):size])
			piece = piece[:len(piece)+n]
		}
		b.pieces = append(b.pieces, piece)
		b.length += len(piece)
		if errors.Is(err, io.EOF) {
			b.whole = true
			return nil
		}
		if err != nil {
			return err
		}
	}
	return nil
}

// relayBuffered relays a response after reading it in full, or as it arrives if its
// body has maxBufferedBody bytes or more, or the budget has no bytes for it. It returns true if
// the request may be sent to another destination.
func (g *Gateway) relayBuffered(ctx context.Context, a *attempt, resp *pool.Response) (bool, error) {
	x := a.x
	g.releaseBody(x, resp, x.mayRunAgain())
	b := bufferedBody{memory: g.Memory.Open(g.Now(), membudget.Responses, nil)}
	defer func() { b.memory.Close(g.Now()) }()
	source := &firstByteReader{Reader: resp, mark: func() bool { return g.markFirstByte(a, g.Now()) }}
	err := b.read(source, resp.Length)
	if b.whole || err != nil {
		g.recordEnd(x, resp, err)
	}
	if err != nil {
		return g.handleFailure(ctx, a, &pool.Error{Op: "read", Address: a.dest.name(), MaybeSent: true, Err: err})
	}
	now := g.Now()
	failure := resp.Status >= http.StatusInternalServerError
	if !b.whole {
		return false, g.relayUnbuffered(ctx, a, resp, &b)
	}
	outcome := placement.Answered
	if failure {
		outcome = placement.Failed
	}
	g.recordAnswered(a, now, resp.Status, outcome)
	if failure && resp.Status != http.StatusGatewayTimeout && x.mayRunAgain() && g.canRetry(x) {
		g.countRetry(x, "the target failed")
		x.detail = "status " + strconv.Itoa(resp.Status)
		return true, nil
	}
	g.releaseBody(x, resp, false)
	if b.length > readSize { // a shorter one is taken by the kernel
		defer g.limitWrites(ctx, x, b.memory)()
	}
	x.writeHeader(resp, int64(b.length))
	g.writeBuffered(x, &b)
	return false, nil
}

// writeBuffered writes the body, and forgets what the caller has taken.
func (g *Gateway) writeBuffered(x *exchange, b *bufferedBody) {
	for i, piece := range b.pieces {
		x.writeBody(piece)
		b.pieces[i] = nil
		if i+1 < len(b.pieces) { // the last one is returned with the reservation
			b.memory.Return(g.Now(), cap(piece))
		}
	}
}

// canRetry reports whether a failed request may be retried: its latency objective
// has not passed, it has a destination, and the retry budget allows it. If not, the
// response at hand is returned to the caller.
func (g *Gateway) canRetry(x *exchange) bool {
	now := g.Now()
	if objective := x.latencyObjective(); objective > 0 && now.Sub(x.arrived) > objective {
		return false
	}
	if verdict := g.checkParts(now, x); verdict.Blocked() {
		x.detail = "not retried: " + describeVerdict(now, verdict)
		return false
	}
	if _, err := g.chooseDestination(now, x); err != nil {
		x.detail = "not retried: " + err.Error()
		return false
	}
	if !g.allowRetry(now, x) {
		x.detail = "not retried: the budget for retries is spent"
		return false
	}
	return true
}

// relayUnbuffered relays a body whose first bytes have already been read.
func (g *Gateway) relayUnbuffered(ctx context.Context, a *attempt, resp *pool.Response, first *bufferedBody) error {
	x := a.x
	g.releaseBody(x, resp, false)
	defer g.limitWrites(ctx, x, first.memory)()
	x.writeHeader(resp, resp.Length)
	g.writeBuffered(x, first)
	first.memory.Return(g.Now(), math.MaxInt)
	size := copySize
	if !first.memory.TryReserve(size) {
		size = readSize
	}
	// The buffer is used, and not one that the writer has: struct hides its ReadFrom.
	_, err := io.CopyBuffer(struct{ io.Writer }{x.w}, resp, make([]byte, size))
	g.recordEnd(x, resp, err)
	if err != nil {
		return g.failBroken(ctx, a, err)
	}
	g.recordAnswered(a, g.Now(), resp.Status, placement.Answered)
	return nil
}

// limitWrites ends writes to the caller some time after the deadline, and while memory is short
// once the caller takes nothing. It returns a function that lets later responses on the
// connection take longer. A caller that does not read would otherwise keep the response.
func (g *Gateway) limitWrites(ctx context.Context, x *exchange, memory *membudget.Reservation) (reset func()) {
	control := http.NewResponseController(x.w)
	// Test recorders have no deadlines.
	_ = control.SetWriteDeadline(x.deadline.Add(unreadGrace))
	if g.UnreadSince != nil {
		memory.Write(g.UnreadSince(ctx), func() { _ = control.SetWriteDeadline(time.Unix(1, 0)) })
	}
	return func() {
		if !memory.Settle() {
			x.unread = true
		}
		if !x.unread {
			_ = control.SetWriteDeadline(time.Time{})
		}
	}
}

// relayStream relays an event stream as it arrives. On a resumable route it sends
// only complete events until the stream ends, since a resumed stream continues after
// an event.
func (g *Gateway) relayStream(ctx context.Context, a *attempt, resp *pool.Response) (bool, error) {
	x := a.x
	g.releaseBody(x, resp, x.route.Resumable() && x.mayRunAgain())
	var events event.Splitter
	held := heldBytes{total: &g.heldBack, memory: g.Memory.Open(g.Now(), membudget.Responses, nil)}
	defer func() { held.set(g.Now(), 0) }()
	defer g.limitWrites(ctx, x, held.memory)()
	buf := make([]byte, readSize)
	for {
		n, err := resp.Read(buf)
		if n > 0 {
			now := g.Now()
			if !g.markFirstByte(a, now) {
				return g.handleFailure(ctx, a, a.firstByteTimeoutError())
			}
			a.recordRead(now)
			if now.Sub(a.firstByteAt) > suspect.BeginningTime {
				g.recordSound(a, now)
			}
			out := buf[:n]
			if x.route.Resumable() {
				out = events.Add(out)
				if !held.set(now, len(events.Remainder())) && err == nil {
					err = errEventTooLong
				}
			}
			x.writeEvents(resp, out, resp.Buffered() == 0)
		}
		if err != nil {
			g.recordEnd(x, resp, err)
		}
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			if events.LastEventID() != "" {
				x.req.LastEventID = events.LastEventID()
			}
			return g.handleBrokenStream(ctx, a, err)
		}
	}
	x.writeEvents(resp, events.Remainder(), true)
	if !x.started {
		x.writeHeader(resp, -1)
	}
	g.recordAnswered(a, g.Now(), resp.Status, placement.Answered)
	return false, nil
}

func (a *attempt) firstByteTimeoutError() error {
	return &pool.Error{Op: "read", Address: a.dest.name(), MaybeSent: true, Err: errFirstByteTimeout}
}

// firstByteReader calls mark when the first read has returned, and fails if mark reports
// false.
type firstByteReader struct {
	io.Reader
	mark func() bool
	read bool // something has been read
}

func (r *firstByteReader) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p)
	if first := !r.read && (n > 0 || errors.Is(err, io.EOF)); first {
		r.read = true
		if !r.mark() {
			return 0, errFirstByteTimeout
		}
	}
	return n, err
}

// recordRead records the time of a read from a stream and the gap before it.
func (a *attempt) recordRead(now time.Time) {
	x := a.x
	if !x.lastReadAt.IsZero() {
		d := now.Sub(x.lastReadAt)
		x.maxGap = max(x.maxGap, d)
		if a.dest.ticket != nil && d > x.route.MaxEventGap()/reportedGapDivisor {
			a.dest.ticket.RecordPause(now, d)
		}
	}
	x.lastReadAt = now
}

// handleBrokenStream resumes a broken stream at another target if the route
// allows it.
func (g *Gateway) handleBrokenStream(ctx context.Context, a *attempt, err error) (bool, error) {
	x := a.x
	if x.route.Resumable() && (!x.started || x.req.LastEventID != "") {
		return g.handleFailure(ctx, a, &pool.Error{Op: "read", Address: a.dest.name(), MaybeSent: true, Err: err})
	}
	return false, g.failBroken(ctx, a, err)
}

// failBroken ends the attempt of a request whose response was cut off and returns
// the error of the request.
func (g *Gateway) failBroken(ctx context.Context, a *attempt, err error) error {
	now := g.Now()
	if errors.Is(context.Cause(ctx), errHopSilent) {
		g.leaveSilentHop(now, a)
		return refusal.Unknown(http.StatusBadGateway, "answer_broken", "the hop to the other instance fell silent").WithCause(errHopSilent)
	}
	if ctx.Err() != nil && now.Before(a.x.deadline) {
		g.endAttempt(a, now, placement.Canceled)
		return g.cutOffOrGone(now, a.x, context.Cause(ctx))
	}
	g.endBrokenAttempt(ctx, a, now)
	return refusal.Unknown(http.StatusBadGateway, "answer_broken", "the target's answer broke off").WithCause(err)
}

// writeEvents sends stream data, preceded by the response header if it has not
// been sent.
func (x *exchange) writeEvents(resp *pool.Response, p []byte, flush bool) {
	if len(p) == 0 {
		return
	}
	if !x.started {
		x.writeHeader(resp, -1)
	}
	x.writeBody(p)
	if flush {
		_ = http.NewResponseController(x.w).Flush() // on a write error the caller is gone and the request's context is canceled
	}
}

// writeHeader sends the status and header of the response once. The length of the
// body is in bytes, or negative if it is not known.
func (x *exchange) writeHeader(resp *pool.Response, length int64) {
	if x.started {
		return
	}
	x.started = true
	x.status = resp.Status
	h := x.w.Header()
	for name, values := range resp.Header {
		if !isHopByHop(name) && !strings.HasPrefix(name, internalHeaderPrefix) {
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
	if x.forwarded {
		x.setCountHeaders(h)
	}
	x.w.WriteHeader(resp.Status)
}

func (x *exchange) writeBody(p []byte) {
	_, _ = x.w.Write(p) // on a write error the caller is gone and the request's context is canceled
}
