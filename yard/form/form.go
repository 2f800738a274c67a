// Package form parses INI texts and reads typed values from their sections. It
// collects all faults, each with its line, rather than stopping at the first.
package form

import (
	"fmt"
	"math"
	"net"
	"slices"
	"strconv"
	"strings"
	"time"

	"gopkg.in/ini.v1"

	"chervilyard.example/yard/fault"
)

// Form is a parsed INI text. Reading a section or a value marks its kind or key
// as known; Err reports the sections and keys that were never read. A Form is
// not safe for concurrent use.
type Form struct {
	name       string // identifies the text in faults
	sections   []*Section
	faults     fault.List
	knownKinds []string // kinds passed to Section and Sections
}

// Section is one section of a Form, with a heading of the form "[kind]" or
// "[kind label]". A section that is absent from the text has no values.
type Section struct {
	form      *Form
	kind      string
	label     string            // empty in "[kind]"
	heading   string            // kind and label, without the brackets
	line      int               // line of the heading, from 1; 0 if the section is absent
	values    map[string]string // by key
	lines     map[string]int    // line numbers by key
	knownKeys []string          // keys that were read
	read      bool              // whether Section or Sections has returned it
}

// Parse parses text. The name identifies it in faults. Syntax faults are
// reported by Err.
func Parse(name, text string) *Form {
	f := &Form{name: name}
	lineNumbers := indexLines(f, text)
	opts := ini.LoadOptions{
		IgnoreInlineComment:     true,
		SkipUnrecognizableLines: true,
		KeyValueDelimiters:      "=",
	}
	file, err := ini.LoadSources(opts, []byte(text))
	if err != nil {
		f.addFault(fault.Fault{Reason: err.Error()})
		return f
	}
	for _, raw := range file.Sections() {
		if raw.Name() == ini.DefaultSection {
			continue
		}
		s := f.newSection(raw.Name())
		s.line = lineNumbers[location{raw.Name(), ""}]
		for _, k := range raw.Keys() {
			s.values[k.Name()] = strings.TrimSpace(k.Value())
			s.lines[k.Name()] = lineNumbers[location{raw.Name(), k.Name()}]
		}
		f.sections = append(f.sections, s)
	}
	return f
}

// Section returns the section of a kind that has no label. If the text has none,
// it returns a section without values, so that each key takes its default.
func (f *Form) Section(kind string) *Section {
	f.knownKinds = append(f.knownKinds, kind)
	for _, s := range f.sections {
		if s.kind == kind && s.label == "" {
			s.read = true
			return s
		}
	}
	return f.newSection(kind)
}

// Sections returns the labelled sections of a kind in the order of the text. It
// records a fault for a section of the kind without a label.
func (f *Form) Sections(kind string) []*Section {
	f.knownKinds = append(f.knownKinds, kind)
	var found []*Section
	for _, s := range f.sections {
		if s.kind != kind {
			continue
		}
		s.read = true
		if s.label == "" {
			s.AddFault("", "the section needs a name: ["+kind+" NAME]")
			continue
		}
		found = append(found, s)
	}
	return found
}

// Err records a fault for each section and key that was never read, and returns
// all faults in the order of their lines as a fault.List, or nil if there are none.
func (f *Form) Err() error {
	for _, s := range f.sections {
		if !s.read {
			s.AddFault("", "unknown section"+suggestion(s.kind, f.knownKinds))
			continue
		}
		for k := range s.values {
			if !slices.Contains(s.knownKeys, k) {
				s.AddFault(k, "unknown key"+suggestion(k, s.knownKeys))
			}
		}
	}
	if len(f.faults) == 0 {
		return nil
	}
	slices.SortStableFunc(f.faults, func(a, b fault.Fault) int { return a.Line - b.Line })
	return f.faults
}

// newSection returns a section without values. It splits the heading at its first
// space into kind and label.
func (f *Form) newSection(heading string) *Section {
	kind, label, _ := strings.Cut(heading, " ")
	return &Section{
		form:    f,
		kind:    kind,
		label:   strings.TrimSpace(label),
		heading: heading,
		values:  make(map[string]string),
		lines:   make(map[string]int),
	}
}

// addFault records a fault and sets its File to the name of the text.
func (f *Form) addFault(added fault.Fault) {
	added.File = f.name
	f.faults = append(f.faults, added)
}

// Label returns the part of the heading after the kind, or "".
func (s *Section) Label() string { return s.label }

// AddFault records a fault at the line of the key, or at the heading of the section
// if the key is empty or absent.
func (s *Section) AddFault(key, reason string) {
	line := s.line
	if keyLine, ok := s.lines[key]; ok {
		line = keyLine
	}
	s.form.addFault(fault.Fault{Line: line, Section: s.heading, Key: key, Reason: reason})
}

// Text returns the value of key, or def if the key is absent.
func (s *Section) Text(key, def string) string {
	s.knownKeys = append(s.knownKeys, key)
	v, ok := s.values[key]
	if !ok {
		return def
	}
	return v
}

// Need returns the value of key. It records a fault if the key is absent or its
// value is empty.
func (s *Section) Need(key string) string {
	v := s.Text(key, "")
	if v == "" {
		s.AddFault(key, "a value is needed")
	}
	return v
}

// Choice returns the value of key, which must be one of the options, or the first
// option if the key is absent. For any other value it records a fault and returns
// the first option. It panics if there are no options.
func (s *Section) Choice(key string, options ...string) string {
	v := s.Text(key, options[0])
	if !slices.Contains(options, v) {
		s.AddFault(key, fmt.Sprintf("%q is none of %s", v, strings.Join(options, ", ")))
		return options[0]
	}
	return v
}

// Bool returns true if the value of key is yes, true or on, and false if it is no,
// false or off, regardless of case. It returns def if the key is absent. For any
// other value it records a fault and returns def.
func (s *Section) Bool(key string, def bool) bool {
	v := s.Text(key, strconv.FormatBool(def))
	switch strings.ToLower(v) {
	case "yes", "true", "on":
		return true
	case "no", "false", "off":
		return false
	}
	s.AddFault(key, fmt.Sprintf("%q is neither yes nor no", v))
	return def
}

// Number returns the value of key as a finite number from low to high, inclusive.
// It returns def if the key is absent or its value is empty. For any other value it
// records a fault and returns def.
func (s *Section) Number(key string, def, low, high float64) float64 {
	v := s.Text(key, "")
	if v == "" {
		return def
	}
	n, err := strconv.ParseFloat(v, 64)
	if err != nil || math.IsNaN(n) || math.IsInf(n, 0) {
		s.AddFault(key, fmt.Sprintf("%q is not a number", v))
		return def
	}
	if n < low || n > high {
		s.AddFault(key, fmt.Sprintf("%v is outside %v to %v", n, low, high))
		return def
	}
	return n
}

// Int is like Number, but the value must be an integer.
func (s *Section) Int(key string, def, low, high int) int {
	n := s.Number(key, float64(def), float64(low), float64(high))
	if n != math.Trunc(n) {
		s.AddFault(key, fmt.Sprintf("%v is not a whole number", n))
		return def
	}
	return int(n)
}

// Duration is like Number, but the value must be a duration such as "30s" or "4h".
func (s *Section) Duration(key string, def, low, high time.Duration) time.Duration {
	v := s.Text(key, "")
	if v == "" {
		return def
	}
	d, err := time.ParseDuration(v)
	if err != nil {
		s.AddFault(key, fmt.Sprintf("%q is not a time such as 30s or 4h", v))
		return def
	}
	if d < low || d > high {
		s.AddFault(key, fmt.Sprintf("%v is outside %v to %v", d, low, high))
		return def
	}
	return d
}

// List returns the elements of the comma-separated value of key. It removes spaces
// around elements and leaves out empty ones.
func (s *Section) List(key string) []string {
	var names []string
	for _, element := range strings.Split(s.Text(key, ""), ",") {
		if element = strings.TrimSpace(element); element != "" {
			names = append(names, element)
		}
	}
	return names
}

// Address returns the value of key, which must be empty or an address of the form
// IP:PORT, or def if the key is absent. For any other value it records a fault and
// returns def.
func (s *Section) Address(key, def string) string {
	v := s.Text(key, def)
	if v == "" {
		return ""
	}
	host, port, err := net.SplitHostPort(v)
	if err != nil || net.ParseIP(host) == nil {
		s.AddFault(key, fmt.Sprintf("%q is not an IP number and port such as 127.0.0.1:8080", v))
		return def
	}
	if n, err := strconv.Atoi(port); err != nil || n < 0 || n > math.MaxUint16 {
		s.AddFault(key, fmt.Sprintf("%q is not a port", port))
		return def
	}
	return v
}

// location identifies a key of a section, or the heading if key is empty.
type location struct{ section, key string }

// indexLines returns the line number of each heading and key, which the INI
// library does not provide. It records a fault for each repeated heading or key,
// for each key before the first heading, and for each line that is not a heading,
// a key, a comment or empty.
func indexLines(f *Form, text string) map[location]int {
	lineNumbers := make(map[location]int)
	section := ""
	for i, line := range strings.Split(text, "\n") {
		lineNumber := i + 1
		line = strings.TrimSpace(line)
		if line == "" || line[0] == '#' || line[0] == ';' {
			continue
		}
		loc := location{section: section}
		switch key, _, assigned := strings.Cut(line, "="); {
		case line[0] == '[':
			section = strings.TrimSpace(strings.Trim(line, "[]"))
			loc = location{section: section}
		case assigned:
			loc.key = strings.TrimSpace(key)
			if section == "" {
				f.addFault(fault.Fault{Line: lineNumber, Key: loc.key, Reason: "the key stands before any section"})
			}
		default:
			f.addFault(fault.Fault{Line: lineNumber, Section: section, Reason: fmt.Sprintf("%q is neither a section nor a key = value", line)})
			continue
		}
		if first, ok := lineNumbers[loc]; ok {
			f.addFault(fault.Fault{Line: lineNumber, Section: section, Key: loc.key, Reason: fmt.Sprintf("stands twice; first in line %d", first)})
			continue
		}
		lineNumbers[loc] = lineNumber
	}
	return lineNumbers
}

// suggestion returns "; did you mean NAME?" for the known name closest to name, or
// "" if none is within an edit distance of 2.
func suggestion(name string, known []string) string {
	best, distance := "", 3
	for _, k := range known {
		if d := editDistance(name, k); d < distance {
			best, distance = k, d
		}
	}
	if best == "" {
		return ""
	}
	return "; did you mean " + best + "?"
}

// editDistance returns the Levenshtein distance of a and b in bytes.
func editDistance(a, b string) int {
	row := make([]int, len(b)+1)
	for j := range row {
		row[j] = j
	}
	for i := 1; i <= len(a); i++ {
		diagonal := row[0]
		row[0] = i
		for j := 1; j <= len(b); j++ {
			cost := 1
			if a[i-1] == b[j-1] {
				cost = 0
			}
			next := min(row[j]+1, row[j-1]+1, diagonal+cost)
			diagonal, row[j] = row[j], next
		}
	}
	return row[len(b)]
}
