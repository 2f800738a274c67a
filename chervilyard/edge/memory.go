package edge

import (
	"fmt"
	"sync"
	"time"

	"chervilyard.example/chervilyard/decisionlog"
	"chervilyard.example/chervilyard/handover"
	"chervilyard.example/chervilyard/reqbody"
	"chervilyard.example/yard/membudget"
)

// memoryLogInterval is the time between two log lines on refusals for lack of memory.
const memoryLogInterval = time.Second

// memoryLog limits the rate of log lines on refused bodies. The zero value is ready to use.
type memoryLog struct {
	mu      sync.Mutex
	last    time.Time
	skipped int
}

// next reports whether a line may be logged, and how many were not since the last one.
func (l *memoryLog) next(now time.Time) (skipped int, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now.Sub(l.last) < memoryLogInterval {
		l.skipped++
		return 0, false
	}
	skipped, l.skipped, l.last = l.skipped, 0, now
	return skipped, true
}

// buildMemory sets up the budget for requests.
func (e *Edge) buildMemory() {
	e.memory.SetLimit(e.now(), membudget.Share(e.Settings().MemoryLimitBytes))
	e.gateway.Memory, e.gateway.OnBodyRefused, e.gateway.UnreadSince = &e.memory, e.recordBodyRefused, handover.UnreadSince
	for _, k := range membudget.Kinds() {
		e.meter.Gauge(fmt.Sprintf("chervil_memory_held_bytes{kind=%q}", k), func() float64 { return float64(e.memory.Held(k)) })
	}
	e.meter.Gauge("chervil_memory_budget_bytes", func() float64 { return float64(e.memory.Limit()) })
}

// recordBodyRefused counts and logs a request whose body was not read, or whose response was
// ended because its caller did not read it.
func (e *Edge) recordBodyRefused(now time.Time, err *reqbody.Error) {
	e.meter.CountBodyRefusal(err.Kind.String(), err.Reason)
	if skipped, ok := e.memoryLog.next(now); ok {
		e.decisions.Record(decisionlog.Decision{
			Time: now, Kind: "memory", Choice: "refused " + err.Reason, Centre: e.Settings().Centre,
			Reason: fmt.Sprintf("%s; %s; %d refusals were not logged", err.Kind, e.memory.Describe(), skipped),
		})
	}
}
