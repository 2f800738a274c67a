package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// term is a search that found nothing: machines get SIGTERM while long streams and slowly read
// answers are under way, also through a machine of another region. It is no case.
func term(w *World) (int, error) {
	w.Zones = map[string]string{"zagreb-a": "zagreb", "split-a": "split"}
	w.PutConfig()
	for range 2 {
		w.AddMachine("zagreb-a")
	}
	for range 2 {
		w.AddMachine("split-a")
	}
	zone := "split-a"
	if os.Getenv("LOCAL") != "" {
		zone = "zagreb-a"
	}
	big := strings.Repeat("z", 3<<20)
	for _, service := range []string{Model, Model, App, App} {
		e := &Engine{Service: service, Zone: zone, Slots: 64, Queue: 192, Work: 15 * time.Millisecond}
		if service == Model {
			e.Events, e.Gap = 28, 200*time.Millisecond // 5.6 s
		}
		e.Before = func(e *Engine, rw http.ResponseWriter, r *http.Request, a *Arrival) bool {
			if strings.HasSuffix(r.URL.Path, "slow") { // an answer that takes long to make
				time.Sleep(1800 * time.Millisecond)
				return false
			}
			if !strings.HasSuffix(r.URL.Path, "big") {
				return false
			}
			rw.Header().Set("X-Server-Stamp", "3e1b."+a.ID)
			rw.Header().Set("Content-Length", strconv.Itoa(len(big)))
			_, _ = io.WriteString(rw, big) // the caller may have gone
			return true
		}
		if _, err := w.AddEngine(e); err != nil {
			return 2, err
		}
	}
	if err := w.StartMachines(); err != nil {
		return 2, err
	}
	time.Sleep(7 * time.Second)
	c := NewClient(Host, Key, w.Record)
	var wg sync.WaitGroup
	a := w.Machines[0]
	var mu sync.Mutex
	results := map[string]int{}
	for n := range 30 {
		time.Sleep(20 * time.Millisecond)
		wg.Go(func() {
			kind, path, method := "draft", "/lohu930/2f", "POST"
			switch n % 3 {
			case 1:
				kind, path = "write", "/pule252/slow"
			case 2:
				got, err := slowRead(a.Front(), 2500*time.Millisecond)
				mu.Lock()
				results[fmt.Sprintf("slowly read, whole %v %v", got == len(big), err)]++
				mu.Unlock()
				return
			}
			x := c.Do(context.Background(), a, kind, method, path, 12*time.Second, []byte("abc"), nil)
			mu.Lock()
			results[fmt.Sprintf("%s %d complete %v", kind, x.Status, x.Complete)]++
			mu.Unlock()
		})
	}
	for _, m := range []*Machine{a, w.Machines[2], w.Machines[1], w.Machines[3]} {
		started := time.Now()
		m.Signal(syscall.SIGTERM)
		w.Record.Say("SIGTERM to %s", m.Name)
		go func() { <-m.done; w.Record.Say("%s ended after %v", m.Name, time.Since(started)) }()
		time.Sleep(300 * time.Millisecond)
	}
	wg.Wait()
	w.Record.Say("%v", results)
	return 0, nil
}

// slowRead reads a large answer in about the given time, and returns its length.
func slowRead(address string, d time.Duration) (int, error) {
	c, err := net.Dial("tcp", address)
	if err != nil {
		return 0, err
	}
	defer c.Close()
	_ = c.(*net.TCPConn).SetReadBuffer(64 << 10)
	_, err = io.WriteString(c, "GET /puxa403/big HTTP/1.1\r\nHost: "+Host+"\r\nX-Key: "+Key+"\r\nX-Deadline-Ms: 12000\r\nX-Request-Id: "+NewID()+"\r\nConnection: close\r\n\r\n")
	if err != nil {
		return 0, err
	}
	var head []byte
	buf := make([]byte, 1)
	for !strings.HasSuffix(string(head), "\r\n\r\n") {
		if _, err := c.Read(buf); err != nil {
			return 0, err
		}
		head = append(head, buf[0])
	}
	total := 0
	piece := make([]byte, 64<<10)
	for {
		n, err := c.Read(piece)
		total += n
		if err == io.EOF {
			return total, nil
		}
		if err != nil {
			return total, err
		}
		time.Sleep(d * time.Duration(n) / (3 << 20))
	}
}
