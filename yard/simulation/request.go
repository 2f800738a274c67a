package simulation

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"chervilyard.example/yard/lender"
)

// pendingRequest is one request, from its arrival until it is admitted or
// refused.
type pendingRequest struct {
	instance  *instance
	customer  string
	tokens    float64 // to reserve
	used      float64 // known when the request ends
	decisions decisions
	collected lender.Collection // tokens granted by peers
	arrivedAt time.Time
	round     int // rounds of requests to peers so far, and one more for the wait for refill
	replies   int // received since the round began, duplicates and late ones included
	done      bool
}

// issueRequest sends one request of the customer to an instance of the region.
// The request is admitted at once or collects tokens from peers.
func (sim *Simulation) issueRequest(c Customer, customer string, region int) {
	tokens := c.MeanRequestTokens * (0.5 + sim.rng.Float64())
	used := tokens * (1 - sim.rng.Float64()*c.MaxUnusedFraction)
	inst := sim.chooseInstance(customer, region)
	if inst == nil {
		return // no instance runs in the region; that is not a quota decision
	}
	req := &pendingRequest{instance: inst, customer: customer, tokens: tokens, used: used, arrivedAt: sim.now}
	req.decisions = sim.evaluator.recordRequest(inst, customer, tokens, used)
	reservation, ok := inst.lender.Admit(sim.localTime(inst), customer, tokens)
	if ok {
		sim.admit(req, reservation)
		return
	}
	sim.collectTokens(req)
}

// chooseInstance returns the instance that a caller in the region uses, or nil
// if none runs there. A caller that uses /locate gets a random holder of the
// customer's quota, or the instance of the highest rank if none holds any.
// Otherwise the instance is random.
func (sim *Simulation) chooseInstance(customer string, region int) *instance {
	var holders, candidates []*instance
	for _, inst := range sim.instances {
		if inst.region != region || !inst.alive || sim.now.Before(inst.pausedUntil) {
			continue
		}
		candidates = append(candidates, inst)
		if sim.ownedFraction(inst, customer) > 0 {
			holders = append(holders, inst)
		}
	}
	if len(holders) > 0 && !sim.script.IgnoreLocate {
		candidates = holders
	}
	if len(candidates) == 0 {
		return nil
	}
	if len(holders) == 0 && !sim.script.IgnoreLocate {
		return slices.MaxFunc(candidates, func(a, b *instance) int { return cmp.Compare(rank(customer, a), rank(customer, b)) })
	}
	return candidates[sim.rng.IntN(len(candidates))]
}

// rank returns the rank of an instance for the named customer, by rendezvous
// hashing. It applies if no instance in the region holds quota of the customer.
func rank(name string, inst *instance) uint64 { return xxhash.Sum64String(name + "/" + inst.address) }

// collectTokens starts the next round of requests to peers for the tokens that
// the request lacks. The round ends when as many replies as requests have arrived
// or after collectRoundTimeout. If no round can start, waitForRefill decides on
// the request.
func (sim *Simulation) collectTokens(req *pendingRequest) {
	inst := req.instance
	messages := inst.lender.CollectTokens(sim.localTime(inst), req.customer, req.tokens, &req.collected)
	if len(messages) == 0 || req.round == maxCollectRounds || sim.now.Sub(req.arrivedAt) >= collectTimeout {
		sim.waitForRefill(req)
		return
	}
	req.round++
	req.replies = 0
	round := req.round
	retry := func() {
		if req.done || req.round != round {
			return
		}
		if !sim.retryAdmission(req, false) {
			sim.collectTokens(req)
		}
	}
	for _, message := range messages {
		sim.send(inst, message, func() {
			req.replies++
			if req.round == round && req.replies == len(messages) {
				retry()
			}
		})
	}
	sim.scheduleOn(inst, collectRoundTimeout, retry)
}

// waitForRefill admits or refuses the request finally, after a wait for the
// instance's own refill if the lender finds that wait short enough.
func (sim *Simulation) waitForRefill(req *pendingRequest) {
	inst := req.instance
	req.round++ // replies of earlier rounds must not start another attempt
	wait, ok := inst.lender.RefillWait(sim.localTime(inst), &req.collected)
	if !ok {
		sim.retryAdmission(req, true)
		return
	}
	sim.scheduleOn(inst, wait, func() { sim.retryAdmission(req, true) })
}

// retryAdmission tries to admit a waiting request with the tokens collected so
// far, and reports whether it did. If lastAttempt is set, a request that still
// lacks tokens is refused.
func (sim *Simulation) retryAdmission(req *pendingRequest, lastAttempt bool) bool {
	inst := req.instance
	reservation, ok, returns := inst.lender.TryAdmit(sim.localTime(inst), &req.collected, lastAttempt)
	for _, message := range returns {
		sim.send(inst, message, nil)
	}
	if ok {
		sim.admit(req, reservation)
	}
	if !ok && lastAttempt {
		req.done = true
		sim.evaluator.recordRefused(req)
	}
	return ok
}

// admit admits the request and schedules the settlement of its reservation.
func (sim *Simulation) admit(req *pendingRequest, reservation lender.Reservation) {
	req.done = true
	sim.evaluator.recordAdmitted(req)
	inst := req.instance
	sim.scheduleOn(inst, time.Duration(sim.rng.Float64()*float64(2*meanStreamDuration)), func() {
		for _, message := range inst.lender.Settle(sim.localTime(inst), reservation, req.used) {
			sim.send(inst, message, nil)
		}
	})
}
