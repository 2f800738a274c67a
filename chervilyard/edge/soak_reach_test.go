package edge_test

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"chervilyard.example/chervilyard/edge"
)

const isolatedInstance = "east-0"

// isolation cuts an instance off from the targets and judges what callers get there. It is safe
// for concurrent use.
type isolation struct {
	mu        sync.Mutex
	addresses []string // of the targets in its region
	callers   string   // its address for callers
	kind      string
	cutAt     time.Time // zero if it is not cut off
	from, to  time.Time // the tries that count; zero if none do
	tries     []try
}

// try is a caller's attempt.
type try struct {
	at    time.Time
	there bool // at the instance that was cut off
	ok    bool
}

func (i *isolation) addTarget(entry targetEntry) {
	if entry.Centre == "east-a" {
		i.addresses = append(i.addresses, entry.Address)
	}
}

func (i *isolation) record(at time.Time, callers string, ok bool) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.tries = append(i.tries, try{at, callers == i.callers, ok})
}

// recoverError is the error of an instance that is cut off and serves too little.
type recoverError struct {
	kind                   string
	there, others          float64 // shares served
	failed, allowed, tries int
}

// Error returns the shares that were served and the number of tries that failed.
func (e *recoverError) Error() string {
	return fmt.Sprintf("%s: served %.3f at the instance that is cut off, %.3f at the others; %d of %d tries failed there, %d allowed", e.kind, e.there, e.others, e.failed, e.tries, e.allowed)
}

// judge returns a recoverError if the instance served less than two thirds as often as the
// others, and more than 10 and 1 in 50 of all tries failed there.
func (i *isolation) judge() error {
	i.mu.Lock()
	defer i.mu.Unlock()
	var tries, served [2]int
	for _, t := range i.tries {
		if t.at.Before(i.from) || !t.at.Before(i.to) {
			continue
		}
		n := 0
		if t.there {
			n = 1
		}
		tries[n]++
		if t.ok {
			served[n]++
		}
	}
	if tries[1] == 0 {
		return nil
	}
	e := &recoverError{
		kind: i.kind, others: float64(served[0]) / float64(max(tries[0], 1)), there: float64(served[1]) / float64(tries[1]),
		failed: tries[1] - served[1], allowed: 10 + (tries[0]+tries[1])/50, tries: tries[1],
	}
	if e.there < e.others*2/3 && e.failed > e.allowed {
		return e
	}
	return nil
}

// crosses reports whether a request was open as the links were cut, which ends connections to
// targets at once or as long after as the kernel waits for acknowledgements.
func (i *isolation) crosses(c cutOff) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return !i.cutAt.IsZero() && c.sent.Before(i.cutAt) && c.end.After(i.cutAt) && c.end.Before(i.cutAt.Add(3*time.Second))
}

// isolate cuts the instance off until the end of the soak.
func (s *soak) isolate(ctx context.Context) {
	kinds := []string{"refused", "reset", "hanging", "half-open"}
	kind := kinds[s.intN(len(kinds))]
	select {
	case <-ctx.Done():
		return
	case <-time.After(time.Duration(500+s.intN(1500)) * time.Millisecond):
	}
	cutAt := time.Now()
	for _, address := range s.isolation.addresses {
		s.f.targetLinks.cut(isolatedInstance, address, kind)
	}
	s.mu.Lock()
	n := slices.IndexFunc(s.instances, func(e *edge.Edge) bool { return e.Settings().Name == isolatedInstance })
	callers := s.instances[n].Settings().CallerAddr
	s.mu.Unlock()
	s.isolation.mu.Lock()
	defer s.isolation.mu.Unlock()
	s.isolation.kind, s.isolation.callers = kind, callers
	s.isolation.cutAt = cutAt
	s.isolation.from, s.isolation.to = cutAt.Add(stableTime), cutAt.Add(soakTime)
}

// Shows that the judge of the soak reports an instance that fails while others serve, and only
// then.
func TestSoakJudgesIsolation(t *testing.T) {
	start := time.Unix(1_700_000_000, 0)
	judged := func(okThere, okOthers int) error {
		i := isolation{callers: "there", from: start, to: start.Add(time.Minute)}
		for n := range 100 {
			i.record(start.Add(time.Duration(n)*time.Millisecond), "there", n < okThere)
			i.record(start.Add(time.Duration(n)*time.Millisecond), "other", n < okOthers)
			i.record(start.Add(-time.Second), "there", false)
		}
		return i.judge()
	}
	if err := judged(60, 100); err == nil {
		t.Error("60 of 100 served there and all at the others is not reported")
	}
	if err := judged(90, 100); err != nil {
		t.Error(err)
	}
	if err := judged(30, 40); err != nil {
		t.Error(err)
	}
}
