package edge

import (
	"cmp"
	"context"
	"fmt"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"chervilyard.example/chervilyard/connlimit"
	"chervilyard.example/chervilyard/handover"
	"chervilyard.example/yard/pause"
	"chervilyard.example/yard/refusal"
)

// Limits of callers' connections that the configuration does not name.
const (
	defaultHeaderTimeout = 3 * time.Second  // a slower caller would only occupy a connection
	defaultIdleTimeout   = 60 * time.Second // longer than the idle timeouts allowed for callers
	// defaultMaxHeaderBytes is what http.Server accepts with a limit of 16 KB.
	defaultMaxHeaderBytes = 20 << 10
	// largestHeaderLimit bounds the limit that a configuration may name.
	largestHeaderLimit = 1 << 20
)

// Parts of MaxDescriptors. The rest, a quarter, is reserved for idle connections to targets, at
// most three sixteenths, and for those to other instances and the store.
const (
	callerShare = 5.0 / 8 // also for the connections to targets of the requests in service
	// targetShare is for connections to targets and for requests forwarded from here. Those of
	// requests in service take at most half of callerShare, the rest is for idle ones.
	targetShare = 1.0 / 2
	// DirectoryShare and StatusShare are for the connections of the directory and of each
	// address for readiness and metrics.
	DirectoryShare = 1.0 / 16
	StatusShare    = 1.0 / 32
	// minBound is the least number of connections of an address, for the requests of an
	// operator beside the platform's.
	minBound = 4
)

const (
	// headerMemoryShare is the part of the memory limit for headers as received. Parsed ones
	// take up to three times as much.
	headerMemoryShare = 1.0 / 16
	boundInterval     = 100 * time.Millisecond // between two checks of timeouts
	closedLogInterval = time.Second            // between two lines on closed connections
	kindCallers       = "callers"
	kindTargets       = "targets"
	// descriptorsOfForward are those of a forwarded request: of its connection and of that
	// to the target.
	descriptorsOfForward = 2
)

// boundedConnections are the connections whose number is bounded, by kind.
type boundedConnections struct {
	mu    sync.Mutex
	kinds []*boundedKind
	due   time.Time // of the next line on closed connections
}

type boundedKind struct {
	name    string
	share   float64 // of MaxDescriptors
	limiter connlimit.Limiter
}

// buildConnections bounds the connections of callers.
func (e *Edge) buildConnections() {
	k := e.addKind(kindCallers, callerShare, &e.callerConns, e.callerServer)
	k.limiter.Others = func() int { return descriptorsOfForward * e.forwardConns.Open() }
	e.meter.Gauge(`chervil_open_connections{kind="forwarded"}`, func() float64 { return float64(e.forwardConns.Open()) })
	e.pool.MaxOpen = func() int { return int(targetShare * float64(e.Settings().MaxDescriptors)) }
	e.pool.OnIdleClosed = func() { e.meter.CountClosedConnection(kindTargets, string(connlimit.LimitIdle)) }
	e.meter.Gauge(fmt.Sprintf("chervil_open_connections{kind=%q}", kindTargets), func() float64 { return float64(e.pool.Open()) })
	e.meter.Gauge(`chervil_open_connections{kind="targets_idle"}`, func() float64 { return float64(e.pool.Idle()) })
	e.meter.Gauge(`chervil_connections_limit`, func() float64 { return float64(k.limiter.Limits().Descriptors) })
}

// BoundConnections bounds the connections of a server of this process to a share of
// MaxDescriptors. It returns the listener that the server must serve.
func (e *Edge) BoundConnections(kind string, share float64, l net.Listener, s *http.Server) net.Listener {
	tracker := &handover.Tracker{Now: e.now}
	e.addKind(kind, share, tracker, s)
	return tracker.Listener(l)
}

func (e *Edge) addKind(name string, share float64, tracker *handover.Tracker, s *http.Server) *boundedKind {
	k := &boundedKind{name: name, share: share}
	k.limiter.OnClose = func(r connlimit.Reason) { e.meter.CountClosedConnection(name, string(r)) }
	k.limiter.SetLimits(e.connectionLimits(share))
	tracker.Limiter = &k.limiter
	s.Handler = tracker.Handler(s.Handler, http.HandlerFunc(e.refuseHeader))
	s.ConnState, s.ConnContext = tracker.ConnState, tracker.ConnContext
	s.MaxHeaderBytes = largestHeaderLimit // the limiter keeps to the configured limit, which may change
	e.meter.Gauge(fmt.Sprintf("chervil_open_connections{kind=%q}", name), func() float64 { return float64(k.limiter.Open()) })
	e.boundedConns.mu.Lock()
	defer e.boundedConns.mu.Unlock()
	e.boundedConns.kinds = append(e.boundedConns.kinds, k)
	return k
}

// refuseHeader refuses a request whose header is larger than the limit.
func (e *Edge) refuseHeader(w http.ResponseWriter, _ *http.Request) {
	e.gateway.Protocol.WriteRefusal(w, refusal.NotRun(http.StatusRequestHeaderFieldsTooLarge, "header_large", "the header is longer than the limit"))
}

// connectionLimits returns the limits of the settings and of the configuration.
func (e *Edge) connectionLimits(share float64) connlimit.Limits {
	s := e.Settings()
	limits := connlimit.Limits{
		HeldBytes:      int64(headerMemoryShare * float64(s.MemoryLimitBytes)),
		MaxHeaderBytes: defaultMaxHeaderBytes, HeaderTimeout: defaultHeaderTimeout, IdleTimeout: defaultIdleTimeout,
	}
	if s.MaxDescriptors > 0 {
		limits.Descriptors = max(int(share*float64(s.MaxDescriptors)), minBound)
	}
	if c := e.catalog.Load(); c != nil {
		named := c.Limits()
		limits.MaxHeaderBytes = min(cmp.Or(named.MaxHeaderBytes, limits.MaxHeaderBytes), largestHeaderLimit)
		limits.HeaderTimeout = cmp.Or(named.HeaderTimeout, limits.HeaderTimeout)
		limits.IdleTimeout = cmp.Or(named.IdleTimeout, limits.IdleTimeout)
	}
	return limits
}

// keepConnectionsBounded closes connections at their timeouts until the context ends.
func (e *Edge) keepConnectionsBounded(ctx context.Context) <-chan struct{} {
	return pause.Every(ctx, boundInterval, func() {
		now := e.now()
		e.boundedConns.mu.Lock()
		kinds, due := slices.Clone(e.boundedConns.kinds), !now.Before(e.boundedConns.due)
		if due {
			e.boundedConns.due = now.Add(closedLogInterval)
		}
		e.boundedConns.mu.Unlock()
		for _, k := range kinds {
			k.limiter.SetLimits(e.connectionLimits(k.share))
			k.limiter.Expire(now)
			if !due {
				continue
			}
			if report := k.limiter.TakeReport(); report != "" {
				e.logDecision("connections", "closed", k.name+": "+report)
			}
		}
	})
}
