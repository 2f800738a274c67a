package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

// stops stops machines in turn, two seconds apart: first one of the region to which a route is
// bound, then one of the callers' region, which forwards to it. With TROUBLE=0 only the latter
// is stopped.
func stops(s *Setup) (bool, error) {
	const (
		grace  = 8 * time.Second
		gap    = 2 * time.Second
		events = 55
		pause  = 180 * time.Millisecond
		lasts  = events * pause
	)
	store, storeAddr, err := startStore("127.0.0.1")
	if err != nil {
		return false, err
	}
	places := []Place{{"zagreb-a", "zagreb"}, {"split-a", "split"}}
	fleet, err := NewFleet(s.Root, storeAddr, places, []int{2, 2})
	if err != nil {
		return false, err
	}
	defer fleet.Close()
	var mu sync.Mutex
	ran := map[string]string{} // servers by request
	for _, p := range places {
		for range 2 {
			e := &Engine{Store: store, Service: "model-citac", Zone: p.Zone, Slots: 64, Stream: true, Work: pause, Events: events, OnArrival: func(a Arrival) {
				mu.Lock()
				defer mu.Unlock()
				if a.Ran {
					ran[a.ID] = a.Server
				}
			}}
			if err := e.Start("127.0.0.1"); err != nil {
				return false, err
			}
			defer e.Stop()
		}
	}
	store.Put("op/config", Configuration{
		Version: 7, Limits: limits,
		Routes: []Route{{
			Name: "r-sazetak", Host: "dnevnik.example", PathPrefix: "/sazetak/", Kind: "stream", TimeoutMs: 12000, GoalMs: 1000, Priority: 1,
			Service: "model-citac", Attempts: 1, HomeRegions: []string{"split"},
		}},
		Services: []Service{{Name: "model-citac", HealthPath: "/healthz", MaxConns: 370, Protocol: "h1", Engine: &EngineSpec{Slots: 64, KvTokens: 612718}}},
		Tenants:  []Tenant{{Name: "kuca", ApiKeys: []string{"key-kuca"}, Unit: "token_stream", PlainTokens: 200}},
	})
	if err := fleet.StartAll(); err != nil {
		return false, err
	}
	time.Sleep(6 * time.Second)
	taker, other := fleet.Fronts[0], fleet.Fronts[2]

	var stoppedAt time.Time // when the machine that takes the requests got SIGTERM
	lost, whole, refused, excused := 0, 0, 0, 0
	stop := make(chan struct{})
	var clients sync.WaitGroup
	clients.Go(func() {
		ticker := time.NewTicker(100 * time.Millisecond)
		defer ticker.Stop()
		for {
			select {
			case <-stop:
				return
			case <-ticker.C:
			}
			clients.Go(func() {
				c := Call{
					ID: newID(), Method: http.MethodPost, Host: "dnevnik.example", Path: "/sazetak/" + newID(), Key: "key-kuca",
					Tokens: "2368,385", Deadline: 12 * time.Second, Body: []byte(`{"mjesec":"studeni"}`),
				}
				sent := time.Now()
				r, err := attempt(taker.addr(taker.Ports.Front), c)
				ended := time.Now()
				mu.Lock()
				defer mu.Unlock()
				server := ran[c.ID]
				cut := err != nil && server != "" && !stoppedAt.IsZero() && ended.After(stoppedAt) && ended.Before(stoppedAt.Add(grace+time.Second))
				// A stream that would have gone on into the last sixth of GraceS is excused.
				inTime := sent.Add(lasts).Before(stoppedAt.Add(grace * 5 / 6))
				outcome := "status " + fmt.Sprint(r.status)
				switch {
				case cut && inTime:
					lost++
					outcome = fmt.Sprintf("LOST: cut %.1f s after the SIGTERM of %s, after %.1f of %.1f s: %v", ended.Sub(stoppedAt).Seconds(), taker.Name, ended.Sub(sent).Seconds(), lasts.Seconds(), err)
				case cut:
					excused++
					outcome = fmt.Sprintf("cut %.1f s after the SIGTERM, excused: %v", ended.Sub(stoppedAt).Seconds(), err)
				case err != nil:
					outcome = err.Error()
				case r.status == 200 && strings.Count(r.body, "\n\n") == events:
					whole++
				default:
					refused++
				}
				s.Record.Line("stream %s to %s, run by %s, sent %v before the end: %s", c.ID, taker.Name, server, ended.Sub(sent).Round(time.Millisecond), outcome)
			})
		}
	})
	time.Sleep(6 * time.Second)
	if s.Trouble {
		other.Signal(syscall.SIGTERM)
		s.Record.Say("%s gets SIGTERM", other.Name)
	}
	time.Sleep(gap)
	mu.Lock()
	stoppedAt = time.Now()
	mu.Unlock()
	taker.Signal(syscall.SIGTERM)
	s.Record.Say("%s, which takes the requests, gets SIGTERM", taker.Name)
	time.Sleep(500 * time.Millisecond)
	close(stop)
	clients.Wait()
	for _, m := range []*Front{other, taker} {
		select {
		case <-m.Ended():
		case <-time.After(2 * time.Second):
		}
	}
	mu.Lock()
	defer mu.Unlock()
	s.Record.Say("streams whole: %d, refused as not run or failed: %d, cut but excused: %d, LOST: %d", whole, refused, excused, lost)
	return lost > 0, nil
}
