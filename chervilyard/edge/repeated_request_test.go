package edge_test

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"chervilyard.example/chervilyard/edge"
)

// send sends a request of customer c to an instance, and returns the status, 0 if there was
// none or the body was not whole.
func send(e *edge.Edge, id, method, requestTarget string, body []byte) int {
	req, err := http.NewRequest(method, "http://"+e.Settings().CallerAddr+requestTarget, bytes.NewReader(body))
	if err != nil {
		return 0
	}
	req.Host = "h.example"
	req.Header = http.Header{"Key": {"k"}, "Tokens": {"10"}, "Id": {id}}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	if _, err = io.Copy(io.Discard, resp.Body); err != nil {
		return 0
	}
	return resp.StatusCode
}

// repeatedRequest is a deadly request and the sound ones beside it.
type repeatedRequest struct {
	name, method string
	target       string
	body         []byte
	soundTarget  func(n int) string
	soundBody    func(n int) []byte
	proxied      bool // the targets are behind proxies that accept connections while they are down
}

var repeatedRequests = []repeatedRequest{
	{"GET of a path of its own", http.MethodGet, "/deadly", nil, func(int) string { return "/sound" }, func(int) []byte { return nil }, false},
	{"targets-behind-proxies", http.MethodGet, "/deadly", nil, func(int) string { return "/sound" }, func(int) []byte { return nil }, true},
	{"GET with one query of many", http.MethodGet, "/x?n=deadly", nil, func(n int) string { return fmt.Sprint("/x?n=", n) }, func(int) []byte { return nil }, false},
	{"POST with one body of many", http.MethodPost, "/x", []byte("deadly"), func(int) string { return "/x" }, func(n int) []byte { return fmt.Appendf(nil, "%06d", n) }, false},
	{"POST with a body whose last bytes differ", http.MethodPost, "/x", longBody("deadly"), func(int) string { return "/x" }, func(n int) []byte { return longBody(fmt.Sprintf("%06d", n)) }, false},
}

// longBody returns a body of 300 kB that ends with the text.
func longBody(end string) []byte {
	return append(bytes.Repeat([]byte("a"), 300_000-len(end)), end...)
}

// Guards against a request that ends target after target because it counts as a new one each
// time it comes again, and against sound requests of its customer that are no longer served.
func TestRepeatedCrashingRequestIsContained(t *testing.T) {
	for _, r := range repeatedRequests {
		t.Run(r.name, func(t *testing.T) {
			t.Parallel()
			testRepeatedRequest(t, r)
		})
	}
}

func testRepeatedRequest(t *testing.T, repeated repeatedRequest) {
	const (
		soundInterval  = 80 * time.Millisecond
		deadlyInterval = 250 * time.Millisecond
		lateAllowed    = 3
		soundFraction  = 0.95 // of the rate before
	)
	f := newFleet(t)
	f.store.put("configuration/document", document{Version: 1, Rate: 1e6, Keys: []string{"k"}})
	c := crashes{deadly: func(r *http.Request, body []byte) bool {
		return strings.HasSuffix(r.RequestURI, "deadly") || bytes.HasSuffix(body, []byte("deadly"))
	}}
	for i := range 5 {
		f.addCrashingTargetBehind(repeated.proxied, fmt.Sprint("e", i), "east-a", &c, -1)
	}
	for i := range 3 {
		f.addCrashingTargetBehind(repeated.proxied, fmt.Sprint("w", i), "west-a", &c, -1)
	}
	var edges []*edge.Edge
	for n := range 3 {
		edges = append(edges, f.start("east", n), f.start("west", n))
	}
	f.waitReady()
	for _, e := range edges {
		eventually(t, 5*time.Second, "a request is served", func() bool {
			return send(e, "warm", repeated.method, repeated.soundTarget(0), repeated.soundBody(0)) == http.StatusOK
		})
	}
	var sent, served [2]atomic.Int64 // before the first deadly request, and late after it
	var period atomic.Int64
	stop := make(chan struct{})
	var running sync.WaitGroup
	every := func(interval time.Duration, f func(i int)) {
		running.Go(func() {
			for i := 0; ; i++ {
				select {
				case <-stop:
					return
				case <-time.After(interval):
					f(i)
				}
			}
		})
	}
	for n, e := range edges {
		every(soundInterval, func(i int) {
			p := period.Load()
			status := send(e, fmt.Sprintf("s%d-%d", n, i), repeated.method, repeated.soundTarget(10*i+n), repeated.soundBody(10*i+n))
			if p >= 0 && p == period.Load() {
				sent[p].Add(1)
				if status == http.StatusOK {
					served[p].Add(1)
				}
			}
		})
	}
	time.Sleep(2 * time.Second)
	period.Store(-1)
	var answers [1000]atomic.Int64 // to deadly requests, by status
	for n, e := range edges {
		every(deadlyInterval, func(i int) {
			answers[send(e, fmt.Sprintf("d%d-%d", n, i), repeated.method, repeated.target, repeated.body)].Add(1)
		})
	}
	time.Sleep(2 * stableTime)
	period.Store(1)
	time.Sleep(3 * time.Second)
	period.Store(-1)
	close(stop)
	running.Wait()
	ended, late := c.counts(3)
	t.Logf("%d targets ended; %d deadly requests arrived later than %v after the third end; sound requests served: %d of %d before, %d of %d late; answers to the deadly one: 502 %d, 503 %d, 422 %d",
		ended, late, stableTime, served[0].Load(), sent[0].Load(), served[1].Load(), sent[1].Load(), answers[502].Load(), answers[503].Load(), answers[422].Load())
	if ended < 3 {
		t.Errorf("%d targets ended, the test needs 3", ended)
	}
	if late > lateAllowed {
		t.Errorf("%d deadly requests arrived later than %v after the third end, at most %d", late, stableTime, lateAllowed)
	}
	before := float64(served[0].Load()) / float64(sent[0].Load())
	after := float64(served[1].Load()) / float64(sent[1].Load())
	if sent[1].Load() < 20 || after < soundFraction*before {
		t.Errorf("sound requests are served at a rate of %.2f, before %.2f", after, before)
	}
}

// Guards against a fleet that lost power at once and counts the ends under a request anew.
func TestRepeatedRequestAfterPowerLoss(t *testing.T) {
	t.Parallel()
	const (
		interval    = 100 * time.Millisecond
		lateAllowed = 3
	)
	f := newFleet(t)
	f.store.put("configuration/document", document{Version: 1, Rate: 1e6, Keys: []string{"k"}})
	c := crashes{deadly: func(r *http.Request, _ []byte) bool { return r.URL.Path == "/deadly" }}
	for i := range 5 {
		f.addCrashingTarget(fmt.Sprint("e", i), "east-a", &c, -1)
	}
	start := func(first int) []*edge.Edge {
		f.seeds, f.edges = nil, make(map[string]*edge.Edge)
		edges := []*edge.Edge{f.start("east", first), f.start("east", first+1), f.start("west", first)}
		f.waitReady()
		return edges
	}
	repeat := func(edges []*edge.Edge, d time.Duration) {
		var running sync.WaitGroup
		for _, e := range edges {
			running.Go(func() {
				for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(interval) {
					send(e, "deadly", http.MethodGet, "/deadly", nil)
				}
			})
		}
		running.Wait()
	}
	first := start(0)
	repeat(first, stableTime+time.Second)
	for _, e := range first {
		e.Kill()
	}
	second := start(10)
	repeat(second, 4*time.Second)
	ended, late := c.counts(3)
	t.Logf("%d targets ended; %d requests arrived later than %v after the third end", ended, late, stableTime)
	if ended < 3 || late > lateAllowed {
		t.Errorf("%d requests arrived later than %v after the third of %d ends, at most %d", late, stableTime, ended, lateAllowed)
	}
	if status := send(second[0], "sound", http.MethodGet, "/sound", nil); status != http.StatusOK {
		t.Errorf("a sound request got %d", status)
	}
}
