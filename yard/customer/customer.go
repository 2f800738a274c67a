// Package customer is one tenant of the gateway and the rate that it bought.
package customer

import "slices"

// Customer is one tenant. The zero value has no rate and is admitted nothing.
type Customer struct {
	name   string
	rate   float64
	burst  float64
	weight float64
	home   string
	homes  []string
	urgent int
	ranked bool
}

// New returns a customer with a rate in tokens a second and a burst in tokens
// over the whole fleet, a weight among other customers when targets are full,
// and the region that it is bound to, or "" where it may be served anywhere.
func New(name string, rate, burst, weight float64, home string) Customer {
	return Customer{name: name, rate: rate, burst: burst, weight: weight, home: home}
}

// Name returns the customer's name.
func (c Customer) Name() string { return c.name }

// Rate returns the tokens a second over the whole fleet.
func (c Customer) Rate() float64 { return c.rate }

// Burst returns the tokens that may be admitted at once over the whole fleet.
func (c Customer) Burst() float64 { return c.burst }

// Weight returns the customer's part of a full target relative to others.
func (c Customer) Weight() float64 { return c.weight }

// Home returns the only region that may serve the customer, or "".
func (c Customer) Home() string { return c.home }

// WithHomes returns the customer bound to a list of regions; an empty list
// binds it to none.
func (c Customer) WithHomes(regions []string) Customer {
	c.homes = slices.Clone(regions)
	return c
}

// Permits reports whether the customer's requests may be served in the region.
func (c Customer) Permits(region string) bool {
	if c.home != "" && region != c.home {
		return false
	}
	return len(c.homes) == 0 || slices.Contains(c.homes, region)
}

// WithPriority returns the customer with an urgency that goes before that of
// its routes; 0 is the most urgent.
func (c Customer) WithPriority(n int) Customer {
	c.urgent, c.ranked = n, true
	return c
}

// Priority returns the urgency of the customer's requests on a route with the
// given urgency.
func (c Customer) Priority(route int) int {
	if c.ranked {
		return c.urgent
	}
	return route
}
