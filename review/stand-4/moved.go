package main

import (
	"context"
	"net/http"
	"os"
	"syscall"
	"time"
)

// storeMoved: the platform's store gets another address, and the settings files name it.
func storeMoved(w *World) (int, error) {
	w.Zones = map[string]string{"zagreb-a": "zagreb"}
	trouble := os.Getenv("TROUBLE") != "0"
	setKeys(w, Key, revokedKey)
	if err := addApps(w); err != nil {
		return 2, err
	}
	w.PutConfig()
	w.AddMachine("zagreb-a")
	w.AddMachine("zagreb-a")
	first, err := w.Store.Serve(w.Net + "251:0")
	if err != nil {
		return 2, err
	}
	for _, m := range w.Machines {
		m.Store = first.Address
	}
	if err := w.StartMachines(); err != nil {
		return 2, err
	}
	clients := map[string]*Client{Key: NewClient(Host, Key, w.Record), revokedKey: NewClient(Host, revokedKey, w.Record)}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	sending := keepSending(ctx, w, clients)
	time.Sleep(10 * time.Second)
	if trouble {
		second, err := w.Store.Serve(w.Net + "252:0")
		if err != nil {
			return 2, err
		}
		for _, m := range w.Machines {
			m.Store = second.Address
			if err := os.WriteFile(m.SettingsFile(), []byte(m.settings(false)), 0o600); err != nil {
				return 2, err
			}
			m.Signal(syscall.SIGHUP)
		}
		w.Record.Say("the settings files name the store's new address, all machines got SIGHUP")
		time.Sleep(2 * time.Second)
		first.Close()
		w.Record.Say("the store has left its old address")
	} else {
		time.Sleep(2 * time.Second)
	}
	time.Sleep(8 * time.Second) // StableMs and more
	setVersion(w, 12)
	setService(w, 3, otherApp)
	setKeys(w, Key)
	w.PutConfig()
	acked := time.Now()
	time.Sleep(12 * time.Second)
	cancel()
	sending.Wait()

	const configTime = 3 * time.Second
	answers := make(map[string]*Answer)
	revoked := make(map[string]bool)
	for key, c := range clients {
		for _, a := range c.All() {
			answers[a.ID] = a
			revoked[a.ID] = key == revokedKey
		}
	}
	old, byKey, ran := 0, 0, 0
	for _, a := range w.Journal.All() {
		s := answers[a.ID]
		if s == nil || !a.Run || s.SentAt.Before(acked.Add(configTime)) {
			continue
		}
		ran++
		late := s.SentAt.Sub(acked).Seconds()
		if a.Service == App {
			old++
			w.Record.Printf("CONFIG: %s, sent to %s %.3f s after version 12 was acknowledged, ran at the old service", a.ID, s.Machine, late)
		}
		if revoked[a.ID] {
			byKey++
			w.Record.Printf("CONFIG: %s, sent to %s %.3f s after version 12 was acknowledged, ran with a key that it had taken away", a.ID, s.Machine, late)
		}
	}
	for _, m := range w.Machines {
		if m.Ended() {
			w.Record.Say("%s has ended", m.Name)
			return 2, nil
		}
	}
	w.Record.Say("requests sent later than ConfigMs after version 12 that the old service ran: %d, that ran with the key that was taken away: %d, of %d", old, byKey, ran)
	switch {
	case ran == 0:
		return 2, nil
	case old+byKey > 0:
		return 1, nil
	}
	return 0, nil
}

// StoreServer is one address of the store.
type StoreServer struct {
	Address string
	server  *http.Server
}

// Serve serves the store on an address until Close is called.
func (s *Store) Serve(address string) (*StoreServer, error) {
	l, err := listen(address)
	if err != nil {
		return nil, err
	}
	server := &http.Server{Handler: s.Handler()}
	go func() { _ = server.Serve(l) }()
	return &StoreServer{Address: l.Addr().String(), server: server}, nil
}

// Close closes the address and its connections.
func (s *StoreServer) Close() { _ = s.server.Close() }
