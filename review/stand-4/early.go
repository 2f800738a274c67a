package main

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

// early is a search: engines answer long uploads at once, without a length, and reset the
// connection; or answer with a status that is none. It is no case.
func early(w *World) (int, error) {
	w.Zones = map[string]string{"zagreb-a": "zagreb", "split-a": "split"}
	w.PutConfig()
	for range 2 {
		w.AddMachine("zagreb-a")
	}
	w.AddMachine("split-a") // has no engines: it forwards
	modes := []string{"reset", "reset-late", "000", "099", "600", "1000", "20", "-1", "half", "fin"}
	var mu sync.Mutex
	mode := map[string]string{}
	for _, service := range []string{Model, App} {
		for range 2 {
			e := &RawEngine{Engine: Engine{Service: service, Zone: "zagreb-a", Slots: 64, Queue: 192, Address: fmt.Sprintf("%s%d:0", w.Net, 100+len(w.Engines)), Store: w.Store, Journal: w.Journal, Record: w.Record, Beat: time.Second}}
			e.serve = func(c net.Conn, head string, r *http.Request) {
				id := r.Header.Get("X-Request-Id")
				m := modes[rand.IntN(len(modes))]
				mu.Lock()
				mode[id] = m
				mu.Unlock()
				start := "HTTP/1.1 200 OK\r\n"
				fields := "X-Server-Stamp: 3e1b." + id + "\r\nX-Request-Id: " + id + "\r\nX-Instance-Id: " + e.ID() + "\r\n"
				if strings.HasPrefix(r.URL.Path, "/lohu") || strings.HasPrefix(r.URL.Path, "/pufi") {
					fields += "Content-Type: text/event-stream\r\n"
				}
				body := "id: 1\ndata: " + id + " 1\n\nid: 2\ndata: " + id + " 2\n\n"
				reset := func() {
					_ = c.(*net.TCPConn).SetLinger(0)
					_ = c.Close()
				}
				switch m {
				case "reset":
					_, _ = c.Write([]byte(start + fields + "\r\n" + body))
					time.Sleep(time.Duration(rand.IntN(60)) * time.Millisecond)
					reset()
				case "reset-late":
					_, _ = c.Write([]byte(start + fields + "\r\n"))
					time.Sleep(time.Duration(rand.IntN(40)) * time.Millisecond)
					_, _ = c.Write([]byte(body))
					time.Sleep(time.Duration(rand.IntN(5)) * time.Millisecond)
					reset()
				case "half":
					_, _ = c.Write([]byte(start + fields + "\r\n" + body[:len(body)-7]))
					time.Sleep(20 * time.Millisecond)
					_ = c.Close() // with unread bytes of the upload, so it is reset
				case "fin":
					_, _ = c.Write([]byte(start + fields + "Content-Length: 4000\r\n\r\n" + body))
					_ = c.Close()
				default:
					_, _ = c.Write([]byte("HTTP/1.1 " + m + " X\r\n" + fields + "Content-Length: 2\r\n\r\nok"))
					time.Sleep(300 * time.Millisecond)
					_ = c.Close()
				}
			}
			if err := e.start(); err != nil {
				return 2, err
			}
			w.Engines = append(w.Engines, &e.Engine)
		}
	}
	if err := w.StartMachines(); err != nil {
		return 2, err
	}
	c := NewClient(Host, Key, w.Record)
	length, _ := strconv.Atoi(os.Getenv("LENGTH"))
	var wg sync.WaitGroup
	for n := range 12 {
		r := rand.New(rand.NewPCG(9, uint64(n)))
		wg.Go(func() {
			for range 40 {
				m := w.Machines[r.IntN(len(w.Machines))]
				path := []string{"/lohu930/2f", "/pufi791/2f", "/pule252/2f", "/puxa403/2f"}[r.IntN(4)]
				c.Do(context.Background(), m, path[1:5], "POST", path, 3*time.Second, bytes.Repeat([]byte("u"), length), tokens(r))
			}
		})
	}
	wg.Wait()
	count := map[string]int{}
	for _, a := range c.All() {
		mu.Lock()
		count[fmt.Sprintf("%s %s %d complete=%v", mode[a.ID], a.Kind, a.Status, a.Complete)]++
		mu.Unlock()
	}
	var bad int
	for text, n := range count {
		if strings.Contains(text, " 200 complete=true") || strings.Contains(text, "000 ") && strings.Contains(text, " 0 complete=true") {
			bad += n
			w.Record.Say("BROKEN MIXED: %s: %d", text, n)
		}
	}
	w.Record.Say("%v", count)
	if bad > 0 {
		return 1, nil
	}
	return 0, nil
}

// RawEngine answers on the connection itself once it has read the head.
type RawEngine struct {
	Engine
	serve func(c net.Conn, head string, r *http.Request)
}

func (e *RawEngine) start() error {
	l, err := net.Listen("tcp", e.Address)
	if err != nil {
		return err
	}
	e.Address = l.Addr().String()
	e.id, e.born, e.state = fmt.Sprintf("i-%06x", 0x3b0000+engineNumber.Add(1)), time.Now().UnixMilli(), "ready"
	e.stopBeat = make(chan struct{})
	e.server = &http.Server{}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go e.connection(c)
		}
	}()
	go func() {
		for {
			e.Write()
			time.Sleep(e.Beat)
		}
	}()
	return nil
}

func (e *RawEngine) connection(c net.Conn) {
	buf := make([]byte, 0, 16<<10)
	one := make([]byte, 1)
	for !bytes.HasSuffix(buf, []byte("\r\n\r\n")) {
		if _, err := c.Read(one); err != nil {
			_ = c.Close()
			return
		}
		buf = append(buf, one[0])
	}
	r, err := readHead(buf)
	if err != nil {
		_ = c.Close()
		return
	}
	if r.URL.Path == "/healthz" {
		_, _ = c.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"))
		_ = c.Close()
		return
	}
	e.serve(c, string(buf), r)
}

func readHead(head []byte) (*http.Request, error) {
	return http.ReadRequest(bufio.NewReader(bytes.NewReader(head)))
}
