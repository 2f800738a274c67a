package outlier

import "time"

const (
	slotLength = 100 * time.Millisecond
	slots      = 10 // a window of one second
)

// window counts outcomes in slots of slotLength. The zero value is empty.
type window struct {
	slot             [slots]int64 // number of the slot that the counts belong to
	answered, failed [slots]int32
}

func slotNumber(now time.Time) int64 { return now.UnixNano() / int64(slotLength) }

func (w *window) add(now time.Time, failed bool) {
	n := slotNumber(now)
	i := n % slots
	if w.slot[i] != n {
		w.slot[i], w.answered[i], w.failed[i] = n, 0, 0
	}
	if failed {
		w.failed[i]++
	} else {
		w.answered[i]++
	}
}

// counts returns the outcomes of the last second. Those from later than the next slot are from
// before the time of day stepped back.
func (w *window) counts(now time.Time) (answered, failed int) {
	latest := slotNumber(now) + 1
	for i, n := range w.slot {
		if n >= latest-slots && n <= latest {
			answered += int(w.answered[i])
			failed += int(w.failed[i])
		}
	}
	return answered, failed
}
