package main

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"
)

// zero is a search: all engines name a limit for some seconds, then no more. It is no case.
func zero(w *World) (int, error) {
	w.Zones = map[string]string{"zagreb-a": "zagreb"}
	w.PutConfig()
	var limited atomic.Bool
	for range 4 {
		e := &Engine{Service: App, Zone: "zagreb-a", Slots: 6, Queue: 24, Work: 60 * time.Millisecond}
		e.Headers = func(*Engine) map[string]string {
			if limited.Load() {
				return map[string]string{"Server-Limit": os.Getenv("LIMIT")}
			}
			return nil
		}
		e.Before = func(e *Engine, rw http.ResponseWriter, _ *http.Request, a *Arrival) bool {
			if limited.Load() && os.Getenv("WAIT") != "" {
				rw.Header().Set("Retry-After", os.Getenv("WAIT"))
				e.refuse(rw, a)
				return true
			}
			return false
		}
		if _, err := w.AddEngine(e); err != nil {
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
	wg.Go(func() {
		ticker := time.NewTicker(10 * time.Millisecond)
		defer ticker.Stop()
		for n := 0; ; n++ {
			select {
			case <-ctx.Done():
				return
			case <-ticker.C:
				wg.Go(func() {
					c.Do(context.Background(), w.Machines[n%3], "read", "GET", fmt.Sprintf("/puxa403/%d", n), 2*time.Second, nil, nil)
				})
			}
		}
	})
	begin := time.Now()
	time.Sleep(6 * time.Second)
	limited.Store(true)
	time.Sleep(6 * time.Second)
	limited.Store(false)
	time.Sleep(25 * time.Second)
	cancel()
	wg.Wait()
	served, all := map[int]int{}, map[int]int{}
	for _, a := range c.All() {
		s := int(a.SentAt.Sub(begin).Seconds())
		all[s]++
		if a.Status == http.StatusOK {
			served[s]++
		}
	}
	for s := range len(all) {
		w.Record.Say("second %d: served %d of %d", s, served[s], all[s])
	}
	return 0, nil
}
