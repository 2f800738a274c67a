// Package gossip exchanges heartbeats with other instances: who runs, what is
// open at the region's targets, tokens, and which content of the store each
// knows.
package gossip

import (
	"context"
	"sync"
	"time"

	"google.golang.org/grpc"

	"chervilyard.example/chervilyard/journal"
	"chervilyard.example/yard/fleet"
	"chervilyard.example/yard/membership"
)

const (
	// interval between heartbeats in the region: loads that are older than a few
	// requests mislead the choice of targets.
	interval = 50 * time.Millisecond
	// listEvery is the number of intervals between heartbeats that list the members.
	listEvery = 20
	// callTime of a heartbeat in the region, and farTime to another.
	callTime = 400 * time.Millisecond
	farTime  = 900 * time.Millisecond
	// quiet is the silence after which a member counts as lost in the log.
	quiet = 3 * time.Second
	// forget is how long a silent member is remembered: a partition should end
	// before, so that both sides find each other again.
	forget = 10 * time.Minute
	// unused is how long a connection is kept that nothing is sent on: a member
	// that gets heartbeats from here gets one in some seconds.
	unused = time.Minute
	// firstRedial is the pause after a first failed connection.
	firstRedial = 200 * time.Millisecond
	// dialTime bounds the making of a connection.
	dialTime = time.Second
	// maxMessage bounds a message in bytes: the largest value of the store and more.
	maxMessage = 4 << 20
)

// Duty sends heartbeats. Its fields are set before Run.
type Duty struct {
	Self    func(now time.Time) membership.Member
	Table   *membership.Table
	Now     func() time.Time
	Journal *journal.Journal
	// Seeds are addresses to try while no member is known.
	Seeds func() []string
	// Say returns what a heartbeat to the member carries beside the members.
	Say func(now time.Time, to membership.Member) *fleet.Heartbeat
	// Heard takes in what a member said, which was written at the given time or later.
	Heard func(now, written time.Time, from membership.Member, h *fleet.Heartbeat)
	// Give hands over tokens of a customer; what it returns is gone here.
	Give func(now time.Time, customer string, want float64) float64

	mu    sync.Mutex
	beats int // intervals so far
	conns map[string]*grpc.ClientConn
	used  map[string]time.Time // when each address was last sent to
	busy  map[string]bool
	trips map[string]time.Duration
	lost  map[string]bool
	news  news
}

// Run sends heartbeats until the context ends and closes the returned channel then.
func (d *Duty) Run(ctx context.Context) <-chan struct{} {
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		ticker := time.NewTicker(interval)
		defer ticker.Stop()
		for {
			d.round(ctx)
			select {
			case <-ctx.Done():
				d.close()
				return
			case <-ticker.C:
			}
		}
	}()
	return ended
}

// round sends one interval's heartbeats.
func (d *Duty) round(ctx context.Context) {
	now := d.Now()
	self := d.Self(now)
	d.Table.Forget(now, forget)
	d.mu.Lock()
	d.beats++
	turn := d.beats%listEvery == 0
	d.mu.Unlock()
	members := d.Table.All()
	d.noteSilent(now, members)
	if turn {
		d.prune(now, members)
	}
	for _, m := range d.choose(now, self, members) {
		d.beat(ctx, m)
	}
	if len(members) == 0 {
		for _, address := range d.Seeds() {
			if address != self.Peers {
				d.beat(ctx, membership.Member{Peers: address, Region: self.Region})
			}
		}
	}
}

// Beat sends heartbeats to all members at once, to say that this instance changed.
func (d *Duty) Beat(ctx context.Context) {
	for _, m := range d.Table.Live(d.Now(), quiet) {
		d.beat(ctx, m)
	}
}

// Spread sends heartbeats to the members of the region and to some of each other
// at once, to say that there is news of the store.
func (d *Duty) Spread(ctx context.Context) {
	now := d.Now()
	for _, m := range receivers(now, d.Self(now), d.Table.Live(now, quiet)) {
		d.beat(ctx, m)
	}
}

// beat exchanges one heartbeat without waiting for it; a member that has not
// answered the last one is left alone.
func (d *Duty) beat(ctx context.Context, m membership.Member) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.busy == nil {
		d.busy = make(map[string]bool)
	}
	if d.busy[m.Peers] {
		return
	}
	d.busy[m.Peers] = true
	go func() {
		defer d.free(m.Peers)
		d.exchange(ctx, m)
	}()
}

func (d *Duty) free(address string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.busy, address)
}

func (d *Duty) exchange(ctx context.Context, m membership.Member) {
	conn, err := d.conn(m.Peers)
	if err != nil {
		return
	}
	now := d.Now()
	limit := callTime
	if m.Region != d.Self(now).Region {
		limit = farTime
	}
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	reply, err := fleet.NewFleetClient(conn).Pulse(ctx, d.Heartbeat(now, m))
	if err != nil {
		return // the silence is logged once it has lasted
	}
	then := d.Now()
	d.trip(m.Name, then.Sub(now))
	d.take(then, now, reply)
}

// Ask asks members for tokens of a customer at once and waits for their answers.
func (d *Duty) Ask(ctx context.Context, members []membership.Member, customer string, amount float64) {
	var wg sync.WaitGroup
	for _, m := range members {
		wg.Add(1)
		go func() {
			defer wg.Done()
			d.ask(ctx, m, customer, amount/float64(len(members)))
		}()
	}
	wg.Wait()
}

func (d *Duty) ask(ctx context.Context, m membership.Member, customer string, amount float64) {
	conn, err := d.conn(m.Peers)
	if err != nil {
		return // the heartbeats log what they cannot reach
	}
	self := d.Self(d.Now())
	// The answer is taken in even after the asker stopped waiting: its tokens
	// are gone at the giver.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), farTime)
	defer cancel()
	reply, err := fleet.NewFleetClient(conn).Ask(ctx, &fleet.Wish{
		Name: self.Name, Wants: []*fleet.Tokens{{Customer: customer, Amount: amount}},
	})
	if err != nil {
		return
	}
	now := d.Now()
	d.Heard(now, now, m, &fleet.Heartbeat{Name: m.Name, Grants: reply.GetGrants()})
}

// Take takes in a heartbeat that another instance began, and returns its sender.
// Its way took at most as long as a heartbeat there and back does.
func (d *Duty) Take(now time.Time, h *fleet.Heartbeat) membership.Member {
	way := d.Trip(h.GetName())
	if way == 0 {
		way = farTime
	}
	return d.take(now, now.Add(-way), h)
}

// take takes in a heartbeat that was written at the given time or later. Ages
// count from then: if each hop made news a little younger, it would never grow
// old among instances that tell it to each other.
func (d *Duty) take(now, written time.Time, h *fleet.Heartbeat) membership.Member {
	from := d.learn(now, written, h)
	d.Heard(now, written, from, h)
	return from
}

// grant hands over tokens that are asked for.
func (d *Duty) grant(now time.Time, wants []*fleet.Tokens) []*fleet.Tokens {
	var grants []*fleet.Tokens
	for _, want := range wants {
		if n := d.Give(now, want.GetCustomer(), want.GetAmount()); n > 0 {
			grants = append(grants, &fleet.Tokens{Customer: want.GetCustomer(), Amount: n})
		}
	}
	return grants
}

// noteSilent logs members that fall silent or come back.
func (d *Duty) noteSilent(now time.Time, members []membership.Member) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.lost == nil {
		d.lost = make(map[string]bool)
	}
	for _, m := range members {
		silent := now.Sub(m.Heard) > quiet
		if silent == d.lost[m.Name] || m.Heard.IsZero() {
			continue
		}
		d.lost[m.Name] = silent
		choice := "regained"
		if silent {
			choice = "lost"
		}
		d.Journal.Note(journal.Decision{Time: now, Kind: "dependency", Choice: choice, Target: m.Name, Centre: m.Centre, Reason: "heartbeats"})
	}
}

// Trip returns how long a heartbeat to the member and back takes.
func (d *Duty) Trip(name string) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.trips[name]
}

func (d *Duty) trip(name string, took time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.trips == nil {
		d.trips = make(map[string]time.Duration)
	}
	if old, ok := d.trips[name]; ok {
		took = old + (took-old)/8
	}
	d.trips[name] = took
}
