package quota

import (
	"math"
	"sort"
)

const maxSamples = 128

// sample is the headroom of a bucket at one event.
type sample struct {
	event uint64
	free  float64 // tokens by which the level was below the burst
}

// headroomTracker reports the minimum distance, in tokens, between a bucket's
// level and its burst since a given event. It is a monotonic queue: it keeps only
// the samples that are smaller than all later ones, so the first sample at or
// after an event is the minimum since that event. When the queue is full, pairs
// of older samples are merged into the smaller one, so the result may be too
// small but never too large. The zero value has no samples.
type headroomTracker struct {
	samples [maxSamples]sample
	n       int
	event   uint64 // number of the latest event
}

// record adds a sample for a new event. Headroom only shrinks between two
// events, so the later event has the minimum of the interval.
func (h *headroomTracker) record(free float64) {
	h.event++
	for h.n > 0 && h.samples[h.n-1].free >= free {
		h.n--
	}
	if h.n == maxSamples {
		h.merge()
	}
	h.samples[h.n] = sample{event: h.event, free: free}
	h.n++
}

// merge combines adjacent pairs of samples in the older half of the queue.
func (h *headroomTracker) merge() {
	kept := 0
	for i := 0; i < h.n; i++ {
		s := h.samples[i]
		if i < h.n/2 && i+1 < h.n {
			i++
			s.event = h.samples[i].event
		}
		h.samples[kept] = s
		kept++
	}
	h.n = kept
}

// indexFrom returns the index of the first sample at or after the event.
func (h *headroomTracker) indexFrom(event uint64) int {
	return sort.Search(h.n, func(i int) bool { return h.samples[i].event >= event })
}

// minSince returns the minimum headroom since the event, or +Inf if there is no
// sample at or after it.
func (h *headroomTracker) minSince(event uint64) float64 {
	i := h.indexFrom(event)
	if i == h.n {
		return math.Inf(1)
	}
	return max(h.samples[i].free, 0)
}

// reduce subtracts tokens from all samples at or after the event, as if the
// level had been higher by that amount since then.
func (h *headroomTracker) reduce(event uint64, tokens float64) {
	from := h.indexFrom(event)
	for i := from; i < h.n; i++ {
		h.samples[i].free -= tokens
	}
	if from == h.n {
		return
	}
	kept := from
	for kept > 0 && h.samples[kept-1].free >= h.samples[from].free {
		kept--
	}
	h.n = kept + copy(h.samples[kept:], h.samples[from:h.n])
}
