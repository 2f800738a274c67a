// Package beat sends an instance's heartbeats to its data centre and exchanges
// rolls of members with other data centres.
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
	interval   = time.Second
	seedEvery  = 5 // intervals between tries of seeds that are not known as members
	memberSize = 120
	rollBudget = 2048 // bytes a second for rolls
	kickFan    = 3    // rolls sent at once when something is new
)

// Duty is the heartbeat of one instance. Its fields are set before Run.
type Duty struct {
	Roster *roster.Roster
	Now    func() time.Time
	// Self returns what the instance says of itself.
	Self func(now time.Time) *peer.Member
	// Reports returns the load reports of the targets that it polls.
	Reports func(now time.Time) []*peer.Report
	// Confirmed returns the age of the configuration's last confirmation.
	Confirmed func(now time.Time) time.Duration
	// Heard is called for each heartbeat or roll that came from another.
	Heard func(now time.Time, from *peer.Member, revision int64, confirmed time.Duration, reports []*peer.Report)
	Beat  func(ctx context.Context, to string, p *peer.Pulse) (*peer.Pulse, error)
	Sync  func(ctx context.Context, to string, r *peer.Roll) (*peer.Roll, error)
	Seeds func() []string
	// Promised is told of each answer to a heartbeat, and when that was sent.
	Promised func(sent time.Time, from string)

	beats atomic.Int64
	kick  chan struct{}
	once  sync.Once
}

// Kick has the next heartbeat sent at once.
func (d *Duty) Kick() {
	d.init()
	select {
	case d.kick <- struct{}{}:
	default:
	}
}

func (d *Duty) init() { d.once.Do(func() { d.kick = make(chan struct{}, 1) }) }

// Run sends heartbeats until the context ends.
func (d *Duty) Run(ctx context.Context) <-chan struct{} {
	d.init()
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		ticker := time.NewTicker(interval)
		defer ticker.Stop()
		for round := 0; ; round++ {
			kicked := false
			d.round(ctx, round, kicked)
			select {
			case <-ctx.Done():
				return
			case <-ticker.C:
			case <-d.kick:
				d.round(ctx, 1, true)
			}
		}
	}()
	return ended
}

// Farewell tells the data centre and a few others that the instance leaves.
func (d *Duty) Farewell(ctx context.Context) { d.round(ctx, 1, true) }

func (d *Duty) round(ctx context.Context, round int, kicked bool) {
	now := d.Now()
	pulse := d.Pulse(now)
	var wait sync.WaitGroup
	send := func(f func()) {
		wait.Add(1)
		go func() {
			defer wait.Done()
			f()
		}()
	}
	for _, m := range d.Roster.Mates(now) {
		send(func() { d.beat(ctx, m.GetAddress(), pulse) })
	}
	for _, to := range d.partners(now, round, kicked) {
		send(func() { d.sync(ctx, to) })
	}
	wait.Wait()
}

// partners returns whom to exchange rolls with in this round. The interval
// grows with the roll, so that the bytes a second stay the same.
func (d *Duty) partners(now time.Time, round int, kicked bool) []string {
	var to []string
	if kicked {
		for range kickFan {
			to = d.addFar(now, to)
		}
		return to
	}
	every := 1 + len(d.Roster.Live(now))*memberSize/rollBudget
	if round%every == 0 {
		to = d.addFar(now, to)
	}
	if round%seedEvery != 0 {
		return to
	}
	for _, seed := range d.Seeds() {
		if age, ok := d.Roster.Heard(now, seed); seed != d.Roster.Self && (!ok || age > seedEvery*interval) {
			to = append(to, seed)
		}
	}
	return to
}

func (d *Duty) addFar(now time.Time, to []string) []string {
	m := d.Roster.Pick(now, rand.Uint64())
	if m == nil || slices.Contains(to, m.GetAddress()) {
		return to
	}
	return append(to, m.GetAddress())
}

func (d *Duty) beat(ctx context.Context, to string, p *peer.Pulse) {
	ctx, cancel := context.WithTimeout(ctx, interval)
	defer cancel()
	sent := d.Now()
	if back, err := d.Beat(ctx, to, p); err == nil {
		d.TakePulse(d.Now(), back)
		d.Promised(sent, to)
	}
}

func (d *Duty) sync(ctx context.Context, to string) {
	ctx, cancel := context.WithTimeout(ctx, interval)
	defer cancel()
	if back, err := d.Sync(ctx, to, d.Roll(d.Now())); err == nil {
		d.TakeRoll(d.Now(), back)
	}
}

// Pulse returns the heartbeat to send.
func (d *Duty) Pulse(now time.Time) *peer.Pulse {
	return &peer.Pulse{Self: d.self(now), Reports: d.Reports(now), Confirmed: d.Confirmed(now).Milliseconds()}
}

// Roll returns the roll to send, the instance itself first.
func (d *Duty) Roll(now time.Time) *peer.Roll {
	return &peer.Roll{
		Members:   append([]*peer.Member{d.self(now)}, d.Roster.Roll(now)...),
		Confirmed: d.Confirmed(now).Milliseconds(),
	}
}

func (d *Duty) self(now time.Time) *peer.Member {
	m := d.Self(now)
	m.Beat = d.beats.Add(1)
	return m
}

// TakePulse takes another's heartbeat in.
func (d *Duty) TakePulse(now time.Time, p *peer.Pulse) {
	d.Roster.Hear(now, p.GetSelf())
	d.Heard(now, p.GetSelf(), p.GetSelf().GetRevision(), time.Duration(p.GetConfirmed())*time.Millisecond, p.GetReports())
}

// TakeRoll takes another's roll in.
func (d *Duty) TakeRoll(now time.Time, r *peer.Roll) {
	for _, m := range r.GetMembers() {
		d.Roster.Hear(now, m)
	}
	if len(r.GetMembers()) > 0 {
		first := r.GetMembers()[0]
		d.Heard(now, first, first.GetRevision(), time.Duration(r.GetConfirmed())*time.Millisecond, nil)
	}
}
