package rollback_test

import (
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"chervilyard.example/yard/rollback"
	"chervilyard.example/yard/scripttest"
	"chervilyard.example/yard/view"
)

func TestScripts(t *testing.T) {
	scripttest.Run(t, func(t *testing.T, steps []scripttest.Step) {
		var r rollback.Rollback
		for _, s := range steps {
			if s.Words[0] == "begin" {
				revision, _ := strconv.ParseInt(s.Words[1], 10, 64)
				r.Begin(s.At, parse(s.Words[2:]), revision)
				continue
			}
			arrow := slices.Index(s.Words, "->")
			var got []string
			for _, it := range r.Merge(s.At, parse(s.Words[1:arrow])) {
				got = append(got, it.Key+"="+string(it.Value))
			}
			if want := s.Words[arrow+1:]; !slices.Equal(got, want) {
				t.Errorf("line %d: %v, want %v", s.Line, got, want)
			}
		}
	})
}

// parse parses items of the form KEY=VALUE@REVISION.
func parse(words []string) []view.Item {
	var list []view.Item
	for _, word := range words {
		key, rest, _ := strings.Cut(word, "=")
		value, text, _ := strings.Cut(rest, "@")
		revision, _ := strconv.ParseInt(text, 10, 64)
		list = append(list, view.Item{Key: key, Value: []byte(value), Revision: revision})
	}
	return list
}

// Whatever the copy lacks, and whatever others write again in which order, while items
// are kept no item of before is missing or older than before, and none is there that was
// not, unless it was written since; afterwards the content is the store's.
func TestAnyDrill(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		keys := []string{"a", "b", "c", "d"}
		current := make(map[string]view.Item) // the store's
		copied := make(map[string]view.Item)
		revision, copyRevision := int64(0), int64(0)
		write := func(key string) {
			revision++
			current[key] = view.Item{Key: key, Value: []byte(strconv.Itoa(int(revision)) + "/" + key), Revision: revision}
		}
		for range rapid.IntRange(1, 20).Draw(t, "writes") {
			key := rapid.SampledFrom(keys).Draw(t, "key")
			switch rapid.IntRange(0, 4).Draw(t, "step") {
			case 0:
				delete(current, key)
				revision++
			case 1:
				copied, copyRevision = clone(current), revision
			default:
				write(key)
			}
		}
		before := clone(current)
		current, revision = clone(copied), copyRevision
		var r rollback.Rollback
		now := time.Unix(0, 0)
		r.Begin(now, list(before), revision)
		written := make(map[string]bool)
		for range rapid.IntRange(0, 10).Draw(t, "written again") {
			key := rapid.SampledFrom(keys).Draw(t, "key")
			write(key)
			written[key] = true
			now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "pause")) * time.Millisecond)
			got := make(map[string]view.Item)
			for _, it := range r.Merge(now, list(current)) {
				got[it.Key] = it
			}
			for _, k := range keys {
				want, ok := before[k]
				if written[k] || !r.Active(now) {
					want, ok = current[k]
				}
				if it, there := got[k]; there != ok || string(it.Value) != string(want.Value) {
					t.Fatalf("%s is %q (%v), want %q (%v)", k, it.Value, there, want.Value, ok)
				}
			}
		}
	})
}

func clone(m map[string]view.Item) map[string]view.Item {
	c := make(map[string]view.Item, len(m))
	for k, it := range m {
		c[k] = it
	}
	return c
}

func list(m map[string]view.Item) []view.Item {
	var items []view.Item
	for _, it := range m {
		items = append(items, it)
	}
	return items
}
