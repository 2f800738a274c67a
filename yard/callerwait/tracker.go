// Package callerwait tells how long a caller has waited since its first attempt. Attempts carry
// no mark of that, but callers state the time that they have left, which is shorter for one
// that was refused before than for others of its route.
package callerwait

import (
	"sync"
	"time"
)

// window is how long a stated time counts at least. Callers of a route that state shorter times
// from some time on count as new ones after two windows at the latest.
const window = 5 * time.Second

// Tracker keeps the longest time left that callers of each route stated recently. The zero value
// is ready to use. It is safe for concurrent use.
type Tracker struct {
	mu     sync.Mutex
	routes map[string]*longest
}

// longest is the longest time of two windows.
type longest struct {
	begun         time.Time // of the present window
	present, last time.Duration
}

// Waited records the time that a caller of a route has left, and returns how long it has waited
// before by the longest one. It returns 0 for a caller that does not state a time.
func (t *Tracker) Waited(now time.Time, route string, left time.Duration) time.Duration {
	if left <= 0 {
		return 0
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.routes == nil {
		t.routes = make(map[string]*longest)
	}
	l := t.routes[route]
	if l == nil {
		l = &longest{begun: now}
		t.routes[route] = l
	}
	switch age := now.Sub(l.begun); {
	case age >= 2*window || age < 0:
		*l = longest{begun: now}
	case age >= window:
		*l = longest{begun: now, last: l.present}
	}
	l.present = max(l.present, left)
	return max(l.present, l.last) - left
}

// Retain drops the routes for which keep returns false.
func (t *Tracker) Retain(keep func(route string) bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for route := range t.routes {
		if !keep(route) {
			delete(t.routes, route)
		}
	}
}
