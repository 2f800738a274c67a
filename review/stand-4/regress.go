package main

import (
	"context"
	"os"
	"sync"
	"time"
)

const (
	otherApp   = "zovu22c"              // the service that the route is moved to
	revokedKey = "n2ctnfzs989anu6wsjnb" // the key that is taken away
)

// addApps adds two services with two engines each.
func addApps(w *World) error {
	w.Config["Services"] = append(w.Config["Services"].([]any), map[string]any{"Name": otherApp, "HealthPath": "/healthz", "MaxConns": 110, "Protocol": "h1", "Tls": false, "ColdS": 0.0, "ColdPerS": 0.0})
	for _, service := range []string{App, App, otherApp, otherApp} {
		if _, err := w.AddEngine(&Engine{Service: service, Zone: "zagreb-a", Slots: 6, Queue: 24, Work: 15 * time.Millisecond}); err != nil {
			return err
		}
	}
	return nil
}

func setKeys(w *World, keys ...string) {
	w.Config["Tenants"].([]any)[0].(map[string]any)["ApiKeys"] = keys
}

func setService(w *World, route int, service string) {
	w.Config["Routes"].([]any)[route].(map[string]any)["Service"] = service
}

func setVersion(w *World, version int) { w.Config["Version"] = version }

// keepSending sends read requests to each machine with each key, 20 a second, until the context
// ends.
func keepSending(ctx context.Context, w *World, clients map[string]*Client) *sync.WaitGroup {
	var wg sync.WaitGroup
	for _, m := range w.Machines {
		for _, c := range clients {
			wg.Go(func() {
				ticker := time.NewTicker(50 * time.Millisecond)
				defer ticker.Stop()
				for {
					select {
					case <-ctx.Done():
						return
					case <-ticker.C:
						c.Do(context.Background(), m, "read", "GET", "/puxa403/2f", 5*time.Second, nil, nil)
					}
				}
			})
		}
	}
	return &wg
}

// regress: the store comes back from a copy of before two versions, and the operator writes
// both again, in their order.
func regress(w *World) (int, error) {
	w.Zones = map[string]string{"zagreb-a": "zagreb"}
	const between = 3 * time.Second // the two versions
	trouble := os.Getenv("TROUBLE") != "0"
	setKeys(w, Key, revokedKey)
	if err := addApps(w); err != nil {
		return 2, err
	}
	w.PutConfig()
	w.AddMachine("zagreb-a")
	w.AddMachine("zagreb-a")
	if err := w.StartMachines(); err != nil {
		return 2, err
	}
	clients := map[string]*Client{Key: NewClient(Host, Key, w.Record), revokedKey: NewClient(Host, revokedKey, w.Record)}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	sending := keepSending(ctx, w, clients)
	time.Sleep(12 * time.Second) // all is calm for longer than StableMs

	writeFirst := func() { // moves nothing yet, names another time-out
		setVersion(w, 9)
		w.Config["Routes"].([]any)[0].(map[string]any)["TimeoutMs"] = 11000
		w.PutConfig()
	}
	writeSecond := func() { // moves the route of the requests and takes the key away
		setVersion(w, 12)
		setService(w, 3, otherApp)
		setKeys(w, Key)
		w.PutConfig()
	}
	writeFirst()
	time.Sleep(between)
	writeSecond()
	acked := time.Now()
	time.Sleep(1500 * time.Millisecond)
	if trouble {
		// Back to the state of before both versions. The operator begins to write them
		// again a second later, as far apart as before.
		w.Store.Rollback(5 * time.Second)
		w.Record.Say("the store comes back from a copy that is 5 s old")
		time.Sleep(time.Second)
		setService(w, 3, App)
		setKeys(w, Key, revokedKey)
		writeFirst()
		time.Sleep(between)
		writeSecond()
	} else {
		time.Sleep(4 * time.Second)
	}
	time.Sleep(3 * time.Second)
	cancel()
	sending.Wait()

	// The effect of version 12: the first request that the other service ran at each machine,
	// and from then on RollbackSlackMs.
	answers := make(map[string]*Answer)
	for _, c := range clients {
		for _, a := range c.All() {
			answers[a.ID] = a
		}
	}
	seen := make(map[string]time.Time) // by machine
	for _, a := range w.Journal.All() {
		if s := answers[a.ID]; s != nil && a.Run && a.Service == otherApp && seen[s.Machine].IsZero() {
			seen[s.Machine] = a.At
		}
	}
	const slack = 250 * time.Millisecond
	old, ran := 0, 0
	revoked := make(map[string]bool)
	for _, a := range clients[revokedKey].All() {
		revoked[a.ID] = true
	}
	byKey := 0
	for _, a := range w.Journal.All() {
		s := answers[a.ID]
		if s == nil || !a.Run || seen[s.Machine].IsZero() || s.SentAt.Before(seen[s.Machine].Add(slack)) {
			continue
		}
		ran++
		if a.Service == App {
			old++
			w.Record.Printf("CONFIG: %s, sent to %s %.3f s after version 12 was acknowledged, ran at %s", a.ID, s.Machine, s.SentAt.Sub(acked).Seconds(), a.Service)
		}
		if revoked[a.ID] {
			byKey++
			w.Record.Printf("CONFIG: %s, sent to %s %.3f s after version 12 was acknowledged, ran with a key that it had taken away", a.ID, s.Machine, s.SentAt.Sub(acked).Seconds())
		}
	}
	ended := 0
	for _, m := range w.Machines {
		if m.Ended() {
			ended++
		}
	}
	w.Record.Say("machines that had shown version 12: %d of %d, restarted or ended since: %d", len(seen), len(w.Machines), ended)
	w.Record.Say("requests run since by the old service: %d, with the key that was taken away: %d, of %d", old, byKey, ran)
	switch {
	case len(seen) < len(w.Machines) || ran == 0 || ended > 0:
		return 2, nil
	case old+byKey > 0:
		return 1, nil
	}
	return 0, nil
}
