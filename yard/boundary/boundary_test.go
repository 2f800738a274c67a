package boundary_test

import (
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"chervilyard.example/yard/boundary"
)

// TestStreams runs the cases of testdata/streams.txt.
func TestStreams(t *testing.T) {
	text, err := os.ReadFile(filepath.Join("testdata", "streams.txt"))
	if err != nil {
		t.Fatal(err)
	}
	for line := range strings.Lines(string(text)) {
		fields := strings.Split(line, "|")
		if len(fields) != 4 {
			continue
		}
		for i := range fields {
			fields[i] = strings.TrimSpace(fields[i])
		}
		stream, err := strconv.Unquote(fields[0])
		if err != nil {
			t.Fatal(line, err)
		}
		var f boundary.Finder
		end := f.Add([]byte(stream))
		words := map[bool]string{true: "inside", false: "whole"}
		got := fmt.Sprintf("%s %d %s", words[f.InsideEvent()], end, map[bool]string{true: "yes", false: "no"}[f.SeenComplete()])
		if want := strings.Join(fields[1:], " "); got != want {
			t.Errorf("%s: got %s, want %s", fields[0], got, want)
		}
	}
}

// The position after a stream does not depend on how it is divided into pieces.
func TestAnyPieces(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		stream := rapid.StringOfN(rapid.SampledFrom([]rune("a:\r\n\n")), 0, 24, -1).Draw(t, "stream")
		var whole, pieces boundary.Finder
		want := whole.Add([]byte(stream))
		got, read := 0, 0
		for rest := stream; rest != ""; {
			n := rapid.IntRange(1, len(rest)).Draw(t, "piece")
			if end := pieces.Add([]byte(rest[:n])); end > 0 {
				got = read + end
			}
			read += n
			rest = rest[n:]
		}
		if got != want || pieces.InsideEvent() != whole.InsideEvent() || pieces.SeenComplete() != whole.SeenComplete() {
			t.Fatalf("%q in pieces: %d %+v, want %d %+v", stream, got, pieces, want, whole)
		}
	})
}
