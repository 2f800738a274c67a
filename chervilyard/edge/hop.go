package edge

import (
	"net"
	"slices"
	"time"

	"chervilyard.example/yard/membership"
	"chervilyard.example/yard/silence"
)

// heartbeatsMissing reports whether the heartbeats of a member are overdue, compared with those of
// the other members of its region. Heartbeats say nothing of the path from here where hubs relay
// them, so they are only one sign of several.
func (e *Edge) heartbeatsMissing(now time.Time, m membership.Member) bool {
	known, ok := e.memberTable.Get(m.Name)
	if !ok || known.Heard.IsZero() {
		return false
	}
	age := now.Sub(known.Heard)
	if !silence.HeartbeatsMissing(age, 1) { // before the others are looked at
		return false
	}
	var others []time.Duration
	e.memberTable.VisitLive(now, liveTimeout, func(other membership.Member, _ uint64) {
		if other.Region == known.Region && other.Name != known.Name {
			others = append(others, now.Sub(other.Heard))
		}
	})
	if len(others) == 0 {
		return false
	}
	slices.Sort(others)
	return silence.HeartbeatsMissing(age, max(others[len(others)/2], 1))
}

// hopRoundTrip returns the round-trip time of the hop to a member: that of heartbeats to it, or,
// if it exchanges none with this instance, that which a hub told for its region. It is 0 if
// neither is known.
func (e *Edge) hopRoundTrip(m membership.Member) time.Duration {
	if measured := e.gossiper.RoundTripTime(m.Name); measured > 0 {
		return measured
	}
	e.remoteWaits.mu.Lock()
	defer e.remoteWaits.mu.Unlock()
	return e.remoteWaits.byRegion[m.Region].path
}

// recordHopSilent counts and logs a forwarded request that ended because the hop was silent.
func (e *Edge) recordHopSilent(_ time.Time, m membership.Member) {
	e.meter.CountSilentHop(m.Name)
	e.logDecision("hop", "silent", m.Name)
}

// keepAliveListener makes the kernel check that the other end of accepted connections is reachable,
// so that the run of a request ends whose sender is cut off: after forwardIdle without a packet,
// forwardProbes may stay unanswered. TCP_USER_TIMEOUT is not set: it would also end a response whose
// caller reads slowly, after that time with a closed window.
type keepAliveListener struct{ net.Listener }

const (
	forwardIdle   = time.Second // the kernel's smallest time; also between two probes
	forwardProbes = 2           // one may be lost with a single packet
)

func (l keepAliveListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if tcp, ok := c.(*net.TCPConn); ok {
		// An error shows in the next use of the connection.
		_ = tcp.SetKeepAliveConfig(net.KeepAliveConfig{Enable: true, Idle: forwardIdle, Interval: forwardIdle, Count: forwardProbes})
	}
	return c, err
}
