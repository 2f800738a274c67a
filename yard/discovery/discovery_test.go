package discovery_test

import (
	"strings"
	"testing"

	"chervilyard.example/yard/discovery"
	"chervilyard.example/yard/membership"
	"chervilyard.example/yard/scripttest"
)

// TestScripts runs the scripts in testdata. Their steps are
//
//	member NAME CENTRE [leaving|starting|isolated]
//	pick CENTRE [REGION=SHARE]... -> [NAME]...
//
// where the first sets the state of an instance, and the second checks which
// instances a caller in the data centre gets, as in "pick east-a west=0.2 -> w1".
func TestScripts(t *testing.T) {
	regionOf := func(centre string) string { return centre[:strings.IndexByte(centre, '-')] }
	scripttest.Run(t, func(t *testing.T, steps []scripttest.Step) {
		members := make(map[string]membership.Member)
		var order []string
		for _, s := range steps {
			switch s.Words[0] {
			case "member":
				if _, ok := members[s.Words[1]]; !ok {
					order = append(order, s.Words[1])
				}
				m := membership.Member{Name: s.Words[1], Centre: s.Words[2], Region: regionOf(s.Words[2]), Ready: true}
				if len(s.Words) > 3 && s.Words[3] == "isolated" {
					m.Isolated = true
				} else if len(s.Words) > 3 {
					m.Leaving, m.Ready = s.Words[3] == "leaving", s.Words[3] == "leaving"
				}
				members[m.Name] = m
			case "pick":
				share := make(map[string]float64)
				next := 2
				for ; s.Words[next] != "->"; next++ {
					name, value, _ := strings.Cut(s.Words[next], "=")
					step := scripttest.Step{Line: s.Line, Words: []string{value}}
					share[name] = step.Number(t, 0)
				}
				var list []membership.Member
				for _, name := range order {
					list = append(list, members[name])
				}
				var got []string
				for _, m := range discovery.Pick(list, discovery.Caller{Region: regionOf(s.Words[1]), Centre: s.Words[1]}, func(r string) float64 { return share[r] }) {
					got = append(got, m.Name)
				}
				if want := s.Words[next+1:]; strings.Join(got, " ") != strings.Join(want, " ") {
					t.Errorf("line %d: picked %v, want %v", s.Line, got, want)
				}
			}
		}
	})
}
