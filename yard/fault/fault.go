// Package fault names one mistake in a text that an operator wrote, and where it stands.
package fault

import (
	"fmt"
	"strings"
)

// Fault is one mistake in an INI text. The zero value names no place.
type Fault struct {
	File    string // name of the text, as the operator knows it
	Line    int    // counted from 1; 0 where the fault has no line, such as a missing key
	Section string
	Key     string
	Reason  string
}

// Error returns the fault as one line: file, line, section, key and reason.
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

// List is every fault of one text, in the order of its lines. It is an error
// when it holds at least one.
type List []Fault

// Error returns all faults, one a line.
func (l List) Error() string {
	lines := make([]string, len(l))
	for i, f := range l {
		lines[i] = f.Error()
	}
	return strings.Join(lines, "\n")
}
