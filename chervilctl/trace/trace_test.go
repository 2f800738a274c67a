package trace_test

import (
	"errors"
	"os"
	"slices"
	"strings"
	"testing"

	"chervilyard.example/chervilctl/trace"
)

// readSample returns the decisions of the sample log, which a collector merged from
// the logs of two instances.
func readSample(t *testing.T) *trace.Logs {
	t.Helper()
	f, err := os.Open("testdata/two-logs.txt")
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	var logs trace.Logs
	if err := logs.Read("edge.log", f); err != nil {
		t.Fatal(err)
	}
	return &logs
}

// TestForwardedRequest checks that a forwarded request yields its decisions from
// the logs of both instances and the state of each, without other requests.
func TestForwardedRequest(t *testing.T) {
	logs := readSample(t)
	var got []string
	for _, e := range logs.ForRequest("r1") {
		got = append(got, e.Log+" "+e.Kind+" "+e.Choice)
	}
	want := []string{
		"front-a-1 instance started", "front-a-1 configuration in force", "front-b-1 configuration in force",
		"front-a-1 dependency lost", "front-b-1 target not proved",
		"front-b-1 request refused 502 target_failed", "front-a-1 request refused 502 remote_failed",
	}
	if strings.Join(got, "\n") != strings.Join(want, "\n") {
		t.Errorf("entries are\n%s\nwant\n%s", strings.Join(got, "\n"), strings.Join(want, "\n"))
	}
	if n := logs.SkippedLines(); n != 1 {
		t.Errorf("%d lines were skipped, want 1", n)
	}
	if entries := logs.ForRequest("unknown"); len(entries) != 0 {
		t.Errorf("an unknown request has %d entries", len(entries))
	}
}

// TestLogNameAndReadError checks that a line without a collector's prefix gets the
// name of its log, and that the error for a line that is too long gives the log and
// the line.
func TestLogNameAndReadError(t *testing.T) {
	var logs trace.Logs
	if err := logs.Read("edge.log", strings.NewReader(`{"@timestamp":"2026-01-15T21:36:10Z","kind":"request","choice":"answered 200","request":"r"}`)); err != nil {
		t.Fatal(err)
	}
	if entries := logs.ForRequest("r"); len(entries) != 1 || entries[0].Log != "edge.log" || entries[0].Time.IsZero() {
		t.Errorf("entries are %+v", entries)
	}
	var readErr *trace.ReadError
	if err := logs.Read("torn.log", strings.NewReader("{}\n"+strings.Repeat("x", 2<<20))); !errors.As(err, &readErr) || readErr.Line != 2 || readErr.Log != "torn.log" {
		t.Errorf("error %v, want a ReadError for torn.log:2", err)
	}
}

// TestRegainedDependency guards against a dependency that is listed as lost after it
// was regained. It runs testdata/dependencies.txt, a log with lines "want REQUEST |
// LOST; ..." that give the losses to be listed for a request.
func TestRegainedDependency(t *testing.T) {
	text, err := os.ReadFile("testdata/dependencies.txt")
	if err != nil {
		t.Fatal(err)
	}
	var logs trace.Logs
	if err := logs.Read("edge.log", strings.NewReader(string(text))); err != nil {
		t.Fatal(err)
	}
	checked := 0
	for line := range strings.SplitSeq(string(text), "\n") {
		rest, ok := strings.CutPrefix(line, "want ")
		if !ok {
			continue
		}
		checked++
		id, losses, _ := strings.Cut(rest, " |")
		var want []string
		for loss := range strings.SplitSeq(losses, ";") {
			if loss = strings.TrimSpace(loss); loss != "" {
				want = append(want, loss)
			}
		}
		entries := logs.ForRequest(id)
		if len(entries) == 0 {
			t.Errorf("request %s has no entries", id)
		}
		var got []string
		for _, e := range entries {
			if e.Kind == "dependency" {
				got = append(got, strings.TrimSpace(e.Target+" "+e.Reason))
			}
		}
		if !slices.Equal(got, want) {
			t.Errorf("request %s lists as lost %q, want %q", id, got, want)
		}
	}
	if checked == 0 {
		t.Error("no request was checked")
	}
}
