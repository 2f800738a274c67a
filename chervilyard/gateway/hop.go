package gateway

import (
	"context"
	"errors"
	"io"
	"net/http"
	"syscall"
	"time"

	"chervilyard.example/chervilyard/pool"
	"chervilyard.example/yard/membership"
)

// An instance that requests are forwarded to may be cut off without any of its connections
// being closed. TCP's own checks show that only where the packets of its kernel are lost: the
// kernel of a frozen instance, and a relay in the path, acknowledge what was sent and answer
// keep-alive probes. So each forwarded request is watched.

const (
	// hopObjectiveFraction is the part of the latency objective after which the hop of a request
	// without a byte is probed at the latest.
	hopObjectiveFraction = 0.25
	// maxHopPatience is that time for routes without an objective, and for the pauses within a
	// response.
	maxHopPatience = time.Second
	// senderPatience is how long nothing may be heard of the sender of a forwarded request before
	// it is probed, and dueInterval the time between two looks.
	senderPatience = time.Second
	dueInterval    = 250 * time.Millisecond
)

// errHopSilent is the cancellation cause of a forwarded attempt whose hop is silent.
var errHopSilent = errors.New("the hop to the other instance fell silent")

// errSenderLost is the cancellation cause of a request whose sender fell silent.
var errSenderLost = errors.New("the instance that forwarded the request fell silent")

// watchHop cancels a forwarded attempt if its hop falls silent. The returned function ends the
// watch, and returns once it has ended.
func (g *Gateway) watchHop(ctx context.Context, cancel context.CancelCauseFunc, sent time.Time, a *attempt) (stop func()) {
	if a.dest.remote == nil || g.Silence == nil {
		return func() {}
	}
	m := a.dest.remote.Member
	patience := min(a.dest.expectedWait(), maxHopPatience)
	if objective := a.x.latencyObjective(); objective > 0 {
		patience = min(patience, time.Duration(hopObjectiveFraction*float64(objective)))
	}
	patience = max(patience, 2*g.roundTrip(m))
	return g.watchMember(ctx, m, sent, patience, nil, func() { cancel(errHopSilent) })
}

// watchSender cancels a forwarded request if the instance that sent it falls silent: nobody gets
// the response. It is probed only while it was not heard of for senderPatience in any way. The
// returned function ends the watch, and returns once it has ended.
func (g *Gateway) watchSender(ctx context.Context, cancel context.CancelCauseFunc, arrived time.Time, name string) (stop func()) {
	if name == "" || g.Silence == nil || g.Member == nil {
		return func() {}
	}
	m, ok := g.Member(name)
	if !ok {
		return func() {}
	}
	overdue := func(now time.Time) bool {
		m, ok := g.Member(name)
		return ok && now.Sub(m.Heard) > senderPatience
	}
	return g.watchMember(ctx, m, arrived, senderPatience, overdue, func() { cancel(errSenderLost) })
}

// watchMember calls onSilent if nothing arrives from the member for longer than patience since a
// request was sent, and the hop is found silent. While due returns false, nothing is checked; it may
// be nil. The returned function ends the watch, and returns once it has ended.
func (g *Gateway) watchMember(ctx context.Context, m membership.Member, sent time.Time, patience time.Duration, due func(now time.Time) bool, onSilent func()) (stop func()) {
	ctx, end := context.WithCancel(ctx)
	done := make(chan struct{})
	go func() {
		defer close(done)
		for wait := patience; ; {
			timer := time.NewTimer(wait)
			select {
			case <-ctx.Done():
				timer.Stop()
				return
			case <-timer.C:
			}
			now := g.Now()
			if due != nil && !due(now) {
				wait = dueInterval
				continue
			}
			silent, probe, next := g.Silence.Check(now, sent, m.Name, patience, g.HeartbeatsMissing != nil && g.HeartbeatsMissing(now, m))
			if silent {
				onSilent()
				return
			}
			if probe {
				g.probeHop(ctx, now, m)
				next = 0 // its outcome decides
			}
			wait = max(next, time.Millisecond)
		}
	}()
	return func() {
		end()
		<-done
	}
}

// probeHop sends a small request to the member on a new connection, and waits for the answer for
// as long as a working hop and a busy member may need. It does nothing while another probe of the
// member is under way.
func (g *Gateway) probeHop(ctx context.Context, now time.Time, m membership.Member) {
	limit, ok := g.Silence.StartProbe(now, m.Name, g.roundTrip(m))
	if !ok {
		return
	}
	probeCtx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	resp, err := g.Pool.Do(probeCtx, m.Forward, &pool.Request{
		Method: http.MethodGet, RequestTarget: "/", Host: m.Forward, Header: http.Header{headerProbe: {"yes"}}, NewConn: true,
	})
	if err == nil {
		resp.Close()
	}
	g.Silence.EndProbe(g.Now(), m.Name, err == nil || closedByPeer(err), ctx.Err() != nil || lacksResources(err))
}

// lacksResources reports whether this instance could not open a connection for lack of descriptors,
// ports or memory. That says nothing of the other side.
func lacksResources(err error) bool {
	for _, lack := range []error{syscall.EMFILE, syscall.ENFILE, syscall.EADDRNOTAVAIL, syscall.ENOBUFS, syscall.ENOMEM} {
		if errors.Is(err, lack) {
			return true
		}
	}
	return false
}

// closedByPeer reports whether the other side refused or closed a connection. That is an answer: an
// instance that stops closes its listener and idle connections, and still serves the requests that
// it has.
func closedByPeer(err error) bool {
	return errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF)
}

func (g *Gateway) roundTrip(m membership.Member) time.Duration {
	if g.RoundTrip == nil {
		return 0
	}
	return g.RoundTrip(m)
}

// recordReceived returns a function that records that bytes of the member arrived.
func (g *Gateway) recordReceived(m membership.Member) func() {
	if g.Silence == nil {
		return nil
	}
	return func() { g.Silence.Received(g.Now(), m.Name) }
}

// recordUnreached records that a new connection for a forwarded attempt could not be made,
// unless the attempt was canceled or this instance lacked resources.
func (g *Gateway) recordUnreached(ctx context.Context, now time.Time, a *attempt, err error) {
	if g.Silence != nil && a.dest.remote != nil && ctx.Err() == nil && !closedByPeer(err) && !lacksResources(err) {
		g.Silence.Unreached(now, a.dest.remote.Member.Name)
	}
}

// leaveSilentHop makes the other instances of the silent one's region available to the request.
func (g *Gateway) leaveSilentHop(now time.Time, a *attempt) {
	m := a.dest.remote.Member
	a.x.untry(m.Region)
	g.Pool.CloseIdle(m.Forward) // the path of all connections may have lost them
	if g.OnHopSilent != nil {
		g.OnHopSilent(now, m)
	}
}

// usableHops returns the remote instances without those whose hop is silent. If all hops are, this
// instance is likely cut off, and none is used as long as there are targets here.
func (g *Gateway) usableHops(now time.Time, remotes []RemoteInstance, targetsHere bool) []RemoteInstance {
	if g.Silence == nil {
		return remotes
	}
	var usable []RemoteInstance
	var heard time.Time // last sign of life of any
	for _, r := range remotes {
		if r.Member.Heard.After(heard) {
			heard = r.Member.Heard
		}
		if !g.Silence.Avoids(now, r.Member.Name, r.Member.Heard) {
			usable = append(usable, r)
		}
	}
	if targetsHere && len(remotes) > 0 && g.Silence.CutOff(now, heard) {
		return nil
	}
	return usable
}
