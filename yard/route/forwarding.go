package route

import (
	"strings"
	"time"
)

// WeightedService is a service of a route with its weight in the distribution of
// requests.
type WeightedService struct {
	Service string
	Weight  float64 // relative to the other services of the route
}

// Forwarding describes how requests that match a host and a path prefix are
// forwarded.
type Forwarding struct {
	Host             string            // as in the Host header, without the port; "" matches no request
	Prefix           string            // of the path, with a leading and a trailing slash
	Services         []WeightedService // services that may serve the request
	Attempts         int               // maximum number of targets that one request is sent to; 0 means 1
	LatencyObjective time.Duration     // for streams, until the first event
	MaxEventGap      time.Duration     // longest allowed pause between events of a stream
	Priority         int               // 0 is the most urgent
	Stream           bool              // the answer is an event stream
	Resume           bool              // a broken stream may be continued at another target
	Public           bool              // callers need no API key
}

// Forward sets how matching requests are forwarded.
func Forward(f Forwarding) Option { return func(r *Route) { r.forwarding = f } }

// Host returns the host of the route, without a port.
func (r Route) Host() string { return r.forwarding.Host }

// Prefix returns the path prefix of the route, "" if it is not matched by path.
func (r Route) Prefix() string { return r.forwarding.Prefix }

// Matches reports whether the route has a path prefix and the path begins with it.
func (r Route) Matches(path string) bool {
	return r.forwarding.Prefix != "" && strings.HasPrefix(path, r.forwarding.Prefix)
}

// Services returns the services that may serve the route. The caller must not
// change the slice.
func (r Route) Services() []WeightedService { return r.forwarding.Services }

// Attempts returns the maximum number of targets that one request is sent to, at
// least 1.
func (r Route) Attempts() int { return max(r.forwarding.Attempts, 1) }

// LatencyObjective returns the latency objective. For streams it applies to the
// first event.
func (r Route) LatencyObjective() time.Duration { return r.forwarding.LatencyObjective }

// MaxEventGap returns the longest allowed pause between events of a stream.
func (r Route) MaxEventGap() time.Duration { return r.forwarding.MaxEventGap }

// Priority returns the priority of the route; 0 is the most urgent.
func (r Route) Priority() int { return r.forwarding.Priority }

// Stream reports whether answers are event streams.
func (r Route) Stream() bool { return r.forwarding.Stream }

// Resumable reports whether a broken stream may be continued at another target.
func (r Route) Resumable() bool { return r.forwarding.Stream && r.forwarding.Resume }

// Idempotent reports whether a request of the route may run more than once. Unlike
// Repeatable, it is true for a stream if and only if the stream is resumable.
func (r Route) Idempotent() bool {
	if r.forwarding.Stream {
		return r.forwarding.Resume
	}
	return r.repeatable
}

// Public reports whether callers need no API key.
func (r Route) Public() bool { return r.forwarding.Public }

// PickService returns the service that a uniform random number in [0, 1) selects by
// weight, or "" if no service of the route has a positive weight.
func (r Route) PickService(random float64) string {
	total := 0.0
	for _, s := range r.forwarding.Services {
		total += max(s.Weight, 0)
	}
	remaining := random * total
	last := ""
	for _, s := range r.forwarding.Services {
		if s.Weight <= 0 {
			continue
		}
		if remaining < s.Weight {
			return s.Service
		}
		remaining -= s.Weight
		last = s.Service
	}
	return last
}
