package main

import (
	"context"
	"fmt"
	"sync/atomic"
	"time"
)

const maxUnwanted = 2 // BUDGET: more than two requests

// permitWait: an engine in need names its Server-Limit. Later it is full for two seconds: what
// arrives is turned away with 503 and Retry-After.
func permitWait(ctx context.Context, d *deployment) (outcome, error) {
	const limit, fullFor = 20, 2 * time.Second
	var inNeed atomic.Bool
	var fullUntil atomic.Int64
	answer := func(now time.Time) verdict {
		var v verdict
		if inNeed.Load() {
			v.limit = limit
		}
		if now.UnixNano() < fullUntil.Load() {
			v.turnAway, v.retryAfter = true, fullFor
		}
		return v
	}
	d.engines = []*engine{{id: "i-7f3a91c2", service: "model-citac", zone: "zagreb-a", slots: 64, work: 90 * time.Millisecond, answer: answer}}
	if err := d.begin(streamConfig(), []string{"zagreb-a"}); err != nil {
		return outcome{}, err
	}
	if err := pause(ctx, 6*time.Second); err != nil {
		return outcome{}, err
	}
	c := &clients{rec: d.rec, gates: d.gates, host: "ficu95.example", path: "/lohu930/2f", key: "i9n73hh2b9wu3fexd9dn", tokens: "1460,80", deadline: 12 * time.Second, perS: 40, seed: 1}
	sending, stop := context.WithCancel(ctx)
	defer stop()
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		c.run(sending)
	}()
	if err := pause(ctx, 6*time.Second); err != nil {
		return outcome{}, err
	}
	if d.trouble {
		inNeed.Store(true)
		d.rec.note("the engine names its limit: %d a second", limit)
	}
	for range 4 {
		if err := pause(ctx, 8*time.Second); err != nil {
			return outcome{}, err
		}
		if d.trouble {
			d.rec.note("the engine is full for %v", fullFor)
			fullUntil.Store(time.Now().Add(fullFor).UnixNano())
		}
	}
	if err := pause(ctx, 4*time.Second); err != nil {
		return outcome{}, err
	}
	stop()
	<-ended
	n, told := countUnwanted(d.rec.sorted())
	text := fmt.Sprintf("BUDGET: at most %d requests reached an engine from one machine later than 0.5 s after its 503 with Retry-After and before the end of that time (2 allowed)", n)
	if n > 0 {
		text += fmt.Sprintf("; 503 at %.3f s to %s", told.at.Sub(d.rec.start).Seconds(), told.from)
	}
	return outcome{broken: n > maxUnwanted, text: text}, nil
}

// checkWait: the store is down several times, so that the machine checks the engine's health ten
// times a second. Each time the engine is full for a moment, and turns the next that arrives away
// with 503 and Retry-After, be it a request or a health check.
func checkWait(ctx context.Context, d *deployment) (outcome, error) {
	const (
		outage     = 4500 * time.Millisecond
		fullAfter  = 2 * time.Second // since the begin of the outage
		retryAfter = 2 * time.Second
	)
	var full atomic.Bool
	answer := func(time.Time) verdict {
		if full.Swap(false) {
			return verdict{turnAway: true, retryAfter: retryAfter}
		}
		return verdict{}
	}
	d.engines = []*engine{{id: "i-7f3a91c2", service: "model-citac", zone: "zagreb-a", slots: 64, work: 90 * time.Millisecond, answer: answer}}
	if err := d.begin(streamConfig(), []string{"zagreb-a"}); err != nil {
		return outcome{}, err
	}
	if err := pause(ctx, 6*time.Second); err != nil {
		return outcome{}, err
	}
	c := &clients{rec: d.rec, gates: d.gates, host: "ficu95.example", path: "/lohu930/2f", key: "i9n73hh2b9wu3fexd9dn", tokens: "1460,80", deadline: 12 * time.Second, perS: 4, seed: 1}
	sending, stop := context.WithCancel(ctx)
	defer stop()
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		c.run(sending)
	}()
	for range 6 {
		if err := pause(ctx, 6*time.Second); err != nil {
			return outcome{}, err
		}
		if d.trouble {
			d.rec.note("the store is down")
			d.store.setDown(true)
		}
		if err := pause(ctx, fullAfter); err != nil {
			return outcome{}, err
		}
		if d.trouble {
			d.rec.note("the engine is full for a moment")
			full.Store(true)
		}
		if err := pause(ctx, outage-fullAfter); err != nil {
			return outcome{}, err
		}
		d.store.setDown(false)
	}
	stop()
	<-ended
	n, told := countUnwanted(d.rec.sorted())
	text := fmt.Sprintf("BUDGET: at most %d requests of clients reached the engine from the machine later than 0.5 s after its 503 with Retry-After and before the end of that time (2 allowed)", n)
	if n > 0 {
		text += fmt.Sprintf("; 503 at %.3f s to a %s", told.at.Sub(d.rec.start).Seconds(), told.what)
	}
	return outcome{broken: n > maxUnwanted, text: text}, nil
}
