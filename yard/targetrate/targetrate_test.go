package targetrate_test

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"chervilyard.example/yard/targetrate"
)

// TestValues runs the cases of testdata/values.txt.
func TestValues(t *testing.T) {
	text, err := os.ReadFile(filepath.Join("testdata", "values.txt"))
	if err != nil {
		t.Fatal(err)
	}
	for line := range strings.Lines(string(text)) {
		values, want, ok := strings.Cut(line, "|")
		if !ok || strings.HasPrefix(line, "#") {
			continue
		}
		perSecond, limited, err := targetrate.Parse(strings.Split(values, ","))
		got := strconv.FormatFloat(perSecond, 'f', -1, 64)
		var invalid *targetrate.ValueError
		if errors.As(err, &invalid) {
			got = "error"
		}
		if got != strings.TrimSpace(want) || limited != (err == nil) {
			t.Errorf("%q: got %s, want %s", values, got, strings.TrimSpace(want))
		}
	}
}

// Guards against limits that older words change, as answers and messages overtake each other.
func TestOrderOfWords(t *testing.T) {
	text, err := os.ReadFile(filepath.Join("testdata", "order.txt"))
	if err != nil {
		t.Fatal(err)
	}
	var l targetrate.Ledger
	start := time.Unix(1_700_000_000, 0)
	for line := range strings.Lines(string(text)) {
		words := strings.Fields(line)
		if len(words) == 0 || words[0] == "#" {
			continue
		}
		at := func(word string) time.Time {
			d, err := time.ParseDuration(word)
			if err != nil {
				t.Fatal(err)
			}
			return start.Add(d)
		}
		now := at(words[0])
		switch words[1] {
		case "limit":
			value, err := strconv.ParseFloat(words[2], 64)
			if err != nil {
				t.Fatal(err)
			}
			l.Hear(now, targetrate.Word{Run: 7, Limited: true, PerSecond: value, At: at(words[3])})
		case "end":
			l.Hear(now, targetrate.Word{Run: 7, At: at(words[2])})
		case "want":
			got := "none"
			if perSecond, ok := l.Limit(now, 7); ok {
				got = fmt.Sprint(perSecond)
			}
			if got != words[2] {
				t.Errorf("%s: limit %s", strings.TrimSpace(line), got)
			}
		}
	}
}

func FuzzParse(f *testing.F) {
	for _, s := range []string{"1", "3.1", "-1", "1e9", "0x1p4", ""} {
		f.Add(s)
	}
	f.Fuzz(func(t *testing.T, value string) {
		perSecond, limited, err := targetrate.Parse([]string{value})
		if limited != (err == nil) || perSecond < 0 || perSecond != perSecond || perSecond > 1e32 {
			t.Errorf("%q: %v %v %v", value, perSecond, limited, err)
		}
	})
}
