package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

const (
	coldPerS = 4.4
	coldS    = 3 * time.Second
	// coldBound is the rule's: more requests in one second than this break it.
	coldBound = coldPerS*coldOver + coldSlack
)

// coldWatch counts what an engine gets while it is cold.
type coldWatch struct {
	mu   sync.Mutex
	id   string // of the run that is cold
	from time.Time
	seen []seenRequest
	most int
}

type seenRequest struct{ sent, at time.Time }

// arrived counts a request and reports whether more than the bound were sent and arrived in one
// second. Requests that were sent before the engine became cold do not count.
func (c *coldWatch) arrived(at, sent time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if sent.Before(c.from) {
		return false
	}
	c.seen = append(c.seen, seenRequest{sent, at})
	for _, first := range c.seen { // the second begins as it is sent
		n := 0
		for _, r := range c.seen {
			if !r.sent.Before(first.sent) && r.at.Sub(first.sent) < time.Second {
				n++
			}
		}
		c.most = max(c.most, n)
	}
	return float64(c.most) > coldBound
}

// coldCase lets engines become cold again while they are used, one after the other. An engine that
// gets more than the rule's bound in one second while it is cold crashes.
func coldCase(record string, trouble bool) (bool, error) {
	const events = 6
	w, err := newWorld(record, map[string]string{"zagreb-a": "zagreb"})
	if err != nil {
		return false, err
	}
	defer w.stop()
	model := plainService("huvo11a")
	model["MaxConns"], model["ColdS"], model["ColdPerS"] = 370, coldS.Seconds(), coldPerS
	model["Engine"] = map[string]any{"Slots": 64, "KvTokens": 612718, "Stride": 7, "Models": []map[string]any{{"Name": "m"}}}
	ask := route("r-ask", "/pufi791/", "stream", "huvo11a", 3000, 600, 2)
	ask["Resumable"], ask["Sticky"], ask["Priority"] = true, true, 0
	draft := route("r-draft", "/lohu930/", "stream", "huvo11a", 12000, 1000, 1)
	draft["Sticky"] = true
	w.store.put("op/config", config(7, []map[string]any{ask, draft}, []map[string]any{model}))
	watches := make([]*coldWatch, 4)
	broken := 0
	for i := range watches {
		e := &engine{service: "huvo11a", zone: "zagreb-a", slots: 64, queue: 192}
		e.events = func(path string) (int, time.Duration) {
			if path[1] == 'l' {
				return 20, time.Duration(1000+rand.IntN(1000)) * time.Millisecond
			}
			return 3, time.Duration(120+rand.IntN(120)) * time.Millisecond
		}
		watches[i] = &coldWatch{}
		e.onArrival = func(e *engine, a *arrival) {
			now := time.Now()
			c := watches[i]
			if a.engine != c.id || a.healthCheck || !a.coldAt {
				return
			}
			if c.arrived(a.at, w.sentAt(a.id)) {
				w.log("engine %s, cold for %.2f s, got %d requests in one second, %.1f are allowed: it crashes", c.id, now.Sub(c.from).Seconds(), c.most, coldBound)
				c.id = ""
				broken++
				e.crash(2*time.Second, coldS)
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
	n := 0
	wait := w.load(ctx, func() float64 { return 108 }, func() request {
		n++
		q := request{kind: "question", method: "POST", path: fmt.Sprintf("/pufi791/%d", n), body: make([]byte, 2400), deadline: 3 * time.Second, header: map[string]string{
			"X-Model": "m", "X-Token-Count": "1800,21", "X-Prefix-Hash": fmt.Sprintf("%x:341,%x:227,%x:1232", 1+n%20, 1000+n%375, 100000+n),
		}}
		if n%6 == 0 {
			q.kind, q.path, q.deadline = "draft", fmt.Sprintf("/lohu930/%d", n), 12*time.Second
		}
		return q
	})
	time.Sleep(8 * time.Second)
	for i := range events {
		e, c := w.engines[i%len(w.engines)], watches[i%len(w.engines)]
		if trouble {
			e.hold.Lock()
			e.mu.Lock()
			id := e.id
			e.mu.Unlock()
			c.mu.Lock()
			c.id, c.from, c.seen, c.most = id, time.Now(), nil, 0
			c.mu.Unlock()
			e.turnCold(coldS)
			e.hold.Unlock()
			w.log("engine %s becomes cold for %v, and its entry in the store says so", id, coldS)
			time.AfterFunc(coldS, func() {
				c.mu.Lock()
				defer c.mu.Unlock()
				var offsets []string
				for _, r := range c.seen {
					offsets = append(offsets, fmt.Sprintf("%.2f", r.at.Sub(c.from).Seconds()))
				}
				w.log("engine %s while cold: most in one second %d, %.1f are allowed; arrivals after %v s", id, c.most, coldBound, offsets)
			})
		}
		time.Sleep(8 * time.Second)
	}
	cancel()
	wait()
	w.writeRecord()
	lost := 0
	for _, e := range w.engines {
		e.hold.Lock()
		lost += e.runLost
		e.hold.Unlock()
	}
	w.log("%d of %d engines that became cold got more than %.1f requests in one second; %d requests were running at those that crashed", broken, events, coldBound, lost)
	return broken == 0, nil
}
