package reachability_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"chervilyard.example/yard/reachability"
	"chervilyard.example/yard/scripttest"
)

// TestScripts runs the scripts in testdata. Their steps are
//
//	targets A B      the service has these targets
//	failed A         a new connection to A fails
//	answered A       A responds on a new connection
//	check A          A is to be checked now; - if nothing is
//	cut yes          whether the instance is cut off
func TestScripts(t *testing.T) {
	scripttest.Run(t, func(t *testing.T, steps []scripttest.Step) {
		var m reachability.Monitor
		var targets []string
		for _, s := range steps {
			switch s.Words[0] {
			case "targets":
				targets = s.Words[1:]
			case "failed":
				m.Failed(s.At, "s", s.Words[1])
			case "answered":
				m.Answered(s.At, "s", s.Words[1])
			case "check":
				got, ok := m.NextCheck(s.At, "s", targets)
				if !ok {
					got = "-"
				}
				if got != s.Words[1] {
					t.Errorf("line %d: the next check is of %s, want %s", s.Line, got, s.Words[1])
				}
			case "cut":
				if got, want := m.CutOff(s.At, "s", targets), s.Words[1] == "yes"; got != want {
					t.Errorf("line %d: cut off: %v, want %v", s.Line, got, want)
				}
			default:
				t.Fatalf("line %d: %q is not a step", s.Line, s.Words[0])
			}
		}
	})
}

// Guards against an instance that counts as cut off because some of many targets crashed at
// once: as long as one answers a check, it does not.
func TestCrashedTargetsAreNoCut(t *testing.T) {
	var targets []string
	for i := range 20 {
		targets = append(targets, fmt.Sprint("t", i))
	}
	crashed := targets[:4]
	var m reachability.Monitor
	now := time.Unix(1_700_000_000, 0)
	for n := range 500 {
		now = now.Add(20 * time.Millisecond)
		if n%10 == 0 { // requests that need a new connection are rare
			m.Failed(now, "s", crashed[n/10%len(crashed)])
		}
		if name, ok := m.NextCheck(now, "s", targets); ok {
			if slices.Contains(crashed, name) {
				m.Failed(now, "s", name)
			} else {
				m.Answered(now, "s", name)
			}
		}
		if m.CutOff(now, "s", targets) {
			t.Fatalf("cut off after %d steps", n)
		}
	}
}
