// Package target describes the back ends to which requests are sent: model engines
// and plain services.
package target

import (
	"slices"
	"time"
)

// Target is a back end in a data centre. It is immutable; the With methods return
// changed copies.
type Target struct {
	name          string
	centre        string
	address       string
	routes        []string
	capacity      int
	price         float64
	draining      bool
	runID         int64
	coldRemaining time.Duration
	timeLeft      time.Duration // until a draining target terminates, if endKnown
	endKnown      bool
}

// New returns a target in the data centre that listens at address, an IP:PORT, and
// serves the named routes. It runs up to capacity requests at once; price is its
// cost per token relative to other targets. A draining target gets no new requests.
func New(name, centre, address string, routes []string, capacity int, price float64, draining bool) Target {
	return Target{name: name, centre: centre, address: address, routes: routes, capacity: capacity, price: price, draining: draining}
}

// Name returns the target's name.
func (t Target) Name() string { return t.name }

// Centre returns the name of the data centre of the target.
func (t Target) Centre() string { return t.centre }

// Address returns the IP:PORT at which the target listens.
func (t Target) Address() string { return t.address }

// Capacity returns the number of requests that the target runs at once.
func (t Target) Capacity() int { return t.capacity }

// Price returns the cost per token relative to other targets.
func (t Target) Price() float64 { return t.price }

// Draining reports whether the target is draining and gets no new requests.
func (t Target) Draining() bool { return t.draining }

// Serves reports whether the target serves the route.
func (t Target) Serves(route string) bool { return slices.Contains(t.routes, route) }

// Routes returns a copy of the names of the routes that the target serves.
func (t Target) Routes() []string { return slices.Clone(t.routes) }

// WithRunID returns a copy of the target with the ID of its current run, which
// changes when the target restarts under the same name.
func (t Target) WithRunID(runID int64) Target {
	t.runID = runID
	return t
}

// RunID returns the ID of the current run of the target, 0 if unknown.
func (t Target) RunID() int64 { return t.runID }

// WithColdRemaining returns a copy of the target that stays cold for the remaining
// time.
func (t Target) WithColdRemaining(remaining time.Duration) Target {
	t.coldRemaining = remaining
	return t
}

// ColdRemaining returns how long the target stays cold, as of its last report. It
// is 0 if the target is warm.
func (t Target) ColdRemaining() time.Duration { return t.coldRemaining }

// WithTimeLeft returns a copy of a draining target that terminates after d, even if
// requests are still running.
func (t Target) WithTimeLeft(d time.Duration) Target {
	t.timeLeft, t.endKnown = d, true
	return t
}

// TimeLeft returns the time until a draining target terminates, and false if it is
// not known.
func (t Target) TimeLeft() (time.Duration, bool) { return t.timeLeft, t.endKnown }
