package placement_test

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"chervilyard.example/yard/placement"
	"chervilyard.example/yard/target"
)

// Checks that instances agree on the preferred target of a prompt, whatever the order
// of their lists and even if a list covers only some targets, that the removal of
// another target does not change it, and that its own removal leaves the one of the overflow.
func TestPreferredTargetIsConsistent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var targets []target.Target
		for i := range rapid.IntRange(1, 20).Draw(t, "targets") {
			targets = append(targets, target.New(fmt.Sprint("t", i), fmt.Sprint("c", i%3), "", []string{"m"}, 8, 1, false))
		}
		parts := []placement.Part{{ID: rapid.String().Draw(t, "part"), Tokens: 100}, {ID: "own", Tokens: 10}}
		preferred, overflow, ok := placement.PreferredTargets(targets, parts)
		if !ok {
			t.Fatal("a shared part has no preferred target")
		}
		remaining := slices.DeleteFunc(rapid.Permutation(targets).Draw(t, "order"), func(candidate target.Target) bool {
			return candidate.Name() != preferred.Name() && rapid.Bool().Draw(t, "gone")
		})
		if got, _, _ := placement.PreferredTargets(remaining, parts); got.Name() != preferred.Name() {
			t.Fatalf("the preferred target changed from %s to %s", preferred.Name(), got.Name())
		}
		others := slices.DeleteFunc(slices.Clone(targets), func(candidate target.Target) bool { return candidate.Name() == preferred.Name() })
		if got, _, _ := placement.PreferredTargets(others, parts); got.Name() != overflow.Name() {
			t.Fatalf("without the preferred target %s is preferred, want %s", got.Name(), overflow.Name())
		}
	})
}

// Checks that a prompt without a shared part has no preferred target.
func TestUnsharedPromptHasNoPreferredTarget(t *testing.T) {
	targets := []target.Target{target.New("a", "c", "", []string{"m"}, 8, 1, false)}
	if preferred, _, ok := placement.PreferredTargets(targets, []placement.Part{{ID: "own", Tokens: 10}}); ok {
		t.Errorf("the preferred target is %s, want none", preferred.Name())
	}
}
