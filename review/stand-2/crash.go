package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"slices"
	"strings"
	"sync"
	"time"
)

const (
	maxRetriesAfterThird = 3
	repeatInterval       = 4 * time.Second
	repeats              = 24
)

// crashCase sends one request again and again that crashes the engines that run it, on a route
// whose requests are divided between two services. SERVICES=1 has one service with all engines.
func crashCase(record string, trouble bool) (bool, error) {
	w, err := newWorld(record, map[string]string{"zagreb-a": "zagreb"})
	if err != nil {
		return false, err
	}
	defer w.stop()
	services := []string{"huvo11a", "wuno96b"}
	if os.Getenv("SERVICES") == "1" {
		services = services[:1]
	}
	read := route("r-read", "/puxa403/", "idempotent", services[0], 2500, 500, 2)
	place := route("r-place", "/pule252/", "non_idempotent", services[0], 2500, 500, 1)
	var backends, list []map[string]any
	for _, s := range services {
		backends = append(backends, map[string]any{"Service": s, "Weight": 50})
		list = append(list, plainService(s))
	}
	if len(backends) > 1 {
		for _, r := range []map[string]any{read, place} {
			r["Backends"] = backends
			delete(r, "Service")
		}
	}
	w.store.put("op/config", config(7, []map[string]any{read, place}, list))
	var mu sync.Mutex
	var crashes []time.Time
	for i := range 8 {
		e := &engine{service: services[i%len(services)], zone: "zagreb-a", slots: 6, queue: 24}
		e.events = func(string) (int, time.Duration) { return 0, time.Duration(40+rand.IntN(40)) * time.Millisecond }
		e.onRun = func(e *engine, r *http.Request) bool {
			if !trouble || !strings.HasPrefix(r.URL.Path, "/puxa403/deadly") {
				return false
			}
			mu.Lock()
			crashes = append(crashes, time.Now())
			mu.Unlock()
			w.log("request %s crashes engine %s (%s)", r.Header.Get("X-Request-Id"), r.Header.Get("X-Expect-Instance"), e.service)
			e.crash(3*time.Second, 0)
			return true
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
	wait := w.load(ctx, func() float64 { return 150 }, func() request {
		n++
		if n%2 == 0 {
			return request{kind: "order", method: "POST", path: fmt.Sprintf("/pule252/%d", n), body: make([]byte, 600), deadline: 5 * time.Second}
		}
		return request{kind: "look-up", method: "GET", path: fmt.Sprintf("/puxa403/%d", n), deadline: 5 * time.Second}
	})
	time.Sleep(5 * time.Second)
	var sent []attempt
	c := newClient()
	for range repeats {
		a := w.send(c, w.nodes[rand.IntN(len(w.nodes))], request{kind: "deadly", method: "GET", path: "/puxa403/deadly", deadline: 5 * time.Second})
		sent = append(sent, a)
		w.log("deadly request %s, sent to %s at %.3f, ended with %d %s", a.id, a.node, a.at.Sub(w.started).Seconds(), a.status, a.text)
		time.Sleep(time.Until(a.at.Add(repeatInterval)))
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
	mu.Lock()
	defer mu.Unlock()
	if len(crashes) < 3 {
		w.log("%d crashes", len(crashes))
		return true, nil
	}
	slices.SortFunc(crashes, time.Time.Compare)
	from := crashes[2].Add(stableMs)
	reached := 0
	for _, a := range sent {
		if !a.at.Before(from) && w.hasReached(a.id) {
			reached++
			w.log("request %s, sent %.1f s after the third crash, reached an engine", a.id, a.at.Sub(crashes[2]).Seconds())
		}
	}
	w.log("%d crashes, at which %d sound requests were running; later than %v after the third crash, %d retries reached engines, %d are allowed", len(crashes), lost, stableMs, reached, maxRetriesAfterThird)
	return reached <= maxRetriesAfterThird, nil
}
