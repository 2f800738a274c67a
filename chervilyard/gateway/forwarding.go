package gateway

import (
	"context"
	"net/http"
	"net/textproto"
	"strconv"
	"strings"
	"time"

	"chervilyard.example/yard/membudget"
	"chervilyard.example/yard/refusal"
)

// Headers between instances. They are removed from callers' requests.
const (
	internalHeaderPrefix = "Chervil-"
	headerRoute          = "Chervil-Route"
	headerService        = "Chervil-Service"
	headerCustomer       = "Chervil-Customer"
	headerTimeLeftMS     = "Chervil-Left"      // milliseconds until the deadline
	headerObjectiveMS    = "Chervil-Objective" // milliseconds that remain of the latency objective, without the way back; optional
	headerWaitedMS       = "Chervil-Waited"    // milliseconds that the caller has waited before this attempt; optional
	headerLastEventID    = "Chervil-After"     // ID of the last event that the caller received
	headerAttempts       = "Chervil-Attempts"  // how many targets the request may still be sent to
	headerPossibleRuns   = "Chervil-Sends"     // in a response: how many targets may have run the request
	headerDeliveries     = "Chervil-Offers"    // in a response: how many targets the request reached
	headerRun            = "Chervil-Run"       // in a refusal: "no", "yes" or "unknown"
	headerRetryAfterMS   = "Chervil-Later"     // in a refusal: milliseconds until a retry is worthwhile
	headerTrial          = "Chervil-Trial"     // set if the request is sent although its parts block it
	headerPart           = "Chervil-Part"      // in a refusal: the part of the prompt because of which it is refused
	headerConfirmed      = "Chervil-Confirmed" // in such a refusal: set if a trial has confirmed it
	headerLeaving        = "Chervil-Leaving"   // in a refusal: set if only this instance refuses, because it is stopping
	headerSender         = "Chervil-Sender"    // name of the instance that forwards the request
	headerProbe          = "Chervil-Probe"     // set if the request only asks whether this instance answers
	headerElsewhere      = "Chervil-Elsewhere" // in a refusal: set if another instance of the region may serve it
)

// setForwardingHeaders sets the headers that tell the receiving instance what
// this instance has decided.
func (x *exchange) setForwardingHeaders(h http.Header, now time.Time, dest destination) {
	h.Set(headerRoute, x.route.Name())
	h.Set(headerService, x.service)
	h.Set(headerAttempts, strconv.Itoa(1)) // the forwarding instance decides about further attempts
	h.Set(headerTimeLeftMS, strconv.FormatInt(max(x.deadline.Sub(now).Milliseconds(), 1), 10))
	if x.latencyObjective() > 0 {
		h.Set(headerObjectiveMS, strconv.FormatInt(x.remainingObjective(now, dest).Milliseconds(), 10))
	}
	if x.waited >= time.Millisecond {
		h.Set(headerWaitedMS, strconv.FormatInt(x.waited.Milliseconds(), 10))
	}
	if name := x.customer.Name(); name != "" {
		h.Set(headerCustomer, name)
	}
	if x.trial {
		h.Set(headerTrial, "yes")
	}
	if x.req.LastEventID != "" {
		h.Set(headerLastEventID, x.req.LastEventID)
	}
}

// remainingObjective returns what is expected to remain of the latency objective when a request
// sent to another instance now arrives there, without the way back. It is rounded up, and no shorter
// than the wait that is expected there: by this the request was chosen for that instance, which
// would otherwise refuse it because of the time since its arrival here.
func (x *exchange) remainingObjective(now time.Time, dest destination) time.Duration {
	remaining := x.latencyObjective() - now.Sub(x.arrived)
	d := max(remaining, dest.remoteWait) - dest.remote.RoundTrip
	return max((d + time.Millisecond - 1).Truncate(time.Millisecond), time.Millisecond)
}

// latencyObjective returns the latency objective of the route, or what the instance that
// forwarded the request says remains of it; 0 for none.
func (x *exchange) latencyObjective() time.Duration {
	if x.objective > 0 {
		return x.objective
	}
	return x.route.LatencyObjective()
}

// ServeForwarded serves a request that an instance of another region forwarded, or one of
// this region that is cut off, using a target of this region. It never forwards the request
// again, which prevents forwarding loops.
func (g *Gateway) ServeForwarded(w http.ResponseWriter, r *http.Request) {
	if r.Header.Get(headerProbe) != "" {
		w.WriteHeader(http.StatusNoContent)
		return
	}
	g.inFlight.Add(1)
	defer g.inFlight.Add(-1)
	x := &exchange{w: w, arrived: g.Now(), method: r.Method, host: r.Host, requestTarget: r.RequestURI, allowedDeliveries: 1, forwarded: true}
	internal := r.Header.Clone()
	removeInternalHeaders(r.Header)
	x.req, _ = g.Protocol.ParseRequest(r)
	err := g.resolveForwarded(x, internal)
	if err == nil {
		err = g.readBody(x, r, membudget.Forwarded)
	}
	if err == nil {
		err = g.checkCutoff(x)
	}
	if err == nil {
		ctx, cancel := context.WithDeadline(r.Context(), x.deadline.Add(deadlineGrace))
		ctx, cancelCause := context.WithCancelCause(ctx)
		stopWatch := g.watchSender(ctx, cancelCause, x.arrived, internal.Get(headerSender))
		err = g.dispatch(ctx, x)
		stopWatch()
		cancelCause(nil)
		cancel()
	}
	defer func() { x.body.Release(g.Now()) }() // finish may panic
	g.finish(x, err)
}

// resolveForwarded resolves the names in the internal headers against this
// instance's configuration and reads the remaining time, objective and attempts.
func (g *Gateway) resolveForwarded(x *exchange, internal http.Header) error {
	x.catalog = g.Catalog()
	if x.catalog == nil {
		return refusal.NotRun(http.StatusServiceUnavailable, "unconfigured", "no configuration is known yet").WithRetryAfter(unconfiguredRetryAfter)
	}
	var ok bool
	if x.route, ok = x.catalog.Route(internal.Get(headerRoute)); !ok {
		return refusal.NotRun(http.StatusServiceUnavailable, "route_unknown", "the route is not known here").WithRetryAfter(shortRetryAfter)
	}
	if name := internal.Get(headerCustomer); name != "" {
		if x.customer, ok = x.catalog.Customer(name); !ok {
			return refusal.NotRun(http.StatusServiceUnavailable, "customer_unknown", "the customer is not known here").WithRetryAfter(shortRetryAfter)
		}
	}
	if !x.permits(g.Region) {
		return refusal.NotRun(http.StatusServiceUnavailable, "residency", "the request may not be served in this region")
	}
	remaining, err := strconv.ParseInt(internal.Get(headerTimeLeftMS), 10, 64)
	if err != nil {
		return refusal.NotRun(http.StatusBadRequest, "hop_malformed", "the time left cannot be read").WithCause(err)
	}
	if x.maxAttempts, err = strconv.Atoi(internal.Get(headerAttempts)); err != nil || x.maxAttempts < 1 {
		return refusal.NotRun(http.StatusBadRequest, "hop_malformed", "the attempts left cannot be read").WithCause(err)
	}
	x.deadline = x.arrived.Add(time.Duration(remaining) * time.Millisecond)
	// Older instances do not state it, so a value that cannot be read counts as none.
	if ms, err := strconv.ParseInt(internal.Get(headerObjectiveMS), 10, 32); err == nil {
		x.objective = time.Duration(ms) * time.Millisecond
	}
	if ms, err := strconv.ParseInt(internal.Get(headerWaitedMS), 10, 32); err == nil {
		x.waited = time.Duration(ms) * time.Millisecond
	}
	x.service = internal.Get(headerService)
	x.req.LastEventID = internal.Get(headerLastEventID)
	x.trial = internal.Get(headerTrial) != ""
	return nil
}

// addRemoteCounts adds the counts that an instance of another region reports. The
// request was counted once when it was forwarded, hence n - 1.
func (x *exchange) addRemoteCounts(h http.Header) {
	if n, err := strconv.Atoi(h.Get(headerPossibleRuns)); err == nil {
		x.possibleRuns += n - 1
	}
	if n, err := strconv.Atoi(h.Get(headerDeliveries)); err == nil {
		x.deliveries += n - 1
	}
}

// setCountHeaders reports this instance's counts to the forwarding instance.
func (x *exchange) setCountHeaders(h http.Header) {
	h.Set(headerPossibleRuns, strconv.Itoa(x.possibleRuns))
	h.Set(headerDeliveries, strconv.Itoa(x.deliveries))
}

// recordRemoteRetry records when an instance of another region expects to have
// capacity. Of several, the earliest is kept.
func (x *exchange) recordRemoteRetry(h http.Header) {
	ms, err := strconv.ParseInt(h.Get(headerRetryAfterMS), 10, 64)
	if err != nil || ms <= 0 {
		return // not stated
	}
	if d := time.Duration(ms) * time.Millisecond; x.remoteRetryAfter == 0 || d < x.remoteRetryAfter {
		x.remoteRetryAfter = d
	}
}

func removeInternalHeaders(h http.Header) {
	for name := range h {
		if strings.HasPrefix(name, internalHeaderPrefix) {
			delete(h, name)
		}
	}
}

// hopByHop holds the header fields that are not passed on: those that apply to a
// single connection, Content-Length, which is set anew for each message, and
// Expect, which the server handles itself.
var hopByHop = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Connection": true, "Te": true, "Trailer": true,
	"Transfer-Encoding": true, "Upgrade": true, "Content-Length": true, "Proxy-Authenticate": true,
	"Proxy-Authorization": true, "Expect": true,
}

func isHopByHop(name string) bool { return hopByHop[name] }

// EndToEndHeader returns a copy of h without the hop-by-hop fields, those that its
// Connection field names, and the headers between instances. The values are
// shared with h.
func EndToEndHeader(h http.Header) http.Header {
	named := make(map[string]bool)
	for _, line := range h["Connection"] {
		for field := range strings.SplitSeq(line, ",") {
			named[textproto.CanonicalMIMEHeaderKey(strings.TrimSpace(field))] = true
		}
	}
	out := make(http.Header, len(h))
	for name, values := range h {
		if !isHopByHop(name) && !named[name] && !strings.HasPrefix(name, internalHeaderPrefix) {
			out[name] = values
		}
	}
	return out
}
