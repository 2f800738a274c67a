package main

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"syscall"
	"time"
)

const (
	configBound = 3 * time.Second // ConfigMs
	keptKey     = "i9n73hh2b9wu3fexd9dn"
	revokedKey  = "n2ctnfzs989anu6wsjnb"
)

// storeMoved: the settings files change, and each machine is told by SIGHUP: the store stands at
// another address from then on. Later the operator takes a key away.
func storeMoved(ctx context.Context, d *deployment) (outcome, error) {
	d.engines = []*engine{{id: "i-7f3a91c2", service: "model-citac", zone: "zagreb-a", slots: 64, work: 60 * time.Millisecond}}
	config := streamConfig()
	tenant := config["Tenants"].([]any)[0].(map[string]any)
	tenant["ApiKeys"] = []string{keptKey, revokedKey}
	if err := d.begin(config, []string{"zagreb-a", "zagreb-a"}); err != nil {
		return outcome{}, err
	}
	if err := pause(ctx, 6*time.Second); err != nil {
		return outcome{}, err
	}
	kept := &clients{rec: d.rec, gates: d.gates, host: "ficu95.example", path: "/lohu930/2f", key: keptKey, tokens: "1460,80", deadline: 12 * time.Second, perS: 5, seed: 1}
	revoked := &clients{rec: d.rec, gates: d.gates, host: "ficu95.example", path: "/lohu930/2f", key: revokedKey, tokens: "1460,80", deadline: 12 * time.Second, perS: 5, seed: 2}
	sending, stop := context.WithCancel(ctx)
	defer stop()
	var wg sync.WaitGroup
	wg.Go(func() { kept.run(sending) })
	wg.Go(func() { revoked.run(sending) })
	if err := pause(ctx, 5*time.Second); err != nil {
		return outcome{}, err
	}
	if d.trouble {
		addr, err := d.store.move(d.ip(0, 2))
		if err != nil {
			return outcome{}, err
		}
		for _, g := range d.gates {
			if err := g.writeSettings(addr, d.seeds); err != nil {
				return outcome{}, err
			}
			if err := g.cmd.Process.Signal(syscall.SIGHUP); err != nil {
				return outcome{}, err
			}
		}
		d.rec.note("the settings files name the new address of the store, %s; SIGHUP to all machines", addr)
	}
	if err := pause(ctx, 12*time.Second); err != nil {
		return outcome{}, err
	}
	tenant["ApiKeys"], config["Version"] = []string{keptKey}, 9
	text, err := json.Marshal(config)
	if err != nil {
		return outcome{}, err
	}
	d.store.put("op/config", text)
	acked := time.Now()
	d.rec.note("version 9 is acknowledged: one key is taken away")
	if err := pause(ctx, 20*time.Second); err != nil {
		return outcome{}, err
	}
	stop()
	wg.Wait()
	ran := 0
	for _, e := range d.rec.sorted() {
		if e.what == "request" && e.result == "taken" && d.rec.get(e.id).key == revokedKey && d.rec.get(e.id).at.After(acked.Add(configBound)) {
			ran++
		}
	}
	return outcome{broken: ran > 0, text: fmt.Sprintf("CONFIG: %d requests with the key that was taken away, sent later than 3 s after the acknowledgement, ran", ran)}, nil
}
