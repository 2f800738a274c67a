// Package instance runs one instance of the gateway. It connects the stages of
// request processing with the background tasks that they depend on.
package instance

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials"

	"chervilyard.example/chervilyard/abort"
	"chervilyard.example/chervilyard/accept"
	"chervilyard.example/chervilyard/admit"
	"chervilyard.example/chervilyard/authenticate"
	"chervilyard.example/chervilyard/config"
	"chervilyard.example/chervilyard/decisionlog"
	"chervilyard.example/chervilyard/dispatch"
	"chervilyard.example/chervilyard/handover"
	"chervilyard.example/chervilyard/heartbeat"
	"chervilyard.example/chervilyard/idempotency"
	"chervilyard.example/chervilyard/liveness"
	"chervilyard.example/chervilyard/locate"
	"chervilyard.example/chervilyard/meter"
	"chervilyard.example/chervilyard/peerclient"
	"chervilyard.example/chervilyard/poll"
	"chervilyard.example/chervilyard/rebalance"
	"chervilyard.example/chervilyard/renewal"
	"chervilyard.example/chervilyard/reqbody"
	"chervilyard.example/chervilyard/resolve"
	"chervilyard.example/chervilyard/session"
	"chervilyard.example/chervilyard/settle"
	"chervilyard.example/chervilyard/targetclient"
	"chervilyard.example/yard/balancer"
	"chervilyard.example/yard/claim"
	"chervilyard.example/yard/lender"
	"chervilyard.example/yard/memberlist"
	"chervilyard.example/yard/membudget"
	"chervilyard.example/yard/setting"
	"chervilyard.example/yard/store"
)

// Instance is one running gateway instance. Start creates it and Stop shuts it
// down gracefully. Its methods are safe for concurrent use.
type Instance struct {
	settings setting.Settings
	log      hclog.Logger
	runID    int64 // start time in Unix nanoseconds; differs for each run
	clock    func() time.Time

	store        *store.Client
	keeper       *config.Keeper
	memberList   *memberlist.List
	lender       *lender.Lender
	picker       *balancer.Picker
	ledger       *claim.Ledger
	peers        *peerclient.Client
	sessions     *session.Registry
	decisions    *decisionlog.Log
	memory       membudget.Budget // for requests of callers
	meter        *meter.Meter
	targetClient *targetclient.Client
	liveness     liveness.Checker
	locator      *locate.Finder

	accept       accept.Stage
	authenticate authenticate.Stage
	resolve      resolve.Stage
	admit        admit.Stage
	idempotency  idempotency.Stage
	dispatch     dispatch.Stage
	settle       settle.Stage

	heartbeats  *heartbeat.Sender
	seatRenewal *renewal.Renewer
	loadPoller  *poll.Poller

	callerListener   net.Listener
	peerListener     net.Listener
	operatorListener net.Listener
	callerServer     *http.Server
	callerConns      handover.Tracker
	operatorConns    handover.Tracker
	operatorServer   *http.Server
	peerServer       *grpc.Server

	openCalls atomic.Int64
	leaving   atomic.Bool // set from the start of a graceful stop
	// cutoff is when a graceful stop cuts open calls; nil until it starts.
	cutoff atomic.Pointer[time.Time]
	// fetching is set while a newer document is being fetched from a peer.
	fetching      atomic.Bool
	refusingCalls atomic.Bool            // set after the handover of a graceful stop
	region        atomic.Pointer[string] // nil until there is a document
	cancel        context.CancelFunc
	doneChans     []<-chan struct{} // each is closed when a server or task has ended
	stopOnce      sync.Once
}

// Start opens the listeners and starts the servers and background tasks. The
// background tasks end when ctx is cancelled; use Stop for a graceful shutdown.
// Start fails if it cannot listen on an address or read the TLS files.
func Start(ctx context.Context, s setting.Settings, log hclog.Logger) (*Instance, error) {
	i := &Instance{settings: s, log: log, runID: time.Now().UnixNano(), clock: time.Now}
	if err := i.listen(); err != nil {
		return nil, err
	}
	creds, err := peerCredentials(s.TLS())
	if err != nil {
		i.closeListeners()
		return nil, err
	}
	i.build(creds)
	ctx, i.cancel = context.WithCancel(ctx)
	i.startServing(ctx, creds)
	return i, nil
}

// CallerAddr returns the host and port on which the instance serves callers.
func (i *Instance) CallerAddr() string { return i.callerListener.Addr().String() }

// PeerAddr returns the host and port on which the instance serves other
// instances.
func (i *Instance) PeerAddr() string { return i.peerListener.Addr().String() }

// OperatorAddr returns the host and port that serve metrics, health and status.
func (i *Instance) OperatorAddr() string { return i.operatorListener.Addr().String() }

func (i *Instance) now() time.Time { return i.clock() }

func (i *Instance) listen() error {
	for _, spec := range []struct {
		dst     *net.Listener
		address string
		name    string
	}{
		{&i.callerListener, i.settings.CallerAddr(), "callers"},
		{&i.peerListener, i.settings.PeerAddr(), "peers"},
		{&i.operatorListener, i.settings.OperatorAddr(), "operators"},
	} {
		l, err := net.Listen("tcp", spec.address)
		if err != nil {
			i.closeListeners()
			return fmt.Errorf("instance: listen for %s: %w", spec.name, err)
		}
		*spec.dst = l
	}
	return nil
}

func (i *Instance) closeListeners() {
	for _, l := range []net.Listener{i.callerListener, i.peerListener, i.operatorListener} {
		if l != nil {
			_ = l.Close() // it may be closed already
		}
	}
}

// build creates the components and connects them. It starts nothing.
func (i *Instance) build(creds credentials.TransportCredentials) {
	s := i.settings
	i.meter = meter.New()
	i.store = store.New(s.StoreURL())
	i.store.OnCall = i.meter.CountStoreCall
	i.decisions = decisionlog.New(i.log)
	i.sessions = &session.Registry{CloseIdle: func(c net.Conn) { i.callerConns.CloseConnIfIdle(i.now(), c) }}
	i.targetClient = targetclient.New()
	i.boundTargetConnections()
	i.memberList = &memberlist.List{Self: i.PeerAddr(), Centre: s.Centre(), LocalTimeout: localMemberTimeout, RemoteTimeout: remoteMemberTimeout, EvictAfter: memberRetention}
	i.lender = &lender.Lender{Address: i.PeerAddr(), Centre: s.Centre(), Holders: i.quotaHolders, NewID: randomLoanID}
	i.picker = &balancer.Picker{Random: rand.IntN}
	i.memory.SetLimit(i.now(), membudget.Share(int64(s.Limits().MemoryBytes)))
	bodies := reqbody.Reader{Budget: &i.memory, Now: i.now, OnRefused: func(_ time.Time, err *reqbody.Error) {
		i.meter.CountBodyRefusal(err.Kind.String(), err.Reason)
	}}
	i.accept.Bodies = bodies
	i.peers = &peerclient.Client{Credentials: creds, Lender: i.lender, Now: i.now, OnSend: i.meter.CountPeerMessage, Bodies: bodies}
	i.ledger = i.newLedger()
	i.keeper = i.newKeeper()
	i.locator = &locate.Finder{Centre: s.Centre(), Region: i.regionName, Members: i.members}
	i.buildStages()
	i.buildTasks()
	i.registerGauges()
}

// randomLoanID returns a random identifier of a loan, which is never 0.
func randomLoanID() uint64 {
	for {
		if n := rand.Uint64(); n != 0 {
			return n
		}
	}
}

func (i *Instance) buildStages() {
	limits := i.settings.Limits()
	i.accept = accept.Stage{
		MaxBodyBytes: limits.MaxBodyBytes, ReadTimeout: limits.ReadTimeout, WriteTimeout: limits.WriteTimeout, Region: i.regionName,
		Bodies: i.accept.Bodies,
	}
	i.resolve = resolve.Stage{Region: i.regionName}
	i.authenticate = authenticate.Stage{Document: i.keeper.FreshDocument}
	i.admit = admit.Stage{
		Lender: i.lender, SendLoansAndWait: i.peers.SendLoansAndWait, SendLoans: i.peers.SendLoans,
		Now: i.now, Decisions: i.decisions, CountRefusal: i.meter.CountQuotaRefusal,
	}
	i.idempotency = idempotency.Stage{Ledger: i.ledger, Now: i.now, Decisions: i.decisions, MaxRecordedBytes: limits.MaxStoredResponseBytes}
	i.dispatch.Centre = i.settings.Centre()
	i.dispatch.Memory = &i.memory
	i.dispatch.Document = i.keeper.Document
	i.dispatch.Picker = i.picker
	i.dispatch.RetryBudget = newBudget()
	i.dispatch.Decisions = i.decisions
	i.dispatch.Now = i.now
	i.dispatch.MaxWaitingPerCustomer = limits.MaxQueuedPerCustomer
	i.dispatch.Remotes = i.remoteInstances
	i.dispatch.Forward = i.peers.Forward
	i.dispatch.Send = i.targetClient.Send
	i.buildSuspects()
	i.settle = settle.Stage{
		Lender: i.lender, SendLoans: i.peers.SendLoans, Now: i.now, Decisions: i.decisions, Meter: i.meter, Centre: i.settings.Centre(),
	}
}

// regionName returns the region of the data centre in the active document, or
// "" if there is no document yet.
func (i *Instance) regionName() string {
	if r := i.region.Load(); r != nil {
		return *r
	}
	return ""
}

// acquireSlot counts a call as open and reports whether the limit of concurrent
// calls allows it. The slot is freed by releaseSlot.
func (i *Instance) acquireSlot() bool {
	if i.openCalls.Add(1) > int64(i.settings.Limits().MaxConcurrentRequests) {
		i.openCalls.Add(-1)
		return false
	}
	return true
}

func (i *Instance) releaseSlot() { i.openCalls.Add(-1) }

// refusesCalls reports whether the instance refuses new calls.
func (i *Instance) refusesCalls() bool { return i.refusingCalls.Load() }

// startServing starts the servers and background tasks.
func (i *Instance) startServing(ctx context.Context, creds credentials.TransportCredentials) {
	limits := i.settings.Limits()
	i.callerServer = &http.Server{
		Handler:           abort.Handler(i),
		ReadHeaderTimeout: limits.ReadTimeout,
		IdleTimeout:       limits.IdleTimeout,
		MaxHeaderBytes:    limits.MaxHeaderBytes,
		ConnContext:       i.sessions.ConnContext,
		ConnState:         i.sessions.ConnState,
		ErrorLog:          i.log.Named("http").StandardLogger(&hclog.StandardLoggerOptions{ForceLevel: hclog.Debug}),
	}
	i.operatorServer = &http.Server{Handler: i.operatorsHandler(), ReadHeaderTimeout: limits.ReadTimeout}
	i.boundConnections(kindCallers, callerShare, &i.callerConns, i.callerServer)
	i.boundConnections(kindOperators, operatorShare, &i.operatorConns, i.operatorServer)
	i.peerServer = i.newPeerServer(creds)
	i.doneChans = append(i.doneChans,
		runServer(func() error { return i.callerServer.Serve(i.callerConns.Listener(i.callerListener)) }, i.log, "callers"),
		runServer(func() error { return i.operatorServer.Serve(i.operatorConns.Listener(i.operatorListener)) }, i.log, "operators"),
		runServer(func() error { return i.peerServer.Serve(i.peerListener) }, i.log, "peers"),
		i.decisions.Run(ctx),
		i.ledger.Start(ctx),
		i.keeper.Run(ctx),
		i.heartbeats.Run(ctx),
		i.seatRenewal.Run(ctx),
		i.loadPoller.Run(ctx),
		i.targetClient.RunIdleSweep(ctx),
		(&rebalance.Rebalancer{Lender: i.lender, SendLoans: i.peers.SendLoans, Now: i.now, Decisions: i.decisions}).Run(ctx),
		i.publish(ctx),
		i.keepConnectionsBounded(ctx),
	)
}

// runServer runs a server in a goroutine and returns a channel that is closed
// when the server has ended.
func runServer(run func() error, log hclog.Logger, name string) <-chan struct{} {
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		if err := run(); err != nil && !errors.Is(err, http.ErrServerClosed) {
			log.Error("server ended with an error", "server", name, "error", err.Error())
		}
	}()
	return ended
}

// Stop shuts the instance down gracefully. It announces the departure to peers
// and callers, waits for open calls to finish, and returns borrowed quota and
// held seats. Open calls are cut when ctx ends, or at the shutdown timeout of the
// settings. Later calls only wait for the first one.
func (i *Instance) Stop(ctx context.Context) {
	i.stopOnce.Do(func() { i.stop(ctx) })
}

func (i *Instance) stop(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, i.settings.Limits().ShutdownTimeout)
	defer cancel()
	i.log.Info("leaving", "open", i.openCalls.Load())
	if cutoff, ok := ctx.Deadline(); ok {
		i.cutoff.Store(&cutoff)
	}
	i.leaving.Store(true)
	i.heartbeats.AnnounceLeaving(ctx)
	i.serveHandover(ctx)
	i.refusingCalls.Store(true)
	i.drain(ctx)
	i.peers.SendLoansAndWait(ctx, i.lender.ReturnAllLoans(i.now()))
	if err := i.seatRenewal.Release(ctx); err != nil {
		i.log.Warn("seats not released; their leases will expire", "error", err.Error())
	}
	i.unpublish(ctx)
	i.close()
}

// serveHandover keeps accepting calls until handoverTimeout, by which time
// callers have dropped cached answers of /locate that name this instance. It
// returns earlier if no call was open for handoverIdleTicks ticks or ctx ends.
func (i *Instance) serveHandover(ctx context.Context) {
	timeout := handoverTimeout
	if end, ok := ctx.Deadline(); ok {
		timeout = min(timeout, end.Sub(i.now())/2) // leave the other half for draining open calls
	}
	deadline := time.NewTimer(timeout)
	defer deadline.Stop()
	ticker := time.NewTicker(drainPollInterval)
	defer ticker.Stop()
	idleTicks := 0
	for {
		select {
		case <-ctx.Done():
			return
		case <-deadline.C:
			return
		case <-ticker.C:
			idleTicks++
			if i.openCalls.Load() > 0 {
				idleTicks = 0
			}
			if idleTicks >= handoverIdleTicks {
				return
			}
		}
	}
}

// drain waits until no call is open or ctx ends.
func (i *Instance) drain(ctx context.Context) {
	for i.openCalls.Load() > 0 {
		select {
		case <-ctx.Done():
			i.log.Warn("drain time limit exceeded; cutting the open calls", "open", i.openCalls.Load())
			return
		case <-time.After(drainPollInterval):
		}
	}
}

// closeIdleConns closes the listener for callers, and then their connections as they
// become idle, until none is open, idleConnTimeout has passed or ctx ends. Shutdown of
// http.Server would drop calls that it reads from then on.
func (i *Instance) closeIdleConns(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, idleConnTimeout)
	defer cancel()
	_ = i.callerListener.Close() // it may be closed already
	for i.callerConns.CloseIdle(i.now()) > 0 {
		select {
		case <-ctx.Done():
			return
		case <-time.After(drainPollInterval):
		}
	}
}

// close stops the servers and background tasks and waits for them to end, for
// at most closeTimeout.
func (i *Instance) close() {
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	i.closeIdleConns(ctx)
	_ = i.callerServer.Close() // calls still open after drain are cut
	i.peerServer.Stop()
	i.cancel()
	_ = i.operatorServer.Close() // operators' requests need no graceful end
	i.peers.Close()
	i.targetClient.CloseIdle()
	for _, ended := range i.doneChans {
		select {
		case <-ended:
		case <-ctx.Done():
			i.log.Warn("a server or background task did not end in time")
			return
		}
	}
	i.log.Info("stopped")
}
