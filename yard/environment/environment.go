// Package environment changes the configuration document of an environment in
// the store. Each change is validated, applied by compare-and-swap on the
// revision, and preceded by a copy of the replaced document to the history.
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
	storePrefix      = "chervil/"
	readBackAttempts = 5
	readBackInterval = 300 * time.Millisecond
	editAttempts     = 8 // attempts at an edit that conflicts with concurrent changes
)

// DocumentKey returns the store key of the named environment's document.
func DocumentKey(name string) string { return storePrefix + name + "/document" }

// SeatPrefix returns the prefix of the store keys of the named environment's seats.
func SeatPrefix(name string) string { return storePrefix + name + "/seat/" }

// ClaimPrefix returns the prefix of the store keys of the named environment's
// claims on idempotency keys.
func ClaimPrefix(name string) string { return storePrefix + name + "/claim/" }

// InstancePrefix returns the prefix of the store keys under which the named
// environment's instances publish their addresses.
func InstancePrefix(name string) string { return storePrefix + name + "/instance/" }

func historyKey(name string, revision int64) string {
	return fmt.Sprintf("%s%s/history/%012d", storePrefix, name, revision)
}

// ConflictError is the error of a change whose base revision is not the current one,
// for example after a concurrent change by another operator.
type ConflictError struct {
	Base    int64             // revision that the change is based on
	Current envelope.Envelope // current document
}

// Error returns the base revision, and the author and action of the current one.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("the change was made from revision %d, but the current one is revision %d by %s (%s); nothing was changed", e.Base, e.Current.Revision, e.Current.Author, e.Current.Action)
}

// UnknownOutcomeError is the error of a change whose outcome is unknown: the
// store's response was lost, or the store reported a conflict, and reading the
// document back gave no certain result.
type UnknownOutcomeError struct {
	Revision int64 // revision that the change would have
	Err      error // last error of the store
}

// Error returns the revision, the cause and the command that shows the current
// document.
func (e *UnknownOutcomeError) Error() string {
	return fmt.Sprintf("unknown whether revision %d took effect, since it could not be read back: %v; run show to see the current revision", e.Revision, e.Err)
}

// Unwrap returns Err.
func (e *UnknownOutcomeError) Unwrap() error { return e.Err }

// Environment reads and changes the document of one environment in a store. It
// is safe for concurrent use as long as its fields do not change.
type Environment struct {
	Store  *store.Client
	Name   string
	Author string // recorded with each change
	// Sleep waits for d after each inconclusive attempt to read a change back. If it
	// is nil, a timer is used; the wait then ends early when ctx is done.
	Sleep func(ctx context.Context, d time.Duration)
}

// Read returns the current document, or revision 0 if there is none.
func (e *Environment) Read(ctx context.Context) (envelope.Envelope, error) {
	current, _, err := e.read(ctx)
	return current, err
}

// read returns the current document and the store's revision of its value.
func (e *Environment) read(ctx context.Context) (envelope.Envelope, int64, error) {
	v, err := e.Store.Get(ctx, DocumentKey(e.Name))
	if err != nil {
		return envelope.Envelope{}, 0, err
	}
	found, err := envelope.Decode(v.Data)
	return found, v.Revision, err
}

// Apply replaces the environment's document with text if the current revision is
// base, which is 0 for the first document. It returns the new document, which
// records now and action. The error is a fault.List if the text is invalid, a
// *ConflictError if the current revision is another one, an *UnknownOutcomeError if
// the outcome is unknown, and a *store.Error if the store fails. A text that names
// another environment is rejected with an error of no particular type.
func (e *Environment) Apply(ctx context.Context, now time.Time, text, action string, base int64) (envelope.Envelope, error) {
	d, err := document.Parse(e.Name, text)
	if err != nil {
		return envelope.Envelope{}, err
	}
	if d.Name() != e.Name {
		return envelope.Envelope{}, fmt.Errorf("the document is of environment %q, want %q", d.Name(), e.Name)
	}
	old, storeRevision, err := e.read(ctx)
	if err != nil {
		return envelope.Envelope{}, err
	}
	if old.Revision != base {
		return envelope.Envelope{}, &ConflictError{Base: base, Current: old}
	}
	if err := e.archive(ctx, old); err != nil {
		return envelope.Envelope{}, err
	}
	next := envelope.Envelope{Revision: old.Revision + 1, Author: e.Author, Action: action, Time: now.UTC(), Text: text}
	return next, e.write(ctx, next, storeRevision)
}

// ApplyKeepingKeys is like Apply, but if the text has no key sections, it keeps
// those of the current document.
func (e *Environment) ApplyKeepingKeys(ctx context.Context, now time.Time, text, action string, base int64) (envelope.Envelope, error) {
	if len(sections(text, "key")) > 0 {
		return e.Apply(ctx, now, text, action, base)
	}
	current, err := e.Read(ctx)
	if err != nil {
		return envelope.Envelope{}, err
	}
	return e.Apply(ctx, now, withSections(text, sections(current.Text, "key"), "key"), action, base)
}

// archive copies the current document to the history before it is replaced.
func (e *Environment) archive(ctx context.Context, old envelope.Envelope) error {
	if old.Revision == 0 {
		return nil
	}
	data, err := old.Encode()
	if err != nil {
		return err
	}
	archiveKey := historyKey(e.Name, old.Revision)
	_, err = e.Store.Put(ctx, archiveKey, data, 0)
	switch store.KindOf(err) {
	case store.Conflict:
		return nil // archived by an earlier attempt
	case store.Unknown:
		if v, readErr := e.Store.Get(ctx, archiveKey); readErr == nil && v.Revision > 0 {
			return nil
		}
	}
	return err
}

// write stores next as the environment's document if the store's revision of the
// document is storeRevision.
func (e *Environment) write(ctx context.Context, next envelope.Envelope, storeRevision int64) error {
	data, err := next.Encode()
	if err != nil {
		return err
	}
	_, err = e.Store.Put(ctx, DocumentKey(e.Name), data, storeRevision)
	switch store.KindOf(err) {
	case store.Unknown, store.Conflict:
		// The conflict can be with an earlier attempt of this write that took
		// effect.
		return e.readBack(ctx, next, storeRevision, err)
	}
	return err
}

// readBack reads the document to determine whether a write took effect after its
// response was lost or the store reported a conflict.
func (e *Environment) readBack(ctx context.Context, next envelope.Envelope, storeRevision int64, cause error) error {
	var lastErr error
	for range readBackAttempts {
		found, revision, err := e.read(ctx)
		switch {
		case err != nil:
			lastErr = err
		case found.Equal(next):
			return nil
		case revision != storeRevision:
			return &ConflictError{Base: next.Revision - 1, Current: found}
		default:
			lastErr = cause
		}
		e.sleep(ctx)
	}
	return &UnknownOutcomeError{Revision: next.Revision, Err: lastErr}
}

func (e *Environment) sleep(ctx context.Context) {
	if e.Sleep != nil {
		e.Sleep(ctx, readBackInterval)
		return
	}
	select {
	case <-ctx.Done():
	case <-time.After(readBackInterval):
	}
}

// History returns the stored revisions, including the current one, newest first.
func (e *Environment) History(ctx context.Context) ([]envelope.Envelope, error) {
	values, err := e.Store.List(ctx, storePrefix+e.Name+"/history/")
	if err != nil {
		return nil, err
	}
	byRevision := make(map[int64]envelope.Envelope)
	for _, v := range values {
		entry, err := envelope.Decode(v.Data)
		if err != nil {
			return nil, err
		}
		byRevision[entry.Revision] = entry
	}
	current, err := e.Read(ctx)
	if err != nil {
		return nil, err
	}
	if current.Revision > 0 {
		byRevision[current.Revision] = current
	}
	revisions := slices.Collect(maps.Values(byRevision))
	slices.SortFunc(revisions, func(a, b envelope.Envelope) int { return int(b.Revision - a.Revision) })
	return revisions, nil
}

// Rollback replaces the document with the text of an earlier revision, as a new
// revision. The keys remain those of the current document, so that withdrawn
// keys stay withdrawn.
func (e *Environment) Rollback(ctx context.Context, now time.Time, to int64) (envelope.Envelope, error) {
	history, err := e.History(ctx)
	if err != nil {
		return envelope.Envelope{}, err
	}
	i := slices.IndexFunc(history, func(entry envelope.Envelope) bool { return entry.Revision == to })
	if i < 0 {
		return envelope.Envelope{}, fmt.Errorf("revision %d is not kept in the history", to)
	}
	current := history[0]
	text := withSections(history[i].Text, sections(current.Text, "key"), "key")
	return e.Apply(ctx, now, text, fmt.Sprintf("rollback to %d", to), current.Revision)
}

// Promote replaces the environment's document with that of the environment named
// from. The environment, target and key sections remain those of this environment.
// If it has no document yet, it takes over all sections, with its own name.
func (e *Environment) Promote(ctx context.Context, now time.Time, from string) (envelope.Envelope, error) {
	source := Environment{Store: e.Store, Name: from}
	promoted, err := source.Read(ctx)
	if err != nil {
		return envelope.Envelope{}, err
	}
	if promoted.Revision == 0 {
		return envelope.Envelope{}, fmt.Errorf("environment %q has no document", from)
	}
	current, err := e.Read(ctx)
	if err != nil {
		return envelope.Envelope{}, err
	}
	text := promoted.Text
	for _, kind := range []string{"environment", "key", "target"} {
		if kept := sections(current.Text, kind); current.Revision > 0 {
			text = withSections(text, kept, kind)
		}
	}
	if current.Revision == 0 {
		text = strings.Replace(text, "name = "+from, "name = "+e.Name, 1)
	}
	return e.Apply(ctx, now, text, fmt.Sprintf("promote %s revision %d", from, promoted.Revision), current.Revision)
}

// IssueKey adds a new key for the customer and returns it with its secret. If the
// error is non-nil, the key is not known to be valid.
func (e *Environment) IssueKey(ctx context.Context, now time.Time, customer string) (key.Key, string, error) {
	k, secret := key.Issue(customer)
	section := fmt.Sprintf("\n[key %s]\ncustomer = %s\nhash = %s\n", k.ID(), customer, k.Hash())
	err := e.edit(ctx, now, "issue key "+k.ID(), func(text string) (string, error) {
		return strings.TrimRight(text, "\n") + "\n" + section, nil
	})
	return k, secret, err
}

// WithdrawKey removes the key with the given identifier. It returns an error if
// there is no such key.
func (e *Environment) WithdrawKey(ctx context.Context, now time.Time, id string) error {
	return e.edit(ctx, now, "withdraw key "+id, func(text string) (string, error) {
		found := false
		kept := slices.DeleteFunc(split(text), func(s string) bool {
			matches := heading(s) == "key "+id
			found = found || matches
			return matches
		})
		if !found {
			return "", fmt.Errorf("no key %q", id)
		}
		return strings.Join(kept, ""), nil
	})
}

// edit applies change to the text of the current document. After a conflict with
// a concurrent change it starts again from the new current document.
func (e *Environment) edit(ctx context.Context, now time.Time, action string, change func(string) (string, error)) error {
	var lastErr error
	for range editAttempts {
		current, err := e.Read(ctx)
		if err != nil {
			return err
		}
		text, err := change(current.Text)
		if err != nil {
			return err
		}
		_, err = e.Apply(ctx, now, text, action, current.Revision)
		var conflict *ConflictError
		if !errors.As(err, &conflict) {
			return err
		}
		lastErr = err
	}
	return lastErr
}

var headingLine = regexp.MustCompile(`(?m)^[ \t]*\[`)

// split divides a text into sections, each of which starts with its heading. A
// text before the first heading is a section of its own.
func split(text string) []string {
	var parts []string
	start := 0
	for _, location := range headingLine.FindAllStringIndex(text, -1) {
		if location[0] > start {
			parts = append(parts, text[start:location[0]])
		}
		start = location[0]
	}
	return append(parts, text[start:])
}

// heading returns the heading of a section from split, without its brackets and
// with single spaces, or "" if it has none.
func heading(section string) string {
	first, _, _ := strings.Cut(strings.TrimSpace(section), "\n")
	first = strings.TrimSpace(first)
	if !strings.HasPrefix(first, "[") {
		return ""
	}
	return strings.Join(strings.Fields(strings.Trim(first, "[]")), " ")
}

// hasKind reports whether a section's heading starts with the kind.
func hasKind(section, kind string) bool {
	first, _, _ := strings.Cut(heading(section), " ")
	return first == kind
}

// sections returns the sections of a kind, each followed by an empty line.
func sections(text, kind string) []string {
	var found []string
	for _, section := range split(text) {
		if hasKind(section, kind) {
			found = append(found, strings.TrimRight(section, "\n")+"\n\n")
		}
	}
	return found
}

// withSections returns the text without its sections of a kind and with the
// replacements at its end.
func withSections(text string, replacements []string, kind string) string {
	remaining := slices.DeleteFunc(split(text), func(section string) bool { return hasKind(section, kind) })
	body := strings.TrimRight(strings.Join(remaining, ""), "\n")
	return body + "\n\n" + strings.Join(replacements, "")
}
