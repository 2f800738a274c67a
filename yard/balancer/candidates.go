package balancer

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"chervilyard.example/yard/target"
)

// Candidate is what a choice knows of one target.
type Candidate struct {
	Name         string
	Score        time.Duration // see Selection
	CachedTokens int
	Load         int    // requests assumed there
	Failing      string // why it is used only if all are failing; "" if it is not
	Usable       bool
	// The ages of the load report and of the last time to the first byte, -1 if there is none.
	ReportAge, SampleAge time.Duration
}

// isFailing reports whether the target is used only if there is no other.
func (s *targetState) isFailing(now time.Time) bool {
	return now.Before(s.ejectedUntil) || s.report.Failed && now.Sub(s.report.At) < reportTTL
}

// whyFailing returns why isFailing returns true, or "" if it does not.
func (s *targetState) whyFailing(now time.Time) string {
	switch {
	case !s.isFailing(now):
		return ""
	case now.Before(s.ejectedUntil):
		return fmt.Sprintf("failed %d times, ejected for %v", s.failures, s.ejectedUntil.Sub(now).Round(time.Millisecond))
	}
	return "its load report failed"
}

// Candidates describes the candidates, the usable ones first and each of these by score. It may
// add empty states of unknown targets.
func (p *Picker) Candidates(now time.Time, candidates []target.Target, req Request) []Candidate {
	p.mu.Lock()
	defer p.mu.Unlock()
	usable := p.usable(now, candidates, req)
	list := make([]Candidate, 0, len(candidates))
	for _, t := range candidates {
		s := p.state(t.Name())
		c := Candidate{
			Name: t.Name(), Load: s.load(now), Failing: s.whyFailing(now), ReportAge: age(now, s.report.At), SampleAge: age(now, s.firstByteAt),
			Usable: slices.ContainsFunc(usable, func(u target.Target) bool { return u.Name() == t.Name() }),
		}
		c.Score, c.CachedTokens = p.score(now, t, req)
		list = append(list, c)
	}
	slices.SortStableFunc(list, func(a, b Candidate) int {
		if a.Usable != b.Usable {
			return map[bool]int{true: -1, false: 1}[a.Usable]
		}
		return cmp.Compare(a.Score, b.Score)
	})
	return list
}

// age returns the time since at, or -1 if at is zero.
func age(now, at time.Time) time.Duration {
	if at.IsZero() {
		return -1
	}
	return now.Sub(at)
}
