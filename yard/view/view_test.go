package view_test

import (
	"testing"
	"time"

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
	if v.Confirm(9, 1, start.Add(time.Second)) {
		t.Error("other content was confirmed")
	}
	if !v.Confirm(9, digest(content), start.Add(time.Second)) {
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
	if _, ok := v.Age(start); ok || v.Loaded() || v.Confirm(1, 0, start) {
		t.Error("an empty view claims to hold content")
	}
}
