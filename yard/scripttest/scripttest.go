// Package scripttest reads test scripts from data files. Each line holds one
// step: a duration since the start of the script, followed by words separated by
// spaces. A # starts a comment.
package scripttest

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

// Step is one step of a script.
type Step struct {
	Line  int       // counted from 1
	At    time.Time // a fixed start time plus the step's duration
	Words []string  // without the duration
}

// start is the time at which every script starts.
var start = time.Unix(1_700_000_000, 0)

// Run runs every testdata/*.txt script of the package under test as a subtest
// that is named after the file. It fails the test if there is no script, and the
// subtest if a step does not start with a duration.
func Run(t *testing.T, run func(t *testing.T, steps []Step)) {
	t.Helper()
	paths, err := filepath.Glob("testdata/*.txt")
	if err != nil || len(paths) == 0 {
		t.Fatalf("no scripts in testdata: %v", err)
	}
	for _, path := range paths {
		name := strings.TrimSuffix(filepath.Base(path), ".txt")
		t.Run(name, func(t *testing.T) { run(t, readSteps(t, path)) })
	}
}

func readSteps(t *testing.T, path string) []Step {
	t.Helper()
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	var steps []Step
	for i, line := range strings.Split(string(text), "\n") {
		line, _, _ = strings.Cut(line, "#")
		words := strings.Fields(line)
		if len(words) == 0 {
			continue
		}
		offset, err := time.ParseDuration(words[0])
		if err != nil {
			t.Fatalf("%s:%d: %v", path, i+1, err)
		}
		steps = append(steps, Step{Line: i + 1, At: start.Add(offset), Words: words[1:]})
	}
	return steps
}

// Number returns the number with which Words[i] begins. It fails the test if the
// word is missing or does not begin with a number.
func (s Step) Number(t *testing.T, i int) float64 {
	t.Helper()
	var v float64
	if i >= len(s.Words) {
		t.Fatalf("line %d: word %d is missing", s.Line, i)
	}
	if _, err := fmt.Sscan(s.Words[i], &v); err != nil {
		t.Fatalf("line %d: %q is not a number: %v", s.Line, s.Words[i], err)
	}
	return v
}

// Duration returns Words[i] as a duration. It fails the test if the word is not a
// duration, and panics if it is missing.
func (s Step) Duration(t *testing.T, i int) time.Duration {
	t.Helper()
	d, err := time.ParseDuration(s.Words[i])
	if err != nil {
		t.Fatalf("line %d: %v", s.Line, err)
	}
	return d
}
