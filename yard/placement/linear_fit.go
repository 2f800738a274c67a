package placement

// sampleDecay is the factor applied to the weight of older samples at each new
// sample.
const sampleDecay = 0.98

// linearFit is a least-squares fit of a straight line, with exponentially decaying
// sample weights. It models the time to the first byte as a fixed part plus a part
// proportional to the number of prompt tokens. n is the sum of the weights; the
// other fields are weighted sums of x, y and their products.
type linearFit struct {
	n, x, y, xx, xy float64
}

func (l *linearFit) add(x, y float64) {
	l.n = l.n*sampleDecay + 1
	l.x = l.x*sampleDecay + x
	l.y = l.y*sampleDecay + y
	l.xx = l.xx*sampleDecay + x*x
	l.xy = l.xy*sampleDecay + x*y
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
	return l.n >= minSamples && l.n*l.xx-l.x*l.x > 1e-6*l.xx*l.n
}
