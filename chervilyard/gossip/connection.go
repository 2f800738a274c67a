package gossip

import (
	"context"
	"maps"
	"net"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/keepalive"
	"google.golang.org/grpc/status"

	"chervilyard.example/yard/fleet"
	"chervilyard.example/yard/membership"
)

// conn returns the connection to an address, and creates it if there is none.
func (g *Gossiper) conn(address string) (*grpc.ClientConn, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.lastUsed == nil {
		g.lastUsed, g.lastAnswer = make(map[string]time.Time), make(map[string]time.Time)
	}
	g.lastUsed[address] = g.Now()
	if c := g.conns[address]; c != nil {
		return c, nil
	}
	c, err := grpc.NewClient("passthrough:///"+address,
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithContextDialer(func(ctx context.Context, addr string) (net.Conn, error) {
			return (&net.Dialer{Timeout: dialTimeout}).DialContext(ctx, "tcp", addr)
		}),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxMessageBytes)),
		grpc.WithConnectParams(grpc.ConnectParams{
			Backoff:           backoff.Config{BaseDelay: baseRedialDelay, Multiplier: 1.5, MaxDelay: time.Second, Jitter: 0.2},
			MinConnectTimeout: dialTimeout,
		}),
		grpc.WithKeepaliveParams(keepalive.ClientParameters{Time: 10 * time.Second, Timeout: time.Second}),
		grpc.WithDisableServiceConfig(), grpc.WithDisableRetry(),
		grpc.WithReadBufferSize(4<<10), grpc.WithWriteBufferSize(4<<10),
		grpc.WithStaticStreamWindowSize(windowBytes), grpc.WithStaticConnWindowSize(windowBytes),
	)
	if err != nil {
		return nil, err
	}
	if g.conns == nil {
		g.conns = make(map[string]*grpc.ClientConn)
	}
	g.conns[address] = c
	g.lastAnswer[address] = g.Now()
	return c, nil
}

// recordCall records the end of a call on the connection to an address. It closes the connection
// if the call timed out and nothing was answered for connSilence, so that the next call makes a
// new one.
func (g *Gossiper) recordCall(address string, c *grpc.ClientConn, err error) {
	if g.isDead(address, c, err) {
		_ = c.Close() // other calls on it are unanswered as well
	}
}

// isDead records the end of a call on the connection to an address, and reports whether the
// connection is to be closed. If so, it is not used any more.
func (g *Gossiper) isDead(address string, c *grpc.ClientConn, err error) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.conns[address] != c {
		return false
	}
	now := g.Now()
	if err == nil {
		g.lastAnswer[address] = now
		return false
	}
	if status.Code(err) != codes.DeadlineExceeded || now.Sub(g.lastAnswer[address]) < connSilence {
		return false
	}
	delete(g.conns, address)
	return true
}

// FetchContent fetches a member's copy of a part of the store. It waits for at most
// twice remoteTimeout.
func (g *Gossiper) FetchContent(ctx context.Context, m membership.Member, part string) (*fleet.Content, error) {
	conn, err := g.conn(m.Peers)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, 2*remoteTimeout)
	defer cancel()
	request := &fleet.Part{Name: part}
	content, err := fleet.NewFleetClient(conn).Read(ctx, request)
	g.recordCall(m.Peers, conn, err)
	g.countMessages("content", m, request, content)
	return content, err
}

// prune closes connections that have been idle for connIdleTimeout and deletes the
// state of members that are no longer in the table. Without it the maps would grow
// without bound, because addresses and names keep changing.
func (g *Gossiper) prune(now time.Time, members []membership.Member) {
	known := make(map[string]bool, len(members))
	for _, m := range members {
		known[m.Name] = true
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	for address, usedAt := range g.lastUsed {
		if now.Sub(usedAt) <= connIdleTimeout {
			continue
		}
		if c := g.conns[address]; c != nil {
			_ = c.Close() // no call uses an idle connection
		}
		delete(g.conns, address)
		delete(g.lastUsed, address)
		delete(g.lastAnswer, address)
	}
	unknown := func(name string) bool { return !known[name] }
	maps.DeleteFunc(g.roundTrips, func(name string, _ time.Duration) bool { return unknown(name) })
	maps.DeleteFunc(g.pending.lists, func(name string, _ bool) bool { return unknown(name) })
	maps.DeleteFunc(g.toldChanges, func(name string, _ uint64) bool { return unknown(name) })
	maps.DeleteFunc(g.lastExchange, func(name string, _ int) bool { return unknown(name) })
	maps.DeleteFunc(g.loggedSilent, func(name string, _ bool) bool { return unknown(name) })
	maps.DeleteFunc(g.pending.requests, func(name string, _ []uint64) bool { return unknown(name) })
	maps.DeleteFunc(g.pending.replies, func(name string, _ []uint64) bool { return unknown(name) })
}

func (g *Gossiper) close() {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, c := range g.conns {
		_ = c.Close() // an error does not matter once Run ends
	}
}

func memberToProto(now time.Time, m membership.Member) *fleet.Member {
	return &fleet.Member{
		Name: m.Name, Run: m.Run, Region: m.Region, Centre: m.Centre, Callers: m.Callers, Forward: m.Forward,
		Peers: m.Peers, Leaving: m.Leaving, Ready: m.Ready, Capacity: m.Capacity, Age: AgeMillis(now, m.Heard),
		Unreached: m.Unreached, Isolated: m.Isolated,
	}
}

// AgeMillis returns the milliseconds from earlier to now. It rounds up, so that
// forwarding a state never makes it appear more recent than it is.
func AgeMillis(now, earlier time.Time) int64 {
	return int64((now.Sub(earlier) + time.Millisecond - 1) / time.Millisecond)
}

// memberFromProto decodes a state from a heartbeat that was written no earlier than
// written.
func memberFromProto(written time.Time, m *fleet.Member) membership.Member {
	return membership.Member{
		Name: m.GetName(), Run: m.GetRun(), Region: m.GetRegion(), Centre: m.GetCentre(), Callers: m.GetCallers(),
		Forward: m.GetForward(), Peers: m.GetPeers(), Leaving: m.GetLeaving(), Ready: m.GetReady(), Capacity: m.GetCapacity(),
		Unreached: m.GetUnreached(), Isolated: m.GetIsolated(),
		Heard: written.Add(-time.Duration(max(m.GetAge(), 0)) * time.Millisecond),
	}
}
