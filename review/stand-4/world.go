package main

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"time"
)

// World is a small deployment: a store, engines and machines.
type World struct {
	Root     string
	Dir      string
	Net      string
	Record   *Record
	Store    *Store
	StoreAt  string
	Journal  *Journal
	Machines []*Machine
	Engines  []*Engine
	Config   map[string]any
	Zones    map[string]string
	stop     chan struct{}
}

// The names of the deployment.
const (
	Host   = "ficu95.example"
	Key    = "i9n73hh2b9wu3fexd9dn"
	Tenant = "huka270"
	Model  = "huvo11a"
	App    = "wuno96b"
)

// Route is one route of the configuration.
func Route(name, prefix, kind, service string, timeoutMs, goalMs, attempts int, extra map[string]any) map[string]any {
	r := map[string]any{
		"Name": name, "Host": Host, "PathPrefix": prefix, "Kind": kind, "TimeoutMs": timeoutMs, "GoalMs": goalMs, "Priority": 1, "Service": service,
		"Attempts": attempts, "Public": false, "Sticky": service == Model, "HomeRegions": []string{},
	}
	if kind == "stream" {
		r["GapTargetMs"], r["Resumable"] = 300, false
	}
	for key, value := range extra {
		r[key] = value
	}
	return r
}

// BaseConfig returns the first configuration.
func BaseConfig() map[string]any {
	return map[string]any{
		"Version": 7,
		"Routes": []any{
			Route("r-draft", "/lohu930/", "stream", Model, 12000, 1000, 1, nil),
			Route("r-ask", "/pufi791/", "stream", Model, 3000, 600, 2, map[string]any{"Resumable": true, "Priority": 0}),
			Route("r-write", "/pule252/", "non_idempotent", App, 2500, 300, 1, nil),
			Route("r-read", "/puxa403/", "idempotent", App, 2500, 300, 2, nil),
		},
		"Services": []any{
			map[string]any{"Name": Model, "HealthPath": "/healthz", "MaxConns": 370, "Protocol": "h1", "Tls": false, "ColdS": 0.0, "ColdPerS": 0.0, "Engine": map[string]any{"Slots": 64, "KvTokens": 612718}},
			map[string]any{"Name": App, "HealthPath": "/healthz", "MaxConns": 110, "Protocol": "h1", "Tls": false, "ColdS": 0.0, "ColdPerS": 0.0},
		},
		"Limits":  map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
		"Tenants": []any{map[string]any{"Name": Tenant, "ApiKeys": []string{Key}, "Priority": 1, "Unit": "token_stream", "PlainTokens": 200, "RatePerS": 50000000, "Burst": 50000000, "HomeRegions": []string{}}},
	}
}

// NewWorld starts the store. The case adds machines and engines.
func NewWorld(root, caseDir string) (*World, error) {
	rec, err := NewRecord(filepath.Join(caseDir, "record.txt"))
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	w := &World{Root: root, Dir: dir, Net: FreeNet(), Record: rec, Store: NewStore(), Journal: &Journal{}, Config: BaseConfig(), stop: make(chan struct{})}
	server, err := w.Store.Serve(w.Net + "250:0")
	if err != nil {
		return nil, err
	}
	w.StoreAt = server.Address
	go w.Store.Run(w.stop)
	return w, nil
}

// PutConfig writes the configuration and returns its revision.
func (w *World) PutConfig() int64 {
	value, err := json.Marshal(w.Config)
	if err != nil {
		panic(err)
	}
	w.Record.Printf("operator writes version %v", w.Config["Version"])
	return w.Store.Put("op/config", value)
}

// AddMachine adds a machine of a zone, whose region is the part before the dash.
func (w *World) AddMachine(zone string) *Machine {
	n := len(w.Machines) + 1
	m := &Machine{
		Name: fmt.Sprintf("front-%s-%d", zone, n), IP: fmt.Sprintf("%s%d", w.Net, n), Zone: zone, Region: region(zone), Store: w.StoreAt,
		Root: w.Root, Dir: w.Dir, Zones: w.Zones,
	}
	w.Machines = append(w.Machines, m)
	for _, other := range w.Machines {
		other.Seeds = nil
		for _, seed := range w.Machines[:min(len(w.Machines), 3)] {
			other.Seeds = append(other.Seeds, seed.Control())
		}
	}
	return m
}

func region(zone string) string {
	name, _, _ := strings.Cut(zone, "-")
	return name
}

// AddEngine starts an engine.
func (w *World) AddEngine(e *Engine) (*Engine, error) {
	e.Store, e.Journal, e.Record = w.Store, w.Journal, w.Record
	if e.Beat == 0 {
		e.Beat = 1200 * time.Millisecond
	}
	if e.Address == "" {
		e.Address = fmt.Sprintf("%s%d:0", w.Net, 100+len(w.Engines))
	}
	w.Engines = append(w.Engines, e)
	return e, e.Start(false)
}

// StartMachines starts all machines and waits until they are ready.
func (w *World) StartMachines() error {
	for _, m := range w.Machines {
		if err := m.Start(true); err != nil {
			return err
		}
	}
	return AwaitReady(w.Machines, 15*time.Second)
}

// Close ends all processes and writes out the record.
func (w *World) Close() {
	for _, m := range w.Machines {
		m.Kill()
	}
	for _, e := range w.Engines {
		e.Crash()
	}
	close(w.stop)
	w.Record.Close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(w.Dir)
	} else {
		fmt.Println("logs in", w.Dir)
	}
}
