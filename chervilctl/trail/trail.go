// Package trail finds in the logs of instances what was decided on a request,
// and what each instance believed when it decided.
package trail

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

	"chervilyard.example/chervilyard/journal"
)

const (
	// maxLine bounds a log line in bytes; longer ones are not decisions.
	maxLine = 1 << 20
	// targetNews is how long before a decision news of its targets is told:
	// the longest that one is left out after failures.
	targetNews = 5 * time.Second
)

// Step is one decision with the log that it stands in.
type Step struct {
	Log string
	journal.Decision
}

// Trail holds the decisions of some logs. The zero value holds none. It is used
// by one goroutine at a time.
type Trail struct {
	steps  []Step
	others int
}

// Fault is a log that could not be read to its end.
type Fault struct {
	Log  string
	Line int
	Err  error
}

// Error returns the log, the line and the cause.
func (f *Fault) Error() string { return fmt.Sprintf("trail: %s:%d: %v", f.Log, f.Line, f.Err) }

// Unwrap returns the cause.
func (f *Fault) Unwrap() error { return f.Err }

// line is a decision as the instances' logger writes it.
type line struct {
	At time.Time `json:"@timestamp"`
	journal.Decision
}

// Read adds a log: a JSON object a line, after whatever a collector put before
// it, whose last word names the log where there is one. Lines that are no
// decisions are counted and left out. The error is a *Fault.
func (t *Trail) Read(log string, r io.Reader) error {
	in := bufio.NewScanner(r)
	in.Buffer(nil, maxLine)
	n := 0
	for in.Scan() {
		n++
		before, _, _ := bytes.Cut(in.Bytes(), []byte("{"))
		var one line
		if err := json.Unmarshal(in.Bytes()[len(before):], &one); err != nil || one.Kind == "" {
			t.others++
			continue
		}
		one.Time = one.At
		name := log
		if words := strings.Fields(string(before)); len(words) > 0 {
			name = words[len(words)-1]
		}
		t.steps = append(t.steps, Step{Log: name, Decision: one.Decision})
	}
	if err := in.Err(); err != nil {
		return &Fault{Log: log, Line: n + 1, Err: err}
	}
	slices.SortStableFunc(t.steps, func(a, b Step) int { return a.Time.Compare(b.Time) })
	return nil
}

// Others returns how many lines were no decisions.
func (t *Trail) Others() int { return t.others }

// Request returns the decisions on a request, and before each what its instance
// had last noted of its configuration, of the store and the other instances, and
// of the targets that it names, in the order of time.
func (t *Trail) Request(id string) []Step {
	told := make(map[int]bool)
	for i, s := range t.steps {
		if s.Request == id {
			told[i] = true
			t.beliefs(i, told)
		}
	}
	order := make([]int, 0, len(told))
	for i := range told {
		order = append(order, i)
	}
	slices.SortFunc(order, cmp.Compare[int])
	list := make([]Step, 0, len(order))
	for _, i := range order {
		list = append(list, t.steps[i])
	}
	return list
}

// beliefs adds what the instance noted before a decision: the last of each kind
// and dependency, and all of late about the decision's targets.
func (t *Trail) beliefs(at int, told map[int]bool) {
	decision := t.steps[at]
	seen := make(map[string]bool)
	for i := at - 1; i >= 0; i-- {
		s := t.steps[i]
		if s.Log != decision.Log || s.Request != "" {
			continue
		}
		switch s.Kind {
		case "target":
			name, _, _ := strings.Cut(s.Reason, " ")
			name = strings.TrimSuffix(name, ":")
			if decision.Time.Sub(s.Time) <= targetNews && (name == decision.Target || strings.Contains(decision.Reason, name)) {
				told[i] = true
			}
		case "instance", "configuration", "centre", "settings":
			if !seen[s.Kind] {
				seen[s.Kind], told[i] = true, true
			}
		case "dependency":
			key := s.Kind + s.Target + s.Reason
			if !seen[key] && s.Choice == "lost" { // what was regained is no cause
				told[i] = true
			}
			seen[key] = true
		}
	}
}
