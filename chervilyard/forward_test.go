package main

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"os"
	"strings"
	"sync"
	"testing"
	"time"
)

// Guards against bodies and responses of forwarded calls that together need more memory than
// the instance has that forwards them, or the one that receives them over gRPC.
func TestCrowdOverForward(t *testing.T) {
	storeURL := startData(t)
	limits := fmt.Sprintf("memory = %d\nbody = %d\n", crowdMemory, crowdBody)
	receiver, _ := startProcess(t, storeURL, "c", limits)
	sender, callers := startProcess(t, storeURL, "d", limits) // without targets
	all := []string{callers}
	for range 2 { // one alone may hold fewer bodies than the receiver
		_, other := startProcess(t, storeURL, "d", limits)
		all = append(all, other)
	}
	for _, tc := range []struct {
		name, path, body string
		callers          int
		to               []string
		reads            bool
	}{
		{"bodies", "/s/orders/slow", strings.Repeat("x", crowdBody), crowdCallers, all, true},
		{"unread", "/s/orders/long", "", 200, all[:1], false},
		{"buffered", "/v1/chat/completions", `{"model":"chat","messages":[{"role":"user","content":"x"}]}`, crowdCallers, all[:1], true},
		{"buffered_unread", "/v1/chat/completions", `{"model":"chat","messages":[{"role":"user","content":"x"}]}`, crowdCallers, all[:1], false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			var clients sync.WaitGroup
			var conns []net.Conn
			for n := range tc.callers {
				c, err := net.Dial("tcp", tc.to[n%len(tc.to)])
				if err != nil {
					t.Fatal(err)
				}
				conns = append(conns, c)
				clients.Go(func() {
					_, _ = fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer secret\r\nContent-Length: %d\r\n\r\n%s", tc.path, len(tc.body), tc.body)
					if tc.reads {
						_, _ = io.Copy(io.Discard, c) // closing the connection is allowed
						return
					}
					_, _ = c.Read(make([]byte, 1)) // the rest stays unread
				})
			}
			time.Sleep(2 * crowdTime)
			awaitAnswer(t, callers, nil) // while the connections are open
			for _, c := range conns {
				_ = c.Close()
			}
			clients.Wait()
			if got, want := awaitAnswer(t, callers, bytes.Repeat([]byte("x"), crowdBody)), fmt.Sprint("read ", crowdBody); got != want {
				t.Errorf("a body of legal size was answered with %q, want %q", got, want)
			}
			for name, pid := range map[string]int{"sender": sender, "receiver": receiver} {
				peak := peakMemory(t, pid)
				t.Logf("%s: peak %.1f MiB", name, float64(peak)/(1<<20))
				if peak >= crowdMemory {
					t.Errorf("%s used %.1f MiB of %d MiB", name, float64(peak)/(1<<20), crowdMemory>>20)
				}
				_ = os.WriteFile(fmt.Sprintf("/proc/%d/clear_refs", pid), []byte("5"), 0) // as in TestCrowdOfBodies
			}
		})
	}
}
