package main

import (
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"
)

const stable = 5 * time.Second // Bounds.StableMs

// moved sends a request that crashes each server that begins to run it, again and again. After
// it has been contained, the operator moves its route to another service of the same kind.
func moved(s *Setup) (bool, error) {
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

	var mu sync.Mutex
	var crashedAt []time.Time
	var late []Arrival // of the crashing request, later than StableMs after its third crash
	lost := map[string]int{}
	onArrival := func(a Arrival) {
		if !a.Ran || !strings.HasPrefix(a.Path, "/zapis/lom") {
			return
		}
		mu.Lock()
		defer mu.Unlock()
		crashedAt = append(crashedAt, a.At)
		after := time.Duration(0)
		if len(crashedAt) > 3 {
			if after = a.At.Sub(crashedAt[2]); after > stable {
				late = append(late, a)
			}
		}
		s.Record.Say("crash %d: request %s runs at %s and ends it; %.1f s after the third crash", len(crashedAt), a.ID, a.Server, after.Seconds())
	}
	for _, service := range []string{"dnevnik-app", "dnevnik-app-2"} {
		for range 4 {
			e := &Engine{
				Store: store, Service: service, Zone: "zagreb-a", Slots: 6, Work: 15 * time.Millisecond, BackIn: 2500 * time.Millisecond,
				Crashes:   func(r *http.Request, body []byte) bool { return strings.HasPrefix(r.URL.Path, "/zapis/lom") },
				OnArrival: onArrival,
			}
			if err := e.Start("127.0.0.1"); err != nil {
				return false, err
			}
			defer e.Stop()
		}
	}
	config := func(version int, service string) Configuration {
		return Configuration{
			Version: version, Limits: limits,
			Routes: []Route{{
				Name: "r-zapis", Host: "dnevnik.example", PathPrefix: "/zapis/", Kind: "idempotent", TimeoutMs: 5000, GoalMs: 300,
				Priority: 2, Service: service, Attempts: 2,
			}},
			Services: []Service{plainService("dnevnik-app"), plainService("dnevnik-app-2")},
			Tenants:  []Tenant{{Name: "kuca", ApiKeys: []string{"key-kuca"}, Unit: "token_stream", PlainTokens: 200}},
		}
	}
	store.Put("op/config", config(7, "dnevnik-app"))
	if err := fleet.StartAll(); err != nil {
		return false, err
	}
	time.Sleep(6 * time.Second) // all are in touch
	s.Record.Say("3 machines, 2 services of 4 servers; the requests begin")

	stop := make(chan struct{})
	var clients sync.WaitGroup
	run := func(every time.Duration, path func() string, kind string) {
		clients.Go(func() {
			ticker := time.NewTicker(every)
			defer ticker.Stop()
			for {
				select {
				case <-stop:
					return
				case <-ticker.C:
				}
				clients.Go(func() {
					m := fleet.Fronts[rand.IntN(len(fleet.Fronts))]
					c := Call{ID: newID(), Method: http.MethodPost, Host: "dnevnik.example", Path: path(), Key: "key-kuca", Deadline: 5 * time.Second, Body: []byte(`{"zapis":"kruh 1,20"}`)}
					r, err := attempt(m.addr(m.Ports.Front), c)
					mu.Lock()
					switch {
					case err != nil:
						lost[kind+" without an answer"]++
					default:
						lost[kind+" "+http.StatusText(r.status)]++
					}
					mu.Unlock()
					s.Record.Line("%s request %s to %s: status %d, %v, Retry-After %v", kind, c.ID, m.Name, r.status, err, r.retryAfter)
				})
			}
		})
	}
	run(50*time.Millisecond, func() string { return "/zapis/" + newID() }, "sound")
	run(500*time.Millisecond, func() string { return "/zapis/lom" }, "crashing")
	time.Sleep(20 * time.Second)
	if s.Trouble {
		store.Put("op/config", config(11, "dnevnik-app-2"))
		s.Record.Say("version 11 is acknowledged: the route goes to dnevnik-app-2")
	}
	time.Sleep(40 * time.Second)
	close(stop)
	clients.Wait()
	mu.Lock()
	defer mu.Unlock()
	s.Record.Say("answers: %v", lost)
	s.Record.Say("the request ended %d servers in all; %d later than %v after the third crash (3 are allowed)", len(crashedAt), len(late), stable)
	return len(late) > 3, nil
}
