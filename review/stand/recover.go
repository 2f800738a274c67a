package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"syscall"
	"time"
)

// recoverAll kills all processes right after a configuration was acknowledged. As they are
// back, each server falls silent once, for a second and a half.
func recoverAll(s *Setup) (bool, error) {
	const (
		down      = 730 * time.Millisecond
		silence   = 1500 * time.Millisecond
		recovery  = 12 * time.Second // Bounds.RecoveryS
		perSecond = 60
	)
	store, storeAddr, err := startStore("127.0.0.1")
	if err != nil {
		return false, err
	}
	places := []Place{{"zagreb-a", "zagreb"}, {"split-a", "split"}, {"osijek-a", "osijek"}}
	fleet, err := NewFleet(s.Root, storeAddr, places, []int{2, 2, 2})
	if err != nil {
		return false, err
	}
	defer fleet.Close()
	var engines []*Engine
	for _, p := range places {
		e := &Engine{Store: store, Service: "dnevnik-app", Zone: p.Zone, Slots: 6, Queue: 24, Work: 15 * time.Millisecond, OnArrival: func(Arrival) {}}
		if err := e.Start("127.0.0.1"); err != nil {
			return false, err
		}
		defer e.Stop()
		engines = append(engines, e)
	}
	config := func(version int) Configuration {
		return Configuration{
			Version: version, Limits: limits,
			Routes: []Route{
				{Name: "r-upis", Host: "dnevnik.example", PathPrefix: "/upis/", Kind: "non_idempotent", TimeoutMs: 5000, GoalMs: 300, Priority: 2, Service: "dnevnik-app", Attempts: 2},
				{Name: "r-pregled", Host: "dnevnik.example", PathPrefix: "/pregled/", Kind: "idempotent", TimeoutMs: 5000, GoalMs: 300, Priority: 2, Service: "dnevnik-app", Attempts: 2},
			},
			Services: []Service{plainService("dnevnik-app")},
			Tenants:  []Tenant{{Name: "kuca", ApiKeys: []string{"key-kuca"}, Unit: "token_stream", PlainTokens: 200}},
		}
	}
	store.Put("op/config", config(7))
	if err := fleet.StartAll(); err != nil {
		return false, err
	}
	time.Sleep(6 * time.Second)

	type phase struct {
		sent, served int
		answers      map[string]int
	}
	var mu sync.Mutex
	var current *phase // of the requests that are being sent; nil if they do not count
	setPhase := func(p *phase) {
		mu.Lock()
		defer mu.Unlock()
		current = p
	}
	stop := make(chan struct{})
	var clients sync.WaitGroup
	clients.Go(func() {
		began := time.Now()
		for n := 0; ; time.Sleep(5 * time.Millisecond) {
			select {
			case <-stop:
				return
			default:
			}
			for ; float64(n) < time.Since(began).Seconds()*perSecond; n++ {
				place := places[n%len(places)]
				clients.Go(func() {
					mu.Lock()
					p := current
					mu.Unlock()
					c := Call{ID: newID(), Method: http.MethodPost, Host: "dnevnik.example", Path: "/upis/" + newID(), Key: "key-kuca", Deadline: 5 * time.Second, Body: []byte(`{"upis":"kruh 1,20"}`)}
					if rand.IntN(4) == 0 {
						c.Method, c.Path, c.Body = http.MethodGet, "/pregled/"+newID(), nil
					}
					r, machine, err := fleet.request(c, place)
					outcome := fmt.Sprintf("status %d", r.status)
					if err != nil {
						outcome = "no answer"
					}
					s.Record.Line("%s %s to %s: %s, %v", c.Path, c.ID, machine, outcome, err)
					if p == nil {
						return
					}
					mu.Lock()
					defer mu.Unlock()
					p.sent++
					p.answers[outcome]++
					if r.status == 200 && r.stamp != "" {
						p.served++
					}
				})
			}
		}
	})
	before := &phase{answers: map[string]int{}}
	setPhase(before)
	time.Sleep(8 * time.Second)
	setPhase(nil)

	store.Put("op/config", config(9))
	for _, m := range fleet.Fronts {
		m.Signal(syscall.SIGKILL)
	}
	s.Record.Say("version 9 is acknowledged, and all processes are killed")
	for _, m := range fleet.Fronts {
		<-m.Ended()
	}
	time.Sleep(down)
	for _, m := range fleet.Fronts {
		if err := m.Start(); err != nil {
			return false, err
		}
	}
	back := time.Now()
	s.Record.Say("the machines are back")
	if s.Trouble {
		for _, e := range engines {
			e.FallSilent(silence)
		}
		s.Record.Say("the servers are silent for %v", silence)
	}
	time.Sleep(time.Until(back.Add(recovery)))
	after := &phase{answers: map[string]int{}}
	setPhase(after)
	time.Sleep(20 * time.Second)
	setPhase(nil)
	close(stop)
	clients.Wait()
	mu.Lock()
	defer mu.Unlock()
	s.Record.Say("before the final fault: %d sent, %d served, %v", before.sent, before.served, before.answers)
	s.Record.Say("sent later than %v after the machines were back: %d, %d served, %v", recovery, after.sent, after.served, after.answers)
	return after.served*4 < after.sent && before.served*4 >= before.sent, nil
}

// request sends a client's first try to one of the addresses that the directory names.
func (f *Fleet) request(c Call, p Place) (response, string, error) {
	addrs, err := f.resolve(c.Host, p)
	if err != nil {
		return response{}, "no machine", err
	}
	addr := addrs[rand.IntN(len(addrs))]
	r, err := attempt(addr, c)
	return r, addr, err
}
