package main

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// brittle: the engines of a service say that they are brittle, and later let fewer wait, while
// the requests for the service rise as in a burst.
func brittle(w *World) (int, error) {
	w.Zones = map[string]string{"zagreb-a": "zagreb"}
	trouble := os.Getenv("TROUBLE") != "0"
	const (
		engines = 4
		limit   = 20  // Server-Brittle
		base    = 200 // requests a second, half of what the engines can do
		factor  = 2.5
		burst   = 10 * time.Second
	)
	w.Config["Routes"].([]any)[3].(map[string]any)["GoalMs"] = 500
	w.PutConfig()
	var (
		mu       sync.Mutex
		fragile  atomic.Bool // the engines let fewer wait and may fall over
		falls    int
		rejected int
		cut      int
		recent   = make(map[*Engine][]time.Time) // rejections of the last second
	)
	for range engines {
		e := &Engine{Service: App, Zone: "zagreb-a", Slots: 6, Queue: 24, WorkOf: func() time.Duration { return time.Duration(30+rand.IntN(60)) * time.Millisecond }}
		e.Headers = func(*Engine) map[string]string {
			if trouble && saysBrittle.Load() {
				return map[string]string{"Server-Brittle": strconv.Itoa(limit)}
			}
			return nil
		}
		e.Before = func(e *Engine, rw http.ResponseWriter, _ *http.Request, a *Arrival) bool {
			if !fragile.Load() || int(e.waiting.Load()) < e.Slots+e.Queue/2 {
				return false
			}
			e.refuse(rw, a)
			now := time.Now()
			mu.Lock()
			defer mu.Unlock()
			rejected++
			list := append(recent[e], now)
			for now.Sub(list[0]) >= time.Second {
				list = list[1:]
			}
			recent[e] = list
			if len(list) > limit {
				recent[e] = nil
				falls++
				cut += int(e.running.Load())
				w.Record.Say("%s has turned away %d requests within a second and falls over, %d requests are running there: fall %d", a.Engine, len(list), e.running.Load(), falls)
				go crashAndReturn(w, e, 4*time.Second)
			}
			return true
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
	var rate atomic.Int64
	rate.Store(base)
	var wg sync.WaitGroup
	wg.Go(func() {
		next := time.Now()
		for n := 0; ctx.Err() == nil; n++ {
			time.Sleep(time.Until(next))
			next = next.Add(time.Second / time.Duration(rate.Load()))
			wg.Go(func() {
				c.Do(context.Background(), w.Machines[n%3], "read", "GET", fmt.Sprintf("/puxa403/%d", n), 2500*time.Millisecond, nil, nil)
			})
		}
	})
	time.Sleep(7 * time.Second)
	saysBrittle.Store(true)
	if trouble {
		w.Record.Say("all answers of the engines say Server-Brittle: %d", limit)
	}
	time.Sleep(6 * time.Second) // StableMs and more
	if trouble {
		fragile.Store(true)
		w.Record.Say("the engines let half as many wait")
	}
	rate.Store(base * factor)
	w.Record.Say("the burst begins")
	time.Sleep(burst)
	rate.Store(base)
	time.Sleep(5 * time.Second)
	saysBrittle.Store(false)
	fragile.Store(false)
	time.Sleep(time.Second)
	cancel()
	wg.Wait()
	for _, m := range w.Machines {
		if m.Ended() {
			w.Record.Say("%s has ended", m.Name)
			return 2, nil
		}
	}
	count := make(map[int]int)
	for _, a := range c.All() {
		count[a.Status]++
	}
	allowed := 2 + 0.1*engines
	mu.Lock()
	defer mu.Unlock()
	w.Record.Say("answers by status: %v", count)
	w.Record.Say("rejected %d; falls %d, %.1f are allowed; %d requests were running at the engines that fell", rejected, falls, math.Round(allowed*10)/10, cut)
	if float64(falls) > allowed {
		return 1, nil
	}
	return 0, nil
}

// saysBrittle tells whether the engines say that they are brittle.
var saysBrittle atomic.Bool
