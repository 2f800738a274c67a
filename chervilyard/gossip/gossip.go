// Package gossip exchanges heartbeats with other instances. A heartbeat carries
// membership, the load on the region's targets, quota tokens, and digests of the
// sender's copy of the store.
package gossip

import (
	"cmp"
	"context"
	"sync"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/protobuf/proto"

	"chervilyard.example/chervilyard/decisionlog"
	"chervilyard.example/yard/fleet"
	"chervilyard.example/yard/hub"
	"chervilyard.example/yard/introduction"
	"chervilyard.example/yard/membership"
)

const (
	// heartbeatInterval is the shortest time between two heartbeats of an instance to
	// others in its region. Loads older than the duration of a few requests would
	// mislead the choice of targets.
	heartbeatInterval = 50 * time.Millisecond
	// memberListIntervals is the number of intervals between heartbeats within
	// the region that list all members.
	memberListIntervals = 20
	// localTimeout bounds a heartbeat within the region. remoteTimeout bounds one to
	// another region, and a request for tokens to any member.
	localTimeout  = 400 * time.Millisecond
	remoteTimeout = 900 * time.Millisecond
	// permitTimeout bounds a request for a permit or a proof, and yieldTimeout one to leave the issuing of
	// permits to this instance, which is sent while others wait for permits.
	permitTimeout = 300 * time.Millisecond
	yieldTimeout  = 120 * time.Millisecond
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
	// connSilence is the time without a reply after which a call that times out closes its
	// connection. gRPC looks after a connection only after 10 s without a byte, and the kernel
	// notices nothing where a relay in the path acknowledges what is sent: a connection that did
	// not survive a network partition would keep its members apart for as long.
	connSilence = time.Second
	// dialTimeout bounds a connection attempt.
	dialTimeout = time.Second
	// maxMessageBytes bounds a message; it exceeds the largest value in the store.
	maxMessageBytes = 4 << 20
	// windowBytes is the flow control window of connections. Without a fixed window,
	// gRPC measures the bandwidth with a ping for each message that it receives.
	windowBytes = 1 << 20
)

// Gossiper exchanges heartbeats with the other instances. Its exported fields must be
// set before Run is called and must not change afterwards. The methods other than Run
// are safe for concurrent use, and the functions in the fields must be.
type Gossiper struct {
	// Self returns the state of this instance as other instances see it.
	Self      func(now time.Time) membership.Member
	Members   *membership.Table
	Now       func() time.Time
	Decisions *decisionlog.Log
	// Seeds returns the addresses to send heartbeats to until they have answered, and while no
	// member is known.
	Seeds func() []string
	// Introduction records what this instance is told of its region, and Introduced reports
	// whether it knows all instances of it.
	Introduction *introduction.Tracker
	Introduced   func(now time.Time) bool
	// Payload returns the content of a heartbeat to a member or of a reply, except the
	// membership fields, which Gossiper fills in.
	Payload func(now time.Time, to membership.Member) *fleet.Heartbeat
	// Wants returns the tokens to request with a heartbeat. Replies request none.
	Wants func(now time.Time) []*fleet.Tokens
	// HandlePayload processes a heartbeat from a member. The sender wrote it no
	// earlier than written. A reply to RequestTokens is passed to it as a heartbeat
	// that has only the member's name and the granted tokens.
	HandlePayload func(now, written time.Time, from membership.Member, h *fleet.Heartbeat)
	// TakeSpare takes up to want tokens of a customer out of this instance's token
	// bucket and returns the amount taken, for transfer to another instance.
	TakeSpare func(now time.Time, customer string, want float64) float64
	// TakeWhole takes an amount of a customer's tokens out of this instance's token
	// bucket for a request elsewhere. If it does not, it returns the time after which the
	// bucket may hold the amount, and the members that hold tokens of the customer if this
	// instance does not.
	TakeWhole func(now time.Time, customer string, amount float64) (taken bool, wait time.Duration, homes []membership.Member)

	// IssuePermit answers the request of an instance for a permit to send a request to a
	// target with a rate limit, and YieldPermits leaves the issuing of a target's permits to an
	// instance.
	IssuePermit  func(ctx context.Context, t *fleet.Turn) *fleet.Slot
	YieldPermits func(now time.Time, t *fleet.Turn) *fleet.Handover
	// ProveTarget answers the request of an instance for a health check of a target.
	ProveTarget func(ctx context.Context, c *fleet.Check) *fleet.Check

	// SendHeartbeat sends a heartbeat to a member and returns the reply. If it is nil, the
	// heartbeat is sent with gRPC.
	SendHeartbeat func(ctx context.Context, to membership.Member, h *fleet.Heartbeat) (*fleet.Heartbeat, error)

	// OnMessage is called for each message that this instance sends to begin an exchange,
	// and for the reply, with the kind of exchange, whether the member is of another region,
	// and the encoded size in bytes. It may be nil.
	OnMessage func(kind string, remote bool, bytes int)

	mu            sync.Mutex
	intervalCount int                         // heartbeat intervals since the start
	conns         map[string]*grpc.ClientConn // by address
	lastUsed      map[string]time.Time        // when the connection was last used, by address
	lastAnswer    map[string]time.Time        // last reply on the connection, or its start, by address
	inFlight      map[string]bool             // addresses that a heartbeat is in flight to
	roundTrips    map[string]time.Duration    // average, by member name
	exchangeCount int                         // exchanges begun since the start
	lastExchange  map[string]int              // exchangeCount at the last exchange, by member name
	plan          hub.Plan                    // of this instance's region
	toldChanges   map[string]uint64           // number of the last change that a hub told the member, by member name

	listReceivedAt time.Time       // when the last list of members was received
	regionCount    int64           // instances of the region, including this one, as of the last interval
	largerCount    int64           // largest count that another one of the region told since the last request
	loggedSilent   map[string]bool // by member name; whether it was last logged as lost
	pending        pendingUpdates
}

// Run sends heartbeats in the background until the context ends. It returns a channel
// that is closed once no more heartbeats are started and the connections are closed.
func (g *Gossiper) Run(ctx context.Context) <-chan struct{} {
	done := make(chan struct{})
	go func() {
		defer close(done)
		ticker := time.NewTicker(heartbeatInterval)
		defer ticker.Stop()
		step := 1
		for {
			g.startInterval(ctx, step)
			if next := g.nextIntervals(); next != step {
				step = next
				ticker.Reset(time.Duration(step) * heartbeatInterval)
			}
			select {
			case <-ctx.Done():
				g.close()
				return
			case <-ticker.C:
			}
		}
	}()
	return done
}

// startInterval starts the heartbeats of the interval that follows the last one after a
// number of intervals.
func (g *Gossiper) startInterval(ctx context.Context, intervals int) {
	g.mu.Lock()
	g.intervalCount += intervals
	pruneDue := g.intervalCount%memberListIntervals == 0
	g.mu.Unlock()
	now := g.Now()
	self := g.Self(now)
	g.Members.Evict(now, memberRetention)
	members := g.Members.All()
	g.logSilentMembers(now, members)
	if pruneDue {
		g.prune(now, members)
	}
	for _, m := range g.choosePeers(now, self, members) {
		g.startExchange(ctx, m)
	}
	for _, address := range g.dueSeeds(now, self, members) {
		if address != self.Peers {
			g.startExchange(ctx, membership.Member{Peers: address, Region: self.Region})
		}
	}
}

// NotifyAll sends heartbeats without waiting for the interval, to announce a change of this
// instance's own state. They go to every live member or, in a region with hubs, to those
// that Broadcast selects.
func (g *Gossiper) NotifyAll(ctx context.Context) {
	if !g.Plan().Direct() {
		g.Broadcast(ctx)
		return
	}
	for _, m := range g.Members.Live(g.Now(), silentAfter) {
		g.startExchange(ctx, m)
	}
}

// Broadcast sends heartbeats without waiting for the interval, to announce new store
// content. They go to all live members of the region or to its hubs, and to a few members of
// each other region unless that is the task of hubs.
func (g *Gossiper) Broadcast(ctx context.Context) {
	now := g.Now()
	for _, m := range broadcastPeers(now, g.Self(now), g.Plan(), g.Members.Live(now, silentAfter)) {
		g.startExchange(ctx, m)
	}
}

// Plan returns the hubs of this instance's region as of the last interval.
func (g *Gossiper) Plan() hub.Plan {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.plan
}

// startExchange exchanges a heartbeat with a member in the background. It does
// nothing while an earlier exchange with the same address is in flight.
func (g *Gossiper) startExchange(ctx context.Context, m membership.Member) {
	g.recordExchange(m.Name)
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.inFlight == nil {
		g.inFlight = make(map[string]bool)
	}
	if g.inFlight[m.Peers] {
		return
	}
	g.inFlight[m.Peers] = true
	go func() {
		defer g.clearInFlight(m.Peers)
		g.exchange(ctx, m)
	}()
}

func (g *Gossiper) clearInFlight(address string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.inFlight, address)
}

func (g *Gossiper) exchange(ctx context.Context, m membership.Member) {
	now := g.Now()
	timeout := localTimeout
	if m.Region != g.Self(now).Region {
		timeout = remoteTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	h := g.request(now, m)
	send := g.SendHeartbeat
	if send == nil {
		send = g.sendHeartbeat
	}
	reply, err := send(ctx, m, h)
	g.countMessages("heartbeat", m, h, reply)
	if err != nil {
		return // logSilentMembers logs a failure that lasts
	}
	received := g.Now()
	g.recordRoundTrip(reply.GetName(), received.Sub(now))
	from := g.receive(received, now, reply)
	g.recordIntroduction(m.Peers, from, h, reply)
}

func (g *Gossiper) sendHeartbeat(ctx context.Context, to membership.Member, h *fleet.Heartbeat) (*fleet.Heartbeat, error) {
	conn, err := g.conn(to.Peers)
	if err != nil {
		return nil, err
	}
	reply, err := fleet.NewFleetClient(conn).Pulse(ctx, h)
	g.recordCall(to.Peers, conn, err)
	return reply, err
}

// countMessages passes the sizes of a message to a member and of its reply to OnMessage. The
// reply may be nil.
func (g *Gossiper) countMessages(kind string, m membership.Member, message, reply proto.Message) {
	if g.OnMessage == nil {
		return
	}
	remote := m.Region != "" && m.Region != g.Self(g.Now()).Region
	g.OnMessage(kind, remote, proto.Size(message)+proto.Size(reply))
}

// RequestTokens requests tokens of a customer from the members, an equal share of
// the amount from each, and waits for all replies. Received tokens are passed to
// HandlePayload.
func (g *Gossiper) RequestTokens(ctx context.Context, members []membership.Member, customer string, amount float64) {
	var wg sync.WaitGroup
	for _, m := range members {
		wg.Add(1)
		go func() {
			defer wg.Done()
			g.requestTokens(ctx, m, customer, amount/float64(len(members)))
		}()
	}
	wg.Wait()
}

func (g *Gossiper) requestTokens(ctx context.Context, m membership.Member, customer string, amount float64) {
	conn, err := g.conn(m.Peers)
	if err != nil {
		return // a failure that lasts shows up as missing heartbeats, which are logged
	}
	self := g.Self(g.Now())
	// The reply is processed even if the caller has stopped waiting, because the
	// peer has already taken the tokens out of its bucket.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), remoteTimeout)
	defer cancel()
	wish := &fleet.Wish{Name: self.Name, Wants: []*fleet.Tokens{{Customer: customer, Amount: amount}}}
	reply, err := fleet.NewFleetClient(conn).Ask(ctx, wish)
	g.countMessages("tokens", m, wish, reply)
	if err != nil {
		return
	}
	now := g.Now()
	g.HandlePayload(now, now, m, &fleet.Heartbeat{Name: m.Name, Grants: reply.GetGrants()})
}

// RequestWhole asks a member for the tokens of a request, all or none of them, and reports
// whether it got them. If the member refused, it returns the time after which it may grant
// them, and the members that hold the customer's tokens if it holds none itself.
func (g *Gossiper) RequestWhole(ctx context.Context, m membership.Member, customer string, amount float64) (granted bool, wait time.Duration, homes []membership.Member) {
	conn, err := g.conn(m.Peers)
	if err != nil {
		return false, 0, nil // a failure that lasts shows up as missing heartbeats, which are logged
	}
	ctx, cancel := context.WithTimeout(ctx, remoteTimeout)
	defer cancel()
	wish := &fleet.Wish{Name: g.Self(g.Now()).Name, Wants: []*fleet.Tokens{{Customer: customer, Amount: amount}}, Whole: true}
	reply, err := fleet.NewFleetClient(conn).Ask(ctx, wish)
	g.countMessages("tokens", m, wish, reply)
	if err != nil {
		return false, 0, nil // tokens that the member has taken out are lost
	}
	now := g.Now()
	for _, home := range reply.GetHomes() {
		homes = append(homes, memberFromProto(now, home))
	}
	return len(reply.GetGrants()) > 0, time.Duration(reply.GetWait()) * time.Millisecond, homes
}

// RequestPermit asks a member of the region for a permit.
func (g *Gossiper) RequestPermit(ctx context.Context, m membership.Member, t *fleet.Turn) (*fleet.Slot, error) {
	conn, err := g.conn(m.Peers)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, permitTimeout)
	defer cancel()
	slot, err := fleet.NewFleetClient(conn).Permit(ctx, t)
	g.countMessages("permit", m, t, slot)
	return slot, err
}

// RequestProof asks a member of the region to check a target.
func (g *Gossiper) RequestProof(ctx context.Context, m membership.Member, c *fleet.Check) (*fleet.Check, error) {
	conn, err := g.conn(m.Peers)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, permitTimeout)
	defer cancel()
	answer, err := fleet.NewFleetClient(conn).Prove(ctx, c)
	g.countMessages("proof", m, c, answer)
	return answer, err
}

// RequestYield asks a member of the region to leave the issuing of a target's permits to this
// instance.
func (g *Gossiper) RequestYield(ctx context.Context, m membership.Member, t *fleet.Turn) (*fleet.Handover, error) {
	conn, err := g.conn(m.Peers)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, yieldTimeout)
	defer cancel()
	h, err := fleet.NewFleetClient(conn).Yield(ctx, t)
	g.countMessages("yield", m, t, h)
	return h, err
}

// Receive processes a heartbeat that another instance sent and returns the sender. It
// takes the latency of the message as the average round-trip time to the sender, as the
// sender tells it if it is not known here, or as remoteTimeout while neither knows it.
func (g *Gossiper) Receive(now time.Time, h *fleet.Heartbeat) membership.Member {
	latency := cmp.Or(g.RoundTripTime(h.GetName()), time.Duration(h.GetTrip())*time.Millisecond, remoteTimeout)
	g.recordExchange(h.GetName())
	from := g.receive(now, now.Add(-latency), h)
	if h.GetTrip() == 0 { // the sender may not know this instance
		g.addReply(h.GetName(), g.Self(now).Fingerprint())
	}
	return from
}

// receive processes a heartbeat that was written no earlier than written. Ages are
// relative to that time: if each hop made a state slightly more recent, a state that
// instances pass back and forth would never expire.
func (g *Gossiper) receive(now, written time.Time, h *fleet.Heartbeat) membership.Member {
	from := g.mergeMembers(now, written, h)
	g.HandlePayload(now, written, from, h)
	return from
}

// takeTokens takes the requested tokens out of this instance's bucket as far as it
// can spare them, and returns the amounts taken.
func (g *Gossiper) takeTokens(now time.Time, wants []*fleet.Tokens) []*fleet.Tokens {
	var grants []*fleet.Tokens
	for _, want := range wants {
		if amount := g.TakeSpare(now, want.GetCustomer(), want.GetAmount()); amount > 0 {
			grants = append(grants, &fleet.Tokens{Customer: want.GetCustomer(), Amount: amount})
		}
	}
	return grants
}

// logSilentMembers logs each member that has become silent or is heard again.
func (g *Gossiper) logSilentMembers(now time.Time, members []membership.Member) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.loggedSilent == nil {
		g.loggedSilent = make(map[string]bool)
	}
	for _, m := range members {
		silent := now.Sub(m.Heard) > silentAfter
		if silent == g.loggedSilent[m.Name] || m.Heard.IsZero() {
			continue
		}
		g.loggedSilent[m.Name] = silent
		choice := "regained"
		if silent {
			choice = "lost"
		}
		g.Decisions.Record(decisionlog.Decision{Time: now, Kind: "dependency", Choice: choice, Target: m.Name, Centre: m.Centre, Reason: "heartbeats"})
	}
}

// RoundTripTime returns the moving average of the round-trip time of heartbeats to the
// member, or zero if none has been measured.
func (g *Gossiper) RoundTripTime(name string) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.roundTrips[name]
}

func (g *Gossiper) recordRoundTrip(name string, sample time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.roundTrips == nil {
		g.roundTrips = make(map[string]time.Duration)
	}
	if mean, ok := g.roundTrips[name]; ok {
		sample = mean + (sample-mean)/8
	}
	g.roundTrips[name] = sample
}
