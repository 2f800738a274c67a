package main

import (
	"bytes"
	"context"
	"math/rand/v2"
	"os"
	"strconv"
	"sync"
	"time"
)

// reborn is a search: engines crash and start again under their IDs after a short time. It is no
// case.
func reborn(w *World) (int, error) {
	w.Zones = map[string]string{"zagreb-a": "zagreb"}
	model := w.Config["Services"].([]any)[0].(map[string]any)
	model["ColdS"], model["ColdPerS"] = 3.0, 4.4
	w.PutConfig()
	away, _ := time.ParseDuration(os.Getenv("AWAY"))
	machines, _ := strconv.Atoi(os.Getenv("MACHINES"))
	for range 4 {
		if _, err := w.AddEngine(&Engine{Service: Model, Zone: "zagreb-a", Slots: 64, Queue: 192, Work: 80 * time.Millisecond, Events: 4, Gap: 60 * time.Millisecond, ColdS: 3}); err != nil {
			return 2, err
		}
	}
	for range machines {
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
		r := rand.New(rand.NewPCG(5, 5))
		ticker := time.NewTicker(time.Second / 108)
		defer ticker.Stop()
		for n := 0; ; n++ {
			select {
			case <-ctx.Done():
				return
			case <-ticker.C:
				h := tokens(r)
				wg.Go(func() {
					c.Do(context.Background(), w.Machines[n%machines], "ask", "POST", "/pufi791/2f", 3*time.Second, bytes.Repeat([]byte("a"), 2000), h)
				})
			}
		}
	})
	time.Sleep(12 * time.Second)
	worst := 0
	keep := os.Getenv("NEW") == ""
	times, _ := strconv.Atoi(os.Getenv("TIMES"))
	for k := range times {
		e := w.Engines[k%len(w.Engines)]
		old := e.ID()
		e.Crash()
		if !keep {
			time.AfterFunc(entryLapse, func() { w.Store.Delete("servers/" + old) })
		}
		time.Sleep(away)
		for e.Start(keep) != nil {
			time.Sleep(10 * time.Millisecond)
		}
		started := time.Now()
		id := e.ID()
		time.Sleep(4500 * time.Millisecond)
		sent := map[string]time.Time{}
		for _, a := range c.All() {
			sent[a.ID] = a.SentAt
		}
		type hit struct{ sent, at time.Time }
		var hits []hit
		for _, a := range w.Journal.All() {
			if a.Engine == id && a.At.After(started) && a.At.Before(started.Add(3*time.Second)) && sent[a.ID].After(started) {
				hits = append(hits, hit{sent[a.ID], a.At})
			}
		}
		most := 0
		for _, first := range hits {
			n := 0
			for _, h := range hits {
				if !h.sent.Before(first.sent) && h.at.Sub(first.sent) < time.Second {
					n++
				}
			}
			most = max(most, n)
		}
		worst = max(worst, most)
		w.Record.Say("engine %s was away for %v: at most %d requests in one second of its first 3 s, 9.6 are allowed", id, away, most)
	}
	cancel()
	wg.Wait()
	if worst > 9 {
		return 1, nil
	}
	return 0, nil
}
