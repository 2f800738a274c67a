package quota

import (
	"math"
	"time"
)

const (
	fastTimeConstant = 4 * time.Second
	slowTimeConstant = 45 * time.Second
	peakWindow       = time.Minute
)

// demandEstimator estimates the requested tokens per second with a fast and a
// slow exponentially weighted moving average. The forecast is the larger of the
// two, so it rises within seconds and falls within a minute.
type demandEstimator struct {
	fast, slow float64 // tokens per second
	updatedAt  time.Time
}

func (d *demandEstimator) add(now time.Time, n float64) {
	d.decay(now)
	d.fast += n / fastTimeConstant.Seconds()
	d.slow += n / slowTimeConstant.Seconds()
}

func (d *demandEstimator) rate(now time.Time) float64 {
	d.decay(now)
	return max(d.fast, d.slow, 0)
}

func (d *demandEstimator) decay(now time.Time) {
	elapsed := now.Sub(d.updatedAt)
	if d.updatedAt.IsZero() {
		d.updatedAt = now
		return
	}
	if elapsed <= 0 {
		return
	}
	d.fast *= math.Exp(-elapsed.Seconds() / fastTimeConstant.Seconds())
	d.slow *= math.Exp(-elapsed.Seconds() / slowTimeConstant.Seconds())
	d.updatedAt = now
}

// windowedMax tracks the largest value added in the current and the previous
// window of length peakWindow.
type windowedMax struct {
	current, previous float64
	windowStart       time.Time
}

func (m *windowedMax) add(now time.Time, n float64) {
	m.rotate(now)
	m.current = max(m.current, n)
}

func (m *windowedMax) value(now time.Time) float64 {
	m.rotate(now)
	return max(m.current, m.previous)
}

func (m *windowedMax) rotate(now time.Time) {
	elapsed := now.Sub(m.windowStart)
	if elapsed < peakWindow {
		return
	}
	m.previous = m.current
	if elapsed >= 2*peakWindow {
		m.previous = 0
	}
	m.current = 0
	m.windowStart = now
}
