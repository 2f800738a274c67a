// Package environment changes an environment's document in the store: every
// change is checked, compares before it swaps, and keeps the one before it.
package environment

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"regexp"
	"slices"
	"strings"
	"time"

	"chervilyard.example/yard/document"
	"chervilyard.example/yard/envelope"
	"chervilyard.example/yard/key"
	"chervilyard.example/yard/store"
)

const (
	prefix      = "chervil/"
	readBacks   = 5
	readBackGap = 300 * time.Millisecond
	edits       = 8 // tries of a change that other operators' changes do not contradict
)

// DocumentKey returns the store key of the environment's document.
func DocumentKey(name string) string { return prefix + name + "/document" }

// SeatPrefix returns the prefix of the store keys of the environment's seats.
func SeatPrefix(name string) string { return prefix + name + "/seat/" }

// ClaimPrefix returns the prefix of the store keys of the environment's claims.
func ClaimPrefix(name string) string { return prefix + name + "/claim/" }

// InstancePrefix returns the prefix of the store keys under which instances
// publish their addresses.
func InstancePrefix(name string) string { return prefix + name + "/instance/" }

func historyKey(name string, revision int64) string {
	return fmt.Sprintf("%s%s/history/%012d", prefix, name, revision)
}

// Conflict is the error of a change that another operator's change preceded.
type Conflict struct {
	Base  int64 // the revision that the change was made from
	Found envelope.Envelope
}

// Error tells whose revision stands.
func (e *Conflict) Error() string {
	return fmt.Sprintf("made from revision %d, but revision %d by %s (%s) stands; nothing was changed", e.Base, e.Found.Revision, e.Found.Author, e.Found.Action)
}

// Unsure is the error of a change whose answer was lost and that could not be
// read back.
type Unsure struct {
	Revision int64
	Err      error
}

// Error tells what to look for.
func (e *Unsure) Error() string {
	return fmt.Sprintf("unknown whether revision %d took effect, and it could not be read back: %v; run show", e.Revision, e.Err)
}

// Unwrap returns the store's error.
func (e *Unsure) Unwrap() error { return e.Err }

// Environment is one environment in a store, as an operator changes it.
type Environment struct {
	Store  *store.Client
	Name   string
	Author string
	// Pause waits between two readings back; nil means to sleep.
	Pause func(ctx context.Context, d time.Duration)
}

// Read returns the document that stands; revision 0 means none does.
func (e *Environment) Read(ctx context.Context) (envelope.Envelope, error) {
	now, _, err := e.read(ctx)
	return now, err
}

func (e *Environment) read(ctx context.Context) (envelope.Envelope, int64, error) {
	v, err := e.Store.Get(ctx, DocumentKey(e.Name))
	if err != nil {
		return envelope.Envelope{}, 0, err
	}
	found, err := envelope.Decode(v.Data)
	return found, v.Revision, err
}

// Apply makes the text the environment's document if the revision that stands
// is base. The errors are a fault.List, *Conflict, *Unsure or *store.Error.
func (e *Environment) Apply(ctx context.Context, now time.Time, text, action string, base int64) (envelope.Envelope, error) {
	d, err := document.Parse(e.Name, text)
	if err != nil {
		return envelope.Envelope{}, err
	}
	if d.Name() != e.Name {
		return envelope.Envelope{}, fmt.Errorf("the document is of environment %q, not %q", d.Name(), e.Name)
	}
	old, at, err := e.read(ctx)
	if err != nil {
		return envelope.Envelope{}, err
	}
	if old.Revision != base {
		return envelope.Envelope{}, &Conflict{Base: base, Found: old}
	}
	if err := e.keep(ctx, old); err != nil {
		return envelope.Envelope{}, err
	}
	next := envelope.Envelope{Revision: old.Revision + 1, Author: e.Author, Action: action, Time: now.UTC(), Text: text}
	return next, e.write(ctx, next, at)
}

// ApplyKeepingKeys is Apply for a text without keys: it keeps those that stand.
func (e *Environment) ApplyKeepingKeys(ctx context.Context, now time.Time, text, action string, base int64) (envelope.Envelope, error) {
	if len(sections(text, "key")) > 0 {
		return e.Apply(ctx, now, text, action, base)
	}
	stands, err := e.Read(ctx)
	if err != nil {
		return envelope.Envelope{}, err
	}
	return e.Apply(ctx, now, withSections(text, sections(stands.Text, "key"), "key"), action, base)
}

// keep records the document that stands in the history before it is replaced.
func (e *Environment) keep(ctx context.Context, old envelope.Envelope) error {
	if old.Revision == 0 {
		return nil
	}
	data, err := old.Encode()
	if err != nil {
		return err
	}
	at := historyKey(e.Name, old.Revision)
	_, err = e.Store.Put(ctx, at, data, 0)
	switch store.KindOf(err) {
	case store.Conflict:
		return nil // kept before
	case store.Unknown:
		if v, readErr := e.Store.Get(ctx, at); readErr == nil && v.Revision > 0 {
			return nil
		}
	}
	return err
}

func (e *Environment) write(ctx context.Context, next envelope.Envelope, at int64) error {
	data, err := next.Encode()
	if err != nil {
		return err
	}
	_, err = e.Store.Put(ctx, DocumentKey(e.Name), data, at)
	switch store.KindOf(err) {
	case store.Unknown, store.Conflict:
		// A conflict may be with an earlier try of this very write.
		return e.readBack(ctx, next, at, err)
	}
	return err
}

// readBack finds out whether a write whose answer was lost took effect.
func (e *Environment) readBack(ctx context.Context, next envelope.Envelope, at int64, cause error) error {
	var last error
	for range readBacks {
		found, revision, err := e.read(ctx)
		switch {
		case err != nil:
			last = err
		case found.Same(next):
			return nil
		case revision != at:
			return &Conflict{Base: next.Revision - 1, Found: found}
		default:
			last = cause
		}
		e.pause(ctx)
	}
	return &Unsure{Revision: next.Revision, Err: last}
}

func (e *Environment) pause(ctx context.Context) {
	if e.Pause != nil {
		e.Pause(ctx, readBackGap)
		return
	}
	select {
	case <-ctx.Done():
	case <-time.After(readBackGap):
	}
}

// History returns the accepted revisions that are kept, newest first, with the
// one that stands.
func (e *Environment) History(ctx context.Context) ([]envelope.Envelope, error) {
	values, err := e.Store.List(ctx, prefix+e.Name+"/history/")
	if err != nil {
		return nil, err
	}
	all := make(map[int64]envelope.Envelope)
	for _, v := range values {
		one, err := envelope.Decode(v.Data)
		if err != nil {
			return nil, err
		}
		all[one.Revision] = one
	}
	stands, err := e.Read(ctx)
	if err != nil {
		return nil, err
	}
	if stands.Revision > 0 {
		all[stands.Revision] = stands
	}
	list := slices.Collect(maps.Values(all))
	slices.SortFunc(list, func(a, b envelope.Envelope) int { return int(b.Revision - a.Revision) })
	return list, nil
}

// Rollback makes the text of an earlier revision the document again, as a new
// revision. Keys withdrawn since stay withdrawn.
func (e *Environment) Rollback(ctx context.Context, now time.Time, to int64) (envelope.Envelope, error) {
	history, err := e.History(ctx)
	if err != nil {
		return envelope.Envelope{}, err
	}
	i := slices.IndexFunc(history, func(one envelope.Envelope) bool { return one.Revision == to })
	if i < 0 {
		return envelope.Envelope{}, fmt.Errorf("revision %d is not kept", to)
	}
	stands := history[0]
	text := withSections(history[i].Text, sections(stands.Text, "key"), "key")
	return e.Apply(ctx, now, text, fmt.Sprintf("rollback to %d", to), stands.Revision)
}

// Promote makes the document of another environment this one's. The name,
// targets and keys of this environment stay its own.
func (e *Environment) Promote(ctx context.Context, now time.Time, from string) (envelope.Envelope, error) {
	source := Environment{Store: e.Store, Name: from}
	proven, err := source.Read(ctx)
	if err != nil {
		return envelope.Envelope{}, err
	}
	if proven.Revision == 0 {
		return envelope.Envelope{}, fmt.Errorf("environment %q has no document", from)
	}
	own, err := e.Read(ctx)
	if err != nil {
		return envelope.Envelope{}, err
	}
	text := proven.Text
	for _, kind := range []string{"environment", "key", "target"} {
		if kept := sections(own.Text, kind); own.Revision > 0 {
			text = withSections(text, kept, kind)
		}
	}
	if own.Revision == 0 {
		text = strings.Replace(text, "name = "+from, "name = "+e.Name, 1)
	}
	return e.Apply(ctx, now, text, fmt.Sprintf("promote %s revision %d", from, proven.Revision), own.Revision)
}

// IssueKey adds a new key of the customer and returns it with its secret.
func (e *Environment) IssueKey(ctx context.Context, now time.Time, customer string) (key.Key, string, error) {
	k, secret := key.Issue(customer)
	section := fmt.Sprintf("\n[key %s]\ncustomer = %s\nhash = %s\n", k.ID(), customer, k.Hash())
	err := e.edit(ctx, now, "issue key "+k.ID(), func(text string) (string, error) {
		return strings.TrimRight(text, "\n") + "\n" + section, nil
	})
	return k, secret, err
}

// WithdrawKey removes the key with the identifier.
func (e *Environment) WithdrawKey(ctx context.Context, now time.Time, id string) error {
	return e.edit(ctx, now, "withdraw key "+id, func(text string) (string, error) {
		found := false
		kept := slices.DeleteFunc(split(text), func(s string) bool {
			mine := heading(s) == "key "+id
			found = found || mine
			return mine
		})
		if !found {
			return "", fmt.Errorf("no key %q", id)
		}
		return strings.Join(kept, ""), nil
	})
}

// edit changes the document that stands, again from the start when another
// operator's change came between.
func (e *Environment) edit(ctx context.Context, now time.Time, action string, change func(string) (string, error)) error {
	var last error
	for range edits {
		stands, err := e.Read(ctx)
		if err != nil {
			return err
		}
		text, err := change(stands.Text)
		if err != nil {
			return err
		}
		_, err = e.Apply(ctx, now, text, action, stands.Revision)
		var conflict *Conflict
		if !errors.As(err, &conflict) {
			return err
		}
		last = err
	}
	return last
}

var headingLine = regexp.MustCompile(`(?m)^[ \t]*\[`)

// split cuts a text before each heading.
func split(text string) []string {
	var parts []string
	from := 0
	for _, at := range headingLine.FindAllStringIndex(text, -1) {
		if at[0] > from {
			parts = append(parts, text[from:at[0]])
		}
		from = at[0]
	}
	return append(parts, text[from:])
}

// heading returns the title of a part that split made, or "".
func heading(part string) string {
	first, _, _ := strings.Cut(strings.TrimSpace(part), "\n")
	first = strings.TrimSpace(first)
	if !strings.HasPrefix(first, "[") {
		return ""
	}
	return strings.Join(strings.Fields(strings.Trim(first, "[]")), " ")
}

func isKind(part, kind string) bool {
	first, _, _ := strings.Cut(heading(part), " ")
	return first == kind
}

// sections returns the sections of a kind.
func sections(text, kind string) []string {
	var found []string
	for _, part := range split(text) {
		if isKind(part, kind) {
			found = append(found, strings.TrimRight(part, "\n")+"\n\n")
		}
	}
	return found
}

// withSections returns the text with its sections of a kind replaced.
func withSections(text string, replacement []string, kind string) string {
	kept := slices.DeleteFunc(split(text), func(part string) bool { return isKind(part, kind) })
	body := strings.TrimRight(strings.Join(kept, ""), "\n")
	return body + "\n\n" + strings.Join(replacement, "")
}
