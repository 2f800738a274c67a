// Package edge runs one instance of the gateway for requests by host and path:
// it joins the way of a request with what the instance knows of the store, the
// targets and the other instances.
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

	"chervilyard.example/chervilyard/gateway"
	"chervilyard.example/chervilyard/gossip"
	"chervilyard.example/chervilyard/journal"
	"chervilyard.example/chervilyard/meter"
	"chervilyard.example/chervilyard/pool"
	"chervilyard.example/yard/allowance"
	"chervilyard.example/yard/catalog"
	"chervilyard.example/yard/membership"
	"chervilyard.example/yard/pause"
	"chervilyard.example/yard/placement"
	"chervilyard.example/yard/retry"
	"chervilyard.example/yard/target"
	"chervilyard.example/yard/view"
)

// Config is what an instance is made of.
type Config struct {
	Settings Settings
	Store    Store
	Wire     gateway.Wire
	Journal  *journal.Journal
	Meter    *meter.Meter
	Now      func() time.Time
	// Listen opens an address; nil stands for net.Listen over TCP.
	Listen func(address string) (net.Listener, error)
}

// Edge is one running instance. Start makes it; Stop ends it gracefully.
type Edge struct {
	settings atomic.Pointer[Settings]
	store    Store
	journal  *journal.Journal
	meter    *meter.Meter
	now      func() time.Time
	run      int64
	started  time.Time

	gateway gateway.Gateway
	picker  placement.Picker
	book    allowance.Book
	budget  retry.Budget
	pool    pool.Pool
	table   membership.Table
	beats   *gossip.Duty

	views     map[string]*view.View
	fetching  map[string]*atomic.Bool
	decoding  map[string]*sync.Mutex // held while a part is put in force
	decode    map[string]func(now time.Time, s view.Snapshot)
	catalog   atomic.Pointer[catalog.Catalog]
	targets   targets
	traffic   traffic
	rooms     rooms
	gathering gathering
	probes    probes

	leaving  atomic.Bool
	ctx      context.Context
	cancel   context.CancelFunc
	ends     []<-chan struct{}
	web, hop *http.Server
	front    net.Listener // for callers
	callers  callers
	rpc      *grpc.Server
}

// Start listens and begins all duties.
func Start(ctx context.Context, c Config) (*Edge, error) {
	e := &Edge{store: c.Store, journal: c.Journal, meter: c.Meter, now: c.Now, started: c.Now(), run: int64(rand.Uint64() >> 1)}
	e.settings.Store(&c.Settings)
	e.ctx, e.cancel = context.WithCancel(ctx)
	listen := c.Listen
	if listen == nil {
		listen = func(address string) (net.Listener, error) { return net.Listen("tcp", address) }
	}
	var listeners []net.Listener
	for _, address := range []string{c.Settings.Callers, c.Settings.Forward, c.Settings.Peers} {
		l, err := listen(address)
		if err != nil {
			e.cancel()
			for _, open := range listeners {
				_ = open.Close() // the failed address is what is reported
			}
			return nil, fmt.Errorf("edge: listen: %w", err)
		}
		listeners = append(listeners, l)
	}
	e.buildViews()
	e.buildBeats()
	e.buildGateway(c.Wire)
	e.begin(listeners)
	return e, nil
}

// Reload puts other settings in force. Addresses stay as they were at the start.
func (e *Edge) Reload(s Settings) {
	e.settings.Store(&s)
	e.note("settings", "reloaded", "")
}

// Settings returns the settings in force.
func (e *Edge) Settings() Settings { return *e.settings.Load() }

func (e *Edge) buildGateway(w gateway.Wire) {
	s := e.Settings()
	e.pool.Dialed = func(string) { e.meter.Connect() }
	g := &e.gateway
	g.Wire, g.Now, g.Region = w, e.now, s.Region
	g.Catalog = e.catalog.Load
	g.Begun = e.begun
	g.Targets = e.usable
	g.Fleet = e.fleet
	g.Remotes = e.remotes
	g.Home = e.home
	g.Ages = func(now time.Time) (time.Duration, time.Duration) {
		configuration, _ := e.views[PartConfiguration].Age(now)
		targets, _ := e.views[PartTargets].Age(now)
		return configuration, targets
	}
	g.Instances = func(time.Time) int { return e.instances() }
	g.Retries = func() retry.Terms { return e.Settings().Retries }
	g.Picker, g.Book, g.Budget, g.Pool, g.Journal = &e.picker, &e.book, &e.budget, &e.pool, e.journal
	g.Counter = gateway.Counter{Repeat: e.meter.Repeat, Ended: func(route, code string, status int, took, first time.Duration) {
		e.traffic.note(e.now(), route)
		e.meter.Request(route, code, status, took, first)
	}}
	g.Gather = e.gather
	g.Suspect = e.suspect
	g.Draw = rand.Float64
	g.Leaving = e.leaving.Load
	e.meter.Gauge("chervil_open_requests", func() float64 { return float64(g.Open()) })
	e.meter.Gauge("chervil_log_shed", func() float64 { return float64(e.journal.Shed()) })
	e.meter.Gauge("chervil_members", func() float64 { return float64(len(e.table.Live(e.now(), liveTime))) })
	for name, v := range e.views {
		e.meter.Gauge(fmt.Sprintf("chervil_view_age_seconds{part=%q}", name), func() float64 {
			age, _ := v.Age(e.now())
			return age.Seconds()
		})
	}
}

const (
	begunStep  = 10 * time.Millisecond // between looks at what is known
	headerTime = 3 * time.Second       // a caller's head; callers that are slower hold a connection for nothing
	idleTime   = 60 * time.Second      // an idle caller's connection; over what operators let callers use
	maxHeader  = 16 << 10              // bytes of a caller's head
)

// begin starts the servers and duties.
func (e *Edge) begin(l []net.Listener) {
	e.front = l[0]
	e.web = &http.Server{
		Handler: &e.gateway, ReadHeaderTimeout: headerTime, IdleTimeout: idleTime, MaxHeaderBytes: maxHeader,
		ConnState: func(c net.Conn, s http.ConnState) { e.callers.state(e.now(), c, s) },
	}
	e.hop = &http.Server{Handler: http.HandlerFunc(e.gateway.ServeHop), ReadHeaderTimeout: headerTime, IdleTimeout: idleTime, MaxHeaderBytes: 4 * maxHeader}
	e.rpc = gossip.NewServer(e.beats, e.content)
	e.ends = append(e.ends, e.serve("callers", func() error { return e.web.Serve(l[0]) }),
		e.serve("forwarded", func() error { return e.hop.Serve(l[1]) }),
		e.serve("peers", func() error { return e.rpc.Serve(l[2]) }),
		e.beats.Run(e.ctx),
		e.announce(e.ctx),
		e.upkeep(e.ctx))
	for _, d := range e.readers() {
		e.ends = append(e.ends, d.Run(e.ctx))
	}
	e.note("instance", "started", "listening for callers at "+e.Settings().Callers)
}

// serve runs a server and closes the returned channel at its end.
func (e *Edge) serve(name string, run func() error) <-chan struct{} {
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		if err := run(); err != nil && !e.leaving.Load() {
			e.note("server", "ended", name+": "+err.Error())
		}
	}()
	return ended
}

// upkeep does what is due from time to time.
func (e *Edge) upkeep(ctx context.Context) <-chan struct{} {
	return pause.Every(ctx, upkeepTime, func() {
		now := e.now()
		e.pool.Sweep(now)
		e.divide(now)
		e.refreshTargets(now)
	})
}

// divide shares the customers' limits out over the instances that are known.
func (e *Edge) divide(now time.Time) {
	c := e.catalog.Load()
	if c == nil {
		return
	}
	terms := make(map[string]allowance.Terms, len(c.Customers()))
	for name, one := range c.Customers() {
		terms[name] = allowance.Terms{Rate: one.Rate(), Burst: one.Burst()}
	}
	e.book.Divide(now, terms, e.instances())
}

// instances returns how many instances share the fleet's limits. Silent ones
// count for a while, since they may still serve.
func (e *Edge) instances() int { return 1 + len(e.sharing(e.now())) }

// sharing returns the other members that may use a part of what is bounded for
// all: those heard within shareTime, and those known from the store alone.
func (e *Edge) sharing(now time.Time) []membership.Member {
	return slices.DeleteFunc(e.table.All(), func(m membership.Member) bool {
		return !m.Heard.IsZero() && now.Sub(m.Heard) > shareTime
	})
}

// Ready returns whether the instance should get requests.
func (e *Edge) Ready() bool {
	return !e.leaving.Load() && e.informed()
}

// informed reports whether the configuration and the targets are known.
func (e *Edge) informed() bool { return e.catalog.Load() != nil && e.views[PartTargets].Known() }

// begun waits until the configuration and the targets are known.
func (e *Edge) begun(ctx context.Context) {
	ticker := time.NewTicker(begunStep)
	defer ticker.Stop()
	for !e.informed() {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// usable returns the region's targets of a service that may get work.
func (e *Edge) usable(_ time.Time, service string) []target.Target { return e.targets.usable(service) }

func (e *Edge) note(kind, choice, reason string) {
	e.journal.Note(journal.Decision{Time: e.now(), Kind: kind, Choice: choice, Reason: reason, Centre: e.Settings().Centre})
}
