// Package edge runs one instance of the gateway, which routes requests by host and
// path. It connects the request pipeline to the store, the list of targets and the other
// instances.
package edge

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"google.golang.org/grpc"

	"chervilyard.example/chervilyard/abort"
	"chervilyard.example/chervilyard/decisionlog"
	"chervilyard.example/chervilyard/gateway"
	"chervilyard.example/chervilyard/gossip"
	"chervilyard.example/chervilyard/handover"
	"chervilyard.example/chervilyard/liveness"
	"chervilyard.example/chervilyard/meter"
	"chervilyard.example/chervilyard/pool"
	"chervilyard.example/yard/catalog"
	"chervilyard.example/yard/division"
	"chervilyard.example/yard/introduction"
	"chervilyard.example/yard/membership"
	"chervilyard.example/yard/membudget"
	"chervilyard.example/yard/pause"
	"chervilyard.example/yard/placement"
	"chervilyard.example/yard/ratelimit"
	"chervilyard.example/yard/reachability"
	"chervilyard.example/yard/retry"
	"chervilyard.example/yard/silence"
	"chervilyard.example/yard/steadyclock"
	"chervilyard.example/yard/suspect"
	"chervilyard.example/yard/target"
	"chervilyard.example/yard/targetrate"
	"chervilyard.example/yard/view"
)

// Config holds the settings and dependencies of an instance. All fields but Listen must
// be set.
type Config struct {
	Settings  Settings
	Store     Store
	Protocol  gateway.Protocol
	Decisions *decisionlog.Log
	Meter     *meter.Meter
	Now       func() time.Time
	// Listen listens on an address. If it is nil, net.Listen with TCP is used.
	Listen func(address string) (net.Listener, error)
	// Dial connects to targets and to the instances that requests are forwarded to. If it is
	// nil, pool.Dial is used.
	Dial func(ctx context.Context, address string) (net.Conn, error)
}

// Edge is a running instance. Start creates it and Stop shuts it down gracefully.
type Edge struct {
	settings  atomic.Pointer[Settings]
	store     Store
	decisions *decisionlog.Log
	meter     *meter.Meter
	now       func() time.Time
	clock     steadyclock.Clock // for times in the log that are compared with those of other instances
	runID     int64             // identifies this run of the instance
	started   time.Time

	gateway      gateway.Gateway
	picker       placement.Picker
	quota        ratelimit.Limiter
	division     atomic.Pointer[division.Division] // of the customers' limits; nil before a configuration is known
	refunds      refunds
	rates        targetrate.Ledger // limits that the region's targets named, by targetRunHash
	permits      permits           // for requests to them
	heardRegion  atomic.Bool       // a heartbeat of another instance of the region has arrived
	malformed    runSet            // runs that named a limit that cannot be read
	sizes        listedSizes
	introduction introduction.Tracker
	positions    positionHistory
	budget       retry.Budget
	memory       membudget.Budget // for requests
	memoryLog    memoryLog
	pool         pool.Pool
	memberTable  membership.Table
	gossiper     *gossip.Gossiper
	shares       shares // of customers in the capacity of engines

	views        map[string]*view.View                           // by part
	fetching     map[string]*atomic.Bool                         // by part; true while content is fetched from a peer
	applyLocks   map[string]*sync.Mutex                          // by part; held while the newest content of the part is applied
	apply        map[string]func(now time.Time, s view.Snapshot) // by part; puts a snapshot into effect
	parts        map[string]*partState                           // by part
	era          atomic.Int64                                    // latest known era of the store
	rollbackEnd  atomic.Pointer[time.Time]                       // of the last return of the store from an older copy; nil if there was none
	eraChanged   chan struct{}                                   // receives after a change of era
	catalog      atomic.Pointer[catalog.Catalog]
	catalogEra   int64 // of the catalog; used with the apply lock of the configuration held
	targets      targetList
	traffic      traffic
	remoteWaits  remoteWaits
	collector    tokenCollector
	probes       probes
	checks       targetChecks
	asking       proofRequests
	limitReached chan string                                         // names of targets to check now
	sendCheck    func(t target.Target, check *placement.HealthCheck) // in place of probe, if it is not nil
	suspects     suspect.Ledger
	suspectNews  chan struct{} // receives after this instance saw something new of suspects
	suspectWrite sync.Mutex    // held while the store's entry of suspects is written
	suspectRetry time.Time     // no write before it; used with suspectWrite held
	liveness     liveness.Checker
	reach        reachability.Monitor
	silence      silence.Monitor                   // of the hops to other instances
	unreached    atomic.Pointer[unreachedServices] // nil if there are none yet

	cutoff                      atomic.Pointer[time.Time] // when Stop cuts off open requests; nil until it is called
	ctx                         context.Context
	cancel                      context.CancelFunc
	taskDone                    []<-chan struct{} // each is closed when a server or background task has ended
	callerServer, forwardServer *http.Server      // for callers and for instances of other regions
	callerListener              net.Listener      // closed first on shutdown
	callerConns, forwardConns   handover.Tracker
	boundedConns                boundedConnections
	peerServer                  *grpc.Server
}

// Start opens the listeners and starts the servers and background tasks, which run until
// Stop is called. If ctx ends first, the background tasks end, but not the servers. If an
// address cannot be opened, Start closes the others and returns the error.
func Start(ctx context.Context, c Config) (*Edge, error) {
	e := &Edge{store: c.Store, decisions: c.Decisions, meter: c.Meter, now: c.Now, started: c.Now(), runID: membership.NewRun(c.Now(), rand.Int64()), eraChanged: make(chan struct{}, 1), suspectNews: make(chan struct{}, 1), limitReached: make(chan string, 64)}
	e.settings.Store(&c.Settings)
	e.pool.Dial, e.liveness.Dial = c.Dial, c.Dial
	e.ctx, e.cancel = context.WithCancel(ctx)
	listen := c.Listen
	if listen == nil {
		listen = func(address string) (net.Listener, error) { return net.Listen("tcp", address) }
	}
	var listeners []net.Listener
	for _, address := range []string{c.Settings.CallerAddr, c.Settings.ForwardAddr, c.Settings.PeerAddr} {
		l, err := listen(address)
		if err != nil {
			e.cancel()
			for _, open := range listeners {
				_ = open.Close() // the error of the address that failed is returned
			}
			return nil, fmt.Errorf("edge: listen: %w", err)
		}
		listeners = append(listeners, l)
	}
	e.buildViews()
	e.buildHeartbeats()
	e.buildSuspects()
	e.buildGateway(c.Protocol)
	e.buildMemory()
	e.startServers(listeners)
	return e, nil
}

// Reload replaces the settings. The listeners keep the addresses that they were started
// with.
func (e *Edge) Reload(s Settings) {
	e.settings.Store(&s)
	e.memory.SetLimit(e.now(), membudget.Share(s.MemoryLimitBytes))
	e.logDecision("settings", "reloaded", "")
}

// Settings returns the current settings.
func (e *Edge) Settings() Settings { return *e.settings.Load() }

func (e *Edge) buildGateway(protocol gateway.Protocol) {
	s := e.Settings()
	e.pool.OnDial = func(string) { e.meter.CountConnection() }
	g := &e.gateway
	g.Protocol, g.Now, g.Region, g.Name = protocol, e.now, s.Region, s.Name
	g.Stamp = e.clock.Stamp
	g.Catalog = e.catalog.Load
	g.AwaitReady = e.awaitContentLoaded
	g.Targets = e.usable
	g.ColdShare = e.coldTargetShare
	g.Remotes = e.remoteInstances
	g.OnRemoteLeaving = e.recordLeaving
	g.OnTargetLeaving = e.recordTargetLeaving
	g.OnRateLimit = e.recordRateLimit
	g.ObtainPermit = e.obtainPermit
	e.picker.RateLimit = e.rateLimit
	g.PreferredTarget = e.preferredTarget
	g.WaitReportAge, g.RateLimit = e.waitReportAge, e.namedRateLimit
	g.StateAges = func(now time.Time) (time.Duration, time.Duration) {
		configuration, _ := e.views[PartConfiguration].Age(now)
		targets, _ := e.views[PartTargets].Age(now)
		return configuration, targets
	}
	g.RetrySharers = e.retrySharers
	g.RetryLimits = func() retry.Limits { return e.Settings().RetryLimits }
	g.Picker, g.Limiter, g.RetryBudget, g.Pool, g.Decisions = &e.picker, &e.quota, &e.budget, &e.pool, e.decisions
	g.Metrics = gateway.Metrics{
		Forwarded: func(bytes int) { e.countPeerMessage("forward", true, bytes) },
		Retry:     e.meter.CountRetry, LatencyTrial: e.meter.CountLatencyTrial, ResponseEnd: e.meter.CountResponseEnd, AttemptBroken: e.meter.CountBrokenAttempt, PartRefused: e.meter.CountPartRefusal, RequestedWait: e.meter.CountRequestedWait, CapacityRefused: e.meter.ObserveCapacityRefusal,
		RequestDone: func(route, code string, status int, duration, firstByte time.Duration) {
			e.traffic.count(e.now(), route)
			e.meter.ObserveRequest(route, code, status, duration, firstByte)
		},
	}
	g.Shares, e.shares.ledger.Weight = &e.shares.ledger, e.customerWeight
	g.CollectTokens, g.RefundTokens = e.collectTokens, e.refundTokens
	g.OnSuspectedRestart = e.probeSuspect
	e.picker.OnSuspected = func(_ time.Time, name string, o placement.Outcome) {
		cause := "its connection broke"
		if o == placement.Unreachable {
			cause = "not reached"
		}
		e.logDecision("target", "suspected", name+": "+cause)
	}
	e.picker.OnOutlier = e.recordOutlier
	e.picker.OnLimitReached = func(name string) {
		select {
		case e.limitReached <- name:
		default: // the check at the next interval has to do
		}
	}
	e.picker.OnDismissed = func(_ time.Time, name string) {
		e.logDecision("target", "dismissed", name+": the list still has the run")
	}
	g.Suspects, g.TargetEnded, g.TrialRank, g.ClaimTrial = &e.suspects, e.targetEnded, e.trialRank, e.claimTrial
	g.OnConnFailed, g.OnConnAnswered, g.OnSilent, g.IsCutOff = e.recordConnFailed, e.recordConnAnswered, e.checkSilent, e.isCutOff
	g.Silence, g.HeartbeatsMissing, g.OnHopSilent, g.Member = &e.silence, e.heartbeatsMissing, e.recordHopSilent, e.memberTable.Get
	g.RoundTrip = e.hopRoundTrip
	g.SuspectsKnown = e.suspectsLoaded
	g.Random = rand.Float64
	g.Cutoff = func() (time.Time, bool) {
		cutoff := e.cutoff.Load()
		if cutoff == nil {
			return time.Time{}, false
		}
		return *cutoff, true
	}
	e.meter.Gauge("chervil_open_requests", func() float64 { return float64(g.InFlight()) })
	e.meter.Gauge("chervil_log_shed", func() float64 { return float64(e.decisions.Dropped()) })
	e.meter.Gauge("chervil_blocked_parts", func() float64 { return float64(e.suspects.Blocked()) })
	e.meter.Gauge("chervil_ejected_targets", func() float64 { return float64(e.picker.Ejected()) })
	e.meter.Gauge("chervil_target_limits", func() float64 { return float64(e.rates.InEffect()) })
	e.meter.Gauge("chervil_services_unreached", func() float64 {
		if u := e.unreached.Load(); u != nil {
			return float64(len(u.names))
		}
		return 0
	})
	e.meter.Gauge("chervil_capacity_short", func() float64 {
		if e.shares.ledger.Short(e.now()) {
			return 1
		}
		return 0
	})
	e.meter.Gauge("chervil_lists_old", func() float64 {
		if e.knowledgeIsOld(e.now()) {
			return 1
		}
		return 0
	})
	e.meter.Gauge("chervil_members", func() float64 { return float64(len(e.memberTable.Live(e.now(), liveTimeout))) })
	for name, v := range e.views {
		e.meter.Gauge(fmt.Sprintf("chervil_view_age_seconds{part=%q}", name), func() float64 {
			age, _ := v.Age(e.now())
			return age.Seconds()
		})
	}
}

// countPeerMessage counts a message to another instance by its kind and by whether that is
// of another region.
func (e *Edge) countPeerMessage(kind string, remote bool, bytes int) {
	if remote {
		kind += "_remote"
	}
	e.meter.CountPeerMessage(kind, bytes)
}

const (
	contentPollInterval = 10 * time.Millisecond // between two checks for the first configuration and target list
	readHeaderTimeout   = 3 * time.Second       // to read the header of a forwarded request
	idleTimeout         = 60 * time.Second      // of an idle connection of another instance
	// forwardHeaderReserve is the size of the fields that an instance adds to the header of
	// a request that it forwards.
	forwardHeaderReserve = 48 << 10
)

// startServers starts the servers and the background tasks. The listeners are those for
// callers, forwarded requests and peers, in this order.
func (e *Edge) startServers(listeners []net.Listener) {
	e.callerConns.Now, e.forwardConns.Now = e.now, e.now
	e.callerListener = e.callerConns.Listener(listeners[0])
	e.callerServer = &http.Server{Handler: abort.Handler(&e.gateway)}
	e.buildConnections()
	e.forwardServer = &http.Server{
		Handler: http.HandlerFunc(e.gateway.ServeForwarded), ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: largestHeaderLimit + forwardHeaderReserve,
		ConnState: e.forwardConns.ConnState, ConnContext: e.forwardConns.ConnContext,
	}
	e.peerServer = gossip.NewServer(e.gossiper, e.content)
	e.taskDone = append(e.taskDone, e.serve("callers", func() error { return e.callerServer.Serve(e.callerListener) }),
		e.serve("forwarded", func() error { return e.forwardServer.Serve(e.forwardConns.Listener(keepAliveListener{listeners[1]})) }),
		e.serve("peers", func() error { return e.peerServer.Serve(listeners[2]) }),
		e.gossiper.Run(e.ctx),
		e.announce(e.ctx),
		e.keepSuspects(e.ctx),
		e.confirmIssuers(e.ctx),
		e.keepChecking(e.ctx),
		e.keepConnectionsBounded(e.ctx),
		e.maintain(e.ctx))
	for _, r := range e.readers() {
		e.taskDone = append(e.taskDone, r.Run(e.ctx))
	}
	e.logDecision("instance", "started", "listening for callers at "+e.Settings().CallerAddr)
}

// serve runs a server in the background and closes the returned channel when it ends.
func (e *Edge) serve(name string, run func() error) <-chan struct{} {
	done := make(chan struct{})
	go func() {
		defer close(done)
		if err := run(); err != nil && !e.leaving() {
			e.logDecision("server", "ended", name+": "+err.Error())
		}
	}()
	return done
}

// maintain runs the periodic maintenance until the context ends.
func (e *Edge) maintain(ctx context.Context) <-chan struct{} {
	logged := false
	return pause.Every(ctx, maintenanceInterval, func() {
		now := e.now()
		if !logged && e.introduced(now) {
			logged = true
			e.logIntroduction(now)
		}
		e.pool.CloseExpired(now)
		e.endRollbacks(now)
		e.targets.leaving.evict(now)
		e.reach.Retain(func(name string) bool { _, ok := e.targets.get(name); return ok })
		e.evictRates(now)
		e.divideQuota(now)
		e.coldTargetShare(now) // keeps the history of positions current without requests
		e.refreshTargets(now)
	})
}

// divideQuota divides the customers' limits among the known instances.
func (e *Edge) divideQuota(now time.Time) {
	c := e.catalog.Load()
	if c == nil {
		return
	}
	quotaLimits := make(map[string]ratelimit.Limits, len(c.Customers()))
	for name, limits := range c.Customers() {
		quotaLimits[name] = ratelimit.Limits{Rate: limits.Rate(), Burst: limits.Burst()}
	}
	d := division.New(e.self(now), e.sharingMembers(now), e.leastFleetSize(now))
	e.division.Store(&d)
	e.quota.SetShares(now, quotaLimits, d.Share)
	e.refunds.retain(func(member string) bool {
		_, ok := e.memberTable.Get(member)
		return ok
	})
}

// retrySharers returns the number of instances that share the extra retries, or 0 if this
// one knows neither another instance nor the store's list of them.
func (e *Edge) retrySharers(now time.Time) int {
	others := len(e.sharingMembers(now))
	if others == 0 && !e.views[PartMembers].Loaded() {
		return 0
	}
	return max(1+others, e.leastFleetSize(now))
}

// sharingMembers returns the other members that may use a share of fleet-wide limits:
// those heard within shareRetention, since silent ones may still serve requests, and those
// known only from the store.
func (e *Edge) sharingMembers(now time.Time) []membership.Member {
	return slices.DeleteFunc(e.memberTable.All(), func(m membership.Member) bool {
		return !m.Heard.IsZero() && now.Sub(m.Heard) > shareRetention
	})
}

// leaving reports whether Stop has been called.
func (e *Edge) leaving() bool { return e.cutoff.Load() != nil }

// Ready reports whether the instance should get requests: it is not stopping, and the
// configuration and the targets are known.
func (e *Edge) Ready() bool {
	return !e.leaving() && e.contentLoaded()
}

// contentLoaded reports whether the configuration, the targets and the suspects are known, and
// the limits that targets named: those come with heartbeats of the region, if it has other
// instances.
func (e *Edge) contentLoaded() bool {
	return e.catalog.Load() != nil && e.views[PartTargets].Loaded() && e.suspectsLoaded() &&
		(e.heardRegion.Load() || e.now().Sub(e.started) >= introduction.Period)
}

// awaitContentLoaded waits until the configuration and the targets are known or the
// context ends.
func (e *Edge) awaitContentLoaded(ctx context.Context) {
	ticker := time.NewTicker(contentPollInterval)
	defer ticker.Stop()
	for !e.contentLoaded() {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// usable returns the region's targets of a service that may get requests.
func (e *Edge) usable(_ time.Time, service string) []target.Target { return e.targets.usable(service) }

func (e *Edge) logDecision(kind, choice, reason string) {
	e.decisions.Record(decisionlog.Decision{Time: e.now(), Kind: kind, Choice: choice, Reason: reason, Centre: e.Settings().Centre})
}
