// Package fairshare divides the capacity of a region's model engines among the customers
// that ask for it while there is not enough for all.
package fairshare

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// window is how far back admitted and refused tokens count.
	window       = 2 * time.Second
	bucketCount  = 20
	bucketLength = window / bucketCount
	// reportTTL is how long the report of another instance counts. A hub passes reports on,
	// so that none counts for longer than two seconds.
	reportTTL = time.Second
	// maxShortage exceeds the time for which a refusal counts. More is left only if the time of
	// day stepped back.
	maxShortage = 2 * window
	// recomputeInterval is how long computed shares are used again, so that their cost does
	// not grow with the requests.
	recomputeInterval = 20 * time.Millisecond
	// minWaitFraction is the part of the wait limit that a customer far above its share keeps.
	// Half of the limit is still a queue, so engines stay busy if nobody else asks.
	minWaitFraction = 0.5
	// A customer that asks for more than its share waits less: the more the further what it
	// asked for is above the share, up to fullDemand times of it, and the more of its share it
	// had admitted, up to fullAdmitted times of it. Its limit is shorter already at its share.
	// If it were not, it would fill the queue up to the full limit, and customers within their
	// shares would be refused until the window tells: with a limit that falls above the share
	// alone, they were refused 5% of what they asked for at 9 instances and 9% at 84. Steeper
	// ramps (1.25 and 2) made the queue oscillate with the age of reports: 4% at 84 instances.
	// Flatter ones (2 and 3) left a customer 12% from its share by weight at 9 instances.
	fullDemand   = 1.5
	fullAdmitted = 2.5
)

// Count holds the tokens of a customer's requests to a service within the window.
type Count struct {
	Service, Customer string
	Admitted, Refused int
}

// Asked returns the tokens that the customer asked for.
func (c Count) Asked() int { return c.Admitted + c.Refused }

// add adds a multiple of other to c.
func (c Count) add(other Count, factor int) Count {
	return Count{
		Service: other.Service, Customer: other.Customer,
		Admitted: c.Admitted + factor*other.Admitted, Refused: c.Refused + factor*other.Refused,
	}
}

// Ledger counts the tokens that each customer had admitted, and refused for lack of
// capacity, in the region of this instance. From them it derives the customers' fair shares:
// max-min fair over the customers that ask, in proportion to their weights. What one does not
// ask for goes to the others. The zero value is ready to use and gives all customers the same
// weight. It is safe for concurrent use.
type Ledger struct {
	// Weight returns the weight of a customer, or 0 if it has none; such customers get the
	// mean weight of the others. It may be nil, and must not change after the first use.
	Weight func(customer string) float64

	shortUntil atomic.Int64 // Unix nanoseconds up to which a known refusal may count

	mu         sync.Mutex
	own        map[key]*flow
	peers      map[string]report    // by instance
	peerTotals map[key]Count        // sums over peers
	others     report               // of a hub
	divisions  map[string]*division // by service
}

type key struct{ service, customer string }

// report holds the counts that another instance reported.
type report struct {
	at     time.Time // when they were written
	counts []Count
}

func (r report) valid(now time.Time) bool { return !r.at.IsZero() && now.Sub(r.at) <= reportTTL }

// division is the division of a service's capacity as of a time.
type division struct {
	at     time.Time
	counts map[string]Count   // by customer
	shares map[string]float64 // by customer
	total  Count
}

// Admit records tokens of a request that was sent to an engine. A negative amount takes back
// those of a request that the engine did not run.
func (l *Ledger) Admit(now time.Time, service, customer string, tokens int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.flow(now, key{service, customer}).bucket(now).admitted += tokens
}

// Refuse records tokens of a request that was refused for lack of capacity.
func (l *Ledger) Refuse(now time.Time, service, customer string, tokens int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.flow(now, key{service, customer}).bucket(now).refused += tokens
	l.extendShortage(now.Add(window))
}

// Short reports whether any service may have had refusals in the window.
func (l *Ledger) Short(now time.Time) bool {
	left := time.Duration(l.shortUntil.Load() - now.UnixNano())
	return left > 0 && left <= maxShortage
}

// WaitFraction returns the part of the wait limit that a request of the customer may wait: 1
// without a shortage of the service and for a customer that asks for no more than its share,
// and less for others the more of their share they had admitted.
func (l *Ledger) WaitFraction(now time.Time, service, customer string) float64 {
	if !l.Short(now) {
		return 1
	}
	c, share := l.Share(now, service, customer)
	demand := ramp(float64(c.Asked()), share, fullDemand*share)
	admitted := ramp(float64(c.Admitted), 0, fullAdmitted*share)
	return 1 - (1-minWaitFraction)*demand*admitted
}

// ramp returns how far x is from low to high, from 0 to 1.
func ramp(x, low, high float64) float64 {
	switch {
	case x <= low:
		return 0
	case x >= high:
		return 1
	}
	return (x - low) / (high - low)
}

// Share returns the customer's counts over the region and its fair share of the tokens that
// the region admitted in the window. Without refusals the share is what it asked for.
func (l *Ledger) Share(now time.Time, service, customer string) (Count, float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	d := l.divide(now, service)
	return d.counts[customer], d.shares[customer]
}

// Total returns the refused tokens of all customers of a service in the window, and the
// admitted tokens per second.
func (l *Ledger) Total(now time.Time, service string) (refused int, admittedPerSecond float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	total := l.divide(now, service).total
	return total.Refused, float64(total.Admitted) / window.Seconds()
}

// Counts returns this instance's counts of services and customers with traffic in the window,
// sorted by service and customer.
func (l *Ledger) Counts(now time.Time) []Count {
	l.mu.Lock()
	defer l.mu.Unlock()
	totals := make(map[key]Count)
	l.addOwn(now, totals)
	return sorted(totals)
}

// CountsWithout returns the sums over this instance and the peers but the named one, as a hub
// tells them to that one.
func (l *Ledger) CountsWithout(now time.Time, peer string) []Count {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.expirePeers(now)
	totals := make(map[key]Count, len(l.peerTotals))
	maps.Copy(totals, l.peerTotals)
	addCounts(totals, l.peers[peer].counts, -1)
	l.addOwn(now, totals)
	return sorted(totals)
}

func sorted(totals map[key]Count) []Count {
	maps.DeleteFunc(totals, func(_ key, c Count) bool { return c.Asked() <= 0 })
	return slices.SortedFunc(maps.Values(totals), func(a, b Count) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Customer, b.Customer))
	})
}

// UpdatePeer replaces the counts of a peer, which it wrote at a time.
func (l *Ledger) UpdatePeer(written time.Time, peer string, counts []Count) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.peers == nil {
		l.peers, l.peerTotals = make(map[string]report), make(map[key]Count)
	}
	l.expirePeers(written)
	if written.Before(l.peers[peer].at) {
		return // a slower message
	}
	addCounts(l.peerTotals, l.peers[peer].counts, -1)
	addCounts(l.peerTotals, counts, 1)
	l.peers[peer] = report{at: written, counts: counts}
	l.noteRefusals(written, counts)
}

// UpdateOthers replaces the sums over all other instances, which a hub wrote at a time. While
// they are recent, they count in place of the reports of peers.
func (l *Ledger) UpdateOthers(written time.Time, counts []Count) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if written.Before(l.others.at) {
		return // a slower hub
	}
	l.others = report{at: written, counts: counts}
	l.noteRefusals(written, counts)
}

func (l *Ledger) noteRefusals(written time.Time, counts []Count) {
	if slices.ContainsFunc(counts, func(c Count) bool { return c.Refused > 0 }) {
		l.extendShortage(written.Add(reportTTL))
	}
}

// extendShortage must be called with l.mu held.
func (l *Ledger) extendShortage(until time.Time) {
	if last := l.shortUntil.Load(); last < until.UnixNano() || last > until.Add(maxShortage).UnixNano() {
		l.shortUntil.Store(until.UnixNano())
	}
}

// addOwn adds this instance's counts to the sums. The caller must hold l.mu.
func (l *Ledger) addOwn(now time.Time, totals map[key]Count) {
	for k, f := range l.own {
		admitted, refused := f.sums(now)
		totals[k] = totals[k].add(Count{Service: k.service, Customer: k.customer, Admitted: admitted, Refused: refused}, 1)
	}
}

// expirePeers drops old reports of peers. The caller must hold l.mu.
func (l *Ledger) expirePeers(now time.Time) {
	maps.DeleteFunc(l.peers, func(_ string, r report) bool {
		if r.valid(now) {
			return false
		}
		addCounts(l.peerTotals, r.counts, -1)
		return true
	})
}

// addCounts adds a multiple of the counts to the sums.
func addCounts(totals map[key]Count, counts []Count, factor int) {
	for _, c := range counts {
		k := key{c.Service, c.Customer}
		if sum := totals[k].add(c, factor); sum.Asked() != 0 {
			totals[k] = sum
		} else {
			delete(totals, k)
		}
	}
}

// divide returns the division of a service's capacity, computed within recomputeInterval. The
// caller must hold l.mu.
func (l *Ledger) divide(now time.Time, service string) *division {
	if d := l.divisions[service]; d != nil && !now.Before(d.at) && now.Sub(d.at) < recomputeInterval {
		return d
	}
	totals := make(map[key]Count)
	if l.others.valid(now) {
		addCounts(totals, l.others.counts, 1)
	} else {
		l.expirePeers(now)
		maps.Copy(totals, l.peerTotals)
	}
	l.addOwn(now, totals)
	d := &division{at: now, counts: make(map[string]Count)}
	for k, c := range totals {
		if k.service == service && c.Asked() > 0 {
			d.counts[k.customer] = c
			d.total.Admitted += c.Admitted
			d.total.Refused += c.Refused
		}
	}
	d.shares = shares(float64(d.total.Admitted), d.counts, l.weights(d.counts))
	if l.divisions == nil {
		l.divisions = make(map[string]*division)
	}
	l.divisions[service] = d
	return d
}

// weights returns the weight of each customer with counts.
func (l *Ledger) weights(counts map[string]Count) map[string]float64 {
	weights := make(map[string]float64, len(counts))
	sum, known := 0.0, 0
	for customer := range counts {
		if l.Weight == nil {
			continue
		}
		if w := l.Weight(customer); w > 0 {
			weights[customer] = w
			sum += w
			known++
		}
	}
	mean := 1.0
	if known > 0 {
		mean = sum / float64(known)
	}
	for customer := range counts {
		if weights[customer] == 0 {
			weights[customer] = mean
		}
	}
	return weights
}

// shares divides the capacity among the customers: max-min fair in proportion to their
// weights, and to none more than it asked for.
func shares(capacity float64, counts map[string]Count, weights map[string]float64) map[string]float64 {
	order := slices.SortedFunc(maps.Keys(counts), func(a, b string) int {
		return cmp.Or(cmp.Compare(float64(counts[a].Asked())/weights[a], float64(counts[b].Asked())/weights[b]), cmp.Compare(a, b))
	})
	weightLeft := make([]float64, len(order)+1) // of the customers from each one on
	for i := len(order) - 1; i >= 0; i-- {
		weightLeft[i] = weightLeft[i+1] + weights[order[i]]
	}
	list := make(map[string]float64, len(order))
	for i, customer := range order {
		share := min(float64(counts[customer].Asked()), capacity*weights[customer]/weightLeft[i])
		list[customer] = share
		capacity = max(capacity-share, 0)
	}
	return list
}

// flow returns the flow of a customer to a service. The caller must hold l.mu.
func (l *Ledger) flow(now time.Time, k key) *flow {
	f := l.own[k]
	if f == nil {
		if l.own == nil {
			l.own = make(map[key]*flow)
		}
		maps.DeleteFunc(l.own, func(_ key, f *flow) bool { return f.idle(now) })
		f = &flow{}
		l.own[k] = f
	}
	return f
}
