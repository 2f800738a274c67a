package trail_test

import (
	"errors"
	"os"
	"strings"
	"testing"

	"chervilyard.example/chervilctl/trail"
)

func read(t *testing.T) *trail.Trail {
	t.Helper()
	f, err := os.Open("testdata/two-logs.txt")
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	var one trail.Trail
	if err := one.Read("edge.log", f); err != nil {
		t.Fatal(err)
	}
	return &one
}

// A request that was forwarded is told through both logs, with what each
// instance believed and nothing of other requests.
func TestForwardedRequest(t *testing.T) {
	one := read(t)
	var got []string
	for _, s := range one.Request("r1") {
		got = append(got, s.Log+" "+s.Kind+" "+s.Choice)
	}
	want := []string{
		"front-a-1 instance started", "front-a-1 configuration in force", "front-b-1 configuration in force",
		"front-a-1 dependency lost", "front-b-1 target not proved",
		"front-b-1 request refused 502 target_failed", "front-a-1 request refused 502 remote_failed",
	}
	if strings.Join(got, "\n") != strings.Join(want, "\n") {
		t.Errorf("told are\n%s\nwant\n%s", strings.Join(got, "\n"), strings.Join(want, "\n"))
	}
	if n := one.Others(); n != 1 {
		t.Errorf("%d lines are no decisions, want 1", n)
	}
	if steps := one.Request("unknown"); len(steps) != 0 {
		t.Errorf("an unknown request has %d steps", len(steps))
	}
}

// A log without a collector's words is told by its own name, and one that cannot
// be read to its end by the line.
func TestFaults(t *testing.T) {
	var one trail.Trail
	if err := one.Read("edge.log", strings.NewReader(`{"@timestamp":"2026-01-15T21:36:10Z","kind":"request","choice":"answered 200","request":"r"}`)); err != nil {
		t.Fatal(err)
	}
	if steps := one.Request("r"); len(steps) != 1 || steps[0].Log != "edge.log" || steps[0].Time.IsZero() {
		t.Errorf("told are %+v", steps)
	}
	var fault *trail.Fault
	if err := one.Read("torn.log", strings.NewReader("{}\n"+strings.Repeat("x", 2<<20))); !errors.As(err, &fault) || fault.Line != 2 || fault.Log != "torn.log" {
		t.Errorf("the error is %v", err)
	}
}
