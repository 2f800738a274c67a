package quota

import (
	"math"
	"sort"
)

const maxMarks = 128

// mark is the room that the bucket had at one event.
type mark struct {
	event uint64
	room  float64
}

// headroom answers how far the level stayed below the burst at the least since
// an event. It keeps only the events whose room is under that of all later
// ones, so that the first kept event from one on holds the least since then.
// When it is full, older marks are merged to the smaller room, which never
// answers more than there was. The zero value has seen nothing.
type headroom struct {
	marks [maxMarks]mark
	n     int
	event uint64
}

// note records the room at a new event. Between two events the room only
// shrinks, so the later event holds the least of the time between.
func (h *headroom) note(room float64) {
	h.event++
	for h.n > 0 && h.marks[h.n-1].room >= room {
		h.n--
	}
	if h.n == maxMarks {
		h.merge()
	}
	h.marks[h.n] = mark{event: h.event, room: room}
	h.n++
}

// merge joins each two neighbours of the older half.
func (h *headroom) merge() {
	kept := 0
	for i := 0; i < h.n; i++ {
		m := h.marks[i]
		if i < h.n/2 && i+1 < h.n {
			i++
			m.event = h.marks[i].event
		}
		h.marks[kept] = m
		kept++
	}
	h.n = kept
}

// since returns the position of the first mark from the event on.
func (h *headroom) since(event uint64) int {
	return sort.Search(h.n, func(i int) bool { return h.marks[i].event >= event })
}

// least returns the least room since the event.
func (h *headroom) least(event uint64) float64 {
	i := h.since(event)
	if i == h.n {
		return math.Inf(1)
	}
	return max(h.marks[i].room, 0)
}

// lower takes room away since the event, as if the level had been higher.
func (h *headroom) lower(event uint64, by float64) {
	from := h.since(event)
	for i := from; i < h.n; i++ {
		h.marks[i].room -= by
	}
	if from == h.n {
		return
	}
	kept := from
	for kept > 0 && h.marks[kept-1].room >= h.marks[from].room {
		kept--
	}
	h.n = kept + copy(h.marks[kept:], h.marks[from:h.n])
}
