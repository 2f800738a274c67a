package suspect

import (
	"slices"
	"time"

	"chervilyard.example/yard/fingerprint"
)

const (
	// confirmTime is how long after a connection broke another run at its address shows that
	// the target had ended.
	confirmTime = 20 * time.Second
	maxBroken   = 1024 // connections that are remembered
	// maxBrokenParts bounds the parts of their requests.
	maxBrokenParts = 65536
)

// Run is one run of a target.
type Run struct {
	Target  string // its name
	ID      int64
	Address string
}

// broken is a connection that broke while its target went on accepting others.
type broken struct {
	run   Run
	end   End
	parts []string
}

// RecordBroken records that a connection to a run of a target broke while a request with the
// parts was open there, as if the target had ended. Whether it had is not known: its address
// may be that of a proxy, or of a process that has not closed its listener yet. Of e it uses
// At, Begun and Trial.
func (l *Ledger) RecordBroken(now time.Time, run Run, e End, parts []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sweep(now)
	n := len(parts)
	for _, b := range l.broken {
		n += len(b.parts)
	}
	for len(l.broken) > 0 && (len(l.broken) >= maxBroken || n > maxBrokenParts) { // the oldest go first
		n -= len(l.broken[0].parts)
		l.broken = slices.Delete(l.broken, 0, 1)
	}
	e.Target = run.Target
	l.broken = append(l.broken, broken{run: run, end: e, parts: parts})
	l.brokenShapes = nil
}

// forgetBroken forgets the connections for which forget returns true. The caller must hold
// l.mu.
func (l *Ledger) forgetBroken(forget func(b broken) bool) {
	n := len(l.broken)
	l.broken = slices.DeleteFunc(l.broken, forget)
	if len(l.broken) < n {
		l.brokenShapes = nil
	}
}

// isBrokenShape reports whether a connection broke under a request of the shape. The caller
// must hold l.mu.
func (l *Ledger) isBrokenShape(shape string) bool {
	if l.brokenShapes == nil && len(l.broken) > 0 {
		l.brokenShapes = make(map[string]bool)
		for _, b := range l.broken {
			_, request := split(b.parts)
			for _, name := range request {
				own, _ := fingerprint.ShapeOf(name)
				l.brokenShapes[own] = true
			}
		}
	}
	return l.brokenShapes[shape]
}

// ConfirmEnds records that a run was listed at its address: connections to another run there
// that broke shortly before broke because that one ended.
func (l *Ledger) ConfirmEnds(now time.Time, listed Run) {
	l.mu.Lock()
	var confirmed []broken
	l.forgetBroken(func(b broken) bool {
		if b.run.Address != listed.Address || b.run == listed {
			return false
		}
		if now.Sub(b.end.At) < confirmTime {
			confirmed = append(confirmed, b)
		}
		return true
	})
	l.mu.Unlock()
	for _, b := range confirmed {
		l.RecordEnd(now, b.end, b.parts)
	}
}
