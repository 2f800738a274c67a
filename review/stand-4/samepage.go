package main

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"sync"
	"time"
)

// samePage: clients poll one public page all the time. The engines of the zone go down and come
// back together, twice; then comes a final fault. With ONE=1 they go down once.
func samePage(w *World) (int, error) {
	const (
		page       = "/status/all"
		down       = 4500 * time.Millisecond // of the engines
		between    = 9 * time.Second         // two times at which they go down
		final      = 15 * time.Second        // the final fault, after the first of them
		machines   = 730 * time.Millisecond  // that they are down
		recovery   = 12 * time.Second        // RecoveryS
		counted    = 12 * time.Second
		pagePeriod = time.Second / 120
	)
	w.Zones = map[string]string{"zagreb-a": "zagreb"}
	trouble := os.Getenv("TROUBLE") != "0"
	w.Config["Routes"] = append(w.Config["Routes"].([]any), Route("r-status", "/status/", "idempotent", App, 2500, 500, 2, map[string]any{"Public": true}))
	w.PutConfig()
	for range 4 {
		if _, err := w.AddEngine(&Engine{Service: App, Zone: "zagreb-a", Slots: 6, Queue: 24, Work: 60 * time.Millisecond}); err != nil {
			return 2, err
		}
	}
	for range 3 {
		w.AddMachine("zagreb-a")
	}
	if err := w.StartMachines(); err != nil {
		return 2, err
	}
	c := NewClient(Host, Key, w.Record)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var wg sync.WaitGroup
	send := func(every time.Duration, kind, method string, path func(n int) string, body func(n int) []byte) {
		wg.Go(func() {
			ticker := time.NewTicker(every)
			defer ticker.Stop()
			for n := 0; ; n++ {
				select {
				case <-ctx.Done():
					return
				case <-ticker.C:
					wg.Go(func() {
						c.Do(context.Background(), w.Machines[n%3], kind, method, path(n), 2500*time.Millisecond, body(n), nil)
					})
				}
			}
		})
	}
	send(pagePeriod, "page", "GET", func(int) string { return page }, func(int) []byte { return nil })
	send(100*time.Millisecond, "order", "POST", func(n int) string { return fmt.Sprintf("/pule252/%d", n) }, func(n int) []byte { return fmt.Appendf(nil, "order %d", n) })
	begin := time.Now()
	at := func() float64 { return time.Since(begin).Seconds() }
	time.Sleep(7 * time.Second)
	first := time.Now()
	calm := first
	for n := range 2 {
		time.Sleep(time.Until(first.Add(time.Duration(n) * between)))
		if !trouble || n > 0 && os.Getenv("ONE") != "" {
			continue
		}
		w.Record.Say("%.1f s: the engines of the zone go down for %v", at(), down)
		for _, e := range w.Engines {
			crashAndReturn(w, e, down)
		}
	}
	time.Sleep(time.Until(first.Add(final)))
	setVersion(w, 9)
	w.PutConfig()
	for _, m := range w.Machines {
		m.Kill()
	}
	w.Record.Say("%.1f s: final fault: a version was acknowledged, and all processes are killed", at())
	time.Sleep(machines)
	for _, m := range w.Machines {
		if err := m.Start(false); err != nil {
			return 2, err
		}
	}
	if err := AwaitReady(w.Machines, 10*time.Second); err != nil {
		return 2, err
	}
	back := time.Now()
	w.Record.Say("%.1f s: all machines are back and ready", at())
	time.Sleep(recovery + counted)
	cancel()
	wg.Wait()

	type count struct{ served, all int }
	before, after, pages, orders := count{}, count{}, count{}, count{}
	add := func(k *count, ok bool) {
		k.all++
		if ok {
			k.served++
		}
	}
	seconds := make(map[int]*count)
	for _, a := range c.All() {
		ok := a.Status == http.StatusOK && a.Complete
		s := int(a.SentAt.Sub(begin).Seconds())
		if seconds[s] == nil {
			seconds[s] = &count{}
		}
		add(seconds[s], ok)
		if a.SentAt.Before(calm) {
			add(&before, ok)
		}
		if a.SentAt.After(back.Add(recovery)) {
			add(&after, ok)
			if a.Kind == "page" {
				add(&pages, ok)
			} else {
				add(&orders, ok)
			}
		}
	}
	for s := range len(seconds) {
		w.Record.Printf("second %d: %d of %d served", s, seconds[s].served, seconds[s].all)
	}
	for _, m := range w.Machines {
		if m.Ended() {
			w.Record.Say("%s has ended", m.Name)
			return 2, nil
		}
	}
	w.Record.Say("served before any trouble: %d of %d", before.served, before.all)
	w.Record.Say("served of the requests sent later than %v after the machines were back: %d of %d; of the page %d of %d, of the orders %d of %d",
		recovery, after.served, after.all, pages.served, pages.all, orders.served, orders.all)
	switch {
	case before.served*4 < before.all || after.all == 0:
		return 2, nil
	case after.served*4 < after.all:
		return 1, nil
	}
	return 0, nil
}
