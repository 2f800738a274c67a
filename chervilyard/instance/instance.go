// Package instance is one entry instance of the gateway: it joins the stages of
// a request and the duties beside them.
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

	"chervilyard.example/chervilyard/accept"
	"chervilyard.example/chervilyard/admit"
	"chervilyard.example/chervilyard/authenticate"
	"chervilyard.example/chervilyard/beat"
	"chervilyard.example/chervilyard/config"
	"chervilyard.example/chervilyard/dispatch"
	"chervilyard.example/chervilyard/journal"
	"chervilyard.example/chervilyard/lend"
	"chervilyard.example/chervilyard/link"
	"chervilyard.example/chervilyard/locate"
	"chervilyard.example/chervilyard/meter"
	"chervilyard.example/chervilyard/once"
	"chervilyard.example/chervilyard/outbound"
	"chervilyard.example/chervilyard/poll"
	"chervilyard.example/chervilyard/renewal"
	"chervilyard.example/chervilyard/resolve"
	"chervilyard.example/chervilyard/session"
	"chervilyard.example/chervilyard/settle"
	"chervilyard.example/yard/choice"
	"chervilyard.example/yard/claim"
	"chervilyard.example/yard/lender"
	"chervilyard.example/yard/roster"
	"chervilyard.example/yard/setting"
	"chervilyard.example/yard/store"
)

// Instance is one running instance. Start makes it; Stop ends it gracefully.
type Instance struct {
	settings setting.Settings
	log      hclog.Logger
	run      int64
	clock    func() time.Time

	store    *store.Client
	keeper   *config.Keeper
	roster   *roster.Roster
	lender   *lender.Lender
	picker   *choice.Picker
	ledger   *claim.Ledger
	link     *link.Link
	sessions *session.Registry
	journal  *journal.Journal
	meter    *meter.Meter
	outbound *outbound.Client
	finder   *locate.Finder

	accept       accept.Stage
	authenticate authenticate.Stage
	resolve      resolve.Stage
	admit        admit.Stage
	once         once.Stage
	dispatch     dispatch.Stage
	settle       settle.Stage

	beats *beat.Duty
	seats *renewal.Duty
	polls *poll.Duty

	callers      net.Listener
	peers        net.Listener
	operators    net.Listener
	web          *http.Server
	operatorsWeb *http.Server
	rpc          *grpc.Server

	open    atomic.Int64
	leaving atomic.Bool
	// fetching is set while a newer document is on its way from a peer.
	fetching atomic.Bool
	shut     atomic.Bool
	region   atomic.Pointer[string]
	cancel   context.CancelFunc
	ends     []<-chan struct{}
	once1    sync.Once
}

// Start listens and begins all duties. The context ends the instance at once;
// Stop ends it gracefully.
func Start(ctx context.Context, s setting.Settings, log hclog.Logger) (*Instance, error) {
	i := &Instance{settings: s, log: log, run: time.Now().UnixNano(), clock: time.Now}
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
	i.begin(ctx, creds)
	return i, nil
}

// Callers returns the address that callers reach.
func (i *Instance) Callers() string { return i.callers.Addr().String() }

// Peers returns the address that other instances reach.
func (i *Instance) Peers() string { return i.peers.Addr().String() }

// Operators returns the address of metrics and health.
func (i *Instance) Operators() string { return i.operators.Addr().String() }

func (i *Instance) now() time.Time { return i.clock() }

func (i *Instance) listen() error {
	for _, one := range []struct {
		to      *net.Listener
		address string
		name    string
	}{
		{&i.callers, i.settings.Callers(), "callers"},
		{&i.peers, i.settings.Peers(), "peers"},
		{&i.operators, i.settings.Operators(), "operators"},
	} {
		l, err := net.Listen("tcp", one.address)
		if err != nil {
			i.closeListeners()
			return fmt.Errorf("instance: listen for %s: %w", one.name, err)
		}
		*one.to = l
	}
	return nil
}

func (i *Instance) closeListeners() {
	for _, l := range []net.Listener{i.callers, i.peers, i.operators} {
		if l != nil {
			_ = l.Close() // it may be closed already
		}
	}
}

// build makes the parts and joins them; nothing runs yet.
func (i *Instance) build(creds credentials.TransportCredentials) {
	s := i.settings
	i.meter = meter.New()
	i.store = store.New(s.Store())
	i.store.Calls = i.meter.Store
	i.journal = journal.New(i.log)
	i.sessions = &session.Registry{}
	i.outbound = outbound.New()
	i.roster = &roster.Roster{Self: i.Peers(), Centre: s.Centre(), Silent: silentTime, Far: farTime, Forget: forgetTime}
	i.lender = &lender.Lender{Address: i.Peers(), Centre: s.Centre(), Holders: i.holders, Random: nonZero}
	i.picker = &choice.Picker{Random: rand.IntN}
	i.link = &link.Link{Credentials: creds, Lender: i.lender, Now: i.now, Sent: i.meter.Sent}
	i.ledger = i.newLedger()
	i.keeper = i.newKeeper()
	i.finder = &locate.Finder{Centre: s.Centre(), Region: i.regionName, Members: i.members}
	i.buildStages()
	i.buildDuties()
	i.registerGauges()
}

func nonZero() uint64 {
	for {
		if n := rand.Uint64(); n != 0 {
			return n
		}
	}
}

func (i *Instance) buildStages() {
	limits := i.settings.Limits()
	i.accept = accept.Stage{Body: limits.Body, Read: limits.Read, Write: limits.Write, Region: i.regionName}
	i.resolve = resolve.Stage{Region: i.regionName}
	i.authenticate = authenticate.Stage{Document: i.keeper.Usable}
	i.admit = admit.Stage{
		Lender: i.lender, Exchange: i.link.Exchange, Deliver: i.link.Deliver,
		Now: i.now, Journal: i.journal, Refused: i.meter.Refused,
	}
	i.once = once.Stage{Ledger: i.ledger, Now: i.now, Journal: i.journal, Outcome: limits.Outcome}
	i.dispatch.Centre = i.settings.Centre()
	i.dispatch.Document = i.keeper.Document
	i.dispatch.Picker = i.picker
	i.dispatch.Budget = newBudget()
	i.dispatch.Journal = i.journal
	i.dispatch.Now = i.now
	i.dispatch.Bound = limits.Queue
	i.dispatch.Remotes = i.remotes
	i.dispatch.Forward = i.link.Forward
	i.dispatch.Send = i.outbound.Send
	i.settle = settle.Stage{
		Lender: i.lender, Deliver: i.link.Deliver, Now: i.now, Journal: i.journal, Meter: i.meter, Centre: i.settings.Centre(),
	}
}

// regionName returns the region of the data centre by the document in force.
func (i *Instance) regionName() string {
	if r := i.region.Load(); r != nil {
		return *r
	}
	return ""
}

// enter counts a call in, unless the instance holds as many as it may.
func (i *Instance) enter() bool {
	if i.open.Add(1) > int64(i.settings.Limits().Calls) {
		i.open.Add(-1)
		return false
	}
	return true
}

func (i *Instance) leave() { i.open.Add(-1) }

// closed reports whether new calls are refused.
func (i *Instance) closed() bool { return i.shut.Load() }

// begin starts the servers and duties.
func (i *Instance) begin(ctx context.Context, creds credentials.TransportCredentials) {
	limits := i.settings.Limits()
	i.web = &http.Server{
		Handler:           i,
		ReadHeaderTimeout: limits.Read,
		IdleTimeout:       limits.Idle,
		MaxHeaderBytes:    limits.Header,
		ConnContext:       i.sessions.Context,
		ConnState:         i.sessions.State,
		ErrorLog:          i.log.Named("http").StandardLogger(&hclog.StandardLoggerOptions{ForceLevel: hclog.Debug}),
	}
	i.operatorsWeb = &http.Server{Handler: i.operatorsHandler(), ReadHeaderTimeout: limits.Read}
	i.rpc = i.newRPC(creds)
	i.ends = append(i.ends,
		serve(func() error { return i.web.Serve(i.callers) }, i.log, "callers"),
		serve(func() error { return i.operatorsWeb.Serve(i.operators) }, i.log, "operators"),
		serve(func() error { return i.rpc.Serve(i.peers) }, i.log, "peers"),
		i.journal.Run(ctx),
		i.ledger.Start(ctx),
		i.keeper.Run(ctx),
		i.beats.Run(ctx),
		i.seats.Run(ctx),
		i.polls.Run(ctx),
		i.outbound.Run(ctx),
		(&lend.Duty{Lender: i.lender, Deliver: i.link.Deliver, Now: i.now, Journal: i.journal}).Run(ctx),
		i.publish(ctx),
	)
}

// serve runs a server and closes the returned channel at its end.
func serve(run func() error, log hclog.Logger, name string) <-chan struct{} {
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		if err := run(); err != nil && !errors.Is(err, http.ErrServerClosed) {
			log.Error("server ended", "server", name, "error", err.Error())
		}
	}()
	return ended
}

// Stop leaves the fleet and ends: callers are sent elsewhere, open calls finish
// within the drain time, loans and seats go back.
func (i *Instance) Stop(ctx context.Context) {
	i.once1.Do(func() { i.stop(ctx) })
}

func (i *Instance) stop(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, i.settings.Limits().Drain)
	defer cancel()
	i.log.Info("leaving", "open", i.open.Load())
	i.leaving.Store(true)
	i.beats.Farewell(ctx)
	i.hand(ctx)
	i.shut.Store(true)
	i.drain(ctx)
	i.link.Exchange(ctx, i.lender.GiveAll(i.now()))
	if err := i.seats.Release(ctx); err != nil {
		i.log.Warn("seats not released; they lapse", "error", err.Error())
	}
	i.unpublish(ctx)
	i.close()
}

// hand goes on serving for the time that callers keep an answer of /locate, as
// long as calls still come.
func (i *Instance) hand(ctx context.Context) {
	span := handTime
	if end, ok := ctx.Deadline(); ok {
		span = min(span, end.Sub(i.now())/2) // the rest is for open calls
	}
	deadline := time.NewTimer(span)
	defer deadline.Stop()
	ticker := time.NewTicker(drainStep)
	defer ticker.Stop()
	quiet := 0
	for {
		select {
		case <-ctx.Done():
			return
		case <-deadline.C:
			return
		case <-ticker.C:
			quiet++
			if i.open.Load() > 0 {
				quiet = 0
			}
			if quiet >= quietSteps {
				return
			}
		}
	}
}

// drain waits for open calls to finish.
func (i *Instance) drain(ctx context.Context) {
	for i.open.Load() > 0 {
		select {
		case <-ctx.Done():
			i.log.Warn("drain time over", "open", i.open.Load())
			return
		case <-time.After(drainStep):
		}
	}
}

// close ends the servers and duties, and waits for them.
func (i *Instance) close() {
	ctx, cancel := context.WithTimeout(context.Background(), closeTime)
	defer cancel()
	rest, done := context.WithTimeout(ctx, restTime)
	defer done()
	_ = i.web.Shutdown(rest) // what is left after the drain time is cut
	_ = i.web.Close()        // it may be closed already
	i.rpc.Stop()
	i.cancel()
	_ = i.operatorsWeb.Close() // nobody waits for it
	i.link.Close()
	i.outbound.Close()
	for _, end := range i.ends {
		select {
		case <-end:
		case <-ctx.Done():
			i.log.Warn("a duty did not end in time")
			return
		}
	}
	i.log.Info("stopped")
}
