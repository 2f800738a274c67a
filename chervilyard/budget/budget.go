// Package budget keeps retries to a share of the traffic, so that a failing
// target is not buried under repeats.
package budget

import "sync"

const (
	share = 0.2 // retries for each first try
	most  = 20  // saved retries
)

// Budget counts retries against first tries. The zero value has saved none; it
// is safe for concurrent use.
type Budget struct {
	mu    sync.Mutex
	saved float64
	begun bool
}

// Try notes a first try.
func (b *Budget) Try() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.begun {
		b.begun = true
		b.saved = most / 2
	}
	b.saved = min(b.saved+share, most)
}

// Retry reports whether a retry may be made, and counts it.
func (b *Budget) Retry() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.saved < 1 {
		return false
	}
	b.saved--
	return true
}
