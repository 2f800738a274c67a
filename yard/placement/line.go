package placement

// memory of the line: the weight of older samples at each new one.
const decay = 0.98

// line is a straight line fitted to samples by least squares, newer ones
// weighing more: an answer's first byte takes a fixed time and a time a token.
type line struct {
	n, x, y, xx, xy float64
}

func (l *line) add(x, y float64) {
	l.n = l.n*decay + 1
	l.x = l.x*decay + x
	l.y = l.y*decay + y
	l.xx = l.xx*decay + x*x
	l.xy = l.xy*decay + x*y
}

// at returns the intercept and the slope, or the guesses before the samples
// tell them apart.
func (l *line) at(intercept, slope float64) (float64, float64) {
	if !l.known() {
		return intercept, slope
	}
	spread := l.n*l.xx - l.x*l.x
	b := (l.n*l.xy - l.x*l.y) / spread
	if b <= 0 {
		return max(l.y/l.n, 0), slope
	}
	return max((l.y-b*l.x)/l.n, 0), b
}

// known reports whether there are samples enough, of different sizes.
func (l *line) known() bool {
	const enough = 5 // samples
	return l.n >= enough && l.n*l.xx-l.x*l.x > 1e-6*l.xx*l.n
}
