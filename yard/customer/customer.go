// Package customer defines a tenant of the gateway and its limits.
package customer

import "slices"

// Customer is a tenant of the gateway. The zero value has a rate and burst of 0,
// and may be served in any region. A Customer is immutable and safe for concurrent
// use.
type Customer struct {
	name           string
	rate           float64 // tokens per second
	burst          float64 // tokens
	weight         float64
	homeRegion     string
	allowedRegions []string // empty if all are allowed
	priority       int
	hasPriority    bool
}

// New returns a customer. The rate in tokens per second and the burst in tokens
// apply to the whole fleet. The weight is the customer's share, relative to other
// customers, of a target that is full. The customer may be served only in
// homeRegion, or in any region if homeRegion is "".
func New(name string, rate, burst, weight float64, homeRegion string) Customer {
	return Customer{name: name, rate: rate, burst: burst, weight: weight, homeRegion: homeRegion}
}

// Name returns the customer's name.
func (c Customer) Name() string { return c.name }

// Rate returns the rate limit over the whole fleet, in tokens per second.
func (c Customer) Rate() float64 { return c.rate }

// Burst returns the burst limit over the whole fleet, in tokens.
func (c Customer) Burst() float64 { return c.burst }

// Weight returns the customer's share of a full target relative to other
// customers.
func (c Customer) Weight() float64 { return c.weight }

// HomeRegion returns the only region that may serve the customer, or "" if New did not
// bind it to one.
func (c Customer) HomeRegion() string { return c.homeRegion }

// WithAllowedRegions returns a copy of c that may be served only in the given regions,
// and only in the homeRegion given to New if there is one. An empty list removes
// the restriction to a list.
func (c Customer) WithAllowedRegions(regions []string) Customer {
	c.allowedRegions = slices.Clone(regions)
	return c
}

// AllowsRegion reports whether the customer may be served in the region.
func (c Customer) AllowsRegion(region string) bool {
	if c.homeRegion != "" && region != c.homeRegion {
		return false
	}
	return len(c.allowedRegions) == 0 || slices.Contains(c.allowedRegions, region)
}

// WithPriority returns a copy of c with a priority that overrides the priority of
// its routes. 0 is the highest priority.
func (c Customer) WithPriority(n int) Customer {
	c.priority, c.hasPriority = n, true
	return c
}

// Priority returns the priority of the customer's requests on a route with the
// given priority. 0 is the highest priority.
func (c Customer) Priority(routePriority int) int {
	if c.hasPriority {
		return c.priority
	}
	return routePriority
}
