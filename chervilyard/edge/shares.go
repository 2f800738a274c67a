package edge

import (
	"math"
	"sync"
	"time"

	"chervilyard.example/yard/fairshare"
	"chervilyard.example/yard/fleet"
	"chervilyard.example/yard/membership"
)

// sharesInterval and sumsInterval are the shortest times between two reports of shares to a
// member, of own counts and of a hub's sums. Reports have up to 800 bytes for 16 customers, and
// each instance hears sums from several hubs. Heartbeats to a member come at multiples of about
// 50 ms; with intervals of exactly so many, every second report would wait for the next one.
const (
	sharesInterval = 175 * time.Millisecond
	sumsInterval   = 350 * time.Millisecond
)

// shares holds the tokens by customer, and when each member was last told of them.
type shares struct {
	ledger fairshare.Ledger

	mu   sync.Mutex
	told map[string]time.Time // by name of the member
}

// due reports whether a member is to be told of the counts now: during a shortage, once in the
// interval.
func (s *shares) due(now time.Time, member string, interval time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.ledger.Short(now) {
		clear(s.told)
		return false
	}
	if last, ok := s.told[member]; ok && now.Sub(last) < interval {
		return false
	}
	if s.told == nil {
		s.told = make(map[string]time.Time)
	}
	s.told[member] = now
	return true
}

// tellShares adds the counts to a heartbeat to a member of the region, if they are due. A hub
// tells the sums over all instances but the member.
func (e *Edge) tellShares(now time.Time, to membership.Member, sums bool, h *fleet.Heartbeat) {
	interval := sharesInterval
	if sums {
		interval = sumsInterval
	}
	if !e.shares.due(now, to.Name, interval) {
		return
	}
	if sums {
		h.Admitted, h.Refused = encodeCounts(e.shares.ledger.CountsWithout(now, to.Name))
	} else {
		h.Admitted, h.Refused = encodeCounts(e.shares.ledger.Counts(now))
	}
}

// hearShares keeps the counts of a heartbeat, if it has any.
func (e *Edge) hearShares(written time.Time, h *fleet.Heartbeat) {
	if len(h.GetAdmitted())+len(h.GetRefused()) == 0 {
		return
	}
	counts := decodeCounts(h.GetAdmitted(), h.GetRefused())
	if h.GetOthers() != nil {
		e.shares.ledger.UpdateOthers(written, counts)
	} else {
		e.shares.ledger.UpdatePeer(written, h.GetName(), counts)
	}
}

// customerWeight returns the rate of a customer, 0 if it has none.
func (e *Edge) customerWeight(name string) float64 {
	c := e.catalog.Load()
	if c == nil {
		return 0
	}
	found, _ := c.Customer(name)
	return found.Rate()
}

// encodeCounts converts counts, which are sorted by service, to their form in heartbeats: an
// entry without an amount names the service of those after it.
func encodeCounts(counts []fairshare.Count) (admitted, refused []*fleet.Tokens) {
	return encodeAmounts(counts, func(c fairshare.Count) int { return c.Admitted }),
		encodeAmounts(counts, func(c fairshare.Count) int { return c.Refused })
}

func encodeAmounts(counts []fairshare.Count, amount func(fairshare.Count) int) []*fleet.Tokens {
	var list []*fleet.Tokens
	service, named := "", false
	for _, c := range counts {
		n := amount(c)
		if n <= 0 {
			continue
		}
		if !named || c.Service != service {
			list = append(list, &fleet.Tokens{Customer: c.Service})
			service, named = c.Service, true
		}
		list = append(list, &fleet.Tokens{Customer: c.Customer, Amount: float64(n)})
	}
	return list
}

// maxReportedTokens bounds a reported amount, so that sums over reports do not overflow.
const maxReportedTokens = 1 << 40

// decodeCounts converts counts from a heartbeat. It omits amounts that are not positive or too
// large.
func decodeCounts(admitted, refused []*fleet.Tokens) []fairshare.Count {
	var list []fairshare.Count
	decode := func(tokens []*fleet.Tokens, count func(service, customer string, n int) fairshare.Count) {
		service := ""
		for _, t := range tokens {
			switch n := math.Round(t.GetAmount()); {
			case n == 0:
				service = t.GetCustomer()
			case n > 0 && n <= maxReportedTokens:
				list = append(list, count(service, t.GetCustomer(), int(n)))
			}
		}
	}
	decode(admitted, func(service, customer string, n int) fairshare.Count {
		return fairshare.Count{Service: service, Customer: customer, Admitted: n}
	})
	decode(refused, func(service, customer string, n int) fairshare.Count {
		return fairshare.Count{Service: service, Customer: customer, Refused: n}
	})
	return list
}
