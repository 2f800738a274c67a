package simulation

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"chervilyard.example/yard/lender"
)

// ask is one request that waits for its tokens.
type ask struct {
	node     *node
	customer string
	tokens   float64 // reserved
	used     float64
	verdict  verdict
	pot      lender.Collection
	begun    time.Time
	round    int
	replies  int
	done     bool
}

// request brings one request to an instance of the region.
func (d *Simulation) request(c Customer, customer string, region int) {
	tokens := c.Tokens * (0.5 + d.rng.Float64())
	used := tokens * (1 - d.rng.Float64()*c.Spare)
	n := d.choose(customer, region)
	if n == nil {
		return // nobody can answer; that is no matter of quota
	}
	a := &ask{node: n, customer: customer, tokens: tokens, used: used, begun: d.now}
	a.verdict = d.judge.offer(n, customer, tokens, used)
	r, ok := n.lender.Admit(d.clock(n), customer, tokens)
	if ok {
		d.admit(a, r)
		return
	}
	d.gather(a)
}

// choose returns the instance that a caller of the region uses: by /locate a
// holder of the customer's quota near it, else any.
func (d *Simulation) choose(customer string, region int) *node {
	var holders, all []*node
	for _, n := range d.nodes {
		if n.region != region || !n.alive || d.now.Before(n.paused) {
			continue
		}
		all = append(all, n)
		if d.part(n, customer) > 0 {
			holders = append(holders, n)
		}
	}
	if len(holders) > 0 && !d.script.Anywhere {
		all = holders
	}
	if len(all) == 0 {
		return nil
	}
	if len(holders) == 0 && !d.script.Anywhere {
		return slices.MaxFunc(all, func(a, b *node) int { return cmp.Compare(locate(customer, a), locate(customer, b)) })
	}
	return all[d.rng.IntN(len(all))]
}

// locate ranks instances for a customer whose quota none of them holds.
func locate(customer string, n *node) uint64 { return xxhash.Sum64String(customer + "/" + n.address) }

func (d *Simulation) gather(a *ask) {
	n := a.node
	asks := n.lender.CollectTokens(d.clock(n), a.customer, a.tokens, &a.pot)
	if len(asks) == 0 || a.round == gatherMost || d.now.Sub(a.begun) >= gatherTime {
		d.linger(a)
		return
	}
	a.round++
	a.replies = 0
	round := a.round
	next := func() {
		if a.done || a.round != round {
			return
		}
		if !d.conclude(a, false) {
			d.gather(a)
		}
	}
	for _, l := range asks {
		d.send(n, l, func() {
			a.replies++
			if a.round == round && a.replies == len(asks) {
				next()
			}
		})
	}
	d.on(n, gatherRound, next)
}

// linger waits for tokens to come by themselves where that takes no long time,
// and then concludes.
func (d *Simulation) linger(a *ask) {
	n := a.node
	a.round++ // replies of earlier rounds start nothing more
	wait, ok := n.lender.RefillWait(d.clock(n), &a.pot)
	if !ok {
		d.conclude(a, true)
		return
	}
	d.on(n, wait, func() { d.conclude(a, true) })
}

// conclude tries a waiting request again, and refuses it for good where last.
func (d *Simulation) conclude(a *ask, last bool) bool {
	n := a.node
	r, ok, returns := n.lender.TryAdmit(d.clock(n), &a.pot, last)
	for _, l := range returns {
		d.send(n, l, nil)
	}
	if ok {
		d.admit(a, r)
	}
	if !ok && last {
		a.done = true
		d.judge.refused(a)
	}
	return ok
}

func (d *Simulation) admit(a *ask, r lender.Reservation) {
	a.done = true
	d.judge.admitted(a)
	n := a.node
	d.on(n, time.Duration(d.rng.Float64()*float64(2*streamTime)), func() {
		for _, l := range n.lender.Settle(d.clock(n), r, a.used) {
			d.send(n, l, nil)
		}
	})
}
