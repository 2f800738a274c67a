// Package route describes the models and services that callers can request, and the
// guarantees for their calls.
package route

import (
	"slices"
	"time"
)

// The kinds of route.
const (
	KindModel   = "model"   // served by model engines, charged by tokens
	KindService = "service" // a plain service, charged one token per call
)

// The classes of route. Live calls are served before batch calls.
const (
	ClassLive  = "live"
	ClassBatch = "batch"
)

// Route is a model or service that callers can request. It is immutable.
type Route struct {
	name          string
	kind          string
	residency     []string
	repeatable    bool
	class         string
	timeout       time.Duration
	openCustomer  string // charged for calls without a key
	maxTokens     int
	bytesPerToken float64
	forwarding    Forwarding
}

// Option sets a property of a Route in New.
type Option func(*Route)

// New returns a route of the kind KindModel or KindService. By default its calls may
// run more than once, are live calls with a deadline of 30 s, may be served in any
// region, and have answers of at most 1024 tokens; a token is at least one byte of
// prompt.
func New(name, kind string, opts ...Option) Route {
	r := Route{name: name, kind: kind, repeatable: true, class: ClassLive, timeout: 30 * time.Second, maxTokens: 1024, bytesPerToken: 1}
	for _, opt := range opts {
		opt(&r)
	}
	return r
}

// WithResidency restricts the route to the regions; an empty list allows any
// region.
func WithResidency(regions []string) Option { return func(r *Route) { r.residency = regions } }

// Repeatable sets whether a call may run more than once. For streams,
// Route.Idempotent depends on Forwarding.Resume instead.
func Repeatable(allowed bool) Option { return func(r *Route) { r.repeatable = allowed } }

// Class sets the class, ClassLive or ClassBatch.
func Class(class string) Option { return func(r *Route) { r.class = class } }

// Timeout sets the maximum time from the arrival of a request to its end.
func Timeout(d time.Duration) Option { return func(r *Route) { r.timeout = d } }

// WithOpenCustomer allows calls without an API key, which are charged to the
// customer.
func WithOpenCustomer(customer string) Option { return func(r *Route) { r.openCustomer = customer } }

// MaxAnswerTokens sets the maximum number of tokens of an answer.
func MaxAnswerTokens(tokens int) Option { return func(r *Route) { r.maxTokens = tokens } }

// MinBytesPerToken sets the minimum number of prompt bytes per token.
func MinBytesPerToken(bytes float64) Option { return func(r *Route) { r.bytesPerToken = bytes } }

// Name returns the name by which callers request the route.
func (r Route) Name() string { return r.name }

// Kind returns KindModel or KindService.
func (r Route) Kind() string { return r.kind }

// Repeatable returns the value set by the option Repeatable, true by default. Unlike
// Idempotent, it takes no account of whether the route is a stream.
func (r Route) Repeatable() bool { return r.repeatable }

// Class returns ClassLive or ClassBatch.
func (r Route) Class() string { return r.class }

// Timeout returns the maximum time from the arrival of a request to its end.
func (r Route) Timeout() time.Duration { return r.timeout }

// OpenCustomer returns the customer that is charged for calls without an API key,
// or "" if they are not allowed.
func (r Route) OpenCustomer() string { return r.openCustomer }

// MaxAnswerTokens returns the maximum number of tokens of an answer.
func (r Route) MaxAnswerTokens() int { return r.maxTokens }

// MinBytesPerToken returns the minimum number of prompt bytes per token.
func (r Route) MinBytesPerToken() float64 { return r.bytesPerToken }

// Residency returns a copy of the regions to which the route is restricted, empty if
// any region may serve it.
func (r Route) Residency() []string { return slices.Clone(r.residency) }

// AllowsRegion reports whether the region may serve a call of the route for a
// customer restricted to customerRegion, or not restricted if customerRegion is "".
func (r Route) AllowsRegion(region, customerRegion string) bool {
	if customerRegion != "" && region != customerRegion {
		return false
	}
	return len(r.residency) == 0 || slices.Contains(r.residency, region)
}
