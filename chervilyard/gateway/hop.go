package gateway

import (
	"context"
	"net/http"
	"net/textproto"
	"strconv"
	"strings"
	"time"

	"chervilyard.example/yard/refusal"
)

// The headers between instances. They are dropped from callers' requests.
const (
	headerPrefix   = "Chervil-"
	headerRoute    = "Chervil-Route"
	headerService  = "Chervil-Service"
	headerCustomer = "Chervil-Customer"
	headerLeft     = "Chervil-Left" // milliseconds until the deadline
	headerAfter    = "Chervil-After"
	headerAttempts = "Chervil-Attempts" // targets that the request may still be sent to
	headerSends    = "Chervil-Sends"    // targets that may have run it, in an answer
	headerOffers   = "Chervil-Offers"   // targets that it reached, in an answer
	headerRun      = "Chervil-Run"      // of a refusal: "no", "yes" or "unknown"
	headerLater    = "Chervil-Later"    // milliseconds until a repeat is worth sending, of a refusal
)

// hopHeader tells the receiving instance what was decided here.
func (x *exchange) hopHeader(h http.Header, left time.Duration) {
	h.Set(headerRoute, x.route.Name())
	h.Set(headerService, x.service)
	h.Set(headerAttempts, strconv.Itoa(1)) // this instance decides about the next
	h.Set(headerLeft, strconv.FormatInt(max(left.Milliseconds(), 1), 10))
	if name := x.customer.Name(); name != "" {
		h.Set(headerCustomer, name)
	}
	if x.ask.After != "" {
		h.Set(headerAfter, x.ask.After)
	}
}

// ServeHop serves a request that an instance of another region forwarded, at a
// target of its own region. It never forwards it again, so that no request loops.
func (g *Gateway) ServeHop(w http.ResponseWriter, r *http.Request) {
	g.open.Add(1)
	defer g.open.Add(-1)
	x := &exchange{w: w, arrived: g.Now(), method: r.Method, host: r.Host, target: r.RequestURI, hop: true}
	hop := r.Header.Clone()
	dropHop(r.Header)
	x.ask, _ = g.Wire.Read(r)
	err := g.join(x, hop)
	if err == nil {
		err = x.readBody(r)
	}
	if err == nil {
		ctx, cancel := context.WithDeadline(r.Context(), x.deadline.Add(grace))
		err = g.dispatch(ctx, x)
		cancel()
	}
	g.finish(x, err)
}

// join checks what the forwarding instance decided against the configuration
// known here.
func (g *Gateway) join(x *exchange, hop http.Header) error {
	x.catalog = g.Catalog()
	if x.catalog == nil {
		return refusal.NotRun(http.StatusServiceUnavailable, "unconfigured", "no configuration is known yet").After(unready)
	}
	var ok bool
	if x.route, ok = x.catalog.Route(hop.Get(headerRoute)); !ok {
		return refusal.NotRun(http.StatusServiceUnavailable, "route_unknown", "the route is not known here").After(soon)
	}
	if name := hop.Get(headerCustomer); name != "" {
		if x.customer, ok = x.catalog.Customer(name); !ok {
			return refusal.NotRun(http.StatusServiceUnavailable, "customer_unknown", "the customer is not known here").After(soon)
		}
	}
	if !x.permits(g.Region) {
		return refusal.NotRun(http.StatusServiceUnavailable, "residency", "the request may not be served in this region")
	}
	left, err := strconv.ParseInt(hop.Get(headerLeft), 10, 64)
	if err != nil {
		return refusal.NotRun(http.StatusBadRequest, "hop_malformed", "the time left cannot be read").Because(err)
	}
	if x.attempts, err = strconv.Atoi(hop.Get(headerAttempts)); err != nil || x.attempts < 1 {
		return refusal.NotRun(http.StatusBadRequest, "hop_malformed", "the attempts left cannot be read").Because(err)
	}
	x.deadline = x.arrived.Add(time.Duration(left) * time.Millisecond)
	x.service = hop.Get(headerService)
	x.ask.After = hop.Get(headerAfter)
	return nil
}

// countThere takes in how many targets an instance of another region sent the
// request to, in place of the one send that was counted when it was forwarded.
func (x *exchange) countThere(h http.Header) {
	if n, err := strconv.Atoi(h.Get(headerSends)); err == nil {
		x.sends += n - 1
	}
	if n, err := strconv.Atoi(h.Get(headerOffers)); err == nil {
		x.offers += n - 1
	}
}

// counted tells the forwarding instance what this one sent.
func (x *exchange) counted(h http.Header) {
	h.Set(headerSends, strconv.Itoa(x.sends))
	h.Set(headerOffers, strconv.Itoa(x.offers))
}

// laterThere takes in when an instance of another region expects room, the
// earliest where several were asked.
func (x *exchange) laterThere(h http.Header) {
	ms, err := strconv.ParseInt(h.Get(headerLater), 10, 64)
	if err != nil || ms <= 0 {
		return // it does not say
	}
	if d := time.Duration(ms) * time.Millisecond; x.later == 0 || d < x.later {
		x.later = d
	}
}

func dropHop(h http.Header) {
	for name := range h {
		if strings.HasPrefix(name, headerPrefix) {
			delete(h, name)
		}
	}
}

// hopByHop are the header fields that concern one connection only.
var hopByHop = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Connection": true, "Te": true, "Trailer": true,
	"Transfer-Encoding": true, "Upgrade": true, "Content-Length": true, "Proxy-Authenticate": true,
	"Proxy-Authorization": true, "Expect": true,
}

func perConnection(name string) bool { return hopByHop[name] }

// Forwardable returns the header fields of a message that concern more than one
// connection and are not those between instances.
func Forwardable(h http.Header) http.Header {
	named := make(map[string]bool)
	for _, line := range h["Connection"] {
		for field := range strings.SplitSeq(line, ",") {
			named[textproto.CanonicalMIMEHeaderKey(strings.TrimSpace(field))] = true
		}
	}
	out := make(http.Header, len(h))
	for name, values := range h {
		if !perConnection(name) && !named[name] && !strings.HasPrefix(name, headerPrefix) {
			out[name] = values
		}
	}
	return out
}
