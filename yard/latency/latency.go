// Package latency averages durations whose samples lose weight with their age, so that an old
// one neither outweighs what is observed now nor lasts for ever.
package latency

import (
	"math"
	"time"
)

const (
	// sampleDecay is the factor applied to the weight of older samples at each new one.
	sampleDecay = 0.9
	// halfLife is the age at which a sample has lost half of its weight.
	halfLife = 10 * time.Second
)

// Average is a weighted average of durations in milliseconds. The zero value has no samples.
// It is not safe for concurrent use.
type Average struct {
	mean   float64
	weight float64 // sum of the weights of the samples, as of lastAt
	lastAt time.Time
}

// Add adds a sample.
func (a *Average) Add(now time.Time, ms float64) {
	older := a.Weight(now) * sampleDecay
	a.mean += (ms - a.mean) / (older + 1)
	a.weight, a.lastAt = older+1, now
}

// Reset replaces all samples by one.
func (a *Average) Reset(now time.Time, ms float64) { *a = Average{mean: ms, weight: 1, lastAt: now} }

// Weight returns the sum of the weights of the samples: 1 for a single new sample, at most
// 1/(1-sampleDecay).
func (a *Average) Weight(now time.Time) float64 {
	if a.weight == 0 {
		return 0
	}
	return a.weight * math.Exp2(-max(now.Sub(a.lastAt).Seconds(), 0)/halfLife.Seconds())
}

// Mean returns the average, however old the samples are, or fallback if there are none.
func (a *Average) Mean(fallback float64) float64 {
	if a.weight == 0 {
		return fallback
	}
	return a.mean
}

// Blend returns the average of the samples and the prior, which counts as one new sample. It
// approaches the prior as the samples age.
func (a *Average) Blend(now time.Time, prior float64) float64 {
	w := a.Weight(now)
	return (w*a.mean + prior) / (w + 1)
}

// LastAt returns the time of the last sample, zero if there is none.
func (a *Average) LastAt() time.Time { return a.lastAt }
