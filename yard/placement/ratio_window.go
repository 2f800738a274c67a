package placement

import (
	"math"
	"time"
)

// slowdownWindow is how far back samples of a target's slowdown are reported. A target that turns
// slow shows within about as long.
const slowdownWindow = 2 * time.Second

// ratioWindow holds samples of a target's slowdown within slowdownWindow, in halves.
type ratioWindow struct {
	begun   time.Time // of the present half
	present ratioSum
	last    ratioSum
}

type ratioSum struct {
	samples int
	logs    float64 // sum of the logarithms
}

func (w *ratioWindow) advance(now time.Time) {
	const half = slowdownWindow / 2
	switch age := now.Sub(w.begun); {
	case age >= 2*half:
		w.last, w.present, w.begun = ratioSum{}, ratioSum{}, now
	case age >= half:
		w.last, w.present, w.begun = w.present, ratioSum{}, w.begun.Add(half)
	}
}

func (w *ratioWindow) add(now time.Time, ratio float64) {
	w.advance(now)
	w.present.samples++
	w.present.logs += math.Log(ratio)
}

// sums returns the number of samples and the sum of their logarithms in hundredths.
func (w *ratioWindow) sums(now time.Time) (samples, logs int) {
	w.advance(now)
	return w.present.samples + w.last.samples, int(math.Round((w.present.logs + w.last.logs) * 100))
}
