// Package trace extracts from the logs of instances the decisions on a request,
// together with the state that each instance had logged before them.
package trace

import (
	"bufio"
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"chervilyard.example/chervilyard/decisionlog"
)

const (
	// maxLineBytes is the maximum length of a log line; no decision is longer. A
	// longer line ends the reading of the log with an error.
	maxLineBytes = 1 << 20
	// Entries about the targets of a decision are included if they precede it by at
	// most targetLookback, the longest time for which a target is ejected after
	// failures.
	targetLookback = 5 * time.Second
)

// Entry is one decision and the name of the log that contains it.
type Entry struct {
	Log string
	decisionlog.Decision
}

// Logs is a collection of the decisions of several logs. The zero value is empty
// and ready to use. It is not safe for concurrent use.
type Logs struct {
	entries      []Entry // in chronological order
	skippedLines int     // number of lines that are not decisions
}

// ReadError is the error of a log that could not be read completely.
type ReadError struct {
	Log  string
	Line int // first line that was not read, from 1
	Err  error
}

// Error returns the name of the log, the line and the cause.
func (e *ReadError) Error() string { return fmt.Sprintf("trace: %s:%d: %v", e.Log, e.Line, e.Err) }

// Unwrap returns Err.
func (e *ReadError) Unwrap() error { return e.Err }

// logLine is a decision as an instance's logger encodes it.
type logLine struct {
	At time.Time `json:"@timestamp"`
	decisionlog.Decision
}

// Read adds the decisions of a log, which has one JSON object per line. A log
// collector may have put a prefix before the object. The last word of the prefix,
// if there is one, names the log of the line in place of log. Lines that are not
// decisions are skipped and counted. A non-nil error is a *ReadError; l then
// includes the decisions before the line of the error, but is not sorted.
func (l *Logs) Read(log string, r io.Reader) error {
	in := bufio.NewScanner(r)
	in.Buffer(nil, maxLineBytes)
	lineNumber := 0
	for in.Scan() {
		lineNumber++
		prefix, _, _ := bytes.Cut(in.Bytes(), []byte("{"))
		var line logLine
		if err := json.Unmarshal(in.Bytes()[len(prefix):], &line); err != nil || line.Kind == "" {
			l.skippedLines++
			continue
		}
		line.Time = line.At
		name := log
		if words := strings.Fields(string(prefix)); len(words) > 0 {
			name = words[len(words)-1]
		}
		l.entries = append(l.entries, Entry{Log: name, Decision: line.Decision})
	}
	if err := in.Err(); err != nil {
		return &ReadError{Log: log, Line: lineNumber + 1, Err: err}
	}
	slices.SortStableFunc(l.entries, func(a, b Entry) int { return a.Time.Compare(b.Time) })
	return nil
}

// Entries returns all decisions in chronological order. The caller must not change them.
func (l *Logs) Entries() []Entry { return l.entries }

// SkippedLines returns the number of lines that are not decisions, in all logs.
func (l *Logs) SkippedLines() int { return l.skippedLines }

// ForRequest returns the decisions on the request with the given identifier, in
// chronological order. It includes the earlier entries of the same logs that
// describe the state of the instance at each decision: its configuration, the
// dependencies that it had lost, such as the store or another instance, and the
// targets that the decision names.
func (l *Logs) ForRequest(id string) []Entry {
	included := make(map[int]bool)
	for i, e := range l.entries {
		if e.RequestID == id {
			included[i] = true
			l.addContext(i, included)
		}
	}
	indexes := make([]int, 0, len(included))
	for i := range included {
		indexes = append(indexes, i)
	}
	slices.SortFunc(indexes, cmp.Compare[int])
	selected := make([]Entry, 0, len(indexes))
	for _, i := range indexes {
		selected = append(selected, l.entries[i])
	}
	return selected
}

// addContext marks the entries that describe the state of the instance at the
// decision with the given index: the last entry of each kind about the instance
// itself, the last entry of each dependency if it reports the loss, and all entries
// about the decision's targets that are not older than targetLookback.
func (l *Logs) addContext(index int, included map[int]bool) {
	decision := l.entries[index]
	seen := make(map[string]bool)
	for i := index - 1; i >= 0; i-- {
		e := l.entries[i]
		if e.Log != decision.Log || e.RequestID != "" {
			continue
		}
		switch e.Kind {
		case "target":
			name, _, _ := strings.Cut(e.Reason, " ")
			name = strings.TrimSuffix(name, ":")
			if decision.Time.Sub(e.Time) <= targetLookback && (name == decision.Target || strings.Contains(decision.Reason, name)) {
				included[i] = true
			}
		case "instance", "configuration", "centre", "settings":
			if !seen[e.Kind] {
				seen[e.Kind], included[i] = true, true
			}
		case "dependency":
			name, _, _ := strings.Cut(e.Reason, ":") // the cause of a loss follows
			key := e.Kind + e.Target + name
			if !seen[key] && e.Choice == "lost" { // a dependency that was regained is not a cause
				included[i] = true
			}
			seen[key] = true
		}
	}
}
