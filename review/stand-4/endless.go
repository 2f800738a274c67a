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
	"time"
)

// endless is a search that found nothing: engines that send bytes that are no answer, without
// end. It is no case.
func endless(w *World) (int, error) {
	w.Zones = map[string]string{"zagreb-a": "zagreb"}
	w.PutConfig()
	kinds := []string{"status", "line", "fields", "informational", "size", "extension", "event", "events", "plain", "trailers", "blank", "after", "close", "nul"}
	if k := os.Getenv("ENDLESS"); k != "" {
		kinds = strings.Split(k, ",")
	}
	var mu sync.Mutex
	live := map[string]int{}
	total := map[string]int64{}
	before := func(e *Engine, rw http.ResponseWriter, r *http.Request, a *Arrival) bool {
		kind := kinds[rand.IntN(len(kinds))]
		c, _, err := http.NewResponseController(rw).Hijack()
		if err != nil {
			return true
		}
		defer c.Close()
		a.Run = true
		mu.Lock()
		live[kind]++
		mu.Unlock()
		defer func() { mu.Lock(); live[kind]--; mu.Unlock() }()
		head := "HTTP/1.1 200 OK\r\nX-Server-Stamp: 3e1b." + a.ID + "\r\nX-Request-Id: " + a.ID + "\r\nX-Instance-Id: " + e.ID() + "\r\n"
		stream := "Content-Type: text/event-stream\r\n"
		fill := bytes.Repeat([]byte("y"), 8192)
		first := ""
		switch kind {
		case "status":
			first = "HTTP/1.1 200 "
		case "line":
			first = head + "X-Long: "
		case "fields":
			first, fill = head, bytes.Repeat([]byte("X-Field: 1\r\n"), 700)
		case "informational":
			fill = bytes.Repeat([]byte("HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"), 200)
		case "size":
			first, fill = head+stream+"Transfer-Encoding: chunked\r\n\r\n", bytes.Repeat([]byte("0"), 8192)
		case "extension":
			first = head + stream + "Transfer-Encoding: chunked\r\n\r\n1;"
		case "event":
			first = head + stream + "Connection: close\r\n\r\nid: 1\ndata: "
		case "events":
			first, fill = head+stream+"Connection: close\r\n\r\n", bytes.Repeat([]byte(": nothing\n"), 800)
		case "plain":
			first = head + "Connection: close\r\n\r\n"
		case "trailers":
			first, fill = head+stream+"Transfer-Encoding: chunked\r\nTrailer: X-A\r\n\r\n0\r\n", bytes.Repeat([]byte("X-A: 1\r\n"), 1000)
		case "blank":
			fill = bytes.Repeat([]byte("\r\n"), 4096)
		case "after":
			first = head + "Content-Length: 5\r\n\r\nhello"
		case "close":
			first, fill = head+stream+"Connection: close\r\n\r\n", bytes.Repeat([]byte("\n"), 8192)
		case "nul":
			fill = make([]byte, 8192)
		}
		_ = c.SetWriteDeadline(time.Now().Add(40 * time.Second))
		if _, err := c.Write([]byte(first)); err != nil {
			return true
		}
		start := time.Now()
		for time.Since(start) < 40*time.Second {
			n, err := c.Write(fill)
			mu.Lock()
			total[kind] += int64(n)
			mu.Unlock()
			if err != nil {
				break
			}
			time.Sleep(time.Millisecond)
		}
		if d := time.Since(start); d > 13*time.Second {
			w.Record.Say("%s: %s was read for %v", kind, a.ID, d)
		}
		return true
	}
	for _, service := range []string{Model, Model, App, App} {
		e := &Engine{Service: service, Zone: "zagreb-a", Slots: 64, Queue: 192, Work: 15 * time.Millisecond}
		if service == Model {
			e.Events, e.Gap = 5, 20*time.Millisecond
		}
		if _, err := w.AddEngine(e); err != nil {
			return 2, err
		}
	}
	for n, e := range w.Engines {
		if n%2 == 0 {
			e.Before = before
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
	var clients sync.WaitGroup
	for n := range 40 {
		r := rand.New(rand.NewPCG(7, uint64(n)))
		clients.Go(func() {
			for ctx.Err() == nil {
				m := w.Machines[r.IntN(len(w.Machines))]
				switch r.IntN(4) {
				case 0:
					c.Do(ctx, m, "draft", "POST", "/lohu930/2f", 12*time.Second, bytes.Repeat([]byte("d"), 2000), tokens(r))
				case 1:
					c.Do(ctx, m, "ask", "POST", "/pufi791/2f", 3*time.Second, bytes.Repeat([]byte("a"), 2000), tokens(r))
				case 2:
					c.Do(ctx, m, "write", "POST", "/pule252/2f", 3*time.Second, []byte("w"), nil)
				default:
					c.Do(ctx, m, "read", "GET", "/puxa403/2f", 3*time.Second, nil, nil)
				}
			}
		})
	}
	for s := range 25 {
		time.Sleep(time.Second)
		if s%3 == 2 {
			mu.Lock()
			w.Record.Say("%d s: live %v", s, live)
			mu.Unlock()
			for _, m := range w.Machines {
				w.Record.Say("%s: ended %v, %s", m.Name, m.Ended(), m.memory())
			}
		}
	}
	cancel()
	clients.Wait()
	mu.Lock()
	w.Record.Say("bytes %v", total)
	mu.Unlock()
	count := map[string]int{}
	for _, a := range c.All() {
		count[fmt.Sprintf("%s %d complete=%v", a.Kind, a.Status, a.Complete)]++
	}
	w.Record.Say("%v", count)
	return 0, nil
}

// memory returns the present and largest resident size.
func (m *Machine) memory() string {
	text, _ := os.ReadFile("/proc/" + strconv.Itoa(m.cmd.Process.Pid) + "/status")
	var list []string
	for _, line := range strings.Split(string(text), "\n") {
		if strings.HasPrefix(line, "VmHWM") || strings.HasPrefix(line, "VmRSS") {
			list = append(list, strings.Join(strings.Fields(line), " "))
		}
	}
	return strings.Join(list, ", ")
}
