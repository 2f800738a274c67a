package placement

import (
	"math"
	"time"

	"chervilyard.example/yard/service"
	"chervilyard.example/yard/target"
)

// LesserQueueWait is QueueWait for requests with Request.Lesser. It returns false if no candidate
// has room for one with as many prompt tokens as such requests have on average.
func (p *Picker) LesserQueueWait(now time.Time, candidates []target.Target, s service.Service, coldShare ColdShare) (time.Duration, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	typical := Request{Service: s, Lesser: true, PromptTokens: int(p.service(s.Name()).mix.PromptTokens(true))}
	return p.queueWait(now, candidates, typical, coldShare)
}

// queueWait returns the shortest expected queueing time of an empty prompt among the candidates
// that are usable for r, and false if there are none. The caller must hold p.mu.
func (p *Picker) queueWait(now time.Time, candidates []target.Target, r Request, coldShare ColdShare) (time.Duration, bool) {
	minWaitMS := math.Inf(1)
	empty := p.compare(now, Request{Service: r.Service})
	p.assess(now, candidates, r, coldShare)
	for i := range candidates {
		if t := &candidates[i]; p.usable(now, t, r, coldShare) {
			k := empty.costs(t)
			minWaitMS = min(minWaitMS, k.queueMS+k.penaltyMS)
		}
	}
	if math.IsInf(minWaitMS, 1) {
		return 0, false
	}
	return milliseconds(minWaitMS), true
}
