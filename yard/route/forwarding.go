package route

import (
	"strings"
	"time"
)

// Share is one service of a route with its part of the route's requests.
type Share struct {
	Service string
	Weight  float64 // relative to the other shares of the route
}

// Forwarding is how requests that match a host and a path prefix are passed on.
type Forwarding struct {
	Host     string        // as in the Host header, without a port; "" matches none
	Prefix   string        // of the path, beginning and ending with a slash
	Shares   []Share       // services that may serve it
	Attempts int           // targets that one request may be sent to; 0 means 1
	Goal     time.Duration // latency objective; streams: up to the first event
	Gap      time.Duration // longest pause between events that is still on time
	Priority int           // 0 is the most urgent
	Stream   bool          // answered with an event stream
	Resume   bool          // a stream may be continued at another target
	Public   bool          // needs no key
}

// Forward sets how matching requests are passed on.
func Forward(f Forwarding) Option { return func(r *Route) { r.forwarding = f } }

// Host returns the host that the route belongs to.
func (r Route) Host() string { return r.forwarding.Host }

// Prefix returns the path prefix of the route.
func (r Route) Prefix() string { return r.forwarding.Prefix }

// Matches reports whether the path begins with the route's prefix.
func (r Route) Matches(path string) bool {
	return r.forwarding.Prefix != "" && strings.HasPrefix(path, r.forwarding.Prefix)
}

// Shares returns the services that may serve the route. The caller must not
// change the slice.
func (r Route) Shares() []Share { return r.forwarding.Shares }

// Attempts returns how many targets one request may be sent to, at least 1.
func (r Route) Attempts() int { return max(r.forwarding.Attempts, 1) }

// Goal returns the latency objective.
func (r Route) Goal() time.Duration { return r.forwarding.Goal }

// Gap returns the longest pause between events that is still on time.
func (r Route) Gap() time.Duration { return r.forwarding.Gap }

// Priority returns the urgency of the route; 0 is the most urgent.
func (r Route) Priority() int { return r.forwarding.Priority }

// Stream reports whether answers are event streams.
func (r Route) Stream() bool { return r.forwarding.Stream }

// Resumable reports whether a broken stream may be continued elsewhere.
func (r Route) Resumable() bool { return r.forwarding.Stream && r.forwarding.Resume }

// Idempotent reports whether a request of the route may run more than once.
func (r Route) Idempotent() bool {
	if r.forwarding.Stream {
		return r.forwarding.Resume
	}
	return r.repeatable
}

// Public reports whether the route needs no key.
func (r Route) Public() bool { return r.forwarding.Public }

// Pick returns the service for a request by a uniform draw from [0, 1), or ""
// where the route has no service with a positive weight.
func (r Route) Pick(draw float64) string {
	total := 0.0
	for _, s := range r.forwarding.Shares {
		total += max(s.Weight, 0)
	}
	left := draw * total
	last := ""
	for _, s := range r.forwarding.Shares {
		if s.Weight <= 0 {
			continue
		}
		if left < s.Weight {
			return s.Service
		}
		left -= s.Weight
		last = s.Service
	}
	return last
}
