// Package form reads an INI text section by section, and collects every fault
// with its line in place of stopping at the first.
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

// Form is one parsed INI text. Reading a value marks its key as known; Close
// reports the keys and sections that nothing read. It is not safe for
// concurrent use.
type Form struct {
	name     string
	sections []*Section
	faults   fault.List
	known    []string
}

// Section is one section of a Form. Its heading "[kind label]" splits at the
// first space. A nil-safe empty section stands for one that the text leaves out.
type Section struct {
	form   *Form
	kind   string
	label  string
	title  string
	line   int
	values map[string]string
	lines  map[string]int
	known  []string
	used   bool
}

// Parse reads text, which errors call name. Syntax faults are kept for Close.
func Parse(name, text string) *Form {
	f := &Form{name: name}
	places := index(f, text)
	opts := ini.LoadOptions{
		IgnoreInlineComment:     true,
		SkipUnrecognizableLines: true,
		KeyValueDelimiters:      "=",
	}
	file, err := ini.LoadSources(opts, []byte(text))
	if err != nil {
		f.add(fault.Fault{Reason: err.Error()})
		return f
	}
	for _, raw := range file.Sections() {
		if raw.Name() == ini.DefaultSection {
			continue
		}
		s := f.section(raw.Name())
		s.line = places[place{raw.Name(), ""}]
		for _, k := range raw.Keys() {
			s.values[k.Name()] = strings.TrimSpace(k.Value())
			s.lines[k.Name()] = places[place{raw.Name(), k.Name()}]
		}
		f.sections = append(f.sections, s)
	}
	return f
}

// Section returns the only section of the kind. A text without it yields an
// empty one, so that every key takes its default.
func (f *Form) Section(kind string) *Section {
	f.known = append(f.known, kind)
	for _, s := range f.sections {
		if s.kind == kind && s.label == "" {
			s.used = true
			return s
		}
	}
	return f.section(kind)
}

// Sections returns the labelled sections of the kind in the order of the text.
func (f *Form) Sections(kind string) []*Section {
	f.known = append(f.known, kind)
	var found []*Section
	for _, s := range f.sections {
		if s.kind != kind {
			continue
		}
		s.used = true
		if s.label == "" {
			s.Fault("", "the section needs a name: ["+kind+" NAME]")
			continue
		}
		found = append(found, s)
	}
	return found
}

// Close returns every fault found, or nil. The dynamic type is fault.List.
func (f *Form) Close() error {
	for _, s := range f.sections {
		if !s.used {
			s.Fault("", "unknown section"+nearest(s.kind, f.known))
			continue
		}
		for k := range s.values {
			if !slices.Contains(s.known, k) {
				s.Fault(k, "unknown key"+nearest(k, s.known))
			}
		}
	}
	if len(f.faults) == 0 {
		return nil
	}
	slices.SortStableFunc(f.faults, func(a, b fault.Fault) int { return a.Line - b.Line })
	return f.faults
}

func (f *Form) section(title string) *Section {
	kind, label, _ := strings.Cut(title, " ")
	return &Section{
		form:   f,
		kind:   kind,
		label:  strings.TrimSpace(label),
		title:  title,
		values: make(map[string]string),
		lines:  make(map[string]int),
	}
}

func (f *Form) add(one fault.Fault) {
	one.File = f.name
	f.faults = append(f.faults, one)
}

// Label returns the name after the kind in the heading.
func (s *Section) Label() string { return s.label }

// Fault records a fault of the key, or of the section as a whole when key is empty.
func (s *Section) Fault(key, reason string) {
	line := s.line
	if at, ok := s.lines[key]; ok {
		line = at
	}
	s.form.add(fault.Fault{Line: line, Section: s.title, Key: key, Reason: reason})
}

// Text returns the value, or def where the key is absent.
func (s *Section) Text(key, def string) string {
	s.known = append(s.known, key)
	v, ok := s.values[key]
	if !ok {
		return def
	}
	return v
}

// Need returns the value and records a fault where it is absent or empty.
func (s *Section) Need(key string) string {
	v := s.Text(key, "")
	if v == "" {
		s.Fault(key, "a value is needed")
	}
	return v
}

// Choice returns the value, which has to be one of the options; the first is
// the default.
func (s *Section) Choice(key string, options ...string) string {
	v := s.Text(key, options[0])
	if !slices.Contains(options, v) {
		s.Fault(key, fmt.Sprintf("%q is none of %s", v, strings.Join(options, ", ")))
		return options[0]
	}
	return v
}

// Bool returns a yes-or-no value.
func (s *Section) Bool(key string, def bool) bool {
	v := s.Text(key, strconv.FormatBool(def))
	switch strings.ToLower(v) {
	case "yes", "true", "on":
		return true
	case "no", "false", "off":
		return false
	}
	s.Fault(key, fmt.Sprintf("%q is neither yes nor no", v))
	return def
}

// Number returns a finite number from low to high.
func (s *Section) Number(key string, def, low, high float64) float64 {
	v := s.Text(key, "")
	if v == "" {
		return def
	}
	n, err := strconv.ParseFloat(v, 64)
	if err != nil || math.IsNaN(n) || math.IsInf(n, 0) {
		s.Fault(key, fmt.Sprintf("%q is not a number", v))
		return def
	}
	if n < low || n > high {
		s.Fault(key, fmt.Sprintf("%v is outside %v to %v", n, low, high))
		return def
	}
	return n
}

// Int returns a whole number from low to high.
func (s *Section) Int(key string, def, low, high int) int {
	n := s.Number(key, float64(def), float64(low), float64(high))
	if n != math.Trunc(n) {
		s.Fault(key, fmt.Sprintf("%v is not a whole number", n))
		return def
	}
	return int(n)
}

// Duration returns a time such as "30s" or "4h", from low to high.
func (s *Section) Duration(key string, def, low, high time.Duration) time.Duration {
	v := s.Text(key, "")
	if v == "" {
		return def
	}
	d, err := time.ParseDuration(v)
	if err != nil {
		s.Fault(key, fmt.Sprintf("%q is not a time such as 30s or 4h", v))
		return def
	}
	if d < low || d > high {
		s.Fault(key, fmt.Sprintf("%v is outside %v to %v", d, low, high))
		return def
	}
	return d
}

// List returns the comma-separated names of the value.
func (s *Section) List(key string) []string {
	var names []string
	for _, part := range strings.Split(s.Text(key, ""), ",") {
		if part = strings.TrimSpace(part); part != "" {
			names = append(names, part)
		}
	}
	return names
}

// Address returns a value of the form IP:PORT.
func (s *Section) Address(key, def string) string {
	v := s.Text(key, def)
	if v == "" {
		return ""
	}
	host, port, err := net.SplitHostPort(v)
	if err != nil || net.ParseIP(host) == nil {
		s.Fault(key, fmt.Sprintf("%q is not an IP number and port such as 127.0.0.1:8080", v))
		return def
	}
	if n, err := strconv.Atoi(port); err != nil || n < 0 || n > math.MaxUint16 {
		s.Fault(key, fmt.Sprintf("%q is not a port", port))
		return def
	}
	return v
}

type place struct{ section, key string }

// index finds the line of each heading and key, which the INI library does not
// give, and records what repeats and what is neither.
func index(f *Form, text string) map[place]int {
	found := make(map[place]int)
	section := ""
	for i, line := range strings.Split(text, "\n") {
		at := i + 1
		line = strings.TrimSpace(line)
		if line == "" || line[0] == '#' || line[0] == ';' {
			continue
		}
		spot := place{section: section}
		switch key, _, assigned := strings.Cut(line, "="); {
		case line[0] == '[':
			section = strings.TrimSpace(strings.Trim(line, "[]"))
			spot = place{section: section}
		case assigned:
			spot.key = strings.TrimSpace(key)
			if section == "" {
				f.add(fault.Fault{Line: at, Key: spot.key, Reason: "the key stands before any section"})
			}
		default:
			f.add(fault.Fault{Line: at, Section: section, Reason: fmt.Sprintf("%q is neither a section nor a key = value", line)})
			continue
		}
		if first, ok := found[spot]; ok {
			f.add(fault.Fault{Line: at, Section: section, Key: spot.key, Reason: fmt.Sprintf("stands twice; first in line %d", first)})
			continue
		}
		found[spot] = at
	}
	return found
}

// nearest returns "; did you mean NAME?" for the known name within two edits.
func nearest(name string, known []string) string {
	best, distance := "", 3
	for _, k := range known {
		if d := edits(name, k); d < distance {
			best, distance = k, d
		}
	}
	if best == "" {
		return ""
	}
	return "; did you mean " + best + "?"
}

// edits returns the Levenshtein distance of a and b.
func edits(a, b string) int {
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
