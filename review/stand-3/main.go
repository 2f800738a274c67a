// Stand3 plays the cases of the review that need stand-ins: it starts the program of the deploy
// file as separate processes, beside a store, engines and clients that follow the users' pages.
//
//	stand3 CASE RECORD    (in the root of the repository; TROUBLE=0 leaves the disruption out)
//
// It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
	timeLimit  = 110 * time.Second
)

// outcome is the result of a case.
type outcome struct {
	broken bool
	text   string
}

var cases = map[string]func(ctx context.Context, d *deployment) (outcome, error){
	"permit-wait": permitWait,
	"check-wait":  checkWait,
	"split-route": deadlyRequest(map[string]float64{"model-citac": 80, "model-novi": 10, "model-proba": 10}, false),
	"one-service": deadlyRequest(map[string]float64{"model-citac": 100}, false),
	"other-query": deadlyRequest(map[string]float64{"model-citac": 100}, true),
	"unlimited":   unlimitedOutput,
	"store-moved": storeMoved,
	"late-part":   deadlyPart(140, 134),
	"early-part":  deadlyPart(140, 100), // the same with the part among the first 128
}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stand3 CASE RECORD")
		return exitNotRun
	}
	root, err := os.Getwd()
	if err != nil {
		return exitNotRun
	}
	dir, err := os.MkdirTemp("", "case-")
	if err != nil {
		return exitNotRun
	}
	if os.Getenv("KEEP") == "" {
		defer os.RemoveAll(dir)
	} else {
		fmt.Println(dir)
	}
	ctx, cancel := context.WithTimeout(context.Background(), timeLimit)
	defer cancel()
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	d := &deployment{root: root, dir: dir, store: newStore(), rec: &record{start: time.Now()}, stopped: make(chan struct{}), trouble: os.Getenv("TROUBLE") != "0"}
	defer d.end()
	o, err := cases[os.Args[1]](ctx, d)
	if err != nil {
		fmt.Println("the case could not run:", err)
		return exitNotRun
	}
	text := "the rule held: " + o.text
	if o.broken {
		text = "the rule was broken: " + o.text
	}
	fmt.Println(text)
	if err := d.rec.write(os.Args[2], text); err != nil {
		fmt.Println(err)
		return exitNotRun
	}
	if o.broken {
		return exitBroken
	}
	return exitHeld
}

// deployment is a small deployment: one store, some machines and engines.
type deployment struct {
	root, dir string
	store     *store
	storeAddr string
	rec       *record
	gates     []*gate
	engines   []*engine
	seeds     []string
	stopped   chan struct{}
	trouble   bool
}

// ip returns a loopback address of this run, so that runs beside each other share none.
func (d *deployment) ip(class, n int) string {
	return fmt.Sprintf("127.%d.%d.%d", 16+os.Getpid()%200, class, n)
}

// begin starts the store, the engines and the machines, and waits until the machines are ready.
func (d *deployment) begin(config map[string]any, zonesOfGates []string) error {
	addr, err := d.store.start(d.ip(0, 1))
	if err != nil {
		return err
	}
	d.storeAddr = addr
	text, _ := json.Marshal(config)
	d.store.put("op/config", text)
	for n, e := range d.engines {
		e.rec = d.rec
		if err := e.start(d.ip(1, n+1)); err != nil {
			return err
		}
		go e.beat(d.store, d.stopped)
	}
	for n, zone := range zonesOfGates {
		g, err := newGate(d.dir, fmt.Sprintf("front-%s-%d", zone, n+1), d.ip(2, n+1), zone)
		if err != nil {
			return err
		}
		d.gates = append(d.gates, g)
		if len(d.seeds) < 3 {
			d.seeds = append(d.seeds, g.control)
		}
	}
	if len(d.gates) == 1 {
		d.rec.only = d.gates[0].name
	}
	for _, g := range d.gates {
		if err := g.writeSettings(d.storeAddr, d.seeds); err != nil {
			return err
		}
		if err := g.start(d.root); err != nil {
			return err
		}
	}
	for _, g := range d.gates {
		if err := g.waitReady(15 * time.Second); err != nil {
			return err
		}
	}
	return nil
}

func (d *deployment) end() {
	close(d.stopped)
	for _, g := range d.gates {
		g.kill()
	}
}

// pause waits and returns an error if the context ended.
func pause(ctx context.Context, d time.Duration) error {
	select {
	case <-time.After(d):
		return nil
	case <-ctx.Done():
		return errors.New("the time was over")
	}
}

// streamConfig is a configuration like that of the sheet of dnevnik-yard: one route of streams to
// one service of model engines.
func streamConfig() map[string]any {
	return map[string]any{
		"Version": 7,
		"Routes": []any{map[string]any{
			"Name": "r-summary", "Host": "ficu95.example", "PathPrefix": "/lohu930/", "Kind": "stream", "TimeoutMs": 12000, "GoalMs": 1000, "Priority": 1,
			"Service": "model-citac", "Attempts": 1, "Public": false, "Sticky": true, "Resumable": false, "GapTargetMs": 300, "HomeRegions": []string{},
		}},
		"Services": []any{map[string]any{
			"Name": "model-citac", "HealthPath": "/healthz", "MaxConns": 370, "Protocol": "h1", "Tls": false, "ColdS": 3.0, "ColdPerS": 4.4,
			"Engine": map[string]any{
				"Slots": 64, "KvTokens": 612718, "KvTokenBytes": 35136, "LinkMbps": 1500000.0, "Moves": true, "Backups": true, "Stride": 7, "most": 12,
				"PinMs": 4000.0, "HoldMs": 2000.0, "handle_s": 5.0, "Models": []any{map[string]any{"Name": "m"}},
			},
		}},
		"Limits": map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
		"Tenants": []any{map[string]any{
			"Name": "huka270", "ApiKeys": []string{"i9n73hh2b9wu3fexd9dn"}, "Priority": 1, "Unit": "token_stream", "PlainTokens": 200,
			"RatePerS": 4971610, "Burst": 4971610, "HomeRegions": []string{},
		}},
	}
}

// countUnwanted returns the most requests that reached an engine from one machine between half a
// second after it had answered that machine 503 with Retry-After and the end of that time.
func countUnwanted(events []event) (int, event) {
	most, first := 0, event{}
	for i, told := range events {
		if told.retryAfter <= 0 {
			continue
		}
		n := 0
		for _, e := range events[i+1:] {
			after := e.at.Sub(told.at)
			if after >= told.retryAfter {
				break
			}
			if e.what == "request" && e.engine == told.engine && e.from == told.from && after > 500*time.Millisecond {
				n++
			}
		}
		if n > most {
			most, first = n, told
		}
	}
	return most, first
}
