package view_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"chervilyard.example/yard/view"
)

var start = time.Unix(1_700_000_000, 0)

// items returns one item per key, whose value is the key.
func items(keys ...string) []view.Item {
	var content []view.Item
	for _, k := range keys {
		content = append(content, view.Item{Key: k, Value: []byte(k)})
	}
	return content
}

func digest(content []view.Item) uint64 {
	return view.Digest(content, func(item view.Item) string { return string(item.Value) })
}

func TestOlderNeverReplacesNewer(t *testing.T) {
	var v view.View
	newer, older := items("a"), items("b")
	if !v.Update(view.Snapshot{Revision: 7, Digest: digest(newer), Items: newer, AsOf: start}) {
		t.Fatal("the first snapshot changed nothing")
	}
	if v.Update(view.Snapshot{Revision: 6, Digest: digest(older), Items: older, AsOf: start.Add(time.Hour)}) {
		t.Error("an older revision changed the view")
	}
	if s := v.Snapshot(); s.Revision != 7 || s.Items[0].Key != "a" {
		t.Errorf("the view holds %v", s)
	}
}

func TestConfirmRenewsTheAge(t *testing.T) {
	var v view.View
	content := items("a")
	v.Update(view.Snapshot{Revision: 7, Digest: digest(content), Items: content, AsOf: start})
	if v.Confirm(0, 9, 1, start.Add(time.Second)) {
		t.Error("other content was confirmed")
	}
	if !v.Confirm(0, 9, digest(content), start.Add(time.Second)) {
		t.Error("the same content was not confirmed")
	}
	if age, _ := v.Age(start.Add(3 * time.Second)); age != 2*time.Second {
		t.Errorf("age is %v, want 2s", age)
	}
	if v.Update(view.Snapshot{Revision: 8, Digest: 1, Items: items("b"), AsOf: start.Add(5 * time.Second)}) {
		t.Error("a revision older than the confirmed one changed the view")
	}
}

func TestApplyRemovesAndReplaces(t *testing.T) {
	got := view.ApplyChanges(items("a", "b"), []view.Item{{Key: "a"}, {Key: "b", Value: []byte("2")}, {Key: "c", Value: []byte{}}})
	if len(got) != 2 || got[0].Key != "b" || string(got[0].Value) != "2" || got[1].Key != "c" {
		t.Errorf("the items are %v", got)
	}
}

func TestUnknownHasNoAge(t *testing.T) {
	var v view.View
	if _, ok := v.Age(start); ok || v.Loaded() || v.Confirm(0, 1, 0, start) {
		t.Error("an empty view claims to hold content")
	}
}

// Guards against the comparison of revisions of different eras: what the store gave out
// before it came back from an older copy is older, whatever its revision.
func TestLaterEraReplacesHigherRevision(t *testing.T) {
	var v view.View
	before, after := items("a"), items("b")
	v.Update(view.Snapshot{Era: 1, Revision: 90, Digest: digest(before), Items: before, AsOf: start})
	if !v.OlderThan(2, 40) || v.OlderThan(1, 80) || v.OlderThan(0, 99) {
		t.Error("revisions of different eras are compared")
	}
	if v.Confirm(2, 40, digest(before), start.Add(time.Second)) {
		t.Error("the content of another era was confirmed")
	}
	if !v.Update(view.Snapshot{Era: 2, Revision: 40, Digest: digest(after), Items: after, AsOf: start.Add(time.Second)}) {
		t.Error("the content of a later era changed nothing")
	}
	if v.Update(view.Snapshot{Era: 1, Revision: 95, Digest: digest(before), Items: before, AsOf: start.Add(2 * time.Second)}) {
		t.Error("the content of an earlier era replaced that of a later one")
	}
	if !v.Update(view.Snapshot{Era: 3, Revision: 30, Digest: digest(after), AsOf: start.Add(3 * time.Second)}) {
		t.Error("a later era with the same content is no change")
	}
	if s := v.Snapshot(); s.Era != 3 || s.Revision != 30 || len(s.Items) != 1 {
		t.Errorf("the view holds %+v", s)
	}
}

// The view ends at the newest snapshot, whatever the order and the repetition in which
// instances deliver what they read in several eras, whose revisions overlap.
func TestAnyOrderOfEras(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var snaps []view.Snapshot
		revision := int64(1)
		era := int64(1)
		for i := range rapid.IntRange(1, 20).Draw(t, "reads") {
			if rapid.IntRange(0, 4).Draw(t, "drill") == 0 {
				era++
				revision = max(1, revision-int64(rapid.IntRange(0, 10).Draw(t, "lost")))
			}
			revision += int64(rapid.IntRange(0, 3).Draw(t, "writes"))
			content := items(string(rune('a' + revision%26)))
			snaps = append(snaps, view.Snapshot{Era: era, Revision: revision, Digest: digest(content) + uint64(era), Items: content, AsOf: start.Add(time.Duration(i) * time.Second)})
		}
		newest := snaps[len(snaps)-1]
		var v view.View
		for _, s := range rapid.Permutation(snaps).Draw(t, "order") {
			v.Update(s)
			got := v.Snapshot()
			if got.Era < s.Era || got.Era == s.Era && got.Revision < s.Revision {
				t.Fatalf("the view holds %d/%d after %d/%d", got.Era, got.Revision, s.Era, s.Revision)
			}
		}
		if got := v.Snapshot(); got.Era != newest.Era || got.Revision != newest.Revision || got.Items[0].Key != newest.Items[0].Key {
			t.Fatalf("the view ends at %+v, want %+v", got, newest)
		}
	})
}
