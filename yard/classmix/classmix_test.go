package classmix_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"chervilyard.example/yard/classmix"
)

// Guards against an engine whose slots are set aside for a class that does not ask: without
// urgent requests, lesser ones may use all of them. Guards also against lesser requests that fill
// an engine before the slot times are known, and against few urgent ones that keep half of it.
func TestAllSlotsWithoutUrgentRequests(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	var m classmix.Mix
	m.RecordArrival(now, true, 10_000, time.Second)
	if got := classmix.Slots(m.LesserShare(now), 32); got != 32 {
		t.Errorf("%d slots without urgent requests, want 32", got)
	}
	m.RecordArrival(now, false, 100, 500*time.Millisecond)
	if got := classmix.Slots(m.LesserShare(now), 32); got < 31 {
		t.Errorf("%d slots beside few urgent tokens before slot times are known, want 31", got)
	}
	m.RecordArrival(now, false, 20_000, 500*time.Millisecond)
	if got := classmix.Slots(m.LesserShare(now), 32); got != 8 {
		t.Errorf("%d slots beside urgent requests before slot times are known, want 8", got)
	}
	m.RecordEnd(now, true, 5*time.Second)
	m.RecordEnd(now, false, 250*time.Millisecond)
	if got := classmix.Slots(m.LesserShare(now), 32); got >= 32 {
		t.Errorf("%d slots beside urgent requests, want fewer than 32", got)
	}
	later := now.Add(10 * time.Second)
	if got := classmix.Slots(m.LesserShare(later), 32); got != 32 {
		t.Errorf("%d slots after the urgent requests ended, want 32", got)
	}
	if _, bounded := m.LesserTokens(later, 0.01); bounded {
		t.Error("waiting tokens are bounded after the urgent requests ended")
	}
}

// Guards against a mix that turns within a second and leaves one class without room: whatever
// arrives, lesser requests have a slot at least and at most all, and their tokens are never
// bounded below zero nor above what the engine reads within the urgent wait.
func TestPartsStayWithinEngine(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1_700_000_000, 0)
		var m classmix.Mix
		for range rapid.IntRange(0, 60).Draw(t, "events") {
			now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "pause")) * time.Millisecond)
			lesser := rapid.Bool().Draw(t, "lesser")
			if rapid.Bool().Draw(t, "ends") {
				m.RecordEnd(now, lesser, time.Duration(rapid.IntRange(0, 9000).Draw(t, "slot time"))*time.Millisecond)
			} else {
				m.RecordArrival(now, lesser, rapid.IntRange(0, 60_000).Draw(t, "tokens"), time.Duration(rapid.IntRange(0, 1500).Draw(t, "wait"))*time.Millisecond)
			}
			slots := rapid.IntRange(1, 64).Draw(t, "slots")
			if got := classmix.Slots(m.LesserShare(now), slots); got < 1 || got > slots {
				t.Fatalf("%d of %d slots", got, slots)
			}
			if tokens, bounded := m.LesserTokens(now, 0.01); bounded && (tokens < 0 || tokens > 150_000) {
				t.Fatalf("%v tokens, an engine reads at most 150,000 in 1.5 s", tokens)
			}
		}
	})
}
