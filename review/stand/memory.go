package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// rss returns the resident memory of a process in bytes.
func rss(pid int) int64 {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0
	}
	fields := strings.Fields(string(text))
	if len(fields) < 2 {
		return 0
	}
	pages, _ := strconv.ParseInt(fields[1], 10, 64)
	return pages * int64(os.Getpagesize())
}

// memory lets clients send bodies as long as the configuration allows. The platform kills a
// process that exceeds Limits.MemoryMb and starts it again.
func memory(s *Setup) (bool, error) {
	const bodyBytes = 4 << 20
	store, storeAddr, err := startStore("127.0.0.1")
	if err != nil {
		return false, err
	}
	places := []Place{{"zagreb-a", "zagreb"}}
	fleet, err := NewFleet(s.Root, storeAddr, places, []int{3})
	if err != nil {
		return false, err
	}
	defer fleet.Close()
	for range 6 {
		e := &Engine{Store: store, Service: "model-citac", Zone: "zagreb-a", Slots: 64, Stream: true, Work: 250 * time.Millisecond, Events: 32, OnArrival: func(Arrival) {}}
		if err := e.Start("127.0.0.1"); err != nil {
			return false, err
		}
		defer e.Stop()
	}
	store.Put("op/config", Configuration{
		Version: 7, Limits: limits,
		Routes: []Route{
			{Name: "r-racun", Host: "dnevnik.example", PathPrefix: "/racun/", Kind: "stream", TimeoutMs: 12000, GoalMs: 1000, Priority: 1, Service: "model-citac", Attempts: 1, Resumable: true},
		},
		Services: []Service{{Name: "model-citac", HealthPath: "/healthz", MaxConns: 370, Protocol: "h1", Engine: &EngineSpec{Slots: 64, KvTokens: 612718}}},
		Tenants:  []Tenant{{Name: "kuca", ApiKeys: []string{"key-kuca"}, Unit: "token_stream", PlainTokens: 200}},
	})
	if err := fleet.StartAll(); err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)
	kills := make([]int, len(fleet.Fronts))
	peak := make([]int64, len(fleet.Fronts))
	stop := make(chan struct{})
	var watchers, clients sync.WaitGroup
	for i, m := range fleet.Fronts {
		watchers.Go(func() {
			for {
				select {
				case <-stop:
					return
				case <-time.After(20 * time.Millisecond):
				}
				n := rss(m.Pid())
				peak[i] = max(peak[i], n)
				if n > int64(m.MemoryMb)<<20 {
					kills[i]++
					s.Record.Say("%s holds %d MB, more than %d: it is killed", m.Name, n>>20, m.MemoryMb)
					m.Signal(syscall.SIGKILL)
					<-m.Ended()
					time.Sleep(700 * time.Millisecond)
					if err := m.Start(); err != nil {
						s.Record.Say("%v", err)
					}
				}
			}
		})
	}
	body := make([]byte, bodyBytes)
	const (
		usual  = 12.0 // requests a second
		burst  = 2.5  // times the usual
		bursts = 4
		length = 11 * time.Second
		pause  = 6 * time.Second
	)
	var ok, failed atomic.Int64
	load := func(rate float64, d time.Duration) {
		for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(time.Duration(float64(time.Second) / rate)) {
			clients.Go(func() {
				m := fleet.Fronts[rand.IntN(len(fleet.Fronts))]
				c := Call{ID: newID(), Method: http.MethodPost, Host: "dnevnik.example", Path: "/racun/" + newID(), Key: "key-kuca", Tokens: "2368,32", Deadline: 12 * time.Second, Body: body}
				r, err := attempt(m.addr(m.Ports.Front), c)
				if err == nil && r.status == 200 {
					ok.Add(1)
				} else {
					failed.Add(1)
				}
				s.Record.Line("request %s to %s: status %d, %v", c.ID, m.Name, r.status, err)
			})
		}
	}
	load(usual, pause)
	for n := range bursts {
		rate := usual
		if s.Trouble {
			rate = usual * burst
			s.Record.Say("burst %d: many users come at once, %.0f requests a second in place of %.0f", n+1, rate, usual)
		}
		load(rate, length)
		load(usual, pause)
	}
	clients.Wait()
	close(stop)
	watchers.Wait()
	machines := 0
	for i, m := range fleet.Fronts {
		s.Record.Say("%s: killed %d times, at most %d MB", m.Name, kills[i], peak[i]>>20)
		if kills[i] >= 3 {
			machines++
		}
	}
	s.Record.Say("answered with success: %d, others: %d", ok.Load(), failed.Load())
	return machines >= 2, nil
}
