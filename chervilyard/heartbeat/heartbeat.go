// Package heartbeat sends the heartbeats of an instance to the other instances of its
// data centre and exchanges member lists with other data centres by gossip.
package heartbeat

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"chervilyard.example/yard/fleet"
	"chervilyard.example/yard/memberlist"
	"chervilyard.example/yard/peer"
)

const (
	heartbeatInterval    = time.Second
	seedRetryRounds      = 5    // heartbeat intervals between attempts to reach seeds that are unknown or silent
	memberBytes          = 120  // approximate encoded size of a member
	gossipBytesPerSecond = 2048 // limit on the member lists sent to other data centres in regular rounds
	immediateFanout      = 3    // maximum number of member lists exchanged in an immediate round
)

// Sender sends the heartbeats of one instance and processes those it receives. The
// exported fields must be set before Run and must not change afterwards; the
// functions must be safe for concurrent use. A Sender is safe for concurrent use.
type Sender struct {
	Members *memberlist.List
	Now     func() time.Time
	// LocalMember returns a new member entry of this instance. The Sender sets its
	// Beat field.
	LocalMember func(now time.Time) *peer.Member
	// Reports returns the load reports of the targets that this instance polls.
	Reports func(now time.Time) []*peer.Report
	// ConfirmedAge returns the time since the active configuration was last
	// confirmed as the newest.
	ConfirmedAge func(now time.Time) time.Duration
	// OnMessage is called for each heartbeat and member list received, with its
	// sender, the active configuration revision of the sender, and the time since
	// that revision was confirmed. The reports are nil for a member list.
	OnMessage func(now time.Time, from *peer.Member, revision int64, confirmedAge time.Duration, reports []*peer.Report)
	// SendHeartbeat sends a heartbeat to the peer address and returns the reply.
	SendHeartbeat func(ctx context.Context, to string, p *peer.Pulse) (*peer.Pulse, error)
	// ExchangeMembers sends a member list to the peer address and returns the reply.
	ExchangeMembers func(ctx context.Context, to string, r *peer.Roll) (*peer.Roll, error)
	// Suspects returns what to tell an instance about suspect parts of prompts, and
	// HandleSuspects processes what one told. Both may be nil.
	Suspects       func(now time.Time, to string) *fleet.Suspects
	HandleSuspects func(now time.Time, m *fleet.Suspects)
	// Seeds returns the configured peer addresses of instances to contact.
	Seeds func() []string
	// OnReply is called for each reply to a heartbeat, with the time at which
	// the heartbeat was sent and the peer address that replied.
	OnReply func(sent time.Time, from string)

	sequence atomic.Int64  // Beat of the last member entry sent
	wake     chan struct{} // requests an immediate round
	initOnce sync.Once
}

// SendNow requests an immediate round of heartbeats and gossip, after which Run
// sends the next regular round without waiting. It does not block; calls made while
// a request is pending are merged into it.
func (s *Sender) SendNow() {
	s.init()
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

func (s *Sender) init() { s.initOnce.Do(func() { s.wake = make(chan struct{}, 1) }) }

// Run starts a goroutine that sends heartbeats at a fixed interval and after each
// SendNow. The goroutine stops when ctx is done; the returned channel is then closed.
func (s *Sender) Run(ctx context.Context) <-chan struct{} {
	s.init()
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		ticker := time.NewTicker(heartbeatInterval)
		defer ticker.Stop()
		for round := 0; ; round++ {
			immediate := false
			s.sendRound(ctx, round, immediate)
			select {
			case <-ctx.Done():
				return
			case <-ticker.C:
			case <-s.wake:
				s.sendRound(ctx, 1, true)
			}
		}
	}()
	return stopped
}

// AnnounceLeaving sends a last round of heartbeats and gossip, in which LocalMember
// is expected to mark the instance as leaving. It returns when all replies have
// arrived or have timed out.
func (s *Sender) AnnounceLeaving(ctx context.Context) { s.sendRound(ctx, 1, true) }

// sendRound sends a heartbeat to each live member of the data centre and a member
// list to the peers that syncPeers selects. It returns when all replies have arrived
// or have timed out. An immediate round ignores the round number.
func (s *Sender) sendRound(ctx context.Context, round int, immediate bool) {
	now := s.Now()
	heartbeat := s.Heartbeat(now, "")
	var wg sync.WaitGroup
	start := func(f func()) {
		wg.Add(1)
		go func() {
			defer wg.Done()
			f()
		}()
	}
	for _, m := range s.Members.LiveInCentre(now) {
		own := &peer.Pulse{Self: heartbeat.Self, Reports: heartbeat.Reports, Confirmed: heartbeat.Confirmed, Suspects: s.suspects(now, m.GetAddress())}
		start(func() { s.sendHeartbeat(ctx, m.GetAddress(), own) })
	}
	for _, to := range s.syncPeers(now, round, immediate) {
		start(func() { s.exchangeMembers(ctx, to) })
	}
	wg.Wait()
}

// syncPeers returns the addresses of the peers to exchange member lists with in
// this round. In an immediate round they are up to immediateFanout random members of
// other data centres. In a regular round they are at most one such member and, every
// seedRetryRounds, the seeds that are unknown or silent. The number of rounds between
// exchanges with other data centres grows with the number of members, which keeps
// this traffic within gossipBytesPerSecond.
func (s *Sender) syncPeers(now time.Time, round int, immediate bool) []string {
	var addresses []string
	if immediate {
		first := rand.Uint64()
		for n := range uint64(immediateFanout) { // consecutive numbers select different members
			addresses = s.addRemote(now, addresses, first+n)
		}
		return addresses
	}
	syncRounds := 1 + len(s.Members.Live(now))*memberBytes/gossipBytesPerSecond
	if round%syncRounds == 0 {
		addresses = s.addRemote(now, addresses, rand.Uint64())
	}
	if round%seedRetryRounds != 0 {
		return addresses
	}
	for _, seed := range s.Seeds() {
		if age, ok := s.Members.SinceHeartbeat(now, seed); seed != s.Members.Self && (!ok || age > seedRetryRounds*heartbeatInterval) {
			addresses = append(addresses, seed)
		}
	}
	return addresses
}

// addRemote returns addresses with the address of the member of another data centre that
// the random number selects appended, unless there is none or it is already present.
func (s *Sender) addRemote(now time.Time, addresses []string, random uint64) []string {
	m := s.Members.GossipPartner(now, random)
	if m == nil || slices.Contains(addresses, m.GetAddress()) {
		return addresses
	}
	return append(addresses, m.GetAddress())
}

func (s *Sender) sendHeartbeat(ctx context.Context, to string, p *peer.Pulse) {
	ctx, cancel := context.WithTimeout(ctx, heartbeatInterval)
	defer cancel()
	sent := s.Now()
	if reply, err := s.SendHeartbeat(ctx, to, p); err == nil {
		s.ReceiveHeartbeat(s.Now(), reply)
		s.OnReply(sent, to)
	}
}

func (s *Sender) exchangeMembers(ctx context.Context, to string) {
	ctx, cancel := context.WithTimeout(ctx, heartbeatInterval)
	defer cancel()
	if reply, err := s.ExchangeMembers(ctx, to, s.MemberList(s.Now(), to)); err == nil {
		s.ReceiveMemberList(s.Now(), reply)
	}
}

// Heartbeat returns a new heartbeat of this instance to the peer address, or to none if that
// is "". Each call uses the next sequence number.
func (s *Sender) Heartbeat(now time.Time, to string) *peer.Pulse {
	return &peer.Pulse{Self: s.self(now), Reports: s.Reports(now), Confirmed: s.ConfirmedAge(now).Milliseconds(), Suspects: s.suspects(now, to)}
}

// MemberList returns the member list to send to the peer address. Its first entry is this
// instance, with the next sequence number.
func (s *Sender) MemberList(now time.Time, to string) *peer.Roll {
	return &peer.Roll{
		Members:   append([]*peer.Member{s.self(now)}, s.Members.GossipMembers(now)...),
		Confirmed: s.ConfirmedAge(now).Milliseconds(), Suspects: s.suspects(now, to),
	}
}

func (s *Sender) suspects(now time.Time, to string) *fleet.Suspects {
	if s.Suspects == nil || to == "" {
		return nil
	}
	return s.Suspects(now, to)
}

func (s *Sender) handleSuspects(now time.Time, m *fleet.Suspects) {
	if s.HandleSuspects != nil {
		s.HandleSuspects(now, m)
	}
}

// self returns the member entry of this instance with the next sequence number.
func (s *Sender) self(now time.Time) *peer.Member {
	m := s.LocalMember(now)
	m.Beat = s.sequence.Add(1)
	return m
}

// ReceiveHeartbeat processes a heartbeat received from another instance of the data
// centre, as a request or as a reply.
func (s *Sender) ReceiveHeartbeat(now time.Time, p *peer.Pulse) {
	s.Members.Update(now, p.GetSelf())
	s.handleSuspects(now, p.GetSuspects())
	s.OnMessage(now, p.GetSelf(), p.GetSelf().GetRevision(), time.Duration(p.GetConfirmed())*time.Millisecond, p.GetReports())
}

// ReceiveMemberList processes a member list received from another instance, as a
// request or as a reply. The first entry is the sender.
func (s *Sender) ReceiveMemberList(now time.Time, r *peer.Roll) {
	for _, m := range r.GetMembers() {
		s.Members.Update(now, m)
	}
	s.handleSuspects(now, r.GetSuspects())
	if len(r.GetMembers()) > 0 {
		sender := r.GetMembers()[0]
		s.OnMessage(now, sender, sender.GetRevision(), time.Duration(r.GetConfirmed())*time.Millisecond, nil)
	}
}
