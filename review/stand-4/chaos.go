package main

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// chaos is the search that found nothing: random troubles in series, and the rules that hold
// at any time. It is no case.
func chaos(w *World) (int, error) {
	seed, _ := strconv.ParseUint(os.Getenv("SEED"), 10, 64)
	rnd := rand.New(rand.NewPCG(seed, 1))
	w.Zones = map[string]string{"zagreb-a": "zagreb", "split-a": "split"}
	w.PutConfig()
	for _, zone := range []string{"zagreb-a", "split-a"} {
		for range 2 {
			w.AddMachine(zone)
		}
		if zone == "zagreb-a" && os.Getenv("ONE_SIDED") != "" {
			continue
		}
		for range 3 {
			e := &Engine{Service: Model, Zone: zone, Slots: 64, Queue: 192, Work: 60 * time.Millisecond, Events: 6, Gap: 40 * time.Millisecond}
			if _, err := w.AddEngine(e); err != nil {
				return 2, err
			}
		}
		for range 2 {
			e := &Engine{Service: App, Zone: zone, Slots: 6, Queue: 24, Work: 15 * time.Millisecond}
			if _, err := w.AddEngine(e); err != nil {
				return 2, err
			}
		}
	}
	var mode sync.Map // by engine: what it does
	var modeUntil sync.Map
	get := func(e *Engine) string {
		until, ok := modeUntil.Load(e)
		if !ok || time.Now().After(until.(time.Time)) {
			return ""
		}
		m, _ := mode.Load(e)
		return m.(string)
	}
	for _, e := range w.Engines {
		e.Before = func(e *Engine, rw http.ResponseWriter, r *http.Request, a *Arrival) bool {
			hijack := func(text string, linger bool) bool {
				c, _, err := http.NewResponseController(rw).Hijack()
				if err != nil {
					return true
				}
				_, _ = c.Write([]byte(text))
				if t, ok := c.(interface{ SetLinger(int) error }); ok && linger {
					_ = t.SetLinger(0)
				}
				_ = c.Close()
				return true
			}
			head := "HTTP/1.1 200 OK\r\nX-Server-Stamp: 3e1b." + a.ID + "\r\nX-Request-Id: " + a.ID + "\r\n"
			switch get(e) {
			case "shed":
				rw.Header().Set("Retry-After", "2")
				e.refuse(rw, a)
				return true
			case "reset":
				a.Run = true
				return hijack("", true)
			case "half":
				a.Run = true
				return hijack(head+"Content-Length: 900\r\n\r\nanswer", true)
			case "nolength":
				a.Run = true
				return hijack(head+"Connection: close\r\n\r\n"+Body(a.ID)[:100], true)
			case "garbage":
				a.Run = true
				return hijack("\x16\x03\x01 nothing\r\n\r\n", false)
			case "fail":
				a.Run = true
				rw.Header().Set("X-Server-Stamp", "3e1b."+a.ID)
				rw.WriteHeader(500)
				return true
			case "hang":
				a.Run = true
				<-r.Context().Done()
				return true
			}
			return false
		}
		e.Headers = func(e *Engine) map[string]string {
			switch get(e) {
			case "leaving":
				return map[string]string{"Server-Leaving": "1"}
			case "limit":
				return map[string]string{"Server-Limit": "5"}
			}
			return nil
		}
	}
	if err := w.StartMachines(); err != nil {
		return 2, err
	}
	c := NewClient(Host, Key, w.Record)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var clients sync.WaitGroup
	for n := range 48 {
		r := rand.New(rand.NewPCG(seed, uint64(n)+10))
		clients.Go(func() {
			for ctx.Err() == nil {
				m := w.Machines[r.IntN(len(w.Machines))]
				rctx, rcancel := ctx, func() {}
				if r.IntN(12) == 0 {
					rctx, rcancel = context.WithTimeout(ctx, time.Duration(r.IntN(150))*time.Millisecond)
				}
				switch r.IntN(5) {
				case 0:
					c.Do(rctx, m, "draft", "POST", "/lohu930/2f", 12*time.Second, bytes.Repeat([]byte("d"), r.IntN(200000)), tokens(r))
				case 1:
					c.Do(rctx, m, "ask", "POST", "/pufi791/2f", 3*time.Second, bytes.Repeat([]byte("a"), r.IntN(9000)), tokens(r))
				case 2, 3:
					c.Do(rctx, m, "write", "POST", "/pule252/2f?x=1", 5*time.Second, bytes.Repeat([]byte("w"), 1+r.IntN(60000)), nil)
				default:
					c.Do(rctx, m, "read", "GET", "/puxa403/2f", 5*time.Second, nil, nil)
				}
				rcancel()
				time.Sleep(time.Duration(r.IntN(30)) * time.Millisecond)
			}
		})
	}
	length := 60 * time.Second
	if s, err := strconv.Atoi(os.Getenv("SECONDS_LONG")); err == nil {
		length = time.Duration(s) * time.Second
	}
	end := time.Now().Add(length)
	var pending sync.WaitGroup
	var exits int
	busy := make(map[*Machine]bool)
	var mu sync.Mutex
	take := func(m *Machine) bool {
		mu.Lock()
		defer mu.Unlock()
		if busy[m] {
			return false
		}
		busy[m] = true
		return true
	}
	free := func(m *Machine) { mu.Lock(); busy[m] = false; mu.Unlock() }
	for time.Now().Before(end) {
		time.Sleep(time.Duration(100+rnd.IntN(900)) * time.Millisecond)
		m, e := w.Machines[rnd.IntN(len(w.Machines))], w.Engines[rnd.IntN(len(w.Engines))]
		switch k := rnd.IntN(12); {
		case k == 0 && take(m):
			w.Record.Printf("chaos: kill %s", m.Name)
			pending.Go(func() { m.Kill(); time.Sleep(time.Second); _ = m.Start(false); free(m) })
		case k == 1 && take(m):
			w.Record.Printf("chaos: term %s", m.Name)
			pending.Go(func() {
				m.Signal(syscall.SIGTERM)
				select {
				case <-m.done:
				case <-time.After(9 * time.Second):
					w.Record.Say("chaos: %s did not stop", m.Name)
					m.Kill()
				}
				time.Sleep(300 * time.Millisecond)
				_ = m.Start(false)
				free(m)
			})
		case k == 2 && take(m):
			d := time.Duration(500+rnd.IntN(5000)) * time.Millisecond
			w.Record.Printf("chaos: freeze %s for %v", m.Name, d)
			pending.Go(func() { m.Signal(syscall.SIGSTOP); time.Sleep(d); m.Signal(syscall.SIGCONT); free(m) })
		case k == 3:
			w.Record.Printf("chaos: engine %s crashes", e.ID())
			keep := rnd.IntN(2) == 0
			d := time.Duration(300+rnd.IntN(4000)) * time.Millisecond
			old := e.ID()
			pending.Go(func() {
				e.Crash()
				time.Sleep(d)
				if !keep {
					w.Store.Delete("servers/" + old)
				}
				for range 20 {
					if e.Start(keep) == nil {
						return
					}
					time.Sleep(100 * time.Millisecond)
				}
			})
		case k == 4:
			w.Store.Rollback(time.Duration(rnd.IntN(5000)) * time.Millisecond)
			w.Record.Printf("chaos: the store comes back from a copy")
			pending.Go(func() { time.Sleep(time.Duration(rnd.IntN(1000)) * time.Millisecond); w.PutConfig() })
		case k == 5:
			w.Config["Version"] = w.Config["Version"].(int) + 1 + rnd.IntN(5)
			w.PutConfig()
		default:
			modes := []string{"shed", "reset", "half", "nolength", "garbage", "fail", "hang", "leaving", "limit"}
			k := modes[rnd.IntN(len(modes))]
			w.Record.Printf("chaos: engine %s: %s", e.ID(), k)
			mode.Store(e, k)
			modeUntil.Store(e, time.Now().Add(time.Duration(500+rnd.IntN(4000))*time.Millisecond))
		}
		for _, m := range w.Machines {
			mu.Lock()
			if !busy[m] && m.Ended() {
				exits++
				w.Record.Say("EXIT %s: %v", m.Name, m.cmd.ProcessState)
				_ = m.Start(false)
			}
			mu.Unlock()
		}
	}
	pending.Wait()
	time.Sleep(2 * time.Second)
	cancel()
	clients.Wait()
	time.Sleep(time.Second)
	broken := checkAlways(w, c)
	served := 0
	for _, a := range c.All() {
		if a.Status == 200 && a.Complete {
			served++
		}
	}
	w.Record.Say("requests %d served %d exits %d broken %d", len(c.All()), served, exits, broken)
	for _, m := range w.Machines {
		if log, err := os.ReadFile(m.Dir + "/" + m.Name + ".log"); err == nil {
			for _, word := range []string{"DATA RACE", "panic", "fatal error", "goroutine "} {
				if strings.Contains(string(log), word) {
					w.Record.Say("log of %s has %q", m.Name, word)
					_ = os.WriteFile(os.TempDir()+"/race-"+m.Name+"-"+strconv.FormatUint(seed, 10)+".log", log, 0o600)
				}
			}
		}
	}
	if broken+exits > 0 {
		return 1, nil
	}
	return 0, nil
}

func tokens(r *rand.Rand) map[string]string {
	return map[string]string{"X-Model": "m", "X-Token-Count": "1460,80", "X-Prefix-Hash": fmt.Sprintf("5c1e07a%d:800,91bd3f%02d:410,e4402b%04d:250", r.IntN(3), r.IntN(20), r.IntN(9999))}
}

// checkAlways checks the rules that hold at any time, and returns how often they were broken.
func checkAlways(w *World, c *Client) int {
	broken := 0
	fail := func(format string, args ...any) { broken++; w.Record.Say("BROKEN "+format, args...) }
	answers := make(map[string]*Answer)
	for _, a := range c.All() {
		answers[a.ID] = a
	}
	runs := make(map[string]int)
	for _, a := range w.Journal.All() {
		if a.Run {
			runs[a.ID]++
		}
		sent := answers[a.ID]
		switch {
		case sent == nil:
			fail("UNASKED: %s was sent by no client", a.ID)
		case a.Body != sent.SentBody && a.Run:
			fail("UNASKED: %s came with another body of %d bytes", a.ID, a.Length)
		case a.Target != sent.Path:
			fail("UNASKED: %s came with path %s", a.ID, a.Target)
		case a.Header.Get("X-Key") != "" || a.Header.Get("X-Tenant") != Tenant:
			fail("UNASKED: %s came with key %q, tenant %q", a.ID, a.Header.Get("X-Key"), a.Header.Get("X-Tenant"))
		}
	}
	for id, a := range answers {
		repeatable := a.Kind == "read" || a.Kind == "ask"
		if !repeatable && runs[id] > 1 {
			fail("TWICE: %s (%s) ran %d times", id, a.Kind, runs[id])
		}
		if !repeatable && runs[id] > 0 && (a.Status == 429 || a.Status == 503 || a.Status == 408 || a.Status == 421) {
			fail("REFUSED: %s (%s) ran and was answered %d", id, a.Kind, a.Status)
		}
		if a.Status != 200 || !a.Complete {
			continue
		}
		if a.Stamp != "3e1b."+id {
			fail("MIXED: %s got stamp %q", id, a.Stamp)
		}
		switch a.Kind {
		case "read", "write":
			if string(a.Body) != Body(id) {
				fail("MIXED: %s got %d bytes", id, len(a.Body))
			}
		default:
			var want strings.Builder
			for n := 1; n <= 6; n++ {
				fmt.Fprintf(&want, "id: %d\ndata: %s %d\n\n", n, id, n)
			}
			if string(a.Body) != want.String() {
				fail("ORDER: %s got %q", id, a.Body)
			}
		}
	}
	return broken
}
