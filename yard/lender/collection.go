package lender

import (
	"time"

	"chervilyard.example/yard/loan"
)

const (
	grantTerm        = 2 * time.Second // within which granted tokens must be used
	maxUrgentPeers   = 8               // peers asked at once for a waiting request
	minExhaustionTTL = 50 * time.Millisecond
	maxExhaustionTTL = time.Second
	maxRefillWait    = 500 * time.Millisecond // for which a request waits for tokens at the instance's own rate
	collectMargin    = 1.2                    // ratio of requested to missing tokens, since levels change meanwhile
)

// Collection collects the tokens that peers grant to one waiting request. The zero
// value is empty. A Collection must be used with only one Lender, and by one
// goroutine at a time; replies that the Lender handles meanwhile are safe.
type Collection struct {
	customer  string
	tokens    float64         // needed by the request
	contacted map[string]bool // by peer address
	grants    []grant
	closed    bool // the request no longer waits
}

// grant is a number of tokens that a peer granted. They may be used until the
// given time.
type grant struct {
	id     uint64
	peer   string
	tokens float64
	until  time.Time
}

// add adds a grant to the collection. If the request no longer waits, add returns the
// message that gives the tokens back. The caller must hold the mu of the customer's
// account.
func (c *Collection) add(customer string, g grant) []Message {
	if g.tokens <= 0 {
		return nil
	}
	if c.closed {
		return []Message{g.usageReport(customer, 0)}
	}
	c.grants = append(c.grants, g)
	return nil
}

// usageReport returns the message that tells the granting peer how many of its
// tokens were used.
func (g grant) usageReport(customer string, used float64) Message {
	return Message{Peer: g.peer, Return: loan.Return{ID: g.id, Customer: customer, Urgent: true, UsedTokens: used}}
}

// CollectTokens starts or continues to collect n tokens for a waiting request. It
// returns the requests to send to peers; there are none if no peer is left, if
// enough tokens are available, if an attempt for as many or fewer tokens failed
// recently, or if the customer is unknown.
func (l *Lender) CollectTokens(now time.Time, customer string, n float64, c *Collection) []Message {
	a, ok := l.accountsByName()[customer]
	if !ok {
		return nil
	}
	c.customer, c.tokens = customer, n
	if c.contacted == nil {
		c.contacted = make(map[string]bool)
	}
	if a.isExhausted(now, n) {
		return nil
	}
	shortfall := (n - a.bucket.State(now).Effective.Level - a.collectedTokens(now, c)) * collectMargin
	if shortfall <= 0 {
		return nil
	}
	peers := a.peersToAsk(now, l.Holders(customer), shortfall, c.contacted)
	var messages []Message
	for _, peer := range peers {
		c.contacted[peer.Address] = true
		level := min(shortfall, 2*shortfall/float64(len(peers)))
		messages = append(messages, l.requestTokens(now, a, customer, peer, level, c))
	}
	return messages
}

// requestTokens requests tokens from a peer for the request that the collection belongs
// to. If c is nil, it requests only tokens that the peer does not need soon.
func (l *Lender) requestTokens(now time.Time, a *account, customer string, peer Holder, level float64, c *Collection) Message {
	req := loan.Request{
		ID: l.NewID(), Customer: customer, Borrower: l.Address, Amount: loan.Amount{Level: level},
		Term: grantTerm, Urgent: true, SpareOnly: c == nil,
	}
	return a.register(now, peer.Address, req, c)
}

// RefillWait returns how long a request has to wait until the instance's own rate
// provides the tokens that the collection still lacks. It returns false if that takes
// longer than maxRefillWait; the request is then refused at once.
func (l *Lender) RefillWait(now time.Time, c *Collection) (time.Duration, bool) {
	a, ok := l.accountsByName()[c.customer]
	if !ok {
		return 0, false
	}
	wait, ok := a.bucket.RefillTime(now, c.tokens-a.collectedTokens(now, c))
	wait += time.Millisecond
	return wait, ok && wait <= maxRefillWait
}

func (a *account) isExhausted(now time.Time, n float64) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return now.Before(a.exhausted.until) && n >= a.exhausted.tokens
}

// record stores that n tokens could not be collected. The entry is valid for the
// time in which the instance's own rate provides the missing tokens, but for at
// least minExhaustionTTL and at most maxExhaustionTTL.
func (e *exhaustion) record(now time.Time, n, missing, rate float64) {
	wait := maxExhaustionTTL
	if rate > 0 {
		wait = time.Duration(missing / rate * float64(time.Second))
	}
	*e = exhaustion{tokens: n, until: now.Add(min(max(wait, minExhaustionTTL), maxExhaustionTTL))}
}

// peersToAsk returns the next peers to ask in the order of holders, which is by
// distance, without those already contacted. It stops once their estimated levels
// cover the shortfall, and at maxUrgentPeers.
func (a *account) peersToAsk(now time.Time, holders []Holder, shortfall float64, contacted map[string]bool) []Holder {
	a.mu.Lock()
	defer a.mu.Unlock()
	var chosen []Holder
	sum := 0.0
	for _, h := range holders {
		if contacted[h.Address] {
			continue
		}
		if sum >= shortfall || len(chosen) == maxUrgentPeers {
			break
		}
		chosen = append(chosen, h)
		sum += a.estimatedLevel(now, h.Address, shortfall)
	}
	return chosen
}

// estimatedLevel returns the tokens that a peer last reported as spare. A peer
// without a recent report is assumed to have half of the shortfall. The caller must
// hold a.mu.
func (a *account) estimatedLevel(now time.Time, peer string, shortfall float64) float64 {
	h, ok := a.hints[peer]
	if !ok || now.Sub(h.reportedAt) > hintTTL {
		return shortfall / 2
	}
	return h.spare.Level
}

// collectedTokens returns the sum of the grants in the collection that have not
// expired.
func (a *account) collectedTokens(now time.Time, c *Collection) float64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	sum := 0.0
	for _, g := range c.grants {
		if now.Before(g.until) {
			sum += g.tokens
		}
	}
	return sum
}

// TryAdmit admits the waiting request if the granted tokens and those of the
// instance's own bucket are enough. The returned messages report to the peers how
// many of their tokens were used. If lastAttempt is true and the request is
// refused, all grants are given back.
func (l *Lender) TryAdmit(now time.Time, c *Collection, lastAttempt bool) (Reservation, bool, []Message) {
	a, ok := l.accountsByName()[c.customer]
	if !ok {
		return Reservation{}, false, nil
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if c.closed {
		return Reservation{}, false, nil
	}
	valid := make([]grant, 0, len(c.grants))
	var messages []Message
	granted := 0.0
	for _, g := range c.grants {
		if now.Before(g.until) {
			valid = append(valid, g)
			granted += g.tokens
			continue
		}
		messages = append(messages, g.usageReport(c.customer, 0))
	}
	remaining := min(granted, c.tokens)
	t, ok := a.bucket.RetryTake(now, c.tokens-remaining)
	if !ok && !lastAttempt {
		return Reservation{}, false, nil
	}
	c.closed = true
	if !ok {
		if len(c.contacted) > 0 {
			a.exhausted.record(now, c.tokens, c.tokens-granted, a.bucket.State(now).Effective.Rate)
		}
		remaining = 0
	}
	for i, g := range valid {
		used := min(g.tokens, remaining)
		remaining -= used
		valid[i].tokens = used
		messages = append(messages, g.usageReport(c.customer, used))
	}
	if !ok {
		return Reservation{}, false, messages
	}
	return Reservation{Customer: c.customer, ticket: t, grants: valid, tokens: c.tokens}, true, messages
}
