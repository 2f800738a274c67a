package instance

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"time"

	"chervilyard.example/chervilyard/connlimit"
	"chervilyard.example/chervilyard/decisionlog"
	"chervilyard.example/chervilyard/handover"
	"chervilyard.example/yard/pause"
)

const (
	// callerShare of the descriptors is for connections of callers, and to the targets of
	// their calls, operatorShare for those of operators. The rest is reserved for files, idle
	// connections to targets, other instances and the store.
	callerShare   = 5.0 / 8
	operatorShare = 1.0 / 16
	// targetShare is for connections to targets. Those of calls in service take at most half of
	// callerShare, the rest is for idle ones.
	targetShare = 1.0 / 2
	// minBound is the least number of connections of an address.
	minBound = 4

	kindCallers       = "callers"
	kindOperators     = "operators"
	kindTargets       = "targets"
	boundInterval     = 100 * time.Millisecond // between two checks of connections
	closedLogInterval = time.Second            // between two lines on closed connections
)

// boundConnections bounds the connections of a server to a share of the descriptors in the
// settings. The server keeps the timeouts and the limit of a header by itself, since these do
// not change while it runs.
func (i *Instance) boundConnections(kind string, share float64, tracker *handover.Tracker, s *http.Server) {
	limits := i.settings.Limits()
	l := &connlimit.Limiter{OnClose: func(r connlimit.Reason) { i.meter.CountClosedConnection(kind, string(r)) }}
	if limits.MaxDescriptors > 0 {
		l.SetLimits(connlimit.Limits{Descriptors: max(int(share*float64(limits.MaxDescriptors)), minBound)})
	}
	tracker.Now, tracker.Limiter = i.now, l
	s.Handler = tracker.Handler(s.Handler, nil) // nil is not called, as the Limiter has no limit of headers
	connState, connContext := s.ConnState, s.ConnContext
	s.ConnState = func(c net.Conn, state http.ConnState) {
		if connState != nil {
			connState(c, state)
		}
		tracker.ConnState(c, state)
	}
	s.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		if connContext != nil {
			ctx = connContext(ctx, c)
		}
		return tracker.ConnContext(ctx, c)
	}
	i.meter.Gauge(fmt.Sprintf("chervil_open_connections{kind=%q}", kind), func() float64 { return float64(l.Open()) })
}

// boundTargetConnections bounds the connections to targets.
func (i *Instance) boundTargetConnections() {
	i.targetClient.Bound(int(targetShare*float64(i.settings.Limits().MaxDescriptors)), func() {
		i.meter.CountClosedConnection(kindTargets, string(connlimit.LimitIdle))
	})
	i.meter.Gauge(fmt.Sprintf("chervil_open_connections{kind=%q}", kindTargets), func() float64 {
		all, _ := i.targetClient.Open()
		return float64(all)
	})
	i.meter.Gauge(`chervil_open_connections{kind="targets_idle"}`, func() float64 {
		_, idle := i.targetClient.Open()
		return float64(idle)
	})
}

// keepConnectionsBounded enforces the limits on connections and logs which were closed, until
// the context ends.
func (i *Instance) keepConnectionsBounded(ctx context.Context) <-chan struct{} {
	var due time.Time // of the next lines
	return pause.Every(ctx, boundInterval, func() {
		now := i.now()
		log := !now.Before(due)
		if log {
			due = now.Add(closedLogInterval)
		}
		for kind, tracker := range map[string]*handover.Tracker{kindCallers: &i.callerConns, kindOperators: &i.operatorConns} {
			tracker.Limiter.Expire(now)
			if !log {
				continue
			}
			if report := tracker.Limiter.TakeReport(); report != "" {
				i.decisions.Record(decisionlog.Decision{Time: now, Kind: "connections", Choice: "closed", Reason: kind + ": " + report, Centre: i.settings.Centre()})
			}
		}
	})
}
