package retryafter_test

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"chervilyard.example/yard/retryafter"
)

// TestValues runs the cases of testdata/values.txt.
func TestValues(t *testing.T) {
	text, err := os.ReadFile(filepath.Join("testdata", "values.txt"))
	if err != nil {
		t.Fatal(err)
	}
	for line := range strings.Lines(string(text)) {
		value, want, ok := strings.Cut(line, "|")
		if !ok || strings.HasPrefix(line, "#") {
			continue
		}
		d, reduced, err := retryafter.Parse(value)
		got := d.String()
		var invalid *retryafter.ValueError
		switch {
		case errors.As(err, &invalid):
			got = "error"
		case reduced && d == retryafter.Max:
			got = "reduced"
		}
		if got != strings.TrimSpace(want) {
			t.Errorf("%q: got %s, want %s", value, got, strings.TrimSpace(want))
		}
	}
}

func FuzzParse(f *testing.F) {
	f.Add("1")
	f.Add("Inf")
	f.Add("-0")
	f.Fuzz(func(t *testing.T, value string) {
		d, _, err := retryafter.Parse(value)
		if d < 0 || d > retryafter.Max || err != nil && d != 0 {
			t.Errorf("%q: %v, %v", value, d, err)
		}
	})
}
