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

	"chervilyard.example/chervilyard/call"
	"chervilyard.example/chervilyard/decisionlog"
	"chervilyard.example/chervilyard/dispatch"
	"chervilyard.example/chervilyard/heartbeat"
	"chervilyard.example/chervilyard/peerserver"
	"chervilyard.example/chervilyard/poll"
	"chervilyard.example/chervilyard/renewal"
	"chervilyard.example/chervilyard/retrybudget"
	"chervilyard.example/yard/balancer"
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
	// localMemberTimeout is the time without a heartbeat after which a member
	// of the same data centre is considered dead.
	localMemberTimeout = 4 * time.Second
	// remoteMemberTimeout is the time without a newer heartbeat counter, received
	// through gossip, after which a member of another data centre is considered
	// dead.
	remoteMemberTimeout = 30 * time.Second
	// memberRetention is the time without a heartbeat after which a member is
	// forgotten. It is longer than a network partition should last, so that both
	// sides find each other again.
	memberRetention = 2 * time.Hour
	// witnessTimeout is the time without a heartbeat after which an instance is
	// no longer a witness of seat leases.
	witnessTimeout = time.Minute
	// handoverTimeout bounds the time during which a stopping instance still
	// accepts calls. It is slightly longer than callers cache an answer of
	// /locate.
	handoverTimeout = 6 * time.Second
	// handoverIdleTicks is the number of consecutive drainPollInterval ticks
	// without an open call after which the handover ends early.
	handoverIdleTicks = 10
	drainPollInterval = 50 * time.Millisecond
	// closeTimeout bounds the shutdown of the servers and background tasks, and
	// the fetch of a document from a peer.
	closeTimeout = 5 * time.Second
	// idleConnTimeout bounds the graceful closing of connections without a call.
	idleConnTimeout = 500 * time.Millisecond
	// storeReaders is the number of instances of each data centre that read the
	// configuration from the store.
	storeReaders = 1
	// publishRetryPeriod / 20, that is 3 s, is the upper bound of the random delay
	// between two attempts to publish the directory entry.
	publishRetryPeriod = time.Minute
	claimRetention     = 24 * time.Hour // of a claim's record in the store
	maxMessageBytes    = 16 << 20       // of one message between instances
)

func newBudget() *retrybudget.Budget { return &retrybudget.Budget{} }

func (i *Instance) newLedger() *claim.Ledger {
	return &claim.Ledger{
		Get: i.store.Get, Put: i.store.Put, Now: i.now, Retention: claimRetention,
		Prefix:       environment.ClaimPrefix(i.settings.Environment()),
		NewAttemptID: randomID,
	}
}

// randomID returns a random identifier of 64 bits.
func randomID() string {
	raw := make([]byte, 8)
	_, _ = rand.Read(raw) // crypto/rand.Read never returns an error
	return hex.EncodeToString(raw)
}

// buildTasks creates the background tasks for seats, heartbeats and load polls.
func (i *Instance) buildTasks() {
	i.seatRenewal = &renewal.Renewer{
		Key: environment.SeatPrefix(i.settings.Environment()) + i.settings.Centre(),
		Table: &seat.Table{
			Address: i.PeerAddr(), Run: i.runID, Centre: i.settings.Centre(),
			ReleaseState: func() (time.Duration, map[string]float64) {
				now := i.now()
				return i.lender.RemainingLoanTime(now), i.lender.ReleaseLevels(now)
			},
		},
		Lender: i.lender, Document: i.keeper.Document, Liveness: i.localLiveness,
		Get: i.store.Get, Put: i.store.Put, Now: i.now, Decisions: i.decisions,
		OnChange: func() { i.heartbeats.SendNow() },
	}
	i.heartbeats = &heartbeat.Sender{
		Members: i.memberList, Now: i.now, LocalMember: i.selfMember, Reports: i.reports, ConfirmedAge: i.keeper.SinceConfirmed,
		OnMessage: i.handlePeerState, SendHeartbeat: i.peers.SendHeartbeat, ExchangeMembers: i.peers.ExchangeMembers, Seeds: i.settings.Seeds, OnReply: i.seatRenewal.RecordReceivedPromise,
		Suspects: i.suspectsFor, HandleSuspects: i.dispatch.Suspects.Merge,
	}
	i.loadPoller = &poll.Poller{
		Address: i.PeerAddr(), Targets: i.localTargets, PeerAddresses: i.localAddresses,
		OnReport: i.picker.UpdateLoad, AfterRound: i.dispatch.AdmitWaiting, Now: i.now,
	}
}

// selfMember returns the member entry of this instance for its peers.
func (i *Instance) selfMember(now time.Time) *peer.Member {
	m := &peer.Member{
		Address: i.PeerAddr(), Callers: i.CallerAddr(), Operators: i.OperatorAddr(), Centre: i.settings.Centre(),
		Run: i.runID, Leaving: i.leaving.Load(), Revision: i.keeper.Revision(), Rooms: i.capacities(now),
	}
	for _, s := range i.seatRenewal.Seats() {
		m.Seats = append(m.Seats, int32(s))
	}
	return m
}

// capacities returns, for each route, the concurrent calls that the data
// centre's targets accept in total, and how many of these slots are in use.
func (i *Instance) capacities(now time.Time) []*peer.Room {
	d := i.keeper.Document()
	if d == nil {
		return nil
	}
	var capacities []*peer.Room
	for _, r := range d.Routes() {
		var serving []target.Target
		for _, t := range i.localTargets() {
			if t.Serves(r.Name()) {
				serving = append(serving, t)
			}
		}
		if free, total := i.picker.Capacity(now, serving); total > 0 {
			capacities = append(capacities, &peer.Room{Route: r.Name(), Slots: int32(total), Busy: int32(total - free)})
		}
	}
	return capacities
}

// reports returns the load reports of the targets that this instance polls.
func (i *Instance) reports(now time.Time) []*peer.Report {
	var list []*peer.Report
	for name, r := range i.loadPoller.RecentReports(now) {
		list = append(list, &peer.Report{
			Target: name, Age: now.Sub(r.At).Milliseconds(), Running: int32(r.Running), Queued: int32(r.Queued),
			Failed: r.Failed, Wait: r.QueueWait.Seconds(),
		})
	}
	return list
}

// handlePeerState processes the load reports and the configuration revision of
// a heartbeat or member list. It fetches the document from the sender if the
// sender's revision is newer. If both have the same revision, it takes over the
// sender's confirmation, which is confirmedAge old.
func (i *Instance) handlePeerState(now time.Time, from *peer.Member, revision int64, confirmedAge time.Duration, reports []*peer.Report) {
	for _, r := range reports {
		i.picker.UpdateLoad(r.GetTarget(), balancer.Report{
			At: now.Add(-time.Duration(r.GetAge()) * time.Millisecond), Running: int(r.GetRunning()), Queued: int(r.GetQueued()),
			Failed: r.GetFailed(), QueueWait: time.Duration(r.GetWait() * float64(time.Second)),
		})
	}
	switch {
	case revision > i.keeper.Revision():
		i.startFetch(from.GetAddress())
	case revision == i.keeper.Revision():
		i.keeper.Confirm(now, revision, confirmedAge)
	}
}

// localTargets returns the targets in the instance's data centre.
func (i *Instance) localTargets() []target.Target {
	d := i.keeper.Document()
	if d == nil {
		return nil
	}
	return slices.DeleteFunc(d.Targets(), func(t target.Target) bool { return t.Centre() != i.settings.Centre() })
}

// localAddresses returns the peer addresses of the other live instances in the
// data centre.
func (i *Instance) localAddresses(now time.Time) []string {
	var list []string
	for _, m := range i.memberList.LiveInCentre(now) {
		list = append(list, m.GetAddress())
	}
	return list
}

// localLiveness returns the liveness of the data centre's instances for the
// assignment of seats.
func (i *Instance) localLiveness(now time.Time) seat.Liveness {
	var liveness seat.Liveness
	for _, member := range i.memberList.LiveInCentre(now) {
		liveness.Alive = append(liveness.Alive, member.GetAddress())
		if len(member.GetSeats()) == 0 && !member.GetLeaving() {
			liveness.WithoutSeat = append(liveness.WithoutSeat, member.GetAddress())
		}
	}
	liveness.Unreachable = i.memberList.SilentInCentre(now, witnessTimeout)
	return liveness
}

// members returns all live instances, including this one.
func (i *Instance) members(now time.Time) []*peer.Member {
	return append(i.memberList.Live(now), i.selfMember(now))
}

// quotaHolders returns the live instances whose seats hold a share of the
// customer's quota, nearest first. The quota of a customer that is bound to a
// region stays in that region.
func (i *Instance) quotaHolders(customer string) []lender.Holder {
	d := i.keeper.Document()
	if d == nil {
		return nil
	}
	now := i.now()
	localRegion := d.Region(i.settings.Centre())
	type rankedHolder struct {
		holder   lender.Holder
		distance int
	}
	var found []rankedHolder
	for _, m := range i.memberList.Live(now) {
		share := 0.0
		for _, s := range m.GetSeats() {
			share += d.Share(customer, m.GetCentre(), int(s))
		}
		if share <= 0 {
			continue
		}
		found = append(found, rankedHolder{
			holder:   lender.Holder{Address: m.GetAddress()},
			distance: distance(m.GetCentre(), d.Region(m.GetCentre()), i.settings.Centre(), localRegion),
		})
	}
	slices.SortStableFunc(found, func(a, b rankedHolder) int { return cmp.Compare(a.distance, b.distance) })
	list := make([]lender.Holder, len(found))
	for n, f := range found {
		list[n] = f.holder
	}
	return list
}

// distance ranks a data centre by proximity: 0 for the local data centre, 1 for
// another one in the local region, 2 for one in another region.
func distance(centre, region, localCentre, localRegion string) int {
	switch {
	case centre == localCentre:
		return 0
	case region == localRegion:
		return 1
	}
	return 2
}

// remoteInstances returns one live instance, chosen at random, of each other
// data centre that serves the route. Instances that are leaving are left out. The
// nearest data centres come first, and among equally near ones those with more
// free slots.
func (i *Instance) remoteInstances(now time.Time, r route.Route) []dispatch.RemoteCentre {
	d := i.keeper.Document()
	if d == nil {
		return nil
	}
	localRegion := d.Region(i.settings.Centre())
	byCentre := make(map[string]dispatch.RemoteCentre)
	members := i.memberList.Live(now)
	mathrand.Shuffle(len(members), func(a, b int) { members[a], members[b] = members[b], members[a] })
	for _, m := range members {
		if m.GetCentre() == i.settings.Centre() || m.GetLeaving() {
			continue
		}
		if _, ok := byCentre[m.GetCentre()]; ok {
			continue
		}
		for _, capacity := range m.GetRooms() {
			if capacity.GetRoute() == r.Name() {
				byCentre[m.GetCentre()] = dispatch.RemoteCentre{
					Address: m.GetAddress(), Centre: m.GetCentre(), Region: d.Region(m.GetCentre()),
					FreeSlots: int(capacity.GetSlots() - capacity.GetBusy()),
				}
			}
		}
	}
	list := make([]dispatch.RemoteCentre, 0, len(byCentre))
	for _, remote := range byCentre {
		list = append(list, remote)
	}
	slices.SortFunc(list, func(a, b dispatch.RemoteCentre) int {
		return cmp.Or(
			cmp.Compare(distance(a.Centre, a.Region, i.settings.Centre(), localRegion), distance(b.Centre, b.Region, i.settings.Centre(), localRegion)),
			cmp.Compare(b.FreeSlots, a.FreeSlots),
			strings.Compare(a.Centre, b.Centre),
		)
	})
	return list
}

// logForwarded logs the outcome of a call that another instance forwarded.
func (i *Instance) logForwarded(c *call.Call, err error) {
	outcome := "answered"
	if err != nil {
		outcome = "not answered"
	}
	i.decisions.Record(decisionlog.Decision{
		Time: i.now(), RequestID: c.ID, Kind: "forwarded", Customer: c.Customer.Name(), Route: c.Route.Name(),
		Choice: outcome, Reason: "from " + c.OriginRegion, Target: c.Result.Target, Centre: i.settings.Centre(),
	})
}

// newPeerServer returns the gRPC server for requests from other instances. It
// uses no TLS if creds is nil.
func (i *Instance) newPeerServer(creds credentials.TransportCredentials) *grpc.Server {
	opts := []grpc.ServerOption{
		grpc.MaxRecvMsgSize(maxMessageBytes),
		grpc.MaxSendMsgSize(maxMessageBytes),
		grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{MinTime: time.Second, PermitWithoutStream: true}),
	}
	opts = append(opts, peerserver.Admission{Bodies: i.accept.Bodies}.Options()...)
	if creds != nil {
		opts = append(opts, grpc.Creds(creds))
	}
	s := grpc.NewServer(opts...)
	peer.RegisterLinkServer(s, &peerserver.Server{
		Lender: i.lender, Now: i.now, Document: i.keeper.FreshDocument, SendLoans: i.peers.SendLoans,
		OnHeartbeat: func(now time.Time, p *peer.Pulse) *peer.Pulse {
			i.heartbeats.ReceiveHeartbeat(now, p)
			if p.GetSelf().GetCentre() == i.settings.Centre() {
				i.seatRenewal.RecordGivenPromise(now, p.GetSelf().GetAddress())
			}
			return i.heartbeats.Heartbeat(now, p.GetSelf().GetAddress())
		},
		OnMemberList: func(now time.Time, r *peer.Roll) *peer.Roll {
			i.heartbeats.ReceiveMemberList(now, r)
			return i.heartbeats.MemberList(now, senderAddress(r))
		},
		OnFetch:        i.handleFetch,
		ServeForwarded: i.ServeForwarded,
	})
	return s
}

// notReadyReason returns the reason why the instance should receive no calls,
// or "" if it is ready.
func (i *Instance) notReadyReason() string {
	if i.leaving.Load() {
		return "leaving"
	}
	var r *refusal.Refusal
	if _, err := i.keeper.FreshDocument(); err != nil {
		if asRefusal(err, &r) {
			return r.Message
		}
		return err.Error()
	}
	return ""
}
