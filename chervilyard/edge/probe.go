package edge

import (
	"context"
	"maps"
	"net/http"
	"sync"
	"time"

	"chervilyard.example/chervilyard/pool"
	"chervilyard.example/yard/target"
)

const (
	probeTime  = 500 * time.Millisecond // for a health check
	probePause = 200 * time.Millisecond // between two checks of a target
)

// probes asks targets after a failure whether they started anew, so that those
// whose connections alone broke need not be spared like cold ones.
type probes struct {
	mu    sync.Mutex
	asked map[string]time.Time // when each was last asked
}

// due notes a check of the target and returns true, unless it was asked just now.
func (p *probes) due(now time.Time, name string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.asked == nil {
		p.asked = make(map[string]time.Time)
	}
	maps.DeleteFunc(p.asked, func(_ string, at time.Time) bool { return now.Sub(at) >= probePause })
	if _, ok := p.asked[name]; ok {
		return false
	}
	p.asked[name] = now
	return true
}

// suspect asks a target that failed how it is, without waiting for the answer.
func (e *Edge) suspect(t target.Target) {
	c := e.catalog.Load()
	names := t.Routes()
	if c == nil || len(names) == 0 || !e.probes.due(e.now(), t.Name()) {
		return
	}
	service := c.Service(names[0])
	path := service.Health()
	now := e.now()
	if path == "" || !e.picker.Ask(now, t.Name(), service, e.fleet(now)) {
		return
	}
	go e.probe(t, path, now)
}

func (e *Edge) probe(t target.Target, path string, allowed time.Time) {
	ctx, cancel := context.WithTimeout(e.ctx, probeTime)
	defer cancel()
	asked := e.now()
	resp, err := e.pool.Do(ctx, t.Address(), &pool.Request{
		Method: http.MethodGet, Target: path, Host: t.Address(), Header: http.Header{}, Fresh: true,
		Began: func() { e.picker.Asked(allowed, e.now(), t.Name()) },
	})
	if err != nil {
		e.note("target", "not proved", t.Name()+": "+err.Error())
		return
	}
	defer resp.Close()
	now := e.now()
	name, cold, sound := e.gateway.Wire.Health(resp.Status, resp.Header)
	if name != t.Name() || !sound {
		e.note("target", "not proved", t.Name()+": status "+itoa(int64(resp.Status))+" from "+name)
		return
	}
	e.picker.Proved(asked, now, name, cold)
	e.note("target", "proved", name+", cold for "+cold.String())
}
