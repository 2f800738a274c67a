package simulation

import (
	"fmt"
	"math"
	"time"

	"chervilyard.example/yard/loan"
)

// Report holds the measurements of a run. The reference is a single token bucket
// per customer for the whole fleet. Refusals are net: for each customer, a
// request that the run admits and the reference refuses offsets one that the run
// refuses and the reference admits, because a customer over its rate gets the
// same amount either way. Fractions of net refusals are of the requests that the
// reference admits, those of a customer of its own.
type Report struct {
	Name                        string
	Instances                   int
	Customers                   int
	Requests                    int           // counted, that is, after the warm-up
	ReferenceAdmitted           int           // requests that the reference admits
	RefusedFraction             float64       // net refusals of the run
	StaticRefusedFraction       float64       // net refusals with the quota divided evenly among instances
	CentralRefusedFraction      float64       // net refusals with one bucket at the store
	MaxCustomerRefusedFraction  float64       // largest fraction of net refusals among the customers
	MeanCustomerRefusedFraction float64       // mean over the customers of which the reference admits a request
	ExcessTokens                float64       // largest number of tokens over burst + rate x time, of any customer in any window
	OverlapFraction             float64       // largest excess of the sum of the instances' shares, as a fraction of the customer's quota
	WaitedFraction              float64       // fraction of admitted requests that asked peers or waited for refill
	MeanWait                    time.Duration // mean time from arrival to admission of those requests
	MessagesPerSecond           float64       // between lenders, replies included, per instance
	BytesPerSecond              float64       // estimated size of those messages, per instance
	StoreCallsPerSecond         float64       // of all instances together
}

// String returns the report as a row of a Markdown table with the heading
// TableHeading.
func (r Report) String() string {
	return fmt.Sprintf("| %-34s | %4d | %4d | %8d | %7.3f%% | %7.3f%% | %7.3f%% | %7.3f%% | %7.3f%% | %6.1f | %6.2f%% | %5.1f | %6.0f | %5.1f | %4d |",
		r.Name, r.Instances, r.Customers, r.ReferenceAdmitted, 100*r.RefusedFraction, 100*r.StaticRefusedFraction, 100*r.CentralRefusedFraction, 100*r.MaxCustomerRefusedFraction, 100*r.MeanCustomerRefusedFraction,
		r.ExcessTokens, 100*r.WaitedFraction, r.MessagesPerSecond, r.BytesPerSecond, r.StoreCallsPerSecond, r.MeanWait.Milliseconds())
}

// MeanReport returns the mean of the reports of several runs of one script.
// Requests and ReferenceAdmitted are sums, ExcessTokens and
// MaxCustomerRefusedFraction are the largest values, and Name, Instances,
// Customers and OverlapFraction are those of the first report. MeanReport of no
// reports is the zero Report.
func MeanReport(reports []Report) Report {
	if len(reports) == 0 {
		return Report{}
	}
	sum := reports[0]
	for _, r := range reports[1:] {
		sum.Requests += r.Requests
		sum.ReferenceAdmitted += r.ReferenceAdmitted
		sum.RefusedFraction += r.RefusedFraction
		sum.StaticRefusedFraction += r.StaticRefusedFraction
		sum.CentralRefusedFraction += r.CentralRefusedFraction
		sum.MeanCustomerRefusedFraction += r.MeanCustomerRefusedFraction
		sum.WaitedFraction += r.WaitedFraction
		sum.MessagesPerSecond += r.MessagesPerSecond
		sum.BytesPerSecond += r.BytesPerSecond
		sum.StoreCallsPerSecond += r.StoreCallsPerSecond
		sum.MeanWait += r.MeanWait
		sum.MaxCustomerRefusedFraction = max(sum.MaxCustomerRefusedFraction, r.MaxCustomerRefusedFraction)
		sum.ExcessTokens = max(sum.ExcessTokens, r.ExcessTokens)
	}
	n := float64(len(reports))
	sum.RefusedFraction /= n
	sum.StaticRefusedFraction /= n
	sum.CentralRefusedFraction /= n
	sum.MeanCustomerRefusedFraction /= n
	sum.WaitedFraction /= n
	sum.MessagesPerSecond /= n
	sum.BytesPerSecond /= n
	sum.StoreCallsPerSecond /= n
	sum.MeanWait /= time.Duration(len(reports))
	return sum
}

// TableHeading is the heading of the Markdown table whose rows String returns.
const TableHeading = "| script | inst | cust | inside | wrongful | static | central | worst | mean | excess | gathered | msg/s | B/s | store/s | wait ms |\n|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|"

// tokenBucket is a plain token bucket, with which the evaluator measures a run.
type tokenBucket struct {
	rate, burst, tokens float64   // rate in tokens per second
	last                time.Time // last refill
}

// refill adds the tokens that accrued since the last refill.
func (b *tokenBucket) refill(now time.Time) {
	if elapsed := now.Sub(b.last).Seconds(); elapsed > 0 {
		b.tokens = min(b.tokens+elapsed*b.rate, b.burst)
	}
	b.last = now
}

// take removes n tokens if the bucket has them, and reports whether it did.
func (b *tokenBucket) take(now time.Time, n float64) bool {
	b.refill(now)
	if n > b.tokens {
		return false
	}
	b.tokens -= n
	return true
}

// refund returns n unused tokens.
func (b *tokenBucket) refund(now time.Time, n float64) {
	b.refill(now)
	b.tokens = min(b.tokens+n, b.burst)
}

// decisions holds whether the reference and the two baselines admit one request,
// and whether the request is counted.
type decisions struct{ reference, static, central, counted bool }

// customerRecord holds the buckets and counters of one customer.
type customerRecord struct {
	admitted tokenBucket          // drained by the tokens used of admitted requests; below zero is excess
	fleet    tokenBucket          // reference of all regions that are not isolated
	regions  []tokenBucket        // reference of each isolated region; zero for the others
	central  tokenBucket          // baseline of one bucket at the store
	static   map[int]*tokenBucket // baseline of evenly divided quota, by instance ID modulo its length

	// Requests that the reference admits, and those among them that the run or
	// a baseline refuses.
	referenceAdmits, wrongfulRefusals, staticRefusals, centralRefusals int

	// Requests that the reference refuses and the run or a baseline admits.
	// Each offsets one refusal.
	extraAdmits, staticExtraAdmits, centralExtraAdmits int
}

// evaluator compares a run with a single token bucket per customer for the whole
// fleet. The admitted bucket detects tokens over the customer's rate and burst,
// and the reference detects refusals within them.
type evaluator struct {
	simulation       *Simulation
	records          map[string]*customerRecord // by customer
	requests         int                        // counted requests
	admittedRequests int
	waitedRequests   int           // admitted requests that asked peers or waited for refill
	totalWait        time.Duration // of waitedRequests
	excess           float64       // see Report.ExcessTokens
	overlap          float64       // see Report.OverlapFraction
	messagesBefore   int64         // sent before counting started
	storeCallsBefore int64         // made before counting started
	countingSince    time.Time     // time of the first counted request
}

func newEvaluator(sim *Simulation) *evaluator {
	e := &evaluator{simulation: sim, records: make(map[string]*customerRecord)}
	n := float64(sim.script.Regions * sim.script.CentresPerRegion * sim.script.SeatsPerCentre)
	for _, c := range sim.doc.Customers() {
		bucket := tokenBucket{rate: c.Rate(), burst: c.Burst(), tokens: c.Burst(), last: sim.start}
		r := &customerRecord{admitted: bucket, fleet: bucket, central: bucket, static: make(map[int]*tokenBucket)}
		for i := range int(n) {
			r.static[i] = &tokenBucket{rate: c.Rate() / n, burst: c.Burst() / n, tokens: c.Burst() / n, last: sim.start}
		}
		r.regions = make([]tokenBucket, sim.script.Regions)
		e.records[c.Name()] = r
	}
	return e
}

// updateIsolation gives each isolated region a reference of its own with an even
// share of the quota, and ends the reference of a region that is connected
// again.
func (e *evaluator) updateIsolation() {
	sim := e.simulation
	for name, r := range e.records {
		c, _ := sim.doc.Customer(name)
		r.fleet.refill(sim.now)
		tokens := r.fleet.tokens
		remaining := 1.0
		for region := range r.regions {
			fraction := 1 / float64(sim.script.Regions)
			b := &r.regions[region]
			switch {
			case sim.isolated[region] && b.rate == 0:
				*b = tokenBucket{rate: c.Rate() * fraction, burst: c.Burst() * fraction, tokens: tokens * fraction, last: sim.now}
			case !sim.isolated[region] && b.rate > 0:
				b.refill(sim.now)
				*b = tokenBucket{}
			}
			if sim.isolated[region] {
				remaining -= fraction
			}
		}
		r.fleet.rate, r.fleet.burst = c.Rate()*remaining, c.Burst()*remaining
		r.fleet.tokens = min(tokens, r.fleet.burst)
	}
}

// updateRates follows the documents of the running instances while they differ:
// the admitted bucket gets the largest rate and burst of any, the fleet
// reference and the central baseline the smallest.
func (e *evaluator) updateRates() {
	sim := e.simulation
	for name, r := range e.records {
		highest, lowest := tokenBucket{}, tokenBucket{rate: math.Inf(1), burst: math.Inf(1)}
		for _, inst := range sim.instances {
			c, ok := inst.doc.Customer(name)
			if !ok || !inst.alive {
				continue
			}
			highest.rate, highest.burst = max(highest.rate, c.Rate()), max(highest.burst, c.Burst())
			lowest.rate, lowest.burst = min(lowest.rate, c.Rate()), min(lowest.burst, c.Burst())
		}
		r.admitted.refill(sim.now)
		// A window that ends after the burst has grown is allowed the larger
		// burst. Tokens used earlier still count, so the bucket gains only the
		// difference.
		r.admitted.tokens = min(r.admitted.tokens+max(highest.burst-r.admitted.burst, 0), highest.burst)
		r.admitted.rate, r.admitted.burst = highest.rate, highest.burst
		for _, b := range []*tokenBucket{&r.fleet, &r.central} {
			b.refill(sim.now)
			b.rate, b.burst = lowest.rate, lowest.burst
			b.tokens = min(b.tokens, b.burst)
		}
	}
}

// recordRequest runs a request through the reference and the baselines, and
// schedules the refund of its unused tokens there. It counts the request if the
// warm-up is over.
func (e *evaluator) recordRequest(inst *instance, customer string, tokens, used float64) decisions {
	sim := e.simulation
	r := e.records[customer]
	bucket := &r.fleet
	if r.regions[inst.region].rate > 0 {
		bucket = &r.regions[inst.region]
	}
	result := decisions{counted: sim.now.Sub(sim.start) >= sim.script.WarmUp}
	result.reference = bucket.take(sim.now, tokens)
	static := r.static[inst.id%len(r.static)]
	result.static = static.take(sim.now, tokens)
	result.central = sim.storeReachable(inst) && r.central.take(sim.now, tokens)
	if result.counted && e.countingSince.IsZero() {
		e.countingSince, e.messagesBefore, e.storeCallsBefore = sim.now, sim.messages, sim.storeCalls
	}
	sim.scheduleAfter(time.Duration(sim.rng.Float64()*float64(2*meanStreamDuration)), func() {
		unused := tokens - used
		if result.reference {
			bucket.refund(sim.now, unused)
		}
		if result.static {
			static.refund(sim.now, unused)
		}
		if result.central {
			r.central.refund(sim.now, unused)
		}
	})
	if !result.counted {
		return result
	}
	e.requests++
	if result.reference {
		r.referenceAdmits++
		if !result.static {
			r.staticRefusals++
		}
		if !result.central {
			r.centralRefusals++
		}
	} else {
		r.staticExtraAdmits += oneIf(result.static)
		r.centralExtraAdmits += oneIf(result.central)
	}
	return result
}

// oneIf returns 1 if the condition holds, else 0.
func oneIf(condition bool) int {
	if condition {
		return 1
	}
	return 0
}

// recordAdmitted drains the tokens that an admitted request uses from the admitted
// bucket, and counts the request if the warm-up was over at its arrival.
func (e *evaluator) recordAdmitted(req *pendingRequest) {
	sim := e.simulation
	bucket := &e.records[req.customer].admitted
	bucket.refill(sim.now)
	bucket.tokens -= req.used
	e.excess = max(e.excess, -bucket.tokens)
	if !req.decisions.counted {
		return
	}
	e.admittedRequests++
	e.records[req.customer].extraAdmits += oneIf(!req.decisions.reference)
	if req.round > 0 {
		e.waitedRequests++
		e.totalWait += sim.now.Sub(req.arrivedAt)
	}
}

// recordRefused counts a request that the run refused though the reference
// admitted it.
func (e *evaluator) recordRefused(req *pendingRequest) {
	if req.decisions.counted && req.decisions.reference {
		e.records[req.customer].wrongfulRefusals++
	}
}

// auditShares sums the shares that all instances may use now, and records by how
// much they exceed the quota. It detects an overlap even if no demand uses it.
func (e *evaluator) auditShares() {
	sim := e.simulation
	drift := 1 + sim.doc.Quota().MaxClockDrift // by which each bucket divides its rate
	for name, r := range e.records {
		var sum loan.Amount
		for _, inst := range sim.instances {
			if inst.alive {
				sum = sum.Plus(inst.lender.State(sim.localTime(inst), name).Effective)
			}
		}
		e.overlap = max(e.overlap, sum.Rate*drift/r.admitted.rate-1, sum.Burst/r.admitted.burst-1)
	}
}

// report returns the measurements of the run so far.
func (e *evaluator) report() Report {
	sim := e.simulation
	rep := Report{Name: sim.script.Name, Instances: len(sim.instances), Customers: len(e.records), Requests: e.requests}
	var wrongfulRefusals, staticRefusals, centralRefusals, customers int
	for _, r := range e.records {
		rep.ReferenceAdmitted += r.referenceAdmits
		netRefusals := max(r.wrongfulRefusals-r.extraAdmits, 0)
		wrongfulRefusals += netRefusals
		staticRefusals += max(r.staticRefusals-r.staticExtraAdmits, 0)
		centralRefusals += max(r.centralRefusals-r.centralExtraAdmits, 0)
		if r.referenceAdmits > 0 {
			fraction := float64(netRefusals) / float64(r.referenceAdmits)
			rep.MaxCustomerRefusedFraction = max(rep.MaxCustomerRefusedFraction, fraction)
			rep.MeanCustomerRefusedFraction += fraction
			customers++
		}
	}
	total := float64(max(rep.ReferenceAdmitted, 1))
	rep.RefusedFraction = float64(wrongfulRefusals) / total
	rep.StaticRefusedFraction = float64(staticRefusals) / total
	rep.CentralRefusedFraction = float64(centralRefusals) / total
	rep.MeanCustomerRefusedFraction /= float64(max(customers, 1))
	rep.ExcessTokens = math.Max(e.excess, 0)
	rep.OverlapFraction = e.overlap
	rep.WaitedFraction = float64(e.waitedRequests) / float64(max(e.admittedRequests, 1))
	if e.waitedRequests > 0 {
		rep.MeanWait = e.totalWait / time.Duration(e.waitedRequests)
	}
	seconds := max(sim.now.Sub(e.countingSince).Seconds(), 1)
	rep.MessagesPerSecond = float64(sim.messages-e.messagesBefore) / seconds / float64(len(sim.instances))
	rep.BytesPerSecond = rep.MessagesPerSecond * messageBytes
	rep.StoreCallsPerSecond = float64(sim.storeCalls-e.storeCallsBefore) / seconds
	return rep
}
