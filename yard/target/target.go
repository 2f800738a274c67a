// Package target is one back end: a model engine or a plain service.
package target

import (
	"slices"
	"time"
)

// Target is one back end in a data centre.
type Target struct {
	name     string
	centre   string
	address  string
	serves   []string
	capacity int
	price    float64
	leaving  bool
	run      int64
	cold     time.Duration
	remains  time.Duration
	bounded  bool
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

// InRun returns the target with the identifier of its present run, which
// changes when it starts anew under the same name.
func (t Target) InRun(run int64) Target {
	t.run = run
	return t
}

// Run returns the identifier of the target's present run, 0 where not known.
func (t Target) Run() int64 { return t.run }

// WithCold returns the target with the time for which it stays cold.
func (t Target) WithCold(left time.Duration) Target {
	t.cold = left
	return t
}

// Cold returns how long the target stays cold, as of its last report.
func (t Target) Cold() time.Duration { return t.cold }

// EndingIn returns a leaving target that ends after the given time whatever it runs.
func (t Target) EndingIn(d time.Duration) Target {
	t.remains, t.bounded = d, true
	return t
}

// Ends returns how long a leaving target still runs, where that is bounded.
func (t Target) Ends() (time.Duration, bool) { return t.remains, t.bounded }
