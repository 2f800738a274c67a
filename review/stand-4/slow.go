package main

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// slow is a search: engines fall silent or are slow for a while, several times. It is no case.
func slow(w *World) (int, error) {
	w.Zones = map[string]string{"zagreb-a": "zagreb"}
	w.PutConfig()
	work, _ := time.ParseDuration(os.Getenv("WORK"))
	length, _ := time.ParseDuration(os.Getenv("LENGTH"))
	times, _ := strconv.Atoi(os.Getenv("TIMES"))
	kind := os.Getenv("KIND")
	var late atomic.Bool
	service, events := App, 0
	if kind == "draft" || kind == "ask" {
		service, events = Model, 4
	}
	for range 4 {
		e := &Engine{Service: service, Zone: "zagreb-a", Slots: 6, Queue: 24, Events: events, Gap: 30 * time.Millisecond}
		if events > 0 {
			e.Slots, e.Queue = 64, 192
		}
		e.WorkOf = func() time.Duration {
			if late.Load() {
				return work
			}
			return 60 * time.Millisecond
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
	path := map[string]string{"read": "/puxa403/", "write": "/pule252/", "draft": "/lohu930/", "ask": "/pufi791/"}[kind]
	var wg sync.WaitGroup
	wg.Go(func() {
		ticker := time.NewTicker(16 * time.Millisecond)
		defer ticker.Stop()
		for n := 0; ; n++ {
			select {
			case <-ctx.Done():
				return
			case <-ticker.C:
				wg.Go(func() {
					c.Do(context.Background(), w.Machines[n%3], kind, "POST", fmt.Sprintf("%s%d", path, n), 2400*time.Millisecond, []byte("abc"), nil)
				})
			}
		}
	})
	begin := time.Now()
	time.Sleep(6 * time.Second)
	for range times {
		late.Store(true)
		time.Sleep(length)
		late.Store(false)
		time.Sleep(4 * time.Second)
	}
	time.Sleep(20 * time.Second)
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
