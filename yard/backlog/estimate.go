// Package backlog estimates when a caller that was refused for lack of capacity should
// return.
package backlog

import "time"

const (
	// honouredFraction is the part of the time left up to which callers honour a delay.
	honouredFraction = 1.0 / 3
	// spreadFraction is the part of a delay over which it is spread, so that callers that
	// were refused together do not return together.
	spreadFraction = 0.3
	// minDelay keeps callers from returning while the queue is as long as before.
	minDelay = 250 * time.Millisecond
	// resolution is that of delays on the wire. Without truncation, rounding there could exceed
	// what callers honour.
	resolution = 10 * time.Millisecond
	// maxDelay bounds the estimate. The load of a region changes within seconds, so the
	// counts of the last two say nothing of a later time.
	maxDelay = 5 * time.Second
)

// Estimate holds what the delay of a refused caller depends on. The zero value has no
// backlog.
type Estimate struct {
	refused  float64
	perSec   float64
	shortest time.Duration
}

// New returns an estimate from the tokens that were refused and are expected to return, the
// tokens that the region admits per second, and the shortest expected wait of a new request.
func New(refused int, admittedPerSecond float64, shortestWait time.Duration) Estimate {
	return Estimate{refused: float64(refused), perSec: admittedPerSecond, shortest: shortestWait}
}

// Drain returns how long the region takes to serve its queue and the tokens that will
// return.
func (e Estimate) Drain() time.Duration {
	d := min(max(e.shortest, 0), maxDelay) // the wait may be infinite, and sums with it overflow
	switch {
	case e.refused <= 0:
	case e.refused >= e.perSec*maxDelay.Seconds():
		return maxDelay
	default:
		d += time.Duration(e.refused / e.perSec * float64(time.Second))
	}
	return min(d, maxDelay)
}

// Delay returns the time after which a caller that has some time left should return. The
// random number in [0, 1) spreads it over the upper part of its range. It never exceeds what
// callers honour.
func (e Estimate) Delay(left time.Duration, random float64) time.Duration {
	honoured := time.Duration(honouredFraction * float64(max(left, 0)))
	top := min(max(e.Drain(), minDelay), honoured)
	return (top - time.Duration(spreadFraction*random*float64(top))).Truncate(resolution)
}
