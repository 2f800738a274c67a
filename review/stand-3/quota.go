package main

import (
	"context"
	"fmt"
	"math"
	"sync"
	"time"
)

// The figures of the rule and of the tenant.
const (
	quotaRate   = 36000.0 // tokens a second; the lowest of the site file
	quotaBurst  = 36000.0
	quotaWindow = 8.0 // QuotaWindowS
	quotaOver   = 0.1
	quotaSlack  = 140000.0
)

// unlimitedOutput: one tenant sends more than its quota. Some of its requests state the largest
// integer as their most output tokens. Engines reject these as larger than their memory.
func unlimitedOutput(ctx context.Context, d *deployment) (outcome, error) {
	const tokens = 1460 + 80
	for n := range 2 {
		d.engines = append(d.engines, &engine{id: fmt.Sprintf("i-7f3a91c%d", n), service: "model-citac", zone: "zagreb-a", slots: 64, work: 60 * time.Millisecond, memory: 612718})
	}
	config := streamConfig()
	tenant := config["Tenants"].([]any)[0].(map[string]any)
	tenant["RatePerS"], tenant["Burst"] = quotaRate, quotaBurst
	if err := d.begin(config, []string{"zagreb-a", "zagreb-a"}); err != nil {
		return outcome{}, err
	}
	if err := pause(ctx, 6*time.Second); err != nil {
		return outcome{}, err
	}
	usual := &clients{rec: d.rec, gates: d.gates, host: "ficu95.example", path: "/lohu930/2f", key: "i9n73hh2b9wu3fexd9dn", tokens: "1460,80", deadline: 12 * time.Second, perS: 80, seed: 1}
	odd := &clients{rec: d.rec, gates: d.gates, host: "ficu95.example", path: "/lohu930/2f", key: "i9n73hh2b9wu3fexd9dn", tokens: fmt.Sprintf("1460,%d", math.MaxInt64), deadline: 12 * time.Second, perS: 8, seed: 2}
	sending, stop := context.WithCancel(ctx)
	defer stop()
	var wg sync.WaitGroup
	wg.Go(func() { usual.run(sending) })
	if d.trouble {
		wg.Go(func() { odd.run(sending) })
	}
	if err := pause(ctx, 30*time.Second); err != nil {
		return outcome{}, err
	}
	stop()
	wg.Wait()
	var ran []time.Time
	for _, e := range d.rec.sorted() {
		if e.what == "request" && e.result == "taken" {
			ran = append(ran, e.at)
		}
	}
	most := 0
	for i := range ran {
		n := 0
		for _, at := range ran[i:] {
			if at.Sub(ran[i]).Seconds() >= quotaWindow {
				break
			}
			n++
		}
		most = max(most, n)
	}
	allowed := (quotaRate*quotaWindow+quotaBurst)*(1+quotaOver) + quotaSlack
	text := fmt.Sprintf("QUOTA: requests of %d tokens ran in some 8 s; %.0f allowed", most*tokens, allowed)
	return outcome{broken: float64(most*tokens) > allowed, text: text}, nil
}
