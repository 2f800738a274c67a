package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// versions is a search that found nothing: keys come and go with each version, engines leave,
// a route has a home, and the store comes back from older copies, whereupon the operator writes
// its newest version again. It is no case.
func versions(w *World) (int, error) {
	seed, _ := strconv.ParseUint(os.Getenv("SEED"), 10, 64)
	rnd := rand.New(rand.NewPCG(seed, 1))
	w.Zones = map[string]string{"zagreb-a": "zagreb", "split-a": "split"}
	w.Config["Routes"] = append(w.Config["Routes"].([]any), Route("r-home", "/homes/", "idempotent", App, 2500, 300, 2, map[string]any{"HomeRegions": []string{"split"}}))
	key := func(v int) string { return fmt.Sprintf("versionkey%010d", v) }
	const held = 3 // versions for which a key is held
	setKeys(w, Key, key(7))
	w.PutConfig()
	var leaving sync.Map // engine ID
	for _, zone := range []string{"zagreb-a", "split-a"} {
		w.AddMachine(zone)
		w.AddMachine(zone)
		for range 3 {
			e := &Engine{Service: App, Zone: zone, Slots: 6, Queue: 24, Work: 10 * time.Millisecond}
			e.Headers = func(e *Engine) map[string]string {
				if _, ok := leaving.Load(e.ID()); ok {
					return map[string]string{"Server-Leaving": "1"}
				}
				return nil
			}
			if _, err := w.AddEngine(e); err != nil {
				return 2, err
			}
		}
	}
	if err := w.StartMachines(); err != nil {
		return 2, err
	}
	c := NewClient(Host, Key, w.Record)
	var version atomic.Int64
	version.Store(7)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var wg sync.WaitGroup
	keyOf := new(sync.Map) // by request
	for n := range 24 {
		r := rand.New(rand.NewPCG(seed, uint64(n)+10))
		wg.Go(func() {
			for ctx.Err() == nil {
				m := w.Machines[n%4]
				v := int(version.Load()) - r.IntN(held+3) + 1
				kind, path := "key", "/puxa403/2f"
				headers := map[string]string{"X-Key": key(v)}
				if r.IntN(4) == 0 {
					kind, path, headers = "home", "/homes/2f", nil
				}
				a := c.Do(ctx, m, kind, "GET", path, 3*time.Second, nil, headers)
				keyOf.Store(a.ID, v)
				time.Sleep(time.Duration(5+r.IntN(15)) * time.Millisecond)
			}
		})
	}
	type spell struct {
		machine  string
		from, to time.Time
	}
	var mu sync.Mutex
	var spells []spell // in which the rules excuse a machine
	excuse := func(m *Machine, from time.Time) {
		mu.Lock()
		spells = append(spells, spell{m.Name, from, time.Now()})
		mu.Unlock()
	}
	next := func() {
		v := int(version.Load()) + 1
		keys := []string{Key}
		for u := max(v-held+1, 7); u <= v; u++ {
			keys = append(keys, key(u))
		}
		setKeys(w, keys...)
		setVersion(w, v)
		w.PutConfig()
		version.Store(int64(v))
	}
	busy := make(map[*Machine]bool)
	end := time.Now().Add(60 * time.Second)
	nextVersion := time.Now()
	var pending sync.WaitGroup
	for time.Now().Before(end) {
		time.Sleep(time.Duration(200+rnd.IntN(500)) * time.Millisecond)
		if time.Now().After(nextVersion) {
			next()
			nextVersion = time.Now().Add(time.Duration(600+rnd.IntN(2500)) * time.Millisecond)
		}
		m, e := w.Machines[rnd.IntN(4)], w.Engines[rnd.IntN(len(w.Engines))]
		mu.Lock()
		taken := busy[m]
		mu.Unlock()
		free := func() { mu.Lock(); busy[m] = false; mu.Unlock() }
		switch k := rnd.IntN(14); {
		case k == 0 && !taken:
			busy[m] = true
			from := time.Now()
			pending.Go(func() { m.Kill(); time.Sleep(time.Second); _ = m.Start(false); excuse(m, from); free() })
		case k == 1 && !taken:
			busy[m] = true
			from := time.Now()
			d := time.Duration(500+rnd.IntN(4000)) * time.Millisecond
			pending.Go(func() { m.Signal(syscall.SIGSTOP); time.Sleep(d); m.Signal(syscall.SIGCONT); excuse(m, from); free() })
		case k <= 3:
			d := time.Duration(1000+rnd.IntN(4000)) * time.Millisecond
			w.Record.Printf("drill: %v", d)
			w.Store.Rollback(d)
			for _, e := range w.Engines {
				e.Write()
			}
			time.Sleep(time.Duration(100+rnd.IntN(3500)) * time.Millisecond)
			w.PutConfig()
		case k <= 6:
			id := e.ID()
			if _, ok := leaving.LoadOrStore(id, time.Now()); ok {
				continue
			}
			w.Record.Printf("engine %s begins to say that it leaves", id)
			pending.Go(func() {
				time.Sleep(8 * time.Second)
				e.Crash()
				w.Store.Delete("servers/" + id)
				for range 20 {
					if e.Start(false) == nil {
						return
					}
					time.Sleep(100 * time.Millisecond)
				}
			})
		}
	}
	pending.Wait()
	cancel()
	wg.Wait()
	broken := 0
	fail := func(format string, args ...any) { broken++; w.Record.Say("BROKEN "+format, args...) }
	answers := make(map[string]*Answer)
	for _, a := range c.All() {
		answers[a.ID] = a
	}
	restarted := func(machine string, from, to time.Time) bool {
		for _, s := range spells {
			if (machine == "" || s.machine == machine) && s.from.Before(to) && s.to.Add(2*time.Second).After(from) {
				return true
			}
		}
		return false
	}
	seen := make(map[string]map[int]time.Time)
	for _, m := range w.Machines {
		seen[m.Name] = make(map[int]time.Time)
	}
	passedOn := make(map[string]time.Time) // by machine and engine
	zones := make(map[string]string)
	for _, e := range w.Engines {
		zones[e.ID()] = e.Zone
	}
	list := w.Journal.All()
	for _, a := range list { // in order of arrival
		s := answers[a.ID]
		if s == nil || !a.Run {
			continue
		}
		v, _ := keyOf.Load(a.ID)
		if s.Kind == "key" {
			if _, ok := seen[s.Machine][v.(int)]; !ok {
				seen[s.Machine][v.(int)] = a.At
			}
		}
		if since, ok := leaving.Load(a.Engine); ok && a.At.After(since.(time.Time)) && s.Status == http.StatusOK {
			id := s.Machine + " " + a.Engine
			if at, ok := passedOn[id]; !ok || s.EndAt.Before(at) {
				passedOn[id] = s.EndAt
			}
		}
	}
	old, late, ran, left := 0, 0, 0, 0
	for _, a := range list {
		s := answers[a.ID]
		if s == nil || !a.Run {
			continue
		}
		ran++
		v, _ := keyOf.Load(a.ID)
		if s.Kind == "key" {
			for u, at := range seen[s.Machine] {
				if u >= v.(int)+held && s.SentAt.After(at.Add(250*time.Millisecond)) && !restarted(s.Machine, at, s.SentAt) {
					old++
					fail("CONFIG: %s at %s ran with key of version %d, version %d was seen %.3f s before", a.ID, s.Machine, v, u, s.SentAt.Sub(at).Seconds())
					break
				}
			}
		}
		if s.Kind == "home" && zones[a.Engine] == "zagreb-a" {
			fail("HOME: %s ran in %s", a.ID, zones[a.Engine])
		}
		if at, ok := passedOn[s.Machine+" "+a.Engine]; ok && s.SentAt.After(at) {
			left++
			// The machine that sent it to the engine may be another one of any region.
			if s.SentAt.After(at.Add(3*time.Second)) && !restarted("", s.SentAt.Add(-3*time.Second), s.SentAt) {
				late++
				fail("DRAIN: %s from %s reached %s %.3f s after it was passed on that it leaves", a.ID, s.Machine, a.Engine, s.SentAt.Sub(at).Seconds())
			}
		}
	}
	w.Record.Say("requests %d run %d, version %d, engines that left %d; old %d, late %d (%d in the first seconds), broken %d", len(answers), ran, version.Load(), len(passedOn), old, late, left, broken)
	if broken > 0 {
		return 1, nil
	}
	return 0, nil
}
