package quota

import (
	"math"
	"time"
)

const (
	slots      = 64
	fineSlot   = 2 * time.Second
	coarseSlot = time.Minute
)

// headroom remembers for each of the last slots of time how far the level
// stayed below the burst. The zero value has seen nothing.
type headroom struct {
	width  time.Duration
	lows   [slots]float64
	newest int64 // number of the newest slot
	oldest int64 // number of the oldest slot that is known
}

func (h *headroom) slot(t time.Time) int64 { return t.UnixNano() / int64(h.width) }

// note records that the room was at least room from a to z. The level only
// rises between two notes, so the room at z is the least.
func (h *headroom) note(width time.Duration, a, z time.Time, room float64) {
	if h.width == 0 {
		h.width = width
		h.newest = h.slot(z)
		h.oldest = h.newest
		h.lows[h.newest&(slots-1)] = room
		return
	}
	to := h.slot(z)
	for h.newest < to {
		if to-h.newest > slots {
			h.newest = to - slots
		}
		h.newest++
		h.lows[h.newest&(slots-1)] = math.Inf(1)
	}
	h.oldest = max(h.oldest, h.newest-slots+1)
	for n := max(h.slot(a), h.oldest); n <= to; n++ {
		i := n & (slots - 1)
		h.lows[i] = min(h.lows[i], room)
	}
}

// covers reports whether the slots reach back to a.
func (h *headroom) covers(a time.Time) bool {
	return h.width > 0 && h.slot(a) >= h.oldest
}

// least returns the least room from a to z, or 0 where a is out of memory.
func (h *headroom) least(a, z time.Time) float64 {
	if !h.covers(a) {
		return 0
	}
	low := math.Inf(1)
	for n := h.slot(a); n <= min(h.slot(z), h.newest); n++ {
		low = min(low, h.lows[n&(slots-1)])
	}
	if math.IsInf(low, 1) {
		return 0
	}
	return max(low, 0)
}

// lower takes away room from a to z, as if the level had been higher by it.
func (h *headroom) lower(a, z time.Time, by float64) {
	if h.width == 0 {
		return
	}
	for n := max(h.slot(a), h.oldest); n <= min(h.slot(z), h.newest); n++ {
		h.lows[n&(slots-1)] -= by
	}
}
