// Package steadyclock gives times that do not step with the time of day.
package steadyclock

import (
	"sync"
	"time"
)

// Clock converts readings of time.Now to times of day that keep the distances of the
// readings: the first reading keeps its time of day, and the others follow the monotonic
// clock from there. The zero value is ready to use. It is safe for concurrent use.
type Clock struct {
	once  sync.Once
	first time.Time
}

// Stamp returns the steady time of a reading.
func (c *Clock) Stamp(at time.Time) time.Time {
	c.once.Do(func() { c.first = at })
	return c.first.Add(at.Sub(c.first))
}
