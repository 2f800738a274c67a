// Package fault describes errors in configuration texts and their positions.
package fault

import (
	"fmt"
	"strings"
)

// Fault is one error in an INI text. A zero Line, Section or Key means that the
// fault has none, and is left out of the message.
type Fault struct {
	File    string // name of the text as the operator gave it
	Line    int    // from 1; 0 if the fault has no line, such as a missing key
	Section string
	Key     string
	Reason  string // what is wrong
}

// Error returns the fault on one line, in the form
// "file:line: [section] key: reason".
func (f Fault) Error() string {
	var b strings.Builder
	b.WriteString(f.File)
	if f.Line > 0 {
		fmt.Fprintf(&b, ":%d", f.Line)
	}
	if f.Section != "" {
		fmt.Fprintf(&b, ": [%s]", f.Section)
	}
	if f.Key != "" {
		fmt.Fprintf(&b, " %s", f.Key)
	}
	b.WriteString(": ")
	b.WriteString(f.Reason)
	return b.String()
}

// List holds all faults of one text in the order of their lines. Functions that
// find no fault must return nil, since an empty List is a non-nil error.
type List []Fault

// Error returns the messages of all faults, one per line.
func (l List) Error() string {
	lines := make([]string, len(l))
	for i, f := range l {
		lines[i] = f.Error()
	}
	return strings.Join(lines, "\n")
}
