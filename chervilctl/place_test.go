package main

import (
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"chervilyard.example/chervilctl/placetext"
	"chervilyard.example/chervilyard/placereport"
	"chervilyard.example/yard/refusal"
)

// Guards against failures of the command that scripts take for answers, and against options that
// do not reach the instance.
func TestPlaceCommand(t *testing.T) {
	saved := filepath.Join(t.TempDir(), "request")
	if err := os.WriteFile(saved, []byte("GET /x HTTP/1.1\nHost: h\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	var got string
	s := httptest.NewServer(placereport.Handler(func(q placereport.Query) (placereport.Report, error) {
		r, err := q.Request()
		if err != nil {
			return placereport.Report{}, err
		}
		if r.Host == "other" {
			return placereport.Report{}, refusal.NotRun(http.StatusNotFound, "route_unknown", "no route")
		}
		got = fmt.Sprint(r.Method, r.Host, r.RequestURI, q.Customer, q.Parts)
		if q.PromptTokens != nil {
			got += fmt.Sprint(*q.PromptTokens)
		}
		return placereport.Report{Target: "t"}, nil
	}))
	defer s.Close()
	instance := s.Listener.Addr().String()
	closed, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	_ = closed.Close() // the port refuses connections
	defer func(args []string) { os.Args = args }(os.Args)
	for _, c := range []struct {
		args string
		exit int
		got  string
	}{
		{"--instance " + instance + " --request " + saved + " --method POST --prompt-tokens 5", 0, "POSTh/x[]5"},
		{"--instance " + instance + " --host h --path /y --customer c --part a:80 --part b:c:2 --json", 0, "GETh/yc[{a 80} {b:c 2}]"},
		{"--instance " + instance + " --host other", 1, ""},
		{"--instance " + instance + " --host h --path y", 1, ""},
		{"--instance " + instance + " --part a", 1, ""},
		{"--instance " + closed.Addr().String(), 1, ""},
		{"--instance nowhere", 1, ""},
	} {
		got = ""
		global = options{}
		os.Args = append([]string{"chervilctl", "place"}, strings.Fields(c.args)...)
		if exit := run(); exit != c.exit || got != c.got {
			t.Errorf("%s: exit status %d, asked %q", c.args, exit, got)
		}
	}
}

// Guards against a text without what the decision relies on.
func TestPlaceText(t *testing.T) {
	ms := func(n int) placereport.Milliseconds {
		return placereport.Milliseconds(time.Duration(n) * time.Millisecond)
	}
	var b strings.Builder
	err := placetext.Write(&b, placereport.Report{
		Refusal: &placereport.Refusal{Status: 503, Code: "overloaded", Message: "late", RetryAfter: ms(250)}, Notes: []string{"a note"}, LatencyAge: -1,
		Candidates: []placereport.Candidate{{Target: "e-1", Wait: ms(900), Cold: true, ColdLeft: ms(1200), ColdLimit: 2, Barred: "cold", LoadAge: placereport.Age(ms(80)), SampleAge: -1}},
		Remotes:    []placereport.Remote{{Region: "west", Instance: "w-1", Wait: ms(700), Barred: "silent", ReportAge: placereport.Age(ms(300))}},
		Quota:      &placereport.Quota{Needed: 40, Level: 30, Capacity: 100, PerSecond: 5},
	})
	for _, want := range []string{"503 overloaded", "Retry-After 250ms", "a note", "needs 40", "latency of the service -", "900ms", "cold for 1.2s", "80ms", "barred: silent", "300ms"} {
		if err != nil || !strings.Contains(b.String(), want) {
			t.Errorf("no %q in %v\n%s", want, err, b.String())
		}
	}
}
