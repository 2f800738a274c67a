package main

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"os"
	"sync"
	"time"
)

// The deadly request, and how long an engine is away after a crash.
const (
	deadlyPath   = "/pule252/report"
	crashTime    = 3 * time.Second
	entryLapse   = 3600 * time.Millisecond // three heartbeats of 1.2 s
	deadlyPeriod = 500 * time.Millisecond
)

// crashAndReturn crashes the engine and starts it again after a time. Its entry lapses.
func crashAndReturn(w *World, e *Engine, away time.Duration) {
	old := e.ID()
	e.Crash()
	time.AfterFunc(entryLapse, func() { w.Store.Delete("servers/" + old) })
	time.AfterFunc(away, func() {
		for range 30 {
			if err := e.Start(false); err == nil {
				return
			}
			time.Sleep(100 * time.Millisecond)
		}
		w.Record.Say("an engine did not start again")
	})
}

// crashSplit: a request that crashes the engines that run it comes again and again, on a route
// that is split over three services. With ONE=1 the route has one service with all engines.
func crashSplit(w *World) (int, error) {
	w.Zones = map[string]string{"zagreb-a": "zagreb"}
	trouble := os.Getenv("TROUBLE") != "0"
	services := []string{App, "wuno97c", "wuno98d"}
	if os.Getenv("ONE") != "" {
		services = []string{App, App, App}
	}
	split := Route("r-write", "/pule252/", "non_idempotent", App, 2500, 300, 1, nil)
	if services[1] != App {
		delete(split, "Service")
		split["Backends"] = []any{
			map[string]any{"Service": services[0], "Weight": 80}, map[string]any{"Service": services[1], "Weight": 10}, map[string]any{"Service": services[2], "Weight": 10},
		}
		for _, name := range services[1:] {
			w.Config["Services"] = append(w.Config["Services"].([]any), map[string]any{"Name": name, "HealthPath": "/healthz", "MaxConns": 110, "Protocol": "h1", "Tls": false, "ColdS": 0.0, "ColdPerS": 0.0})
		}
	}
	w.Config["Routes"].([]any)[2] = split
	w.PutConfig()
	var mu sync.Mutex
	var crashes []time.Time
	cut := 0
	for n := range 6 {
		e := &Engine{Service: services[n/2], Zone: "zagreb-a", Slots: 6, Queue: 24, Work: 30 * time.Millisecond}
		e.Before = func(e *Engine, _ http.ResponseWriter, r *http.Request, a *Arrival) bool {
			if r.URL.Path != deadlyPath {
				return false
			}
			a.Run = true
			mu.Lock()
			crashes = append(crashes, time.Now())
			cut += int(e.running.Load())
			mu.Unlock()
			w.Record.Say("%s of %s begins to run %s and crashes, %d other requests are running there", a.Engine, a.Service, a.ID, e.running.Load())
			go crashAndReturn(w, e, crashTime)
			<-r.Context().Done()
			return true
		}
		if _, err := w.AddEngine(e); err != nil {
			return 2, err
		}
	}
	w.AddMachine("zagreb-a")
	w.AddMachine("zagreb-a")
	if err := w.StartMachines(); err != nil {
		return 2, err
	}
	c := NewClient(Host, Key, w.Record)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var wg sync.WaitGroup
	send := func(every time.Duration, kind string, path func(n int) string, body func(n int) []byte) {
		wg.Go(func() {
			ticker := time.NewTicker(every)
			defer ticker.Stop()
			for n := 0; ; n++ {
				select {
				case <-ctx.Done():
					return
				case <-ticker.C:
					wg.Go(func() {
						c.Do(context.Background(), w.Machines[n%2], kind, "POST", path(n), 2500*time.Millisecond, body(n), nil)
					})
				}
			}
		})
	}
	send(50*time.Millisecond, "sound", func(n int) string { return fmt.Sprintf("/pule252/%d", n) }, func(n int) []byte { return fmt.Appendf(nil, "order %d", n) })
	time.Sleep(7 * time.Second) // all is calm for longer than StableMs
	if trouble {
		send(deadlyPeriod, "deadly", func(int) string { return deadlyPath }, func(int) []byte { return bytes.Repeat([]byte("q"), 600) })
	}
	time.Sleep(70 * time.Second)
	cancel()
	wg.Wait()

	const stable = 5 * time.Second
	late, sound, served := 0, 0, 0
	mu.Lock()
	defer mu.Unlock()
	if len(crashes) >= 3 {
		for _, a := range w.Journal.All() {
			if a.Target == deadlyPath && a.At.After(crashes[2].Add(stable)) {
				late++
				w.Record.Say("BUDGET: %s reached %s of %s %.1f s after the third crash", a.ID, a.Engine, a.Service, a.At.Sub(crashes[2]).Seconds())
			}
		}
	}
	for _, a := range c.All() {
		if a.Kind == "sound" {
			sound++
			if a.Status == http.StatusOK {
				served++
			}
		}
	}
	for _, m := range w.Machines {
		if m.Ended() {
			w.Record.Say("%s has ended", m.Name)
			return 2, nil
		}
	}
	w.Record.Say("crashes %d, with %d sound requests running there; sound requests served %d of %d", len(crashes), cut, served, sound)
	w.Record.Say("retries that reached engines later than %v after the third crash: %d, 3 are allowed", stable, late)
	if late > 3 {
		return 1, nil
	}
	return 0, nil
}
