package edge

import (
	"context"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"chervilyard.example/yard/membership"
)

// searchedHome is a member that is asked for tokens.
type searchedHome struct {
	delay  time.Duration // until it answers
	answer homeAnswer
	takes  bool // an answer that is cancelled comes too late to be withheld
}

// Guards against a search that waits for one silent home until its time is over, keeps tokens
// that it got twice, or asks more members than it needs.
func TestHomeSearch(t *testing.T) {
	const timeout, patience, overdue = 500 * time.Millisecond, 250 * time.Millisecond, 80 * time.Millisecond
	grants, empty := homeAnswer{granted: true}, homeAnswer{wait: time.Second}
	names := func(list ...string) (members []membership.Member) {
		for _, name := range list {
			members = append(members, membership.Member{Name: name})
		}
		return members
	}
	for _, test := range []struct {
		name     string
		homes    map[string]searchedHome
		members  string // asked for
		asked    string
		refunded string
		granted  bool
		wait     time.Duration
		took     time.Duration
	}{
		{name: "first grants", homes: map[string]searchedHome{"a": {answer: grants}}, members: "a b", asked: "a", granted: true},
		{name: "second grants", homes: map[string]searchedHome{"a": {answer: empty}, "b": {answer: grants}}, members: "a b", asked: "a b", granted: true},
		{name: "shortest wait", homes: map[string]searchedHome{"a": {answer: empty}, "b": {answer: homeAnswer{wait: time.Minute}}}, members: "a b", asked: "a b", wait: time.Second},
		{name: "silent first", homes: map[string]searchedHome{"a": {delay: time.Hour}, "b": {answer: grants}}, members: "a b", asked: "a b", granted: true, took: overdue},
		{name: "both silent", homes: map[string]searchedHome{"a": {delay: time.Hour}, "b": {delay: time.Hour}}, members: "a b", asked: "a b", took: timeout},
		{name: "late answer", homes: map[string]searchedHome{"a": {delay: 100 * time.Millisecond, answer: grants}, "b": {delay: time.Hour}}, members: "a b c", asked: "a b", granted: true, took: 100 * time.Millisecond},
		{name: "late answer to a patient search", homes: map[string]searchedHome{"a": {delay: 300 * time.Millisecond, answer: grants}, "b": {delay: time.Hour}}, members: "a b", asked: "a b", granted: true, took: 300 * time.Millisecond},
		{name: "refused, then silence", homes: map[string]searchedHome{"a": {answer: empty}, "b": {delay: time.Hour}}, members: "a b", asked: "a b", wait: time.Second, took: patience},
		{name: "two grants", homes: map[string]searchedHome{"a": {delay: time.Hour, answer: grants, takes: true}, "b": {answer: grants}}, members: "a b", asked: "a b", refunded: "a", granted: true, took: overdue},
		{name: "named home", homes: map[string]searchedHome{"a": {answer: homeAnswer{homes: names("self", "c")}}, "c": {answer: grants}}, members: "a b", asked: "a c", granted: true},
		{name: "named in turn", homes: map[string]searchedHome{
			"a": {answer: homeAnswer{homes: names("c", "d")}}, "c": {answer: homeAnswer{homes: names("e", "f")}}, "e": {answer: homeAnswer{homes: names("g", "a")}}, "f": {}, "d": {}, "b": {answer: grants},
		}, members: "a b", asked: "a c e f d b", granted: true},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var mu sync.Mutex
				var asked, refunded []string
				s := homeSearch{
					self:     "self",
					patience: patience,
					overdue:  func(membership.Member) time.Duration { return overdue },
					refund:   func(m membership.Member) { refunded = append(refunded, m.Name) },
					ask: func(ctx context.Context, m membership.Member) homeAnswer {
						mu.Lock()
						asked = append(asked, m.Name)
						mu.Unlock()
						home := test.homes[m.Name]
						answer := home.answer
						answer.from = m
						select {
						case <-time.After(home.delay):
						case <-ctx.Done():
							if !home.takes {
								return homeAnswer{from: m}
							}
						}
						return answer
					},
				}
				ctx, cancel := context.WithTimeout(t.Context(), timeout)
				defer cancel()
				began := time.Now()
				granted, wait := s.run(ctx, names(strings.Fields(test.members)...))
				if granted != test.granted || wait != test.wait {
					t.Errorf("granted %v, wait %v", granted, wait)
				}
				if took := time.Since(began); took != test.took {
					t.Errorf("took %v, want %v", took, test.took)
				}
				if !slices.Equal(asked, strings.Fields(test.asked)) || !slices.Equal(refunded, strings.Fields(test.refunded)) {
					t.Errorf("asked %v, refunded %v", asked, refunded)
				}
			})
		})
	}
}
