package edge_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"chervilyard.example/chervilyard/edge"
)

// The whole fleet loses power twice while one customer sends several times its rate.
// Requests must be served soon after each restart, and all runs together must not admit
// more than a fleet that never stopped. Guards against token buckets that start full.
func TestWholeFleetLosesPower(t *testing.T) {
	t.Parallel()
	const (
		rate           = 6000.0 // tokens per second, and the burst in tokens
		tokens         = 300
		window         = 2 * time.Second
		maxUnavailable = 1500 * time.Millisecond // from the start until requests are served
	)
	f := newFleet(t)
	f.store.put("configuration/document", document{Version: 1, Rate: rate, Keys: []string{"k"}})
	f.addTarget("a", "east-a", respondWith("a"))
	f.addTarget("b", "west-a", respondWith("b"))
	var mu sync.Mutex
	type interval struct{ from, to time.Time } // the request was admitted within it
	var admitted []interval
	for run := range 3 {
		var list []*edge.Edge
		for n := range 2 {
			list = append(list, f.start("east", n), f.start("west", n))
		}
		started := time.Now()
		firstServed := make(chan time.Duration, 1)
		var clients sync.WaitGroup
		for _, e := range list {
			clients.Go(func() {
				for time.Since(started) < maxUnavailable+window {
					sent := time.Now()
					status, _ := call(e, "k", tokens)
					if status != http.StatusOK {
						time.Sleep(5 * time.Millisecond)
						continue
					}
					mu.Lock()
					admitted = append(admitted, interval{sent, time.Now()})
					mu.Unlock()
					select {
					case firstServed <- time.Since(started):
					default:
					}
				}
			})
		}
		clients.Wait()
		select {
		case delay := <-firstServed:
			if delay > maxUnavailable {
				t.Errorf("run %d: the first request was served after %v", run, delay)
			}
		default:
			t.Fatalf("run %d: no request was served", run)
		}
		for _, e := range list {
			e.Kill()
		}
	}
	for _, windowFirst := range admitted {
		n := 0
		for _, request := range admitted {
			if !request.from.Before(windowFirst.from) && request.to.Sub(windowFirst.from) < window {
				n++
			}
		}
		// Each of the four buckets may be overdrawn by one request.
		if maxTokens := rate*window.Seconds() + rate + 4*tokens; float64(n*tokens) > maxTokens {
			t.Fatalf("%d tokens within %v, at most %v", n*tokens, window, maxTokens)
		}
	}
}

// A caller connects just before the instance stops listening and sends its request just
// after. Guards against closing such a connection without an answer.
func TestStopServesNewConnections(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.store.put("configuration/document", document{Version: 1, Rate: 1e6, Keys: []string{"k"}})
	f.addTarget("a", "east-a", respondWith("a"))
	e := f.start("east", 0)
	f.waitReady()
	eventually(t, 3*time.Second, "requests are served", func() bool { s, _ := call(e, "k", 1); return s == http.StatusOK })
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		e.Stop()
	}()
	var last net.Conn
	for { // until the instance stops listening
		c, err := net.Dial("tcp", e.Settings().CallerAddr)
		if err != nil {
			break
		}
		if last != nil {
			_ = last.Close()
		}
		last = c
		time.Sleep(20 * time.Millisecond)
	}
	defer last.Close()
	_, _ = io.WriteString(last, "GET /x HTTP/1.1\r\nHost: h.example\r\nKey: k\r\nTokens: 1\r\n\r\n")
	resp, err := http.ReadResponse(bufio.NewReader(last), nil)
	if err != nil {
		t.Fatalf("the request on the last connection got no answer: %v", err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK || !resp.Close {
		t.Errorf("status %d, close %v", resp.StatusCode, resp.Close)
	}
	<-stopped
}
