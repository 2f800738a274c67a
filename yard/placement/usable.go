package placement

import (
	"math"
	"slices"
	"strconv"
	"strings"
	"time"

	"chervilyard.example/yard/pace"
	"chervilyard.example/yard/service"
	"chervilyard.example/yard/target"
)

// Ask reports whether a health check may be sent to a target, which counts like
// a request where it is cold.
func (p *Picker) Ask(now time.Time, name string, s service.Service, fleet Fleet) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	one := p.state(name)
	return !p.cold(now, one) || one.window.Take(now, p.coldLimit(Request{Service: s}, fleet))
}

// Asked notes that a health check that was allowed at one time is sent now.
func (p *Picker) Asked(allowed, now time.Time, name string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if s := p.state(name); p.cold(now, s) {
		s.window.Sent(allowed, now)
	}
}

// Proved takes in what a target said after a failure: it runs, and stays cold
// for the given time. A later failure than the question keeps its suspicion.
func (p *Picker) Proved(asked, now time.Time, name string, cold time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.state(name)
	if s.suspect.After(asked) {
		return
	}
	s.suspect = time.Time{}
	if cold > 0 {
		s.coldUntil = now.Add(cold)
	}
}

// Chill treats the targets as cold for the given time, unless a report says
// otherwise later.
func (p *Picker) Chill(now time.Time, names []string, d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, name := range names {
		if s := p.state(name); s.coldUntil.Before(now.Add(d)) {
			s.coldUntil = now.Add(d)
		}
	}
}

// Explain tells why each of the candidates that may get no request now may not.
func (p *Picker) Explain(now time.Time, candidates []target.Target, r Request, fleet Fleet) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	var list []string
	for i := range candidates {
		t := &candidates[i]
		s := p.state(t.Name())
		switch {
		case slices.Contains(r.Tried, t.Name()):
			list = append(list, t.Name()+" tried")
		case now.Before(s.ejected):
			list = append(list, t.Name()+" failed "+strconv.Itoa(s.failures)+" times")
		case !p.usable(now, t, r, fleet) && p.cold(now, s):
			list = append(list, t.Name()+" cold")
		case !p.usable(now, t, r, fleet):
			list = append(list, t.Name()+" not proved or too small")
		}
	}
	return strings.Join(list, ", ")
}

// usable reports whether the target may get a request now.
func (p *Picker) usable(now time.Time, t *target.Target, r Request, fleet Fleet) bool {
	s := p.state(t.Name())
	if now.Before(s.ejected) {
		return false
	}
	if s.failures > 0 && s.proving > 0 {
		return false // one request shows whether it is back
	}
	if memory := r.Service.Memory(); memory > 0 && r.Prompt+r.Output > memory {
		return false
	}
	if !p.cold(now, s) {
		return true
	}
	return s.window.Free(now, p.coldLimit(r, fleet))
}

func (p *Picker) cold(now time.Time, s *state) bool {
	return !s.suspect.IsZero() || now.Before(s.coldUntil)
}

func (p *Picker) coldLimit(r Request, fleet Fleet) int {
	if r.Service.ColdPace() <= 0 {
		return math.MaxInt32
	}
	return pace.Limit(r.Service.ColdPace()*fleet.Over+fleet.Fixed, fleet.Size, fleet.Rank)
}
