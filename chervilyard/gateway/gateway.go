// Package gateway takes requests by host and path to targets and their answers
// back, and decides what may be sent again, where, and what the caller is told.
package gateway

import (
	"context"
	"net/http"
	"time"

	"chervilyard.example/chervilyard/journal"
	"chervilyard.example/chervilyard/pool"
	"chervilyard.example/yard/allowance"
	"chervilyard.example/yard/catalog"
	"chervilyard.example/yard/membership"
	"chervilyard.example/yard/placement"
	"chervilyard.example/yard/refusal"
	"chervilyard.example/yard/retry"
	"chervilyard.example/yard/target"
)

// Ask is what a caller's request says, without the key.
type Ask struct {
	ID       string        // of this request; a caller's repeat has another
	Deadline time.Duration // how long the caller waits; 0 where it does not say
	Prompt   int           // tokens
	Output   int           // tokens at most
	Counted  bool          // the caller named its tokens
	Parts    []placement.Part
	After    string      // the last event that the caller has of a stream, or ""
	Header   http.Header // that the target gets; the gateway may change it
}

// Order is what the gateway tells a target beside the request.
type Order struct {
	Target   string        // the target that must answer, and no other
	Left     time.Duration // until the answer is of no use
	Customer string        // "" on public routes
	After    string        // the last event that the caller has
}

// Verdict is what an answer's head says about the run.
type Verdict struct {
	Genuine  bool // made by a target that worked on the request
	NotRun   bool // the target did not run the request
	Replaced bool // another target has the address
}

// Wire translates between the gateway and what callers and targets speak.
type Wire struct {
	Read   func(r *http.Request) (ask Ask, key string)
	Dress  func(h http.Header, o Order)
	Judge  func(status int, h http.Header) Verdict
	Owner  func(h http.Header) string // the request that an answer belongs to, "" where it does not say
	Refuse func(w http.ResponseWriter, r *refusal.Refusal)
	// Health reads the answer to a health check: which target gave it, how long
	// it stays cold, and whether it is sound.
	Health func(status int, h http.Header) (name string, cold time.Duration, sound bool)
}

// Counter counts what happens; each field may be nil.
type Counter struct {
	Ended  func(route, code string, status int, took, first time.Duration)
	Repeat func(service, reason string)
}

// Gateway serves requests. Its fields are set before use and not changed. It is
// safe for concurrent use.
type Gateway struct {
	Wire    Wire
	Now     func() time.Time
	Catalog func() *catalog.Catalog // nil before the first one is known
	Region  string
	// Begun waits until an instance that just started knows what it needs, or
	// the context ends; it may be nil.
	Begun func(ctx context.Context)
	// Targets returns the region's targets of a service that may get work.
	Targets func(now time.Time, service string) []target.Target
	// Fleet tells how the instances of the region share cold targets.
	Fleet func(now time.Time) placement.Fleet
	// Remotes returns instances of other regions that may serve the request,
	// best first, with the time that it would wait there.
	Remotes func(now time.Time, service string, permits func(region string) bool) []Remote
	// Home returns the target that all instances prefer for a prompt's shared
	// parts, and its region, among those that can be reached; "" for none. It may be nil.
	Home func(service string, parts []placement.Part, reach func(region string) bool) (target, region string)
	// Ages returns how old what is known of the configuration and of the targets is.
	Ages func(now time.Time) (configuration, targets time.Duration)
	// Instances returns how many instances share what is bounded for all.
	Instances func(now time.Time) int
	Retries   func() retry.Terms // the bound on repeats that is in force
	Picker    *placement.Picker
	Book      *allowance.Book
	// Gather takes a request's tokens with the help of other instances, and
	// reports whether there were enough before the context ended.
	Gather  func(ctx context.Context, customer string, tokens float64) bool
	Budget  *retry.Budget
	Pool    *pool.Pool
	Journal *journal.Journal
	Counter Counter
	// Suspect is told of a target that may have started anew; it may be nil.
	Suspect func(t target.Target)
	// Draw returns a uniform number from [0, 1).
	Draw func() float64
	// Leaving reports whether the instance is stopping.
	Leaving func() bool

	open gauge
}

// Remote is an instance of another region.
type Remote struct {
	Member membership.Member
	Wait   time.Duration // for the requests before it there, and the way
}

// Open returns how many requests are being served.
func (g *Gateway) Open() int { return int(g.open.Load()) }

// permits returns whether the request may be served in a region.
func (x *exchange) permits(region string) bool {
	return x.route.Permits(region, "") && x.customer.Permits(region)
}
