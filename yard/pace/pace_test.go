package pace_test

import (
	"testing"

	"pgregory.net/rapid"

	"chervilyard.example/yard/pace"
	"chervilyard.example/yard/script"
)

func TestScripts(t *testing.T) {
	script.Each(t, func(t *testing.T, steps []script.Step) {
		var w pace.Window
		for _, s := range steps {
			limit := int(s.Number(t, 0))
			if got, want := w.Take(s.At, limit), s.Words[1] == "yes"; got != want {
				t.Errorf("line %d: Take is %v, want %v", s.Line, got, want)
			}
		}
	})
}

// The parts of all instances never add up to more than the bound, and use it whole.
func TestLimitAddsUp(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		bound := rapid.Float64Range(0, 200).Draw(t, "bound")
		size := rapid.IntRange(1, 400).Draw(t, "size")
		sum := 0
		for rank := range size {
			sum += pace.Limit(bound, size, rank)
		}
		if sum != int(bound) {
			t.Fatalf("the parts of %d instances add up to %d of %v", size, sum, bound)
		}
	})
}
