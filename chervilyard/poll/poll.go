// Package poll reads the load of the data centre's targets. Each target is read
// by two instances, chosen by rendezvous hashing; the others learn it from
// heartbeats.
package poll

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"chervilyard.example/yard/choice"
	"chervilyard.example/yard/target"
)

const (
	interval = time.Second
	spare    = 5 // intervals between readings by the second instance
	timeout  = time.Second
	readers  = 2 // instances that read one target
	maxBody  = 64 << 10
)

// Duty polls for one instance. Its fields are set before Run.
type Duty struct {
	Self    string // peer address
	Targets func() []target.Target
	Mates   func(now time.Time) []string // live instances of the data centre, without Self
	Learn   func(target string, r choice.Report)
	Pump    func(now time.Time)
	Now     func() time.Time

	client http.Client
	mu     sync.Mutex
	last   map[string]choice.Report
}

// load is what a target says of itself at GET /load.
type load struct {
	Running int     `json:"running"`
	Queued  int     `json:"queued"`
	Wait    float64 `json:"wait"` // seconds
}

// Run polls until the context ends.
func (d *Duty) Run(ctx context.Context) <-chan struct{} {
	d.client = http.Client{Timeout: timeout, Transport: &http.Transport{
		DialContext:         (&net.Dialer{Timeout: timeout}).DialContext,
		MaxIdleConnsPerHost: 2,
		IdleConnTimeout:     time.Minute,
	}}
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		defer d.client.CloseIdleConnections()
		ticker := time.NewTicker(interval)
		defer ticker.Stop()
		for n := 0; ; n++ {
			d.round(ctx, n)
			select {
			case <-ctx.Done():
				return
			case <-ticker.C:
			}
		}
	}()
	return ended
}

func (d *Duty) round(ctx context.Context, n int) {
	mates := d.Mates(d.Now())
	var wait sync.WaitGroup
	for _, t := range d.Targets() {
		rank := d.rank(t.Name(), mates)
		if rank >= readers || rank > 0 && n%spare != 0 {
			continue
		}
		wait.Add(1)
		go func() {
			defer wait.Done()
			d.read(ctx, t)
		}()
	}
	wait.Wait()
	d.Pump(d.Now())
}

// rank returns how many mates come before this instance for the target.
func (d *Duty) rank(name string, mates []string) int {
	own := xxhash.Sum64String(name + "/" + d.Self)
	before := 0
	for _, m := range mates {
		if xxhash.Sum64String(name+"/"+m) > own {
			before++
		}
	}
	return before
}

func (d *Duty) read(ctx context.Context, t target.Target) {
	l, err := d.get(ctx, t)
	if ctx.Err() != nil {
		return
	}
	r := choice.Report{
		At: d.Now(), Running: l.Running, Queued: l.Queued, Failed: err != nil,
		Wait: time.Duration(l.Wait * float64(time.Second)),
	}
	d.mu.Lock()
	if d.last == nil {
		d.last = make(map[string]choice.Report)
	}
	d.last[t.Name()] = r
	d.mu.Unlock()
	d.Learn(t.Name(), r)
}

// get reads a target's load. A target without /load is taken to be well.
func (d *Duty) get(ctx context.Context, t target.Target) (load, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+t.Address()+"/load", nil)
	if err != nil {
		return load{}, err
	}
	res, err := d.client.Do(req)
	if err != nil {
		return load{}, err
	}
	defer res.Body.Close()
	var l load
	switch {
	case res.StatusCode == http.StatusNotFound:
		return l, nil
	case res.StatusCode != http.StatusOK:
		return l, fmt.Errorf("poll: status %d", res.StatusCode)
	}
	return l, json.NewDecoder(io.LimitReader(res.Body, maxBody)).Decode(&l)
}

// Reports returns the fresh reports of the targets that this instance reads.
func (d *Duty) Reports(now time.Time) map[string]choice.Report {
	d.mu.Lock()
	defer d.mu.Unlock()
	fresh := make(map[string]choice.Report)
	for name, r := range d.last {
		if now.Sub(r.At) < 2*interval {
			fresh[name] = r
		}
	}
	return fresh
}
