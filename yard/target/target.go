// Package target is one back end: a model engine or a plain service.
package target

import "slices"

// Target is one back end in a data centre.
type Target struct {
	name     string
	centre   string
	address  string
	serves   []string
	capacity int
	price    float64
	leaving  bool
}

// New returns a target at an IP:PORT in the data centre that serves the named
// routes, with the requests that it runs at once and its price for a token
// relative to others. A leaving target gets no new work.
func New(name, centre, address string, serves []string, capacity int, price float64, leaving bool) Target {
	return Target{name: name, centre: centre, address: address, serves: serves, capacity: capacity, price: price, leaving: leaving}
}

// Name returns the target's name.
func (t Target) Name() string { return t.name }

// Centre returns the data centre that the target stands in.
func (t Target) Centre() string { return t.centre }

// Address returns the IP:PORT that it listens at.
func (t Target) Address() string { return t.address }

// Capacity returns how many requests it runs at once.
func (t Target) Capacity() int { return t.capacity }

// Price returns the cost of a token relative to other targets.
func (t Target) Price() float64 { return t.price }

// Leaving reports whether the target gets no new work.
func (t Target) Leaving() bool { return t.leaving }

// Serves reports whether the target serves the route.
func (t Target) Serves(route string) bool { return slices.Contains(t.serves, route) }

// Routes returns a copy of the names of the routes that it serves.
func (t Target) Routes() []string { return slices.Clone(t.serves) }
