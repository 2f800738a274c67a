package retry_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"chervilyard.example/yard/retry"
	"chervilyard.example/yard/script"
)

var terms = retry.Terms{Window: 10 * time.Second, Ratio: 0.2, Slack: 6}

func TestScripts(t *testing.T) {
	script.Each(t, func(t *testing.T, steps []script.Step) {
		var b retry.Budget
		for _, s := range steps {
			n := int(s.Number(t, 1))
			switch s.Words[0] {
			case "first":
				for range n {
					b.First(s.At, terms, "s")
				}
			case "repeat":
				granted := 0
				for range n {
					if b.Repeat(s.At, terms, "s", 3) {
						granted++
					}
				}
				if want := int(s.Number(t, 2)); granted != want {
					t.Errorf("line %d: %d of %d repeats granted, want %d", s.Line, granted, n, want)
				}
			}
		}
	})
}

// Over any instances and any load, the repeats of any window stay under the
// ratio of the first requests of that window and the one before, and the slack.
func TestFleetStaysUnder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const instances = 4
		budgets := make([]retry.Budget, instances)
		begin := time.Unix(0, 0)
		var firsts, repeats []time.Duration
		now := time.Duration(0)
		for range rapid.IntRange(1, 400).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 300).Draw(t, "pause")) * time.Millisecond
			b := &budgets[rapid.IntRange(0, instances-1).Draw(t, "instance")]
			if rapid.Bool().Draw(t, "first") {
				b.First(begin.Add(now), terms, "s")
				firsts = append(firsts, now)
			} else if b.Repeat(begin.Add(now), terms, "s", instances) {
				repeats = append(repeats, now)
			}
		}
		for _, end := range repeats {
			within := func(list []time.Duration, span time.Duration) (n int) {
				for _, at := range list {
					if at <= end && at > end-span {
						n++
					}
				}
				return n
			}
			got := within(repeats, terms.Window)
			most := terms.Ratio*float64(within(firsts, 2*terms.Window)) + terms.Slack
			if float64(got) > most {
				t.Fatalf("%d repeats in the window that ends at %v, at most %v", got, end, most)
			}
		}
	})
}
