// Package route is one name that callers ask for, and the promises of its calls.
package route

import (
	"slices"
	"time"
)

// The kinds of route.
const (
	KindModel   = "model"   // served by model engines, charged in tokens
	KindService = "service" // a plain service, charged one token a call
)

// The classes of route: live calls go before batch calls.
const (
	ClassLive  = "live"
	ClassBatch = "batch"
)

// Route is one model or service that callers may ask for.
type Route struct {
	name       string
	kind       string
	residency  []string
	repeatable bool
	class      string
	deadline   time.Duration
	open       string
	limit      int
	density    float64
	forwarding Forwarding
}

// Option sets one property of a Route.
type Option func(*Route)

// New returns a repeatable live route without residency.
func New(name, kind string, opts ...Option) Route {
	r := Route{name: name, kind: kind, repeatable: true, class: ClassLive, deadline: 30 * time.Second, limit: 1024, density: 1}
	for _, opt := range opts {
		opt(&r)
	}
	return r
}

// Within binds the route to the regions; none means any region.
func Within(regions []string) Option { return func(r *Route) { r.residency = regions } }

// Repeatable says whether a call may run more than once.
func Repeatable(yes bool) Option { return func(r *Route) { r.repeatable = yes } }

// Class sets ClassLive or ClassBatch.
func Class(class string) Option { return func(r *Route) { r.class = class } }

// Deadline sets the longest time from a request's arrival to its end.
func Deadline(d time.Duration) Option { return func(r *Route) { r.deadline = d } }

// Open lets calls without a key through, charged to the customer.
func Open(customer string) Option { return func(r *Route) { r.open = customer } }

// Limit sets the most tokens that an answer may have.
func Limit(tokens int) Option { return func(r *Route) { r.limit = tokens } }

// Density sets the least bytes of prompt that make one token.
func Density(bytes float64) Option { return func(r *Route) { r.density = bytes } }

// Name returns the name that callers ask for.
func (r Route) Name() string { return r.name }

// Kind returns KindModel or KindService.
func (r Route) Kind() string { return r.kind }

// Repeatable reports whether a call may run more than once.
func (r Route) Repeatable() bool { return r.repeatable }

// Class returns ClassLive or ClassBatch.
func (r Route) Class() string { return r.class }

// Deadline returns the longest time from a request's arrival to its end.
func (r Route) Deadline() time.Duration { return r.deadline }

// Open returns the customer that calls without a key are charged to, or "".
func (r Route) Open() string { return r.open }

// Limit returns the most tokens that an answer may have.
func (r Route) Limit() int { return r.limit }

// Density returns the least bytes of prompt that make one token.
func (r Route) Density() float64 { return r.density }

// Residency returns a copy of the regions that the route is bound to.
func (r Route) Residency() []string { return slices.Clone(r.residency) }

// Permits reports whether the region may serve a call of the route for a
// customer bound to home; home "" means that the customer is not bound.
func (r Route) Permits(region, home string) bool {
	if home != "" && region != home {
		return false
	}
	return len(r.residency) == 0 || slices.Contains(r.residency, region)
}
