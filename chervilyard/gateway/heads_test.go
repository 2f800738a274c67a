package gateway_test

import (
	"bufio"
	"context"
	"io"
	"maps"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"chervilyard.example/chervilyard/decisionlog"
	"chervilyard.example/chervilyard/gateway"
	"chervilyard.example/yard/target"
)

const soundResponse = "HTTP/1.1 200 OK\r\nId: 1\r\nStamp: e\r\nContent-Length: 5\r\n\r\nsound"

// headCase is a line of testdata/heads.txt.
type headCase struct {
	name, response string
	sound          bool
}

func headCases(t *testing.T) []headCase {
	t.Helper()
	text, err := os.ReadFile(filepath.Join("testdata", "heads.txt"))
	if err != nil {
		t.Fatal(err)
	}
	var cases []headCase
	for line := range strings.Lines(string(text)) {
		fields := strings.SplitN(strings.TrimSpace(line), "|", 3)
		if strings.HasPrefix(line, "#") || len(fields) != 3 {
			continue
		}
		response, err := strconv.Unquote(`"` + strings.TrimLeft(fields[2], " ") + `"`)
		if err != nil {
			t.Fatalf("%q: %v", line, err)
		}
		cases = append(cases, headCase{
			name: strings.TrimSpace(fields[0]), sound: strings.TrimSpace(fields[1]) == "sound",
			response: strings.ReplaceAll(response, "{own}", "Id: 1\r\nStamp: e\r\n"),
		})
	}
	return cases
}

// TestHeads guards against responses with a broken head that reach the caller, and against sound
// ones that do not: on each kind of route, on new connections and on kept ones, directly and over
// a hop. A broken response is retried where the route allows it, and otherwise the caller gets a
// 502. It is the failure of its target, and is logged once, with its cause.
func TestHeads(t *testing.T) {
	for _, c := range headCases(t) {
		for _, path := range []string{"read", "order", "stream", "resume"} {
			for _, way := range []string{"new", "kept", "hop"} {
				if way == "kept" && path == "order" {
					continue // it is not sent on kept connections
				}
				t.Run(c.name+"_"+path+"_"+way, func(t *testing.T) {
					t.Parallel()
					testHead(t, c, path, way)
				})
			}
		}
	}
}

func testHead(t *testing.T, c headCase, path, way string) {
	t.Helper()
	first := newRawTarget(t, false, c.response)
	if way == "kept" {
		first = newRawTarget(t, false, soundResponse, c.response)
	}
	serving := newTestInstance(t, "near", nil)
	useRawTargets(serving, first)
	records := recordAttempts(t, serving)
	instance := serving
	if way == "hop" {
		instance = newTestInstance(t, "far", nil, serving)
	}
	if way == "kept" {
		if status, body, _ := roundTrip(t, instance, request(path)); status != http.StatusOK || body != "sound" {
			t.Fatalf("before it: %d %q", status, body)
		}
	}
	// A sound response comes from the only target, so that none with an error status is retried.
	// Over a hop, the instance that forwarded the request decides on retries.
	retried := !c.sound && way != "hop" && (path == "read" || path == "resume")
	if retried {
		useRawTargets(serving, first, newRawTarget(t, false, soundResponse))
	}
	status, body, header := roundTrip(t, instance, request(path))
	broken, reasons := records()
	switch {
	case c.sound:
		checkUnchanged(t, c.response, status, body, header)
		if broken > 0 {
			t.Errorf("%d broken attempts", broken)
		}
		return
	case retried && (status != http.StatusOK || body != "sound"):
		t.Errorf("got %d %q, want the response of the other target", status, body)
	case !retried && (status != http.StatusBadGateway || !strings.HasPrefix(body, "{")):
		t.Errorf("got %d %q, want a refusal with 502", status, body)
	}
	if broken != 1 {
		t.Errorf("%d broken attempts recorded, want 1", broken)
	}
	reasons = slices.DeleteFunc(reasons, func(reason string) bool { return !strings.Contains(reason, "pool: read") })
	if len(reasons) != 1 || !strings.Contains(reasons[0], "malformed") {
		t.Errorf("reasons of the decisions: %q, want the cause once", reasons)
	}
}

// TestRandomHeads guards against a handler that panics on what a target sends. It changes bytes
// of the responses of testdata/heads.txt at random.
func TestRandomHeads(t *testing.T) {
	const (
		rounds       = 20
		replacements = "\x00\t\r\n 0019:;-Z\xff"
	)
	random := rand.New(rand.NewPCG(61, 0))
	for _, c := range headCases(t) {
		for range rounds {
			response := []byte(c.response)
			for range 1 + random.IntN(3) {
				response[random.IntN(len(response))] = replacements[random.IntN(len(replacements))]
			}
			serving := newTestInstance(t, "near", nil)
			useRawTargets(serving, newRawTarget(t, false, string(response)))
			serve(t, serving.gateway, string(response))
		}
	}
}

// serve lets the gateway handle a request, and reports a panic other than that with which a
// handler cuts the connection.
func serve(t *testing.T, g *gateway.Gateway, response string) {
	t.Helper()
	defer func() {
		if v := recover(); v != nil && v != http.ErrAbortHandler { //nolint:errorlint // net/http also compares this value by identity
			t.Errorf("panic on %q: %v", response, v)
		}
	}()
	r, err := http.ReadRequest(bufio.NewReader(strings.NewReader(request("read"))))
	if err != nil {
		t.Fatal(err)
	}
	g.ServeHTTP(httptest.NewRecorder(), r)
}

// checkUnchanged compares what the caller got with the last response in the text.
func checkUnchanged(t *testing.T, text string, status int, body string, header http.Header) {
	t.Helper()
	in := bufio.NewReader(strings.NewReader(text))
	for {
		sent, err := http.ReadResponse(in, nil)
		if err != nil {
			t.Fatal(err)
		}
		if sent.StatusCode < 200 {
			continue
		}
		want, err := io.ReadAll(sent.Body)
		if err != nil {
			t.Fatal(err)
		}
		_ = sent.Body.Close()
		if status != sent.StatusCode || body != string(want) {
			t.Errorf("got %d %q, want %d %q", status, body, sent.StatusCode, want)
		}
		sent.Header = gateway.EndToEndHeader(sent.Header)
		header = gateway.EndToEndHeader(header)
		if !maps.EqualFunc(sent.Header, header, slices.Equal) {
			t.Errorf("got the fields %v, want %v", header, sent.Header)
		}
		return
	}
}

// recordAttempts returns a function that ends the decision log of the instance and returns how
// many attempts it counted as broken, and the reasons of its decisions.
func recordAttempts(t *testing.T, n *testInstance) (records func() (broken int64, reasons []string)) {
	t.Helper()
	var count atomic.Int64
	n.gateway.Metrics.AttemptBroken = func(string, string) { count.Add(1) }
	log := decisionlog.NewWithHistory(hclog.NewNullLogger(), 16)
	n.gateway.Decisions = log
	ctx, cancel := context.WithCancel(t.Context())
	stopped := log.Run(ctx)
	return func() (int64, []string) {
		cancel()
		<-stopped
		var reasons []string
		for _, d := range log.History("1") {
			reasons = append(reasons, d.Reason)
		}
		return count.Load(), reasons
	}
}

// useRawTargets makes the raw targets those of the instance, in this order.
func useRawTargets(n *testInstance, raws ...*rawTarget) {
	var list []target.Target
	for i, raw := range raws {
		list = append(list, target.New("e"+itoa(i), "c", raw.listener.Addr().String(), []string{"s"}, 8, 1, false))
	}
	n.gateway.Targets = func(time.Time, string) []target.Target { return list }
}
