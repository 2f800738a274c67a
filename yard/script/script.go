// Package script reads the steps of scripted tests from data files: one step a
// line, a time and words, with # before a remark.
package script

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

// Step is one line of a script.
type Step struct {
	Line  int
	At    time.Time
	Words []string
}

// begin is the time that scripts count from.
var begin = time.Unix(1_700_000_000, 0)

// Each runs every script in testdata as a test of its own.
func Each(t *testing.T, run func(t *testing.T, steps []Step)) {
	t.Helper()
	paths, err := filepath.Glob("testdata/*.txt")
	if err != nil || len(paths) == 0 {
		t.Fatalf("no scripts in testdata: %v", err)
	}
	for _, path := range paths {
		name := strings.TrimSuffix(filepath.Base(path), ".txt")
		t.Run(name, func(t *testing.T) { run(t, read(t, path)) })
	}
}

func read(t *testing.T, path string) []Step {
	t.Helper()
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	var steps []Step
	for n, line := range strings.Split(string(text), "\n") {
		line, _, _ = strings.Cut(line, "#")
		words := strings.Fields(line)
		if len(words) == 0 {
			continue
		}
		d, err := time.ParseDuration(words[0])
		if err != nil {
			t.Fatalf("%s:%d: %v", path, n+1, err)
		}
		steps = append(steps, Step{Line: n + 1, At: begin.Add(d), Words: words[1:]})
	}
	return steps
}

// Number returns a word as a number.
func (s Step) Number(t *testing.T, i int) float64 {
	t.Helper()
	var v float64
	if i >= len(s.Words) {
		t.Fatalf("line %d: word %d is missing", s.Line, i)
	}
	if _, err := fmt.Sscan(s.Words[i], &v); err != nil {
		t.Fatalf("line %d: %q: %v", s.Line, s.Words[i], err)
	}
	return v
}

// Time returns a word as a duration.
func (s Step) Time(t *testing.T, i int) time.Duration {
	t.Helper()
	d, err := time.ParseDuration(s.Words[i])
	if err != nil {
		t.Fatalf("line %d: %v", s.Line, err)
	}
	return d
}
