package simulation

import (
	"fmt"
	"math"
	"time"

	"chervilyard.example/yard/loan"
)

// Report is what a run measured. Parts are of the requests that a single
// bucket for the whole fleet would have admitted; a request that the run admits
// and the single bucket refuses makes up for one the other way round, since a
// customer over its rate gets the same either way.
type Report struct {
	Name      string
	Instances int
	Customers int
	Requests  int
	Inside    int     // requests that the single bucket admits
	Wrongful  float64 // part of Inside that was refused
	Static    float64 // the same, of quota divided evenly among instances
	Central   float64 // the same, of one counter at the store
	Worst     float64 // the worst-served customer's wrongful part
	Mean      float64 // mean of customers' wrongful parts
	Excess    float64 // most tokens over burst + rate x time, of any customer in any window
	Overlap   float64 // most that the instances' shares add up to over the whole, as a part of it
	Gathered  float64 // part of admitted requests that waited for peers
	Wait      time.Duration
	Messages  float64 // a second for each instance
	Bytes     float64
	Store     float64 // calls a second of all instances
}

// String returns the report as one line of a table.
func (r Report) String() string {
	return fmt.Sprintf("| %-34s | %4d | %4d | %8d | %7.3f%% | %7.3f%% | %7.3f%% | %7.3f%% | %7.3f%% | %6.1f | %6.2f%% | %5.1f | %6.0f | %5.1f | %4d |",
		r.Name, r.Instances, r.Customers, r.Inside, 100*r.Wrongful, 100*r.Static, 100*r.Central, 100*r.Worst, 100*r.Mean,
		r.Excess, 100*r.Gathered, r.Messages, r.Bytes, r.Store, r.Wait.Milliseconds())
}

// Mean returns the means of reports of one script, but the largest Excess and
// Worst.
func Mean(all []Report) Report {
	if len(all) == 0 {
		return Report{}
	}
	sum := all[0]
	for _, r := range all[1:] {
		sum.Requests += r.Requests
		sum.Inside += r.Inside
		sum.Wrongful += r.Wrongful
		sum.Static += r.Static
		sum.Central += r.Central
		sum.Mean += r.Mean
		sum.Gathered += r.Gathered
		sum.Messages += r.Messages
		sum.Bytes += r.Bytes
		sum.Store += r.Store
		sum.Wait += r.Wait
		sum.Worst = max(sum.Worst, r.Worst)
		sum.Excess = max(sum.Excess, r.Excess)
	}
	n := float64(len(all))
	sum.Wrongful /= n
	sum.Static /= n
	sum.Central /= n
	sum.Mean /= n
	sum.Gathered /= n
	sum.Messages /= n
	sum.Bytes /= n
	sum.Store /= n
	sum.Wait /= time.Duration(len(all))
	return sum
}

// Heading is the table's heading for String.
const Heading = "| script | inst | cust | inside | wrongful | static | central | worst | mean | excess | gathered | msg/s | B/s | store/s | wait ms |\n|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|"

// level is a plain token bucket, the judge's measure of all others.
type level struct {
	rate, burst, tokens float64
	last                time.Time
}

func (l *level) advance(now time.Time) {
	if passed := now.Sub(l.last).Seconds(); passed > 0 {
		l.tokens = min(l.tokens+passed*l.rate, l.burst)
	}
	l.last = now
}

func (l *level) take(now time.Time, n float64) bool {
	l.advance(now)
	if n > l.tokens {
		return false
	}
	l.tokens -= n
	return true
}

func (l *level) give(now time.Time, n float64) {
	l.advance(now)
	l.tokens = min(l.tokens+n, l.burst)
}

// verdict is what the reference and the baselines say of one request.
type verdict struct{ inside, static, central, counted bool }

// record is the judge's account of one customer.
type record struct {
	meter   level // of what was admitted; below zero means excess
	whole   level
	regions []level // the reference of each region that is cut off
	central level
	static  map[int]*level

	inside, wrongful, noStatic, noCentral int

	// Requests that the reference refuses and the run or a baseline admits;
	// they make up for as many that it refuses.
	extra, extraStatic, extraCentral int
}

// judge compares a run with one bucket for the whole fleet: the meter shows
// whether more was admitted, the reference whether less.
type judge struct {
	simulation *Simulation
	records    map[string]*record
	requests   int
	admits     int
	waited     int
	wait       time.Duration
	excess     float64
	overlap    float64
	sent       int64
	calls      int64
	began      time.Time
}

func newJudge(d *Simulation) *judge {
	j := &judge{simulation: d, records: make(map[string]*record)}
	n := float64(d.script.Regions * d.script.Centres * d.script.Seats)
	for _, c := range d.doc.Customers() {
		full := level{rate: c.Rate(), burst: c.Burst(), tokens: c.Burst(), last: d.start}
		r := &record{meter: full, whole: full, central: full, static: make(map[int]*level)}
		for i := range int(n) {
			r.static[i] = &level{rate: c.Rate() / n, burst: c.Burst() / n, tokens: c.Burst() / n, last: d.start}
		}
		r.regions = make([]level, d.script.Regions)
		j.records[c.Name()] = r
	}
	return j
}

// divide gives a region that is cut off its own reference with its part, or
// puts the parts together again.
func (j *judge) divide() {
	d := j.simulation
	for name, r := range j.records {
		c, _ := d.doc.Customer(name)
		r.whole.advance(d.now)
		tokens := r.whole.tokens
		rest := 1.0
		for region := range r.regions {
			part := 1 / float64(d.script.Regions)
			l := &r.regions[region]
			switch {
			case d.cut[region] && l.rate == 0:
				*l = level{rate: c.Rate() * part, burst: c.Burst() * part, tokens: tokens * part, last: d.now}
			case !d.cut[region] && l.rate > 0:
				l.advance(d.now)
				*l = level{}
			}
			if d.cut[region] {
				rest -= part
			}
		}
		r.whole.rate, r.whole.burst = c.Rate()*rest, c.Burst()*rest
		r.whole.tokens = min(tokens, r.whole.burst)
	}
}

// rates sets the allowed rate of each customer to the largest that any
// instance's document gives, and the reference's to the least.
func (j *judge) rates() {
	d := j.simulation
	for name, r := range j.records {
		high, low := level{}, level{rate: math.Inf(1), burst: math.Inf(1)}
		for _, n := range d.nodes {
			c, ok := n.doc.Customer(name)
			if !ok || !n.alive {
				continue
			}
			high.rate, high.burst = max(high.rate, c.Rate()), max(high.burst, c.Burst())
			low.rate, low.burst = min(low.rate, c.Rate()), min(low.burst, c.Burst())
		}
		r.meter.advance(d.now)
		// A window that ends after the burst grew may hold the larger one; what
		// was used before counts as it did.
		r.meter.tokens = min(r.meter.tokens+max(high.burst-r.meter.burst, 0), high.burst)
		r.meter.rate, r.meter.burst = high.rate, high.burst
		for _, l := range []*level{&r.whole, &r.central} {
			l.advance(d.now)
			l.rate, l.burst = low.rate, low.burst
			l.tokens = min(l.tokens, l.burst)
		}
	}
}

// offer asks the reference and the baselines about a request.
func (j *judge) offer(n *node, customer string, tokens, used float64) verdict {
	d := j.simulation
	r := j.records[customer]
	reference := &r.whole
	if r.regions[n.region].rate > 0 {
		reference = &r.regions[n.region]
	}
	v := verdict{counted: d.now.Sub(d.start) >= d.script.Warm}
	v.inside = reference.take(d.now, tokens)
	static := r.static[n.id%len(r.static)]
	v.static = static.take(d.now, tokens)
	v.central = d.toStore(n) && r.central.take(d.now, tokens)
	if v.counted && j.began.IsZero() {
		j.began, j.sent, j.calls = d.now, d.sent, d.calls
	}
	d.after(time.Duration(d.rng.Float64()*float64(2*streamTime)), func() {
		back := tokens - used
		if v.inside {
			reference.give(d.now, back)
		}
		if v.static {
			static.give(d.now, back)
		}
		if v.central {
			r.central.give(d.now, back)
		}
	})
	if !v.counted {
		return v
	}
	j.requests++
	if v.inside {
		r.inside++
		if !v.static {
			r.noStatic++
		}
		if !v.central {
			r.noCentral++
		}
	} else {
		r.extraStatic += count(v.static)
		r.extraCentral += count(v.central)
	}
	return v
}

func count(yes bool) int {
	if yes {
		return 1
	}
	return 0
}

func (j *judge) admitted(a *ask) {
	d := j.simulation
	m := &j.records[a.customer].meter
	m.advance(d.now)
	m.tokens -= a.used
	j.excess = max(j.excess, -m.tokens)
	if !a.verdict.counted {
		return
	}
	j.admits++
	j.records[a.customer].extra += count(!a.verdict.inside)
	if a.round > 0 {
		j.waited++
		j.wait += d.now.Sub(a.begun)
	}
}

func (j *judge) refused(a *ask) {
	if a.verdict.counted && a.verdict.inside {
		j.records[a.customer].wrongful++
	}
}

// audit adds up what all instances may use now. It finds shares that overlap
// even where demand happens not to use them.
func (j *judge) audit() {
	d := j.simulation
	drift := 1 + d.doc.Quota().MaxClockDrift
	for name, r := range j.records {
		var sum loan.Amount
		for _, n := range d.nodes {
			if n.alive {
				sum = sum.Plus(n.lender.State(d.clock(n), name).Effective)
			}
		}
		j.overlap = max(j.overlap, sum.Rate*drift/r.meter.rate-1, sum.Burst/r.meter.burst-1)
	}
}

func (j *judge) report() Report {
	d := j.simulation
	rep := Report{Name: d.script.Name, Instances: len(d.nodes), Customers: len(j.records), Requests: j.requests}
	var wrongful, noStatic, noCentral, served int
	for _, r := range j.records {
		rep.Inside += r.inside
		net := max(r.wrongful-r.extra, 0)
		wrongful += net
		noStatic += max(r.noStatic-r.extraStatic, 0)
		noCentral += max(r.noCentral-r.extraCentral, 0)
		if r.inside > 0 {
			part := float64(net) / float64(r.inside)
			rep.Worst = max(rep.Worst, part)
			rep.Mean += part
			served++
		}
	}
	total := float64(max(rep.Inside, 1))
	rep.Wrongful = float64(wrongful) / total
	rep.Static = float64(noStatic) / total
	rep.Central = float64(noCentral) / total
	rep.Mean /= float64(max(served, 1))
	rep.Excess = math.Max(j.excess, 0)
	rep.Overlap = j.overlap
	rep.Gathered = float64(j.waited) / float64(max(j.admits, 1))
	if j.waited > 0 {
		rep.Wait = j.wait / time.Duration(j.waited)
	}
	seconds := max(d.now.Sub(j.began).Seconds(), 1)
	rep.Messages = float64(d.sent-j.sent) / seconds / float64(len(d.nodes))
	rep.Bytes = rep.Messages * messageSize
	rep.Store = float64(d.calls-j.calls) / seconds
	return rep
}
