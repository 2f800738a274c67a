package lender

import (
	"time"

	"chervilyard.example/yard/loan"
)

const (
	grantTerm = 2 * time.Second // in which granted tokens have to be used
	urgentFan = 8               // peers asked at once for a request that waits
	dryLeast  = 50 * time.Millisecond
	dryMost   = time.Second
	waitMost  = 500 * time.Millisecond // that a request waits for tokens to come by themselves
	overAsk   = 1.2                    // asked over what is missing, since levels move
)

// Pot is what one waiting request gathers from peers. It belongs to the lender
// that made it.
type Pot struct {
	customer string
	tokens   float64
	tried    map[string]bool
	grants   []grant
	closed   bool
}

// grant is tokens that a peer gave for one request.
type grant struct {
	id     uint64
	peer   string
	tokens float64
	until  time.Time
}

// add takes a grant in, or returns it where the request no longer waits.
func (p *Pot) add(customer string, g grant) []Letter {
	if g.tokens <= 0 {
		return nil
	}
	if p.closed {
		return []Letter{g.letter(customer, 0)}
	}
	p.grants = append(p.grants, g)
	return nil
}

func (g grant) letter(customer string, used float64) Letter {
	return Letter{Peer: g.peer, Return: loan.Return{ID: g.id, Customer: customer, Urgent: true, Used: used}}
}

// Gather begins or goes on to gather n tokens for a waiting request, and
// returns the asks to send, or none where no peer is left to ask.
func (l *Lender) Gather(now time.Time, customer string, n float64, p *Pot) []Letter {
	a, ok := l.all()[customer]
	if !ok {
		return nil
	}
	p.customer, p.tokens = customer, n
	if p.tried == nil {
		p.tried = make(map[string]bool)
	}
	if a.isDry(now, n) {
		return nil
	}
	short := (n - a.bucket.Read(now).Now.Level - a.potTokens(now, p)) * overAsk
	if short <= 0 {
		return nil
	}
	peers := a.richest(now, l.Holders(customer), short, p.tried)
	var letters []Letter
	for _, peer := range peers {
		p.tried[peer.Address] = true
		level := min(short, 2*short/float64(len(peers)))
		letters = append(letters, l.askTokens(now, a, customer, peer, level, p))
	}
	return letters
}

// askTokens asks a peer for tokens: for the request of the pot, or without one
// for what the peer does not need soon.
func (l *Lender) askTokens(now time.Time, a *account, customer string, peer Holder, level float64, p *Pot) Letter {
	ask := loan.Ask{
		ID: l.Random(), Customer: customer, Borrower: l.Address, Amount: loan.Amount{Level: level},
		Term: grantTerm, Urgent: true, Spare: p == nil,
	}
	return a.send(now, peer.Address, ask, p)
}

// Wait returns how long a request has to wait until the instance's own rate
// brings what its pot still misses, or false where that is too long to be worth
// it: the request is then refused at once.
func (l *Lender) Wait(now time.Time, p *Pot) (time.Duration, bool) {
	a, ok := l.all()[p.customer]
	if !ok {
		return 0, false
	}
	wait, ok := a.bucket.Wait(now, p.tokens-a.potTokens(now, p))
	wait += time.Millisecond
	return wait, ok && wait <= waitMost
}

func (a *account) isDry(now time.Time, n float64) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return now.Before(a.dry.until) && n >= a.dry.tokens
}

// dries notes a gathering in vain. It holds for the time in which the
// instance's own rate brings what was missing, at most a second.
func (d *dryness) dries(now time.Time, n, missing, rate float64) {
	wait := dryMost
	if rate > 0 {
		wait = time.Duration(missing / rate * float64(time.Second))
	}
	*d = dryness{tokens: n, until: now.Add(min(max(wait, dryLeast), dryMost))}
}

// richest returns the peers to ask next: the near ones of which it is not
// known that they hold little, until what they are believed to hold is enough.
func (a *account) richest(now time.Time, holders []Holder, short float64, tried map[string]bool) []Holder {
	a.mu.Lock()
	defer a.mu.Unlock()
	var chosen []Holder
	sum := 0.0
	for _, h := range holders {
		if tried[h.Address] {
			continue
		}
		if sum >= short || len(chosen) == urgentFan {
			break
		}
		chosen = append(chosen, h)
		sum += a.believed(now, h.Address, short)
	}
	return chosen
}

// believed is what a peer may still hold by what it last said. A peer that was
// not heard of is taken to hold half of what is missing.
func (a *account) believed(now time.Time, peer string, short float64) float64 {
	h, ok := a.hints[peer]
	if !ok || now.Sub(h.at) > hintLife {
		return short / 2
	}
	return h.spare.Level
}

func (a *account) potTokens(now time.Time, p *Pot) float64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	sum := 0.0
	for _, g := range p.grants {
		if now.Before(g.until) {
			sum += g.tokens
		}
	}
	return sum
}

// Gathered admits the waiting request if the tokens that came and those held
// here are enough. The letters tell the peers what is used of theirs; after the
// last try, everything of a request that is refused goes back.
func (l *Lender) Gathered(now time.Time, p *Pot, last bool) (Reservation, bool, []Letter) {
	a, ok := l.all()[p.customer]
	if !ok {
		return Reservation{}, false, nil
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if p.closed {
		return Reservation{}, false, nil
	}
	live := make([]grant, 0, len(p.grants))
	var letters []Letter
	sum := 0.0
	for _, g := range p.grants {
		if now.Before(g.until) {
			live = append(live, g)
			sum += g.tokens
			continue
		}
		letters = append(letters, g.letter(p.customer, 0))
	}
	from := min(sum, p.tokens)
	t, ok := a.bucket.Retake(now, p.tokens-from)
	if !ok && !last {
		return Reservation{}, false, nil
	}
	p.closed = true
	if !ok {
		if len(p.tried) > 0 {
			a.dry.dries(now, p.tokens, p.tokens-sum, a.bucket.Read(now).Now.Rate)
		}
		from = 0
	}
	for i, g := range live {
		use := min(g.tokens, from)
		from -= use
		live[i].tokens = use
		letters = append(letters, g.letter(p.customer, use))
	}
	if !ok {
		return Reservation{}, false, letters
	}
	return Reservation{Customer: p.customer, ticket: t, grants: live, tokens: p.tokens}, true, letters
}
