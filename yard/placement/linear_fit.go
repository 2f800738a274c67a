package placement

import (
	"math"
	"time"
)

const (
	// sampleDecay is the factor applied to the weight of older samples at each new
	// sample.
	sampleDecay = 0.98
	// fitHalfLife is the age at which a sample has lost half of its weight.
	fitHalfLife = 3 * time.Second
	// steadyDecay and steadyHalfLife are those of a fit whose slope does not depend on the load: the
	// time that an engine takes to read a token. With those above, the waiting times of 50
	// samples made it vary by a factor of ten.
	steadyDecay    = 0.998
	steadyHalfLife = 15 * time.Second
	// minWeighedMS is the time in milliseconds below which a relative error counts no more.
	minWeighedMS = 10
	// loweredWeight is the weight that older samples keep at most after linearFit.scale.
	loweredWeight = 8
)

// linearFit is a least-squares fit of a straight line, with exponentially decaying
// sample weights. It models the time to the first byte as a fixed part plus a part
// proportional to the number of prompt tokens. count is the sum of the weights by age, n that of
// all weights; the other fields are weighted sums of x, y and their products.
type linearFit struct {
	steady          bool // samples count for longer
	count           float64
	n, x, y, xx, xy float64
	lastAt          time.Time // of the last sample
}

func (l *linearFit) add(now time.Time, x, y float64) { l.addWeighed(now, x, y, 1) }

// addRelative adds a sample whose error is expected to grow with spread, so that samples that took
// long because of load that is not known yet do not lift the fit above what targets with little
// load take.
func (l *linearFit) addRelative(now time.Time, x, y, spread float64) {
	spread = max(spread, minWeighedMS)
	l.addWeighed(now, x, y, 1/(spread*spread))
}

func (l *linearFit) addWeighed(now time.Time, x, y, weight float64) {
	factor, halfLife := sampleDecay, fitHalfLife
	if l.steady {
		factor, halfLife = steadyDecay, steadyHalfLife
	}
	decay := factor * math.Exp2(-max(now.Sub(l.lastAt).Seconds(), 0)/halfLife.Seconds())
	l.count = l.count*decay + 1
	l.n = l.n*decay + weight
	l.x = l.x*decay + weight*x
	l.y = l.y*decay + weight*y
	l.xx = l.xx*decay + weight*x*x
	l.xy = l.xy*decay + weight*x*y
	l.lastAt = now
}

// scale multiplies the fit by a factor and reduces the weight of the older samples.
func (l *linearFit) scale(factor float64) {
	l.y, l.xy = l.y*factor, l.xy*factor
	if weight := loweredWeight / l.count; weight < 1 {
		l.count *= weight
		l.n, l.x, l.y, l.xx, l.xy = l.n*weight, l.x*weight, l.y*weight, l.xx*weight, l.xy*weight
	}
}

// slope returns the fitted slope, or fallback if the samples do not determine it.
func (l *linearFit) slope(fallback float64) float64 {
	if !l.determined() {
		return fallback
	}
	if slope := (l.n*l.xy - l.x*l.y) / (l.n*l.xx - l.x*l.x); slope > 0 {
		return slope
	}
	return fallback
}

// mean returns the average of the samples, or fallback if there are none.
func (l *linearFit) mean(fallback float64) float64 {
	if l.n == 0 {
		return fallback
	}
	return l.y / l.n
}

// determined reports whether there are enough samples with sufficiently different
// x values for a fit.
func (l *linearFit) determined() bool {
	const minSamples = 5
	return l.count >= minSamples && l.n*l.xx-l.x*l.x > 1e-6*l.xx*l.n
}
