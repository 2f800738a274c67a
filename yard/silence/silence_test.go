package silence_test

import (
	"testing"
	"time"

	"chervilyard.example/yard/scripttest"
	"chervilyard.example/yard/silence"
)

// TestScripts runs the scripts in testdata. Their steps are
//
//	sent A                  a request is sent to A; check refers to the last one
//	received A              bytes of A arrive
//	unreached A             a new connection to A cannot be made
//	probe A 100ms 500ms     a probe of A starts, at a round trip, and gets a time limit, or none
//	answered A, missed A    the probe is answered or not
//	check A 300ms ok        bytes of A are expected within 300ms: the hop is ok, to be probed, or silent
//	unheard A 2s 500ms yes  the heartbeats of A are missing, from their age and the usual one
//	avoids A 1s yes         A, last heard at that time of the script, gets no new requests
//	cutoff 1s yes           all members are silent, and any was last heard at that time
func TestScripts(t *testing.T) {
	scripttest.Run(t, func(t *testing.T, steps []scripttest.Step) {
		var m silence.Monitor
		sent, unheard := make(map[string]time.Time), make(map[string]bool)
		start := steps[0].At // every script has a step at 0s
		for _, s := range steps {
			name := s.Words[1]
			var got string
			switch s.Words[0] {
			case "sent":
				sent[name] = s.At
				continue
			case "received":
				m.Received(s.At, name)
				continue
			case "unreached":
				m.Unreached(s.At, name)
				continue
			case "answered", "missed":
				m.EndProbe(s.At, name, s.Words[0] == "answered", false)
				continue
			case "probe":
				got = "none"
				if limit, ok := m.StartProbe(s.At, name, s.Duration(t, 2)); ok {
					got = limit.String()
				}
			case "check":
				got = "ok"
				silent, probe, next := m.Check(s.At, sent[name], name, s.Duration(t, 2), unheard[name])
				switch {
				case silent:
					got = "silent"
				case probe:
					got = "probe"
				}
				if !silent && next <= 0 {
					t.Errorf("line %d: the next check is due after %v", s.Line, next)
				}
			case "unheard":
				unheard[name] = silence.HeartbeatsMissing(s.Duration(t, 2), s.Duration(t, 3))
				got = yes(unheard[name])
			case "avoids":
				got = yes(m.Avoids(s.At, name, start.Add(s.Duration(t, 2))))
			case "cutoff":
				got = yes(m.CutOff(s.At, start.Add(s.Duration(t, 1))))
			default:
				t.Fatalf("line %d: %q is not a step", s.Line, s.Words[0])
			}
			if want := s.Words[len(s.Words)-1]; got != want {
				t.Errorf("line %d: %v: got %s", s.Line, s.Words, got)
			}
		}
	})
}

func yes(b bool) string {
	if b {
		return "yes"
	}
	return "no"
}
