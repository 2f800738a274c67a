package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

const (
	brittleEngines = 4
	// brittleLimit is Server-Brittle: an engine that turns away more in one second falls over.
	// It serves 100 requests a second.
	brittleLimit = 20
	// burstFactor and burstTime are those of a burst of one kind of request in the site file.
	burstFactor = 2.5
	burstTime   = 10 * time.Second
	orders      = 100.0 // a second
	lookups     = 140.0 // a second, before the burst
)

// brittleCase lets the engines of a service be brittle for a time in which a burst comes.
func brittleCase(record string, trouble bool) (bool, error) {
	w, err := newWorld(record, map[string]string{"zagreb-a": "zagreb"})
	if err != nil {
		return false, err
	}
	defer w.stop()
	w.store.put("op/config", config(7, []map[string]any{
		route("r-read", "/puxa403/", "idempotent", "huvo11a", 3000, 500, 2),
		route("r-place", "/pule252/", "non_idempotent", "huvo11a", 3000, 500, 1),
	}, []map[string]any{plainService("huvo11a")}))
	var mu sync.Mutex
	var brittle atomic.Bool // they let fewer wait, and may fall over
	falls, turnedAway := 0, 0
	recent := make(map[*engine][]time.Time) // turned away in the last second
	for range brittleEngines {
		e := &engine{service: "huvo11a", zone: "zagreb-a", slots: 6, queue: 24}
		e.queueNow = func() int {
			if brittle.Load() {
				return e.queue / 2
			}
			return e.queue
		}
		e.events = func(string) (int, time.Duration) { return 0, time.Duration(30+rand.IntN(60)) * time.Millisecond }
		e.onTurnedAway = func(e *engine, at time.Time) {
			mu.Lock()
			defer mu.Unlock()
			turnedAway++
			list := append(recent[e], at)
			for at.Sub(list[0]) >= time.Second {
				list = list[1:]
			}
			recent[e] = list
			if brittle.Load() && len(list) > brittleLimit {
				recent[e] = nil
				falls++
				w.log("an engine turned %d requests away in one second and falls over: fall %d", len(list), falls)
				e.crash(4*time.Second, 0)
			}
		}
		if err := w.addEngine(e); err != nil {
			return false, err
		}
	}
	for range 3 {
		w.addNode("zagreb-a")
	}
	if err := w.startAll(); err != nil {
		return false, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var factor atomic.Int64 // of look-ups, in tenths
	factor.Store(10)
	n := 0
	waitLookups := w.load(ctx, func() float64 { return lookups * float64(factor.Load()) / 10 }, func() request {
		n++
		return request{kind: "look-up", method: "GET", path: fmt.Sprintf("/puxa403/%d", n), deadline: 3 * time.Second}
	})
	m := 0
	waitOrders := w.load(ctx, func() float64 { return orders }, func() request {
		m++
		return request{kind: "order", method: "POST", path: fmt.Sprintf("/pule252/%d", m), body: make([]byte, 600), deadline: 3 * time.Second}
	})
	time.Sleep(6 * time.Second)
	if trouble {
		for _, e := range w.engines {
			e.setHeader("Server-Brittle", strconv.Itoa(brittleLimit))
		}
		w.log("all answers of the engines say Server-Brittle: %d", brittleLimit)
	}
	time.Sleep(stableMs)
	if trouble {
		brittle.Store(true)
		w.log("the engines let half as many wait")
	}
	time.Sleep(4 * time.Second)
	w.log("burst: %g times the look-ups for %v", burstFactor, burstTime)
	factor.Store(int64(burstFactor * 10))
	time.Sleep(burstTime)
	w.log("the burst ends")
	factor.Store(10)
	time.Sleep(6 * time.Second)
	cancel()
	waitLookups()
	waitOrders()
	brittle.Store(false)
	w.writeRecord()
	mu.Lock()
	defer mu.Unlock()
	lost := 0
	for _, e := range w.engines {
		e.hold.Lock()
		lost += e.runLost
		e.hold.Unlock()
	}
	allowed := 2 + brittleEngines/10.0
	w.log("%d requests were turned away; %d falls, %.1f are allowed; %d requests were running at the engines that fell", turnedAway, falls, allowed, lost)
	return float64(falls) <= allowed, nil
}
