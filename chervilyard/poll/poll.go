// Package poll polls the load of the targets in the data centre of an instance.
// Rendezvous hashing assigns two instances to each target: the first polls it every
// second, the second every five seconds as a backup. The other instances receive the
// load in heartbeats.
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

	"chervilyard.example/yard/balancer"
	"chervilyard.example/yard/head"
	"chervilyard.example/yard/target"
)

const (
	pollInterval     = time.Second
	backupRounds     = 5 // rounds between polls by the backup instance
	pollTimeout      = time.Second
	pollersPerTarget = 2
	maxResponseBytes = 64 << 10
)

// Poller polls the targets assigned to one instance. The exported fields must be set
// before Run and must not change afterwards.
type Poller struct {
	Address string // peer address of this instance
	// Targets returns the targets in the data centre of this instance.
	Targets func() []target.Target
	// PeerAddresses returns the peer addresses of the other live instances of the data
	// centre.
	PeerAddresses func(now time.Time) []string
	// OnReport is called with the name of the target and the report of each poll.
	// Calls may be concurrent.
	OnReport func(target string, r balancer.Report)
	// AfterRound is called after each round, when all its polls have finished.
	AfterRound func(now time.Time)
	Now        func() time.Time

	client http.Client
	mu     sync.Mutex
	latest map[string]balancer.Report // by target name
}

// loadStatus is the response of a target to GET /load.
type loadStatus struct {
	Running int     `json:"running"` // requests
	Queued  int     `json:"queued"`  // requests
	Wait    float64 `json:"wait"`    // expected queueing time of a new request, in seconds
}

// Run starts a goroutine that polls at a fixed interval, the first time at once. The
// goroutine stops when ctx is done; the returned channel is then closed. Run must be
// called only once.
func (p *Poller) Run(ctx context.Context) <-chan struct{} {
	p.client = http.Client{Timeout: pollTimeout, Transport: &http.Transport{
		DialContext:         (&net.Dialer{Timeout: pollTimeout}).DialContext,
		MaxIdleConnsPerHost: 2,
		IdleConnTimeout:     time.Minute,
	}}
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		defer p.client.CloseIdleConnections()
		ticker := time.NewTicker(pollInterval)
		defer ticker.Stop()
		for round := 0; ; round++ {
			p.pollRound(ctx, round)
			select {
			case <-ctx.Done():
				return
			case <-ticker.C:
			}
		}
	}()
	return stopped
}

// pollRound polls the targets that are assigned to this instance in this round, and
// waits for the responses.
func (p *Poller) pollRound(ctx context.Context, round int) {
	peers := p.PeerAddresses(p.Now())
	var wg sync.WaitGroup
	for _, t := range p.Targets() {
		rank := p.rank(t.Name(), peers)
		if rank >= pollersPerTarget || rank > 0 && round%backupRounds != 0 {
			continue
		}
		wg.Add(1)
		go func() {
			defer wg.Done()
			p.pollTarget(ctx, t)
		}()
	}
	wg.Wait()
	p.AfterRound(p.Now())
}

// rank returns the position of this instance, from 0, in the rendezvous order of
// the target with the given name: the number of peers with a higher hash.
func (p *Poller) rank(name string, peers []string) int {
	ownHash := xxhash.Sum64String(name + "/" + p.Address)
	higher := 0
	for _, address := range peers {
		if xxhash.Sum64String(name+"/"+address) > ownHash {
			higher++
		}
	}
	return higher
}

// pollTarget polls one target, stores the report and passes it to OnReport. A failed
// poll is reported as well, unless ctx is done.
func (p *Poller) pollTarget(ctx context.Context, t target.Target) {
	status, err := p.fetchLoad(ctx, t)
	if ctx.Err() != nil {
		return
	}
	r := balancer.Report{
		At: p.Now(), Running: status.Running, Queued: status.Queued, Failed: err != nil,
		QueueWait: time.Duration(status.Wait * float64(time.Second)),
	}
	p.mu.Lock()
	if p.latest == nil {
		p.latest = make(map[string]balancer.Report)
	}
	p.latest[t.Name()] = r
	p.mu.Unlock()
	p.OnReport(t.Name(), r)
}

// fetchLoad requests the load of a target. A target that answers 404 has no load to
// report and counts as healthy and idle.
func (p *Poller) fetchLoad(ctx context.Context, t target.Target) (loadStatus, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+t.Address()+"/load", nil)
	if err != nil {
		return loadStatus{}, err
	}
	res, err := p.client.Do(req)
	if err != nil {
		return loadStatus{}, err
	}
	defer res.Body.Close()
	if err := head.Check(res.StatusCode, res.Header); err != nil {
		return loadStatus{}, err
	}
	var status loadStatus
	switch {
	case res.StatusCode == http.StatusNotFound:
		return status, nil
	case res.StatusCode != http.StatusOK:
		return status, fmt.Errorf("poll: target answered GET /load with status %d", res.StatusCode)
	}
	return status, json.NewDecoder(io.LimitReader(res.Body, maxResponseBytes)).Decode(&status)
}

// RecentReports returns the reports that this instance polled within the last two poll
// intervals, by target name. It is safe for concurrent use.
func (p *Poller) RecentReports(now time.Time) map[string]balancer.Report {
	p.mu.Lock()
	defer p.mu.Unlock()
	fresh := make(map[string]balancer.Report)
	for name, r := range p.latest {
		if now.Sub(r.At) < 2*pollInterval {
			fresh[name] = r
		}
	}
	return fresh
}
