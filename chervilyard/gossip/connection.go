package gossip

import (
	"context"
	"maps"
	"net"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/keepalive"

	"chervilyard.example/yard/fleet"
	"chervilyard.example/yard/membership"
)

// conn returns a connection to another instance.
func (d *Duty) conn(address string) (*grpc.ClientConn, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.used == nil {
		d.used = make(map[string]time.Time)
	}
	d.used[address] = d.Now()
	if c := d.conns[address]; c != nil {
		return c, nil
	}
	c, err := grpc.NewClient("passthrough:///"+address,
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithContextDialer(func(ctx context.Context, a string) (net.Conn, error) {
			return (&net.Dialer{Timeout: dialTime}).DialContext(ctx, "tcp", a)
		}),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxMessage)),
		grpc.WithConnectParams(grpc.ConnectParams{
			Backoff:           backoff.Config{BaseDelay: firstRedial, Multiplier: 1.5, MaxDelay: time.Second, Jitter: 0.2},
			MinConnectTimeout: dialTime,
		}),
		grpc.WithKeepaliveParams(keepalive.ClientParameters{Time: 10 * time.Second, Timeout: time.Second}),
		grpc.WithDisableServiceConfig(), grpc.WithDisableRetry(),
		grpc.WithReadBufferSize(4<<10), grpc.WithWriteBufferSize(4<<10),
	)
	if err != nil {
		return nil, err
	}
	if d.conns == nil {
		d.conns = make(map[string]*grpc.ClientConn)
	}
	d.conns[address] = c
	return c, nil
}

// Read fetches what a member knows of a part of the store.
func (d *Duty) Read(ctx context.Context, m membership.Member, part string) (*fleet.Content, error) {
	conn, err := d.conn(m.Peers)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, 2*farTime)
	defer cancel()
	return fleet.NewFleetClient(conn).Read(ctx, &fleet.Part{Name: part})
}

// prune closes the connections that were not used of late, and drops what is kept
// of members that are not known any more: addresses and names change for ever.
func (d *Duty) prune(now time.Time, members []membership.Member) {
	known := make(map[string]bool, len(members))
	for _, m := range members {
		known[m.Name] = true
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	for address, at := range d.used {
		if now.Sub(at) <= unused {
			continue
		}
		if c := d.conns[address]; c != nil {
			_ = c.Close() // nothing is sent on it
		}
		delete(d.conns, address)
		delete(d.used, address)
	}
	gone := func(name string) bool { return !known[name] }
	maps.DeleteFunc(d.trips, func(name string, _ time.Duration) bool { return gone(name) })
	maps.DeleteFunc(d.lost, func(name string, _ bool) bool { return gone(name) })
	maps.DeleteFunc(d.news.asks, func(name string, _ []uint64) bool { return gone(name) })
	maps.DeleteFunc(d.news.owed, func(name string, _ []uint64) bool { return gone(name) })
}

func (d *Duty) close() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, c := range d.conns {
		_ = c.Close() // nothing is sent any more
	}
}

func message(now time.Time, m membership.Member) *fleet.Member {
	return &fleet.Member{
		Name: m.Name, Run: m.Run, Region: m.Region, Centre: m.Centre, Callers: m.Callers, Forward: m.Forward,
		Peers: m.Peers, Leaving: m.Leaving, Ready: m.Ready, Age: Age(now, m.Heard),
	}
}

// Age returns the milliseconds since a time, rounded up so that no news gets
// younger on its way.
func Age(now, then time.Time) int64 {
	return int64((now.Sub(then) + time.Millisecond - 1) / time.Millisecond)
}

func member(now time.Time, m *fleet.Member) membership.Member {
	return membership.Member{
		Name: m.GetName(), Run: m.GetRun(), Region: m.GetRegion(), Centre: m.GetCentre(), Callers: m.GetCallers(),
		Forward: m.GetForward(), Peers: m.GetPeers(), Leaving: m.GetLeaving(), Ready: m.GetReady(),
		Heard: now.Add(-time.Duration(max(m.GetAge(), 0)) * time.Millisecond),
	}
}
