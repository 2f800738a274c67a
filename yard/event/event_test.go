package event_test

import (
	"strings"
	"testing"

	"pgregory.net/rapid"

	"chervilyard.example/yard/event"
)

// For any division of a stream into reads, the splitter returns all complete events
// in order and keeps the incomplete event at the end.
func TestAnyReadSizes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(0, 8).Draw(t, "events")
		lineEnd := rapid.SampledFrom([]string{"\n", "\r\n", "\r"}).Draw(t, "line end")
		var complete strings.Builder
		lastID := ""
		for i := range n {
			lastID = string(rune('a' + i))
			complete.WriteString(strings.ReplaceAll("id: "+lastID+"\ndata: "+strings.Repeat("x", i)+"\n\n", "\n", lineEnd))
		}
		incomplete := rapid.SampledFrom([]string{"", "i", "id: z\n", "id: z\ndata: y\n"}).Draw(t, "incomplete")
		incomplete = strings.ReplaceAll(incomplete, "\n", lineEnd)
		stream := complete.String() + incomplete
		var s event.Splitter
		var got strings.Builder
		for len(stream) > 0 {
			size := rapid.IntRange(1, len(stream)).Draw(t, "cut")
			got.Write(s.Add([]byte(stream[:size])))
			stream = stream[size:]
		}
		if got.String() != complete.String() {
			t.Fatalf("whole events are %q, want %q", got.String(), complete.String())
		}
		if string(s.Remainder()) != incomplete || s.LastEventID() != lastID {
			t.Fatalf("remainder is %q after event %q, want %q after %q", s.Remainder(), s.LastEventID(), incomplete, lastID)
		}
	})
}
