// Package gossip exchanges heartbeats with other instances. A heartbeat carries
// membership, the load on the region's targets, quota tokens, and digests of the
// sender's copy of the store.
package gossip

import (
	"context"
	"sync"
	"time"

	"google.golang.org/grpc"

	"chervilyard.example/chervilyard/decisionlog"
	"chervilyard.example/yard/fleet"
	"chervilyard.example/yard/membership"
)

const (
	// heartbeatInterval is the time between two rounds of heartbeats in a region.
	// Loads older than the duration of a few requests would mislead the choice of
	// targets.
	heartbeatInterval = 50 * time.Millisecond
	// memberListIntervals is the number of intervals between heartbeats within
	// the region that list all members.
	memberListIntervals = 20
	// localTimeout bounds a heartbeat within the region, remoteTimeout one to
	// another region.
	localTimeout  = 400 * time.Millisecond
	remoteTimeout = 900 * time.Millisecond
	// silentAfter is the time without a heartbeat after which a member is logged as
	// lost and treated as silent.
	silentAfter = 3 * time.Second
	// memberRetention is how long a silent member is kept. It should exceed the
	// length of a network partition, so that both sides find each other afterwards.
	memberRetention = 10 * time.Minute
	// connIdleTimeout is how long an unused connection is kept open. It exceeds the
	// few seconds between two heartbeats to the same member.
	connIdleTimeout = time.Minute
	// baseRedialDelay is the backoff after the first failed connection attempt.
	baseRedialDelay = 200 * time.Millisecond
	// dialTimeout bounds a connection attempt.
	dialTimeout = time.Second
	// maxMessageBytes bounds a message; it exceeds the largest value in the store.
	maxMessageBytes = 4 << 20
)

// Gossiper exchanges heartbeats with the other instances. Its exported fields must be
// set before Run is called and must not change afterwards.
type Gossiper struct {
	// Self returns the state of this instance as other instances see it.
	Self    func(now time.Time) membership.Member
	Members *membership.Table
	Now     func() time.Time
	Journal *decisionlog.Log
	// Seeds returns the addresses to send heartbeats to while no member is known.
	Seeds func() []string
	// Payload returns the content of a heartbeat to a member, except the membership
	// fields, which Gossiper fills in.
	Payload func(now time.Time, to membership.Member) *fleet.Heartbeat
	// HandlePayload processes a heartbeat from a member. The sender wrote it no earlier than
	// written.
	HandlePayload func(now, written time.Time, from membership.Member, h *fleet.Heartbeat)
	// TakeSpare takes up to want tokens of a customer out of this instance's token bucket
	// and returns the amount taken, for transfer to another instance.
	TakeSpare func(now time.Time, customer string, want float64) float64

	mu           sync.Mutex
	rounds       int // heartbeat intervals since the start
	conns        map[string]*grpc.ClientConn
	lastUsed     map[string]time.Time // time of the last use, by address
	inFlight     map[string]bool
	roundTrips   map[string]time.Duration
	loggedSilent map[string]bool
	pending      pendingUpdates
}

// Run sends heartbeats until the context ends. It returns a channel that is closed
// once the heartbeats have stopped and the connections are closed.
func (d *Gossiper) Run(ctx context.Context) <-chan struct{} {
	done := make(chan struct{})
	go func() {
		defer close(done)
		ticker := time.NewTicker(heartbeatInterval)
		defer ticker.Stop()
		for {
			d.sendRound(ctx)
			select {
			case <-ctx.Done():
				d.close()
				return
			case <-ticker.C:
			}
		}
	}()
	return done
}

// sendRound starts the heartbeats of one interval.
func (d *Gossiper) sendRound(ctx context.Context) {
	now := d.Now()
	self := d.Self(now)
	d.Members.Evict(now, memberRetention)
	d.mu.Lock()
	d.rounds++
	listDue := d.rounds%memberListIntervals == 0
	d.mu.Unlock()
	members := d.Members.All()
	d.logSilentMembers(now, members)
	if listDue {
		d.prune(now, members)
	}
	for _, m := range d.choosePeers(now, self, members) {
		d.startExchange(ctx, m)
	}
	if len(members) == 0 {
		for _, address := range d.Seeds() {
			if address != self.Peers {
				d.startExchange(ctx, membership.Member{Peers: address, Region: self.Region})
			}
		}
	}
}

// NotifyAll sends a heartbeat to every live member without waiting for the interval, to
// announce a change of this instance's own state.
func (d *Gossiper) NotifyAll(ctx context.Context) {
	for _, m := range d.Members.Live(d.Now(), silentAfter) {
		d.startExchange(ctx, m)
	}
}

// Broadcast sends heartbeats without waiting for the interval, to announce new store
// content. They go to all live members of the region and to a few in each other one.
func (d *Gossiper) Broadcast(ctx context.Context) {
	now := d.Now()
	for _, m := range broadcastPeers(now, d.Self(now), d.Members.Live(now, silentAfter)) {
		d.startExchange(ctx, m)
	}
}

// startExchange exchanges a heartbeat with a member in the background. It does
// nothing while an earlier exchange with the same address is in flight.
func (d *Gossiper) startExchange(ctx context.Context, m membership.Member) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.inFlight == nil {
		d.inFlight = make(map[string]bool)
	}
	if d.inFlight[m.Peers] {
		return
	}
	d.inFlight[m.Peers] = true
	go func() {
		defer d.clearInFlight(m.Peers)
		d.exchange(ctx, m)
	}()
}

func (d *Gossiper) clearInFlight(address string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.inFlight, address)
}

func (d *Gossiper) exchange(ctx context.Context, m membership.Member) {
	conn, err := d.conn(m.Peers)
	if err != nil {
		return
	}
	now := d.Now()
	timeout := localTimeout
	if m.Region != d.Self(now).Region {
		timeout = remoteTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	reply, err := fleet.NewFleetClient(conn).Pulse(ctx, d.Heartbeat(now, m))
	if err != nil {
		return // logSilentMembers logs a failure that lasts
	}
	received := d.Now()
	d.recordRoundTrip(m.Name, received.Sub(now))
	d.receive(received, now, reply)
}

// RequestTokens requests tokens of a customer from the members, an equal share of the amount
// from each, and waits for all replies. Received tokens are passed to HandlePayload.
func (d *Gossiper) RequestTokens(ctx context.Context, members []membership.Member, customer string, amount float64) {
	var wg sync.WaitGroup
	for _, m := range members {
		wg.Add(1)
		go func() {
			defer wg.Done()
			d.requestTokens(ctx, m, customer, amount/float64(len(members)))
		}()
	}
	wg.Wait()
}

func (d *Gossiper) requestTokens(ctx context.Context, m membership.Member, customer string, amount float64) {
	conn, err := d.conn(m.Peers)
	if err != nil {
		return // a failure that lasts shows up as missing heartbeats, which are logged
	}
	self := d.Self(d.Now())
	// The reply is processed even if the caller has stopped waiting, because the
	// peer has already taken the tokens out of its bucket.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), remoteTimeout)
	defer cancel()
	reply, err := fleet.NewFleetClient(conn).Ask(ctx, &fleet.Wish{
		Name: self.Name, Wants: []*fleet.Tokens{{Customer: customer, Amount: amount}},
	})
	if err != nil {
		return
	}
	now := d.Now()
	d.HandlePayload(now, now, m, &fleet.Heartbeat{Name: m.Name, Grants: reply.GetGrants()})
}

// Receive processes a heartbeat that another instance sent and returns the sender. The
// latency of the message is at most the round-trip time to the sender, or
// remoteTimeout while that is unknown.
func (d *Gossiper) Receive(now time.Time, h *fleet.Heartbeat) membership.Member {
	latency := d.RoundTripTime(h.GetName())
	if latency == 0 {
		latency = remoteTimeout
	}
	return d.receive(now, now.Add(-latency), h)
}

// receive processes a heartbeat that was written no earlier than written. Ages are
// relative to that time: if each hop made a state slightly more recent, a state that
// instances pass back and forth would never expire.
func (d *Gossiper) receive(now, written time.Time, h *fleet.Heartbeat) membership.Member {
	from := d.mergeMembers(now, written, h)
	d.HandlePayload(now, written, from, h)
	return from
}

// takeTokens takes the requested tokens out of this instance's bucket as far as it
// can spare them, and returns the amounts taken.
func (d *Gossiper) takeTokens(now time.Time, wants []*fleet.Tokens) []*fleet.Tokens {
	var grants []*fleet.Tokens
	for _, want := range wants {
		if amount := d.TakeSpare(now, want.GetCustomer(), want.GetAmount()); amount > 0 {
			grants = append(grants, &fleet.Tokens{Customer: want.GetCustomer(), Amount: amount})
		}
	}
	return grants
}

// logSilentMembers logs each member that has become silent or is heard again.
func (d *Gossiper) logSilentMembers(now time.Time, members []membership.Member) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.loggedSilent == nil {
		d.loggedSilent = make(map[string]bool)
	}
	for _, m := range members {
		silent := now.Sub(m.Heard) > silentAfter
		if silent == d.loggedSilent[m.Name] || m.Heard.IsZero() {
			continue
		}
		d.loggedSilent[m.Name] = silent
		choice := "regained"
		if silent {
			choice = "lost"
		}
		d.Journal.Record(decisionlog.Decision{Time: now, Kind: "dependency", Choice: choice, Target: m.Name, Centre: m.Centre, Reason: "heartbeats"})
	}
}

// RoundTripTime returns the moving average of the round-trip time of heartbeats to the
// member, or zero if none has been measured.
func (d *Gossiper) RoundTripTime(name string) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.roundTrips[name]
}

func (d *Gossiper) recordRoundTrip(name string, sample time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.roundTrips == nil {
		d.roundTrips = make(map[string]time.Duration)
	}
	if mean, ok := d.roundTrips[name]; ok {
		sample = mean + (sample-mean)/8
	}
	d.roundTrips[name] = sample
}
