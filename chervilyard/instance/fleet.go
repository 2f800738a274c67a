package instance

import (
	"cmp"
	"crypto/rand"
	"encoding/hex"
	mathrand "math/rand/v2"
	"slices"
	"strings"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/keepalive"

	"chervilyard.example/chervilyard/beat"
	"chervilyard.example/chervilyard/budget"
	"chervilyard.example/chervilyard/call"
	"chervilyard.example/chervilyard/dispatch"
	"chervilyard.example/chervilyard/journal"
	"chervilyard.example/chervilyard/poll"
	"chervilyard.example/chervilyard/port"
	"chervilyard.example/chervilyard/renewal"
	"chervilyard.example/yard/choice"
	"chervilyard.example/yard/claim"
	"chervilyard.example/yard/environment"
	"chervilyard.example/yard/lender"
	"chervilyard.example/yard/peer"
	"chervilyard.example/yard/refusal"
	"chervilyard.example/yard/route"
	"chervilyard.example/yard/seat"
	"chervilyard.example/yard/target"
)

const (
	silentTime  = 4 * time.Second  // without a heartbeat in the data centre
	farTime     = 30 * time.Second // without news from another data centre
	forgetTime  = 2 * time.Hour    // outlasts a partition, so that both sides find each other again
	goneTime    = time.Minute      // without a heartbeat, until an instance is no longer a witness
	handTime    = 6 * time.Second  // a little over what callers keep of /locate
	quietSteps  = 10
	drainStep   = 50 * time.Millisecond
	closeTime   = 5 * time.Second
	restTime    = 500 * time.Millisecond // for connections without a call to end
	readers     = 1                      // instances of a data centre that read the store
	publishTime = time.Minute
	claimAge    = 24 * time.Hour
	maxMessage  = 16 << 20 // bytes of one peer message
)

func newBudget() *budget.Budget { return &budget.Budget{} }

func (i *Instance) newLedger() *claim.Ledger {
	return &claim.Ledger{
		Get: i.store.Get, Put: i.store.Put, Now: i.now, Age: claimAge,
		Prefix: environment.ClaimPrefix(i.settings.Environment()),
		Random: randomName,
	}
}

func randomName() string {
	raw := make([]byte, 8)
	_, _ = rand.Read(raw) // crypto/rand.Read never returns an error
	return hex.EncodeToString(raw)
}

func (i *Instance) buildDuties() {
	i.seats = &renewal.Duty{
		Key: environment.SeatPrefix(i.settings.Environment()) + i.settings.Centre(),
		Table: &seat.Table{
			Address: i.Peers(), Run: i.run, Centre: i.settings.Centre(),
			Handover: func() (time.Duration, map[string]float64) {
				now := i.now()
				return i.lender.Outstanding(now), i.lender.Drawn(now)
			},
		},
		Lender: i.lender, Document: i.keeper.Document, Mates: i.mates,
		Get: i.store.Get, Put: i.store.Put, Now: i.now, Journal: i.journal,
		Changed: func() { i.beats.Kick() },
	}
	i.beats = &beat.Duty{
		Roster: i.roster, Now: i.now, Self: i.self, Reports: i.reports, Confirmed: i.keeper.Age,
		Heard: i.heard, Beat: i.link.Beat, Sync: i.link.Sync, Seeds: i.settings.Seeds, Promised: i.seats.Promised,
	}
	i.polls = &poll.Duty{
		Self: i.Peers(), Targets: i.ownTargets, Mates: i.mateAddresses,
		Learn: i.picker.Learn, Pump: i.dispatch.Pump, Now: i.now,
	}
}

// self is what this instance says of itself.
func (i *Instance) self(now time.Time) *peer.Member {
	m := &peer.Member{
		Address: i.Peers(), Callers: i.Callers(), Operators: i.Operators(), Centre: i.settings.Centre(),
		Run: i.run, Leaving: i.leaving.Load(), Revision: i.keeper.Revision(), Rooms: i.rooms(now),
	}
	for _, s := range i.seats.Seats() {
		m.Seats = append(m.Seats, int32(s))
	}
	return m
}

// rooms sums up what the data centre's targets can take, by route.
func (i *Instance) rooms(now time.Time) []*peer.Room {
	d := i.keeper.Document()
	if d == nil {
		return nil
	}
	var rooms []*peer.Room
	for _, r := range d.Routes() {
		var serving []target.Target
		for _, t := range i.ownTargets() {
			if t.Serves(r.Name()) {
				serving = append(serving, t)
			}
		}
		if free, all := i.picker.Free(now, serving); all > 0 {
			rooms = append(rooms, &peer.Room{Route: r.Name(), Slots: int32(all), Busy: int32(all - free)})
		}
	}
	return rooms
}

func (i *Instance) reports(now time.Time) []*peer.Report {
	var list []*peer.Report
	for name, r := range i.polls.Reports(now) {
		list = append(list, &peer.Report{
			Target: name, Age: now.Sub(r.At).Milliseconds(), Running: int32(r.Running), Queued: int32(r.Queued),
			Failed: r.Failed, Wait: r.Wait.Seconds(),
		})
	}
	return list
}

// heard takes in what a heartbeat or roll says beside membership.
func (i *Instance) heard(now time.Time, from *peer.Member, revision int64, confirmed time.Duration, reports []*peer.Report) {
	for _, r := range reports {
		i.picker.Learn(r.GetTarget(), choice.Report{
			At: now.Add(-time.Duration(r.GetAge()) * time.Millisecond), Running: int(r.GetRunning()), Queued: int(r.GetQueued()),
			Failed: r.GetFailed(), Wait: time.Duration(r.GetWait() * float64(time.Second)),
		})
	}
	switch {
	case revision > i.keeper.Revision():
		i.fetchOnce(from.GetAddress())
	case revision == i.keeper.Revision():
		i.keeper.Confirm(now, revision, confirmed)
	}
}

func (i *Instance) ownTargets() []target.Target {
	d := i.keeper.Document()
	if d == nil {
		return nil
	}
	return slices.DeleteFunc(d.Targets(), func(t target.Target) bool { return t.Centre() != i.settings.Centre() })
}

func (i *Instance) mateAddresses(now time.Time) []string {
	var list []string
	for _, m := range i.roster.Mates(now) {
		list = append(list, m.GetAddress())
	}
	return list
}

// mates is what the seats' decisions need of membership.
func (i *Instance) mates(now time.Time) seat.Mates {
	var m seat.Mates
	for _, one := range i.roster.Mates(now) {
		m.Alive = append(m.Alive, one.GetAddress())
		if len(one.GetSeats()) == 0 && !one.GetLeaving() {
			m.Seatless = append(m.Seatless, one.GetAddress())
		}
	}
	m.Gone = i.roster.Gone(now, goneTime)
	return m
}

// members returns all live instances with this one.
func (i *Instance) members(now time.Time) []*peer.Member {
	return append(i.roster.Live(now), i.self(now))
}

// holders returns the instances that hold seats with a part of the customer's
// quota, nearest first. Quota of a bound customer stays in its region.
func (i *Instance) holders(customer string) []lender.Holder {
	d := i.keeper.Document()
	if d == nil {
		return nil
	}
	now := i.now()
	own := d.Region(i.settings.Centre())
	type near struct {
		holder   lender.Holder
		distance int
	}
	var found []near
	for _, m := range i.roster.Live(now) {
		part := 0.0
		for _, s := range m.GetSeats() {
			part += d.Part(customer, m.GetCentre(), int(s))
		}
		if part <= 0 {
			continue
		}
		found = append(found, near{
			holder:   lender.Holder{Address: m.GetAddress()},
			distance: distance(m.GetCentre(), d.Region(m.GetCentre()), i.settings.Centre(), own),
		})
	}
	slices.SortStableFunc(found, func(a, b near) int { return cmp.Compare(a.distance, b.distance) })
	list := make([]lender.Holder, len(found))
	for n, f := range found {
		list[n] = f.holder
	}
	return list
}

// distance ranks a place: the own data centre, the own region, another.
func distance(centre, region, ownCentre, ownRegion string) int {
	switch {
	case centre == ownCentre:
		return 0
	case region == ownRegion:
		return 1
	}
	return 2
}

// remotes returns one live instance of each other data centre that serves the
// route, near regions first, and among equals those with more room.
func (i *Instance) remotes(now time.Time, r route.Route) []dispatch.Remote {
	d := i.keeper.Document()
	if d == nil {
		return nil
	}
	own := d.Region(i.settings.Centre())
	best := make(map[string]dispatch.Remote)
	members := i.roster.Live(now)
	mathrand.Shuffle(len(members), func(a, b int) { members[a], members[b] = members[b], members[a] })
	for _, m := range members {
		if m.GetCentre() == i.settings.Centre() || m.GetLeaving() {
			continue
		}
		if _, ok := best[m.GetCentre()]; ok {
			continue
		}
		for _, room := range m.GetRooms() {
			if room.GetRoute() == r.Name() {
				best[m.GetCentre()] = dispatch.Remote{
					Address: m.GetAddress(), Centre: m.GetCentre(), Region: d.Region(m.GetCentre()),
					Free: int(room.GetSlots() - room.GetBusy()),
				}
			}
		}
	}
	list := make([]dispatch.Remote, 0, len(best))
	for _, one := range best {
		list = append(list, one)
	}
	slices.SortFunc(list, func(a, b dispatch.Remote) int {
		return cmp.Or(
			cmp.Compare(distance(a.Centre, a.Region, i.settings.Centre(), own), distance(b.Centre, b.Region, i.settings.Centre(), own)),
			cmp.Compare(b.Free, a.Free),
			strings.Compare(a.Centre, b.Centre),
		)
	})
	return list
}

// forwarded logs the end of a call that another instance sent.
func (i *Instance) forwarded(c *call.Call, err error) {
	choice := "answered"
	if err != nil {
		choice = "not answered"
	}
	i.journal.Note(journal.Decision{
		Time: i.now(), Request: c.ID, Kind: "forwarded", Customer: c.Customer.Name(), Route: c.Route.Name(),
		Choice: choice, Reason: "from " + c.From, Target: c.Result.Target, Centre: i.settings.Centre(),
	})
}

func (i *Instance) newRPC(creds credentials.TransportCredentials) *grpc.Server {
	opts := []grpc.ServerOption{
		grpc.MaxRecvMsgSize(maxMessage),
		grpc.MaxSendMsgSize(maxMessage),
		grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{MinTime: time.Second, PermitWithoutStream: true}),
	}
	if creds != nil {
		opts = append(opts, grpc.Creds(creds))
	}
	s := grpc.NewServer(opts...)
	peer.RegisterLinkServer(s, &port.Port{
		Lender: i.lender, Now: i.now, Document: i.keeper.Usable, Deliver: i.link.Deliver,
		OnBeat: func(now time.Time, p *peer.Pulse) *peer.Pulse {
			i.beats.TakePulse(now, p)
			if p.GetSelf().GetCentre() == i.settings.Centre() {
				i.seats.Promise(now, p.GetSelf().GetAddress())
			}
			return i.beats.Pulse(now)
		},
		OnSync: func(now time.Time, r *peer.Roll) *peer.Roll {
			i.beats.TakeRoll(now, r)
			return i.beats.Roll(now)
		},
		OnFetch: i.serveFetch,
		Serve:   i.Forwarded,
	})
	return s
}

// notReady returns why the instance should get no calls, or "".
func (i *Instance) notReady() string {
	if i.leaving.Load() {
		return "leaving"
	}
	var r *refusal.Refusal
	if _, err := i.keeper.Usable(); err != nil {
		if asRefusal(err, &r) {
			return r.Message
		}
		return err.Error()
	}
	return ""
}
