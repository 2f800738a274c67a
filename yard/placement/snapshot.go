package placement

import (
	"maps"
	"time"

	"chervilyard.example/yard/target"
)

// Snapshot returns a copy of the picker's state of the candidates and of the service of r. It
// chooses as p would, and what it does leaves p unchanged. It calls none of the On functions.
// Its tickets must not be admitted or ended.
func (p *Picker) Snapshot(candidates []target.Target, r Request) *Picker {
	p.mu.Lock()
	defer p.mu.Unlock()
	c := &Picker{
		targets: make(map[string]*targetState, len(candidates)), peers: maps.Clone(p.peers), peerTotals: maps.Clone(p.peerTotals),
		peerExpiry: p.peerExpiry, others: maps.Clone(p.others), othersAt: p.othersAt, services: make(map[string]*serviceState),
		listedAt: p.listedAt, reserved: p.reserved, readmitted: maps.Clone(p.readmitted), outliers: p.outliers.Clone(),
		Random: p.Random, RateLimit: p.RateLimit,
	}
	for _, t := range candidates {
		if s := p.targets[t.Name()]; s != nil {
			c.targets[t.Name()] = s.clone(r.Parts)
		}
	}
	if s := p.services[r.Service.Name()]; s != nil {
		copied := *s
		c.services[r.Service.Name()] = &copied
	}
	return c
}

// clone returns a copy of the state that shares nothing with s that either changes. It has the
// last use of the given prompt parts only, as a target may have thousands.
func (s *targetState) clone(parts []Part) *targetState {
	c := *s
	c.window = s.window.Clone()
	c.partsUsed = make(map[string]time.Time, len(parts))
	for _, part := range parts {
		if used, ok := s.partsUsed[part.ID]; ok {
			c.partsUsed[part.ID] = used
		}
	}
	return &c
}

// LearnedAge returns the time since the last sample of the latency of the named service, or -1
// if there is none.
func (p *Picker) LearnedAge(now time.Time, service string) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if s := p.services[service]; s != nil {
		return age(now, s.learnedAt)
	}
	return -1
}
