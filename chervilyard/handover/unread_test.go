package handover_test

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"chervilyard.example/chervilyard/handover"
)

// Guards against a caller that reads a long response slowly, within one write, and counts as
// one that takes nothing, and against one that takes nothing and does not count.
func TestUnreadSince(t *testing.T) {
	const size = 16 << 20 // more than the kernel buffers
	unread := make(chan func(time.Time) (time.Time, bool), 1)
	var tracker handover.Tracker
	s := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		unread <- handover.UnreadSince(r.Context())
		_, _ = w.Write(make([]byte, size)) // the test closes the connection before its end
	}))
	s.Listener, s.Config.ConnContext = tracker.Listener(s.Listener), tracker.ConnContext
	s.Start()
	defer s.Close()
	c, err := net.Dial("tcp", s.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	_, _ = io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n") // an error shows below
	since := <-unread
	// settled waits until nothing has been taken for a while, and returns since when.
	settled := func() time.Time {
		for deadline := time.Now().Add(10 * time.Second); time.Now().Before(deadline); time.Sleep(10 * time.Millisecond) {
			if at, ok := since(time.Now()); ok && time.Since(at) > 200*time.Millisecond {
				return at
			}
		}
		t.Fatal("a caller that takes nothing does not count as such")
		return time.Time{}
	}
	first := settled()
	if _, err := io.CopyN(io.Discard, c, size/2); err != nil {
		t.Fatal(err)
	}
	if again := settled(); !again.After(first) {
		t.Error("a caller that reads counts as one that takes nothing")
	}
}
