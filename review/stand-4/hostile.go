package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

// hostile is a search that found nothing: clients that hold what they can. It is no case.
func hostile(w *World) (int, error) {
	w.Zones = map[string]string{"zagreb-a": "zagreb"}
	w.PutConfig()
	big := strings.Repeat("z", 3<<20)
	for _, service := range []string{Model, Model, App, App} {
		e := &Engine{Service: service, Zone: "zagreb-a", Slots: 64, Queue: 192, Work: 15 * time.Millisecond}
		if service == Model {
			e.Events, e.Gap = 5, 20*time.Millisecond
		}
		e.Before = func(e *Engine, rw http.ResponseWriter, r *http.Request, a *Arrival) bool {
			if !strings.HasSuffix(r.URL.Path, "big") {
				return false
			}
			rw.Header().Set("X-Server-Stamp", "3e1b."+a.ID)
			if strings.HasPrefix(r.URL.Path, "/pufi") || strings.HasPrefix(r.URL.Path, "/lohu") {
				rw.Header().Set("Content-Type", "text/event-stream")
				for n := range 200 {
					if _, err := fmt.Fprintf(rw, "id: %d\ndata: %s\n\n", n+1, big[:16<<10]); err != nil {
						return true
					}
				}
				return true
			}
			rw.Header().Set("Content-Length", strconv.Itoa(len(big)))
			_, _ = io.WriteString(rw, big) // the caller may have gone
			return true
		}
		if _, err := w.AddEngine(e); err != nil {
			return 2, err
		}
	}
	memory := 184
	if n, err := strconv.Atoi(os.Getenv("MEMORY")); err == nil {
		memory = n
	}
	for range 2 {
		w.AddMachine("zagreb-a").MemoryMb = 1
	}
	for _, m := range w.Machines {
		m.Extra = map[string]string{"Limits.MemoryMb": strconv.Itoa(memory)}
	}
	if err := w.StartMachines(); err != nil {
		return 2, err
	}
	victim := w.Machines[0]
	count, _ := strconv.Atoi(os.Getenv("COUNT"))
	kinds := strings.Split(os.Getenv("KINDS"), ",")
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var wg sync.WaitGroup
	for n := range count {
		kind := kinds[n%len(kinds)]
		wg.Go(func() {
			for ctx.Err() == nil {
				hold(ctx, victim.Front(), kind)
				time.Sleep(50 * time.Millisecond)
			}
		})
	}
	c := NewClient(Host, Key, w.Record)
	for n := range 8 {
		r := rand.New(rand.NewPCG(7, uint64(n)))
		wg.Go(func() {
			for ctx.Err() == nil {
				m := w.Machines[r.IntN(len(w.Machines))]
				switch r.IntN(4) {
				case 0:
					c.Do(ctx, m, "read", "GET", "/puxa403/2f", 3*time.Second, nil, nil)
				case 1:
					c.Do(ctx, m, "write", "POST", "/pule252/2f", 3*time.Second, make([]byte, 600), nil)
				case 2:
					c.Do(ctx, m, "ask", "POST", "/pufi791/2f", 3*time.Second, make([]byte, 2400), tokens(r))
				default:
					c.Do(ctx, m, "long", "POST", "/pule252/2f", 3*time.Second, make([]byte, 300000), nil)
				}
				time.Sleep(20 * time.Millisecond)
			}
		})
	}
	for s := range 20 {
		time.Sleep(time.Second)
		if s%4 == 3 {
			w.Record.Say("%d s: ended %v, %s", s+1, victim.Ended(), victim.memory())
		}
	}
	cancel()
	wg.Wait()
	results := map[string]int{}
	for _, a := range c.All() {
		results[fmt.Sprintf("%s %s %d", a.Machine[len(a.Machine)-1:], a.Kind, a.Status)]++
	}
	w.Record.Say("%v", results)
	return 0, nil
}

func hold(ctx context.Context, address, kind string) {
	d := net.Dialer{Timeout: time.Second}
	c, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return
	}
	defer c.Close()
	stop := context.AfterFunc(ctx, func() { _ = c.SetDeadline(time.Now()) })
	defer stop()
	_ = c.SetDeadline(time.Now().Add(15 * time.Second))
	head := func(method, path string) string {
		return method + " " + path + " HTTP/1.1\r\nHost: " + Host + "\r\nX-Key: " + Key + "\r\nX-Deadline-Ms: 12000\r\nX-Request-Id: " + NewID() + "\r\n"
	}
	chunk := strings.Repeat("b", 64<<10)
	switch kind {
	case "header":
		_, _ = io.WriteString(c, head("POST", "/pule252/2f")+"X-Pad: "+strings.Repeat("p", 15800))
	case "fields":
		_, _ = io.WriteString(c, head("POST", "/pule252/2f")+strings.Repeat("A: b\r\n", 2600))
	case "body", "stream":
		path := "/pule252/2f"
		if kind == "stream" {
			path = "/lohu930/2f"
		}
		_, _ = io.WriteString(c, head("POST", path)+"Content-Length: 4194304\r\n\r\n")
		for range 63 {
			if _, err := io.WriteString(c, chunk); err != nil {
				return
			}
		}
		_, _ = io.WriteString(c, chunk[1:])
	case "small":
		_, _ = io.WriteString(c, head("POST", "/pule252/2f")+"Transfer-Encoding: chunked\r\n\r\n")
		text := strings.Repeat("1\r\nb\r\n", 10000)
		for range 410 {
			if _, err := io.WriteString(c, text); err != nil {
				return
			}
		}
	case "chunked":
		_, _ = io.WriteString(c, head("POST", "/pule252/2f")+"Transfer-Encoding: chunked\r\n\r\n3fffff\r\n")
		for range 63 {
			if _, err := io.WriteString(c, chunk); err != nil {
				return
			}
		}
		_, _ = io.WriteString(c, chunk[2:])
	case "pipeline":
		for range 400 {
			if _, err := io.WriteString(c, head("GET", "/puxa403/2f")+"\r\n"); err != nil {
				return
			}
		}
	case "big":
		_, _ = io.WriteString(c, head("GET", "/puxa403/big")+"\r\n")
	case "bigs":
		_, _ = io.WriteString(c, head("POST", "/pufi791/big")+"Content-Length: 3\r\n\r\nabc")
	case "idle":
		_, _ = io.WriteString(c, head("GET", "/puxa403/2f")+"\r\n")
	}
	select {
	case <-ctx.Done():
	case <-time.After(14 * time.Second):
	}
}
