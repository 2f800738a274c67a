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
	// minWeighedMS is the time in milliseconds below which a relative error counts no more.
	minWeighedMS = 10
	// loweredWeight is the weight that older samples keep at most after linearFit.lower.
	loweredWeight = 8
)

// linearFit is a least-squares fit of a straight line, with exponentially decaying
// sample weights. It models the time to the first byte as a fixed part plus a part
// proportional to the number of prompt tokens. If relative is set, the fit minimizes relative
// errors, so samples that took long because of load that is not known yet do not lift it above
// what targets with little load take. count is the sum of the weights by age, n that of all
// weights; the other fields are weighted sums of x, y and their products.
type linearFit struct {
	relative        bool
	count           float64
	n, x, y, xx, xy float64
	lastAt          time.Time // of the last sample
}

func (l *linearFit) add(now time.Time, x, y float64) {
	decay := sampleDecay * math.Exp2(-max(now.Sub(l.lastAt).Seconds(), 0)/fitHalfLife.Seconds())
	weight := 1.0
	if l.relative {
		weight = 1 / (max(y, minWeighedMS) * max(y, minWeighedMS))
	}
	l.count = l.count*decay + 1
	l.n = l.n*decay + weight
	l.x = l.x*decay + weight*x
	l.y = l.y*decay + weight*y
	l.xx = l.xx*decay + weight*x*x
	l.xy = l.xy*decay + weight*x*y
	l.lastAt = now
}

// lower scales the fit down so that it agrees with a sample below it, and reduces the weight of
// the older samples. Without older ones it has no effect.
func (l *linearFit) lower(x, y float64) {
	intercept, slope := l.coefficients(0, 0)
	fitted := intercept + slope*x
	if fitted <= y {
		return
	}
	l.y, l.xy = l.y*y/fitted, l.xy*y/fitted
	if weight := loweredWeight / l.count; weight < 1 {
		l.count *= weight
		l.n, l.x, l.y, l.xx, l.xy = l.n*weight, l.x*weight, l.y*weight, l.xx*weight, l.xy*weight
	}
}

// coefficients returns the fitted intercept and slope, or the given defaults for
// those that the samples do not determine.
func (l *linearFit) coefficients(defaultIntercept, defaultSlope float64) (float64, float64) {
	if !l.determined() {
		return defaultIntercept, defaultSlope
	}
	spread := l.n*l.xx - l.x*l.x
	slope := (l.n*l.xy - l.x*l.y) / spread
	if slope <= 0 {
		return max(l.y/l.n, 0), defaultSlope
	}
	return max((l.y-slope*l.x)/l.n, 0), slope
}

// determined reports whether there are enough samples with sufficiently different
// x values for a fit.
func (l *linearFit) determined() bool {
	const minSamples = 5
	return l.count >= minSamples && l.n*l.xx-l.x*l.x > 1e-6*l.xx*l.n
}
