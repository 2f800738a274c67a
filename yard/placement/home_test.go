package placement_test

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"chervilyard.example/yard/placement"
	"chervilyard.example/yard/target"
)

// Instances that list the targets in another order, or only those of the home's
// region, agree on the home of a prompt; another target's end does not move it.
func TestHomeIsAgreed(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var all []target.Target
		for i := range rapid.IntRange(1, 20).Draw(t, "targets") {
			all = append(all, target.New(fmt.Sprint("t", i), fmt.Sprint("c", i%3), "", []string{"m"}, 8, 1, false))
		}
		parts := []placement.Part{{ID: rapid.String().Draw(t, "part"), Tokens: 100}, {ID: "own", Tokens: 10}}
		home, ok := placement.Home(all, parts)
		if !ok {
			t.Fatal("a shared part has no home")
		}
		some := slices.DeleteFunc(rapid.Permutation(all).Draw(t, "order"), func(one target.Target) bool {
			return one.Name() != home.Name() && rapid.Bool().Draw(t, "gone")
		})
		if again, _ := placement.Home(some, parts); again.Name() != home.Name() {
			t.Fatalf("the home moves from %s to %s", home.Name(), again.Name())
		}
	})
}

// A prompt that shares nothing has no home.
func TestOwnPromptHasNoHome(t *testing.T) {
	all := []target.Target{target.New("a", "c", "", []string{"m"}, 8, 1, false)}
	if home, ok := placement.Home(all, []placement.Part{{ID: "own", Tokens: 10}}); ok {
		t.Errorf("its home is %s", home.Name())
	}
}
