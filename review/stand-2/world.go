package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	host      = "ficu95.example"
	tenantKey = "i9n73hh2b9wu3fexd9dn"
	tenant    = "huka270"
	// Bounds of the small deployment that DEPLOY.md shows.
	stableMs  = 5 * time.Second
	coldOver  = 1.5
	coldSlack = 3
)

// world is a small deployment: instances of the gateway as processes, a store, engines and
// clients.
type world struct {
	dir     string
	base    string // first two numbers of all addresses
	store   *store
	nodes   []*node
	engines []*engine
	zones   map[string]string // region by zone

	memoryMb, fds int // of each machine

	mu       sync.Mutex
	record   *os.File
	started  time.Time
	arrivals []arrival
	sent     []attempt
	begun    map[string]time.Time // when a request was sent, by its ID
}

// node is one instance of the gateway.
type node struct {
	name, zone, ip string
	settings       string // path of its file
	cmd            *exec.Cmd
	output         *os.File
}

// attempt is a request that a client sent.
type attempt struct {
	id        string
	kind      string
	at, ended time.Time
	node      string
	status    int // 0 for a connection that ended without a response
	whole     bool
	text      string
}

func (w *world) log(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	_, _ = fmt.Fprintf(w.record, "%8.3f  %s\n", time.Since(w.started).Seconds(), fmt.Sprintf(format, args...))
}

func (w *world) recordArrival(a arrival) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.arrivals = append(w.arrivals, a)
}

// sentAt returns when a client sent a request.
func (w *world) sentAt(id string) time.Time {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.begun[id]
}

// hasReached reports whether a request reached an engine that it was meant for.
func (w *world) hasReached(id string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.ContainsFunc(w.arrivals, func(a arrival) bool { return a.id == id && a.result != "421" })
}

// newWorld starts a store. The record goes to a file.
func newWorld(record string, zones map[string]string) (*world, error) {
	f, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "stand")
	if err != nil {
		return nil, err
	}
	w := &world{dir: dir, record: f, started: time.Now(), zones: zones, store: newStore(), begun: map[string]time.Time{}, memoryMb: 284, fds: 4100}
	for range 100 {
		w.base = fmt.Sprintf("127.%d.%d", 30+rand.IntN(200), rand.IntN(250))
		l, err := net.Listen("tcp", w.base+".250:8225")
		if err != nil {
			continue
		}
		w.store.serve(l)
		return w, nil
	}
	return nil, fmt.Errorf("no free address: %w", err)
}

// addEngine adds an engine and starts it.
func (w *world) addEngine(e *engine) error {
	e.w = w
	e.address = fmt.Sprintf("%s.%d:8080", w.base, 100+len(w.engines))
	w.engines = append(w.engines, e)
	return e.start()
}

// addNode adds an instance in a zone. startNode starts it.
func (w *world) addNode(zone string) *node {
	n := &node{zone: zone, ip: fmt.Sprintf("%s.%d", w.base, 1+len(w.nodes))}
	n.name = fmt.Sprintf("front-%s-%d", zone, 1+len(w.nodes))
	n.settings = filepath.Join(w.dir, n.name+".conf")
	w.nodes = append(w.nodes, n)
	return n
}

func (w *world) writeSettings(n *node) error {
	var seeds []string
	for _, other := range w.nodes[:min(3, len(w.nodes))] {
		seeds = append(seeds, other.ip+":8229")
	}
	var text strings.Builder
	line := func(format string, args ...any) { _, _ = fmt.Fprintf(&text, format+"\n", args...) }
	line("Node=%s\nRole=edge\nClass=front\nServes=front,control,directory\nIp=%s\nZone=%s\nRegion=%s", n.name, n.ip, n.zone, w.zones[n.zone])
	for zone, region := range w.zones {
		line("Zones.%s=%s", zone, region)
	}
	line("Listen.Front=%s:8221\nListen.ReadyAddr=%s:8224\nListen.Control=%s:8229\nListen.Directory=%s:8220", n.ip, n.ip, n.ip, n.ip)
	line("PortRange=7600,7615\nSeeds=%s\nBootstrap=true\nInTolerance=false", strings.Join(seeds, ","))
	line("Limits.CpuShare=0.4\nLimits.Cores=1\nLimits.MemoryMb=%d\nLimits.MaxFds=%d\nLimits.LinkMbps=1000.0\nLimits.DiskMb=0", w.memoryMb, w.fds)
	line("Discovery=platform\nEntry=directory\nBeatMs=%d", beatInterval.Milliseconds())
	line("Contracts=base,drain,config,cost,retry,recover,engine,stream,places,tenants,quota,platform")
	line("Tolerate.Machines=2\nTolerate.Zones=1\nTolerate.Regions=1")
	line("Bounds.SeedLagS=3\nBounds.ReuseAfterS=2\nBounds.StableMs=%d\nBounds.AckMs=6000\nBounds.CatchUpS=4\nBounds.DrainMs=3000\nBounds.GraceS=8", stableMs.Milliseconds())
	line("Bounds.LostSlackMs=200\nBounds.ConfigMs=3000\nBounds.RollbackSlackMs=250\nBounds.MaxStretchMs=8000\nBounds.StrictRevoke=false\nBounds.RevokeMs=5000")
	line("Bounds.RetryRatio=0.2\nBounds.BudgetWindowS=10\nBounds.RetrySlack=56\nBounds.QuotaWindowS=8\nBounds.QuotaOver=0.1\nBounds.QuotaSlack=140000")
	line("Bounds.ColdOver=%g\nBounds.ColdSlack=%d\nBounds.EvacuateMs=5000\nBounds.RecoveryS=12\nBounds.PassMs=600\nBounds.AgainS=10\nBounds.ttl_max_s=5", coldOver, coldSlack)
	line("Provider.Addr=%s.250:8225\nProvider.form=kv\nProvider.WritesPerS=400\nProvider.ReadsPerS=2000\nProvider.HistoryS=20\nProvider.ValueBytes=1048576\nProvider.TtlMinMs=1000", w.base)
	return os.WriteFile(n.settings, []byte(text.String()), 0o600)
}

// startNode starts the program of the deploy file for the instance.
func (w *world) startNode(n *node) error {
	if err := w.writeSettings(n); err != nil {
		return err
	}
	out, err := os.OpenFile(filepath.Join(w.dir, n.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	n.output = out
	n.cmd = exec.Command("target/platform")
	n.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "CHERVILYARD_BOOT=" + n.settings}
	n.cmd.Stdout, n.cmd.Stderr = out, out
	n.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} // it must not outlive this process
	if err := n.cmd.Start(); err != nil {
		return err
	}
	w.log("%s started", n.name)
	return nil
}

// startAll starts all instances and waits until they are ready.
func (w *world) startAll() error {
	for _, n := range w.nodes {
		if err := w.startNode(n); err != nil {
			return err
		}
	}
	deadline := time.Now().Add(10 * time.Second)
	for _, n := range w.nodes {
		for !n.ready() {
			if time.Now().After(deadline) {
				return fmt.Errorf("%s is not ready", n.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	w.log("all %d instances are ready", len(w.nodes))
	return nil
}

var statusClient = &http.Client{Timeout: time.Second}

func (n *node) ready() bool {
	resp, err := statusClient.Get("http://" + n.ip + ":8224/v1/readyz")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// stop ends all processes that the world started, and removes its files.
func (w *world) stop() {
	for _, n := range w.nodes {
		if n.cmd != nil && n.cmd.Process != nil {
			_ = n.cmd.Process.Kill()
			_ = n.cmd.Wait()
			_ = n.output.Close()
		}
	}
	if keep := os.Getenv("KEEP_LOGS"); keep != "" {
		_ = os.MkdirAll(keep, 0o755)
		files, _ := filepath.Glob(filepath.Join(w.dir, "*.log"))
		for _, f := range files {
			text, _ := os.ReadFile(f)
			_ = os.WriteFile(filepath.Join(keep, filepath.Base(f)), text, 0o600)
		}
	}
	_ = os.RemoveAll(w.dir)
	_ = w.record.Close()
}

// request is what a client sends.
type request struct {
	kind     string // for the record
	method   string
	path     string
	body     []byte
	deadline time.Duration
	header   map[string]string
}

// newClient returns a client with connections of its own that it keeps open.
func newClient() *http.Client {
	return &http.Client{Transport: &http.Transport{
		MaxIdleConnsPerHost: 64, IdleConnTimeout: 10 * time.Second, DisableCompression: true,
		DialContext: (&net.Dialer{Timeout: time.Second}).DialContext,
	}}
}

// send sends one request to an instance and records how it ended.
func (w *world) send(c *http.Client, n *node, q request) attempt {
	a := attempt{id: fmt.Sprintf("%016x", rand.Uint64()), kind: q.kind, at: time.Now(), node: n.name}
	ctx, cancel := context.WithTimeout(context.Background(), q.deadline)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, q.method, "http://"+n.ip+":8221"+q.path, bytes.NewReader(q.body))
	if err != nil {
		panic(err)
	}
	r.Host = host
	r.Header.Set("X-Request-Id", a.id)
	r.Header.Set("X-Key", tenantKey)
	r.Header.Set("X-Deadline-Ms", fmt.Sprint(q.deadline.Milliseconds()))
	for name, value := range q.header {
		r.Header.Set(name, value)
	}
	w.mu.Lock()
	w.begun[a.id] = a.at
	w.mu.Unlock()
	resp, err := c.Do(r)
	if err == nil {
		a.status = resp.StatusCode
		_, err = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
		a.whole = err == nil
	}
	if err != nil {
		a.text = err.Error()
	}
	a.ended = time.Now()
	w.mu.Lock()
	w.sent = append(w.sent, a)
	w.mu.Unlock()
	return a
}

// load sends requests at random times, perSecond on average, to random instances until the
// context ends. The returned function waits until all have ended.
func (w *world) load(ctx context.Context, perSecond func() float64, next func() request) (wait func()) {
	var wg sync.WaitGroup
	c := newClient()
	wg.Add(1)
	go func() {
		defer wg.Done()
		for at := time.Now(); ctx.Err() == nil; {
			at = at.Add(time.Duration(rand.ExpFloat64() / perSecond() * float64(time.Second)))
			time.Sleep(time.Until(at))
			n := w.nodes[rand.IntN(len(w.nodes))]
			q := next()
			wg.Add(1)
			go func() {
				defer wg.Done()
				w.send(c, n, q)
			}()
		}
	}()
	return wg.Wait
}

// writeRecord writes what was sent, answered and run.
func (w *world) writeRecord() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, kind := range kinds(w.sent) {
		outcomes := make(map[string]int)
		for _, a := range w.sent {
			if a.kind != kind {
				continue
			}
			switch {
			case a.status == 0:
				outcomes["no response"]++
			case !a.whole:
				outcomes[fmt.Sprintf("%d broken off", a.status)]++
			default:
				outcomes[fmt.Sprint(a.status)]++
			}
		}
		_, _ = fmt.Fprintf(w.record, "sent by clients, %s: %s\n", kind, counts(outcomes))
	}
	results := make(map[string]int)
	for _, a := range w.arrivals {
		results[a.result]++
	}
	_, _ = fmt.Fprintf(w.record, "reached engines: %s\n", counts(results))
}

func kinds(sent []attempt) []string {
	var list []string
	for _, a := range sent {
		if !slices.Contains(list, a.kind) {
			list = append(list, a.kind)
		}
	}
	slices.Sort(list)
	return list
}

func counts(m map[string]int) string {
	var list []string
	for name, n := range m {
		list = append(list, fmt.Sprintf("%s: %d", name, n))
	}
	slices.Sort(list)
	return strings.Join(list, "; ")
}

// config returns an operator's configuration with the routes and services.
func config(version int, routes, services []map[string]any) map[string]any {
	return map[string]any{
		"Version": version, "Routes": routes, "Services": services,
		"Limits": map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
		"Tenants": []map[string]any{{
			"Name": tenant, "ApiKeys": []string{tenantKey}, "Priority": 1, "Unit": "token_stream", "PlainTokens": 200,
			"RatePerS": 2000000, "Burst": 2000000, "HomeRegions": []string{},
		}},
	}
}

func route(name, prefix, kind, service string, timeout, goal, attempts int) map[string]any {
	return map[string]any{
		"Name": name, "Host": host, "PathPrefix": prefix, "Kind": kind, "TimeoutMs": timeout, "GoalMs": goal, "Priority": 1, "Service": service,
		"Attempts": attempts, "Public": false, "Sticky": false, "Resumable": false, "GapTargetMs": 300, "HomeRegions": []string{},
	}
}

func plainService(name string) map[string]any {
	return map[string]any{"Name": name, "HealthPath": "/healthz", "MaxConns": 110, "Protocol": "h1", "Tls": false, "ColdS": 0.0, "ColdPerS": 0.0}
}
