package quota

import (
	"math"
	"time"
)

const (
	fastDemand = 4 * time.Second
	slowDemand = 45 * time.Second
	peakSpan   = time.Minute
)

// demand estimates tokens a second by two exponential averages; the larger is
// the forecast, so that it rises within seconds and falls within a minute.
type demand struct {
	fast, slow float64
	last       time.Time
}

func (d *demand) add(now time.Time, n float64) {
	d.decay(now)
	d.fast += n / fastDemand.Seconds()
	d.slow += n / slowDemand.Seconds()
}

func (d *demand) rate(now time.Time) float64 {
	d.decay(now)
	return max(d.fast, d.slow, 0)
}

func (d *demand) decay(now time.Time) {
	passed := now.Sub(d.last)
	if d.last.IsZero() {
		d.last = now
		return
	}
	if passed <= 0 {
		return
	}
	d.fast *= math.Exp(-passed.Seconds() / fastDemand.Seconds())
	d.slow *= math.Exp(-passed.Seconds() / slowDemand.Seconds())
	d.last = now
}

// peak is the largest value of the last one to two spans.
type peak struct {
	now, before float64
	since       time.Time
}

func (p *peak) add(now time.Time, n float64) {
	p.turn(now)
	p.now = max(p.now, n)
}

func (p *peak) value(now time.Time) float64 {
	p.turn(now)
	return max(p.now, p.before)
}

func (p *peak) turn(now time.Time) {
	passed := now.Sub(p.since)
	if passed < peakSpan {
		return
	}
	p.before = p.now
	if passed >= 2*peakSpan {
		p.before = 0
	}
	p.now = 0
	p.since = now
}
