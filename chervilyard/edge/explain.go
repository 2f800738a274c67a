package edge

import (
	"time"

	"chervilyard.example/chervilyard/placereport"
	"chervilyard.example/yard/membership"
	"chervilyard.example/yard/target"
)

// Explain returns where a request would go now, and why, without sending it.
func (e *Edge) Explain(q placereport.Query) (placereport.Report, error) { return e.gateway.Explain(q) }

// waitReportAge returns the age of the waiting times that requests are forwarded to a member of
// another region by: its own, or those that were relayed for its region.
func (e *Edge) waitReportAge(now time.Time, m membership.Member) (time.Duration, bool) {
	r := &e.remoteWaits
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, w := range []reportedWaits{r.byMember[m.Name], r.byRegion[m.Region]} {
		if age := now.Sub(w.at); age <= remoteWaitMaxAge {
			return age, true
		}
	}
	return 0, false
}

// namedRateLimit returns the rate limit that the target named, in requests per second, and the
// time since it did.
func (e *Edge) namedRateLimit(now time.Time, t target.Target) (perSecond float64, age time.Duration, ok bool) {
	w, ok := e.rates.Get(targetRunHash(t))
	return w.PerSecond, now.Sub(w.At), ok && w.Limited
}
