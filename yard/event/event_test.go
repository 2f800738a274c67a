package event_test

import (
	"strings"
	"testing"

	"pgregory.net/rapid"

	"chervilyard.example/yard/event"
)

// However a stream is cut into reads, whole events come out in order, and what
// is left over is the torn event at its end.
func TestAnyCuts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(0, 8).Draw(t, "events")
		var whole strings.Builder
		last := ""
		for i := range n {
			last = string(rune('a' + i))
			whole.WriteString("id: " + last + "\ndata: " + strings.Repeat("x", i) + "\n\n")
		}
		torn := rapid.SampledFrom([]string{"", "i", "id: z\n", "id: z\ndata: y\n"}).Draw(t, "torn")
		text := whole.String() + torn
		var s event.Splitter
		var got strings.Builder
		for len(text) > 0 {
			cut := rapid.IntRange(1, len(text)).Draw(t, "cut")
			got.Write(s.Add([]byte(text[:cut])))
			text = text[cut:]
		}
		if got.String() != whole.String() {
			t.Fatalf("whole events are %q, want %q", got.String(), whole.String())
		}
		if string(s.Rest()) != torn || s.Last() != last {
			t.Fatalf("rest is %q after event %q, want %q after %q", s.Rest(), s.Last(), torn, last)
		}
	})
}
