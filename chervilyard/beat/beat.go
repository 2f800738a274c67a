// Package beat sends the heartbeats of an instance to the other instances of its
// data centre and exchanges member lists with other data centres by gossip.
package beat

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"chervilyard.example/yard/peer"
	"chervilyard.example/yard/roster"
)

const (
	heartbeatInterval    = time.Second
	seedRetryRounds      = 5    // heartbeat intervals between attempts to reach seeds that are not known members
	memberBytes          = 120  // approximate encoded size of a member
	gossipBytesPerSecond = 2048 // limit for member lists
	immediateFanout      = 3    // member lists exchanged in an immediate round
)

// Duty sends the heartbeats of one instance and processes those it receives. The
// exported fields must be set before Run and must not change afterwards.
type Duty struct {
	Roster *roster.Members
	Now    func() time.Time
	// Self returns the member entry of this instance. Its Beat field is set by
	// the caller.
	Self func(now time.Time) *peer.Member
	// Reports returns the load reports of the targets that this instance polls.
	Reports func(now time.Time) []*peer.Report
	// Confirmed returns the time since the active configuration was last
	// confirmed as the newest.
	Confirmed func(now time.Time) time.Duration
	// Heard is called for each heartbeat and member list received, with its
	// sender, the active configuration revision of the sender, and the age of
	// its confirmation. The reports are nil for a member list.
	Heard func(now time.Time, from *peer.Member, revision int64, confirmed time.Duration, reports []*peer.Report)
	// Beat sends a heartbeat to the address and returns the reply.
	Beat func(ctx context.Context, to string, p *peer.Pulse) (*peer.Pulse, error)
	// Sync sends a member list to the address and returns the reply.
	Sync func(ctx context.Context, to string, r *peer.Roll) (*peer.Roll, error)
	// Seeds returns the configured peer addresses of instances to contact.
	Seeds func() []string
	// Promised is called for each reply to a heartbeat, with the time at which
	// the heartbeat was sent.
	Promised func(sent time.Time, from string)

	sequence atomic.Int64  // Beat of the last member entry sent
	wake     chan struct{} // requests an immediate round
	initOnce sync.Once
}

// Kick requests an immediate round of heartbeats and gossip. It does not block;
// calls made while a request is pending are merged into it.
func (d *Duty) Kick() {
	d.init()
	select {
	case d.wake <- struct{}{}:
	default:
	}
}

func (d *Duty) init() { d.initOnce.Do(func() { d.wake = make(chan struct{}, 1) }) }

// Run starts a goroutine that sends heartbeats at a fixed interval and after each
// Kick. The goroutine stops when ctx is done; the returned channel is then closed.
func (d *Duty) Run(ctx context.Context) <-chan struct{} {
	d.init()
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		ticker := time.NewTicker(heartbeatInterval)
		defer ticker.Stop()
		for round := 0; ; round++ {
			immediate := false
			d.sendRound(ctx, round, immediate)
			select {
			case <-ctx.Done():
				return
			case <-ticker.C:
			case <-d.wake:
				d.sendRound(ctx, 1, true)
			}
		}
	}()
	return stopped
}

// Farewell sends a last round of heartbeats and gossip, in which Self is expected
// to mark the instance as leaving. It returns when all replies have arrived or
// have timed out.
func (d *Duty) Farewell(ctx context.Context) { d.sendRound(ctx, 1, true) }

// sendRound sends a heartbeat to each live member of the data centre and a member
// list to the peers that syncPeers selects, and waits for the replies.
func (d *Duty) sendRound(ctx context.Context, round int, immediate bool) {
	now := d.Now()
	heartbeat := d.Pulse(now)
	var wg sync.WaitGroup
	start := func(f func()) {
		wg.Add(1)
		go func() {
			defer wg.Done()
			f()
		}()
	}
	for _, m := range d.Roster.LiveInCentre(now) {
		start(func() { d.sendHeartbeat(ctx, m.GetAddress(), heartbeat) })
	}
	for _, to := range d.syncPeers(now, round, immediate) {
		start(func() { d.exchangeMembers(ctx, to) })
	}
	wg.Wait()
}

// syncPeers returns the addresses of the peers to exchange member lists with in
// this round. The number of rounds between exchanges grows with the number of
// members, which keeps the traffic within gossipBytesPerSecond.
func (d *Duty) syncPeers(now time.Time, round int, immediate bool) []string {
	var addresses []string
	if immediate {
		for range immediateFanout {
			addresses = d.addRemote(now, addresses)
		}
		return addresses
	}
	syncRounds := 1 + len(d.Roster.Live(now))*memberBytes/gossipBytesPerSecond
	if round%syncRounds == 0 {
		addresses = d.addRemote(now, addresses)
	}
	if round%seedRetryRounds != 0 {
		return addresses
	}
	for _, seed := range d.Seeds() {
		if age, ok := d.Roster.SinceHeartbeat(now, seed); seed != d.Roster.Self && (!ok || age > seedRetryRounds*heartbeatInterval) {
			addresses = append(addresses, seed)
		}
	}
	return addresses
}

// addRemote appends the address of a random member of another data centre, unless
// there is none or it is already in the list.
func (d *Duty) addRemote(now time.Time, addresses []string) []string {
	m := d.Roster.GossipPartner(now, rand.Uint64())
	if m == nil || slices.Contains(addresses, m.GetAddress()) {
		return addresses
	}
	return append(addresses, m.GetAddress())
}

func (d *Duty) sendHeartbeat(ctx context.Context, to string, p *peer.Pulse) {
	ctx, cancel := context.WithTimeout(ctx, heartbeatInterval)
	defer cancel()
	sent := d.Now()
	if reply, err := d.Beat(ctx, to, p); err == nil {
		d.TakePulse(d.Now(), reply)
		d.Promised(sent, to)
	}
}

func (d *Duty) exchangeMembers(ctx context.Context, to string) {
	ctx, cancel := context.WithTimeout(ctx, heartbeatInterval)
	defer cancel()
	if reply, err := d.Sync(ctx, to, d.Roll(d.Now())); err == nil {
		d.TakeRoll(d.Now(), reply)
	}
}

// Pulse returns a new heartbeat of this instance. Each call uses the next sequence
// number.
func (d *Duty) Pulse(now time.Time) *peer.Pulse {
	return &peer.Pulse{Self: d.self(now), Reports: d.Reports(now), Confirmed: d.Confirmed(now).Milliseconds()}
}

// Roll returns the member list to send. Its first entry is this instance, with
// the next sequence number.
func (d *Duty) Roll(now time.Time) *peer.Roll {
	return &peer.Roll{
		Members:   append([]*peer.Member{d.self(now)}, d.Roster.GossipMembers(now)...),
		Confirmed: d.Confirmed(now).Milliseconds(),
	}
}

func (d *Duty) self(now time.Time) *peer.Member {
	m := d.Self(now)
	m.Beat = d.sequence.Add(1)
	return m
}

// TakePulse processes a heartbeat received from another instance of the data
// centre, as a request or as a reply.
func (d *Duty) TakePulse(now time.Time, p *peer.Pulse) {
	d.Roster.Update(now, p.GetSelf())
	d.Heard(now, p.GetSelf(), p.GetSelf().GetRevision(), time.Duration(p.GetConfirmed())*time.Millisecond, p.GetReports())
}

// TakeRoll processes a member list received from another instance, as a request
// or as a reply. The first entry is the sender.
func (d *Duty) TakeRoll(now time.Time, r *peer.Roll) {
	for _, m := range r.GetMembers() {
		d.Roster.Update(now, m)
	}
	if len(r.GetMembers()) > 0 {
		sender := r.GetMembers()[0]
		d.Heard(now, sender, sender.GetRevision(), time.Duration(r.GetConfirmed())*time.Millisecond, nil)
	}
}
