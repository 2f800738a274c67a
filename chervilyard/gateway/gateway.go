// Package gateway routes requests by host and path to targets and relays the
// responses. It decides whether and where a request is retried, and which error
// the caller receives.
package gateway

import (
	"context"
	"net/http"
	"time"

	"chervilyard.example/chervilyard/decisionlog"
	"chervilyard.example/chervilyard/pool"
	"chervilyard.example/chervilyard/reqbody"
	"chervilyard.example/yard/callerwait"
	"chervilyard.example/yard/catalog"
	"chervilyard.example/yard/fairshare"
	"chervilyard.example/yard/membership"
	"chervilyard.example/yard/membudget"
	"chervilyard.example/yard/placement"
	"chervilyard.example/yard/ratelimit"
	"chervilyard.example/yard/refusal"
	"chervilyard.example/yard/retry"
	"chervilyard.example/yard/silence"
	"chervilyard.example/yard/suspect"
	"chervilyard.example/yard/target"
)

// Request holds what the gateway needs of a caller's request, without the key.
type Request struct {
	ID              string        // of this request; a retry by the caller has a different one
	Deadline        time.Duration // how long the caller waits; 0 if unspecified
	PromptTokens    int
	MaxOutputTokens int
	HasTokenCounts  bool             // the caller stated its token counts
	Parts           []placement.Part // parts of the prompt
	LastEventID     string           // ID of the last event of a stream that the caller received, or ""
	Header          http.Header      // header for the target; the gateway may modify it
}

// TargetContext holds what the gateway tells a target in addition to the request.
type TargetContext struct {
	Target      string        // name of the only target that may respond
	TimeLeft    time.Duration // time until the deadline
	Customer    string        // "" on public routes
	LastEventID string        // ID of the last event that the caller received
}

// ResponseClass is what a response's status and header say about the execution of
// the request.
type ResponseClass struct {
	FromTarget bool // sent by a target that processed the request
	NotRun     bool // the target did not run the request
	Replaced   bool // a different target now has this address
	Leaving    bool // the target is leaving and wants no new requests
	// RateLimit holds the values of the field that names the requests per second that the
	// target takes from all instances together; see targetrate.Parse. It is nil if the
	// response has none.
	RateLimit []string
}

// TellsRateLimit reports whether the response tells if the target has a rate limit: one
// that names a limit does if the target itself sent it, also in a failure, and one without
// does only if the request succeeded.
func (c ResponseClass) TellsRateLimit(status int) bool {
	if c.Replaced {
		return false
	}
	if len(c.RateLimit) > 0 {
		return c.FromTarget || c.NotRun
	}
	return c.FromTarget && status >= 200 && status < 300
}

// Protocol translates between the gateway and the protocols of callers and targets.
type Protocol struct {
	ParseRequest     func(r *http.Request) (req Request, key string)
	SetTargetHeaders func(h http.Header, tc TargetContext)
	ClassifyResponse func(status int, h http.Header) ResponseClass
	// ResponseRequestID returns the ID of the request that a response belongs to, or "" if it
	// does not say. It is nil if responses never do.
	ResponseRequestID func(h http.Header) string
	WriteRefusal      func(w http.ResponseWriter, r *refusal.Refusal)
	// ParseHealth parses the response to a health check: the name of the target
	// that sent it, how long that target remains cold, and whether it is healthy.
	ParseHealth func(status int, h http.Header) (name string, cold time.Duration, healthy bool)
}

// Metrics holds callbacks for metrics. Each field may be nil.
type Metrics struct {
	// RequestDone is called at the end of each request with its duration and the time
	// to the first byte, 0 if there was none.
	RequestDone func(route, code string, status int, duration, firstByte time.Duration)
	// Forwarded is called for each request that is sent to another region, with the size of
	// its body in bytes.
	Forwarded func(bytes int)
	// LatencyTrial is called for each request that is sent to learn how long a service takes,
	// although it is expected to take too long.
	LatencyTrial func(service string)
	// Retry is called for each retry.
	Retry func(service, reason string)
	// ResponseEnd is called for each response that only the end of its connection ends,
	// or that ended inside an event: with its framing, and with its end, which is "whole",
	// "inside_event", "empty" for a stream without events, or "broken" for an error of the
	// connection.
	ResponseEnd func(framing, end string)
	// AttemptBroken is called for each attempt whose connection broke, with the phase of
	// the attempt: "waiting" for the header of the response, "beginning" to answer, or
	// "answering".
	AttemptBroken func(service, phase string)
	// PartRefused is called for each request that is refused because of a part of its
	// prompt, and states whether a trial has confirmed that targets end under it.
	PartRefused func(service string, confirmed bool)
	// CapacityRefused is called for each request to an engine that is refused for lack of
	// capacity, with whether its wait limit was shorter because of its customer's share, and
	// with its retry delay.
	CapacityRefused func(service string, overShare bool, delay time.Duration)
	// RequestedWait is called for each target that turned a request away with a time to
	// wait: "kept", "reduced" to the longest one, or "malformed".
	RequestedWait func(result string)
}

// Gateway serves requests. Its fields must be set before use and not changed
// afterwards. A Gateway is safe for concurrent use.
type Gateway struct {
	Protocol Protocol
	Now      func() time.Time
	Catalog  func() *catalog.Catalog // returns nil until a configuration is known
	Region   string
	Name     string // of this instance, for those that it forwards requests to
	// AwaitReady blocks until an instance that just started has its configuration,
	// targets and suspects, or ctx is done. It may be nil.
	AwaitReady func(ctx context.Context)
	// Targets returns the targets of a service in this region that accept requests.
	Targets func(now time.Time, service string) []target.Target
	// ColdShare returns how the instances of the region share the request rate of
	// cold targets.
	ColdShare func(now time.Time) placement.ColdShare
	// Remotes returns the instances of other regions that may serve the request, and those of
	// this region that reach targets of which this instance is cut off, best first, with the
	// expected wait at each. Requests that are less urgent than others of the service may wait
	// longer, or find no room: such instances are left out.
	Remotes func(now time.Time, service string, lesser bool, permits func(region string) bool) []RemoteInstance
	// OnRemoteLeaving is called with an instance that refused a forwarded request
	// because it is stopping. It may be nil.
	OnRemoteLeaving func(now time.Time, m membership.Member)
	// OnTargetLeaving is called with a target that said in a response that it is leaving.
	// It may be nil.
	OnTargetLeaving func(now time.Time, t target.Target)
	// OnRateLimit is called with a target whose response, to a request sent at sentAt, names
	// a rate limit, or has no value and so names none. It may be nil.
	OnRateLimit func(sentAt, now time.Time, t target.Target, values []string)
	// ObtainPermit obtains a permit to send a request to a target with a rate limit. It
	// waits for its slot for up to patience, and reports false if there is none before. If it
	// is nil, targets have no limits.
	ObtainPermit func(ctx context.Context, t target.Target, patience time.Duration) (Permit, bool)
	// PreferredTarget returns the target that all instances prefer for the shared
	// parts of a prompt, so that its cache holds them, and the region of that
	// target. Only regions for which reachable returns true are considered. Both
	// results are "" if there is none. PreferredTarget may be nil.
	PreferredTarget func(service string, parts []placement.Part, reachable func(region string) bool) (target, region string)
	// Stamp converts a reading of Now to a time for the log that does not step with the time
	// of day. It may be nil.
	Stamp func(at time.Time) time.Time
	// StateAges returns the ages of the known configuration and of the target states.
	// It may be nil.
	StateAges func(now time.Time) (configuration, targets time.Duration)
	// WaitReportAge returns the age of the report that RemoteInstance.Wait is from, and RateLimit
	// the limit that a target named and its age. They report false if there is none, serve
	// Explain alone, and may be nil.
	WaitReportAge func(now time.Time, m membership.Member) (time.Duration, bool)
	RateLimit     func(now time.Time, t target.Target) (perSecond float64, age time.Duration, ok bool)
	// RetrySharers returns the number of instances among which the extra retries are
	// divided, or 0 if this one has no share.
	RetrySharers func(now time.Time) int
	RetryLimits  func() retry.Limits // current limits of the retry budget
	Picker       *placement.Picker
	Limiter      *ratelimit.Limiter
	// CollectTokens takes a request's tokens from the customer's quota, borrowing from
	// other instances what is missing, and reports whether there were enough and, if not,
	// the time after which there may be. Past the patience it does not wait any more for
	// others once some have refused.
	CollectTokens func(ctx context.Context, customer string, tokens float64, patience time.Duration) (bool, time.Duration)
	// RefundTokens returns the tokens of a request that no target processed. If it is
	// nil, they go to Limiter.
	RefundTokens func(now time.Time, customer string, tokens float64)
	RetryBudget  *retry.Budget
	Pool         *pool.Pool
	Decisions    *decisionlog.Log
	Metrics      Metrics
	// Shares counts the tokens of requests to engines by customer. If it is nil, customers do
	// not share the capacity.
	Shares *fairshare.Ledger
	// Memory bounds the bytes that are held for requests. If it is nil, they are not bounded.
	Memory *membudget.Budget
	// OnBodyRefused is called for each request whose body is not read. It may be nil.
	OnBodyRefused func(now time.Time, err *reqbody.Error)
	// UnreadSince returns a function that reports since when the caller of a request has taken
	// nothing of a response that waits for it, or nil if that is not known. It may be nil.
	UnreadSince func(ctx context.Context) func(now time.Time) (time.Time, bool)
	// Suspects holds the requests and parts of prompts under which targets ended.
	Suspects *suspect.Ledger
	// TargetEnded reports whether the target at an address, whose connection broke, has
	// ended. If it is nil, ends are not attributed to requests.
	TargetEnded func(ctx context.Context, now time.Time, address string) bool
	// TrialRank returns the rank of this instance among those that may send a request in
	// spite of a part; see suspect.Rank. If it is nil, it sends none.
	TrialRank func(now time.Time, part string) int
	// ClaimTrial reports whether no other instance of the fleet sends a request for the same
	// trial. It may be nil.
	ClaimTrial func(ctx context.Context, t suspect.Trial) bool
	// SuspectsKnown reports whether an instance that just started knows what the fleet did of
	// Suspects. If it is nil, it does.
	SuspectsKnown func() bool
	// OnSuspectedRestart is called with a target that may have restarted. It may be
	// nil.
	OnSuspectedRestart func(t target.Target)
	// OnConnFailed is called with a target to which a new connection could not be made or broke
	// before a response, and OnConnAnswered with one that responded and whether the connection
	// had a request before. They may be nil.
	OnConnFailed   func(now time.Time, t target.Target)
	OnConnAnswered func(now time.Time, t target.Target, kept bool)
	// OnSilent is called with a target that has not responded to a request, which has waited
	// since a time, for longer than a working one should take. It may be nil.
	OnSilent func(t target.Target, since time.Time)
	// IsCutOff reports whether this instance reaches no target of the service in its region,
	// and another instance there may. Such requests are forwarded to it. It may be nil.
	IsCutOff func(now time.Time, service string) bool
	// Silence tells when the hop to another instance has fallen silent. If it is nil, forwarded
	// requests wait until their deadline.
	Silence *silence.Monitor
	// RoundTrip returns the round-trip time to a member, 0 if it is not known, and
	// HeartbeatsMissing whether its heartbeats are overdue. They may be nil.
	RoundTrip         func(m membership.Member) time.Duration
	HeartbeatsMissing func(now time.Time, m membership.Member) bool
	// Member returns what is known of a member. If it is nil, requests of senders that fall silent
	// go on.
	Member func(name string) (membership.Member, bool)
	// OnHopSilent is called when a forwarded request ended because the hop to the member was
	// found silent. It may be nil.
	OnHopSilent func(now time.Time, m membership.Member)
	// Random returns a uniformly distributed random number in [0, 1).
	Random func() float64
	// Cutoff returns the time at which the instance cuts off open requests, and
	// whether it is shutting down at all.
	Cutoff func() (cutoff time.Time, shuttingDown bool)

	callerWaits callerwait.Tracker

	inFlight gauge
	heldBack gauge // bytes of incomplete events
}

// Permit allows one request to a target with a rate limit.
type Permit struct {
	Until     time.Time     // when it expires
	Issuer    string        // instance that issued it; "" if the target turned out to have no limit
	PerSecond float64       // limit of the target as this instance knew it
	Age       time.Duration // time since the target named it
	Waited    time.Duration
}

// RemoteInstance is an instance that requests are forwarded to.
type RemoteInstance struct {
	Member    membership.Member
	Wait      time.Duration // expected queueing time there plus the network round trip
	RoundTrip time.Duration // the part of Wait that is the network's
	// Latency is that of the service in the region, zero if nothing recent is known of it.
	Latency placement.ServiceLatency
	// Full is set if less urgent requests find no room in the region but at targets that have
	// their prompts cached.
	Full bool
}

// InFlight returns the number of requests in flight.
func (g *Gateway) InFlight() int { return int(g.inFlight.Load()) }

// permits reports whether the request may be served in the region.
func (x *exchange) permits(region string) bool {
	return x.route.AllowsRegion(region, "") && x.customer.AllowsRegion(region)
}
