package reader

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"pgregory.net/rapid"

	"chervilyard.example/chervilyard/journal"
	"chervilyard.example/yard/view"
)

var (
	start      = time.Unix(1_700_000_000, 0)
	errRefused = errors.New("refused")
)

const (
	every   = 600 * time.Millisecond
	step    = 250 * time.Millisecond
	beat    = 100 * time.Millisecond // heartbeats of a pair
	quarter = 50 * time.Millisecond  // of the simulation's step
)

// region is instances of one region that share what they read of the store.
type region struct {
	duties  []*Duty
	refused []bool      // by the store
	pause   []time.Time // until when an instance waits after a failed read
	now     time.Time
	reads   int
}

func newRegion(n int) *region {
	g := &region{refused: make([]bool, n), pause: make([]time.Time, n), now: start}
	for i := range n {
		g.duties = append(g.duties, &Duty{
			View: &view.View{}, Every: every, Step: step,
			Rank: func(time.Time) int { return i }, Journal: journal.Keeping(hclog.NewNullLogger(), 1),
		})
	}
	return g
}

// advance lets the instances that are due read, and all tell each other.
func (g *region) advance() {
	g.now = g.now.Add(quarter)
	for i, d := range g.duties {
		if g.now.Before(g.pause[i]) || !d.due(g.now) {
			continue
		}
		g.reads++
		if g.refused[i] {
			g.pause[i] = g.now.Add(pauseMost)
			continue
		}
		d.View.Learn(view.Snapshot{Revision: 1, Digest: 1, AsOf: g.now})
	}
	if g.now.Sub(start)%beat != 0 {
		return
	}
	for _, from := range g.duties {
		if s := from.View.Snapshot(); !s.AsOf.IsZero() {
			for _, to := range g.duties {
				if !to.View.Confirm(s.Revision, s.Digest, s.AsOf) {
					to.View.Learn(s)
				}
			}
		}
	}
}

// oldest returns the age of the oldest view.
func (g *region) oldest() time.Duration {
	var oldest time.Duration
	for _, d := range g.duties {
		age, known := d.View.Age(g.now)
		if !known {
			age = g.now.Sub(start)
		}
		oldest = max(oldest, age)
	}
	return oldest
}

// Whichever instances the store refuses, and however that changes, the views of
// all grow no older than the first rank that is served allows, and few read.
func TestTakeOver(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 8).Draw(t, "instances")
		g := newRegion(n)
		for phase := range rapid.IntRange(1, 5).Draw(t, "phases") {
			first := n // rank of the first instance that is served
			for i := range n {
				g.refused[i] = rapid.Bool().Draw(t, fmt.Sprint("refused", phase, i))
				if !g.refused[i] {
					first = min(first, i)
				}
			}
			before := g.reads
			const span = 4 * time.Second
			allowed := every + time.Duration(first)*step + beat + 2*quarter
			for at := time.Duration(0); at < span; at += quarter {
				g.advance()
				// An instance that was refused before still waits for its next try.
				if at > pauseMost+allowed && first < n && g.oldest() > allowed {
					t.Fatalf("phase %d, refused %v: a view is %v old after %v, allowed are %v", phase, g.refused, g.oldest(), at, allowed)
				}
			}
			// The first that is served reads at its pace, those before it at that
			// of their pauses; all read at once at the start.
			most := int(span/every) + first*(int(span/pauseMost)+1) + n
			if reads := g.reads - before; first < n && reads > most {
				t.Fatalf("phase %d, refused %v: %d reads in %v, at most %d", phase, g.refused, reads, span, most)
			}
		}
	})
}

// After two failed reads a dependency is told as lost, and by the next good one as regained.
func TestLostAndRegained(t *testing.T) {
	var told []string
	d := &Duty{Part: "targets", Journal: journal.Keeping(hclog.NewNullLogger(), 4)}
	d.failures = 1
	d.noteLost(start, errRefused)
	told = append(told, fmt.Sprint(d.lost))
	d.failures = 2
	d.noteLost(start, errRefused)
	told = append(told, fmt.Sprint(d.lost))
	d.noteRegained(start)
	told = append(told, fmt.Sprint(d.lost))
	if got := fmt.Sprint(told); got != "[false true false]" {
		t.Errorf("lost after one failure, two, and a read: %s", got)
	}
}
