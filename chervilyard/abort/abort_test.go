package abort_test

import (
	"bufio"
	"crypto/tls"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"chervilyard.example/chervilyard/abort"
	"chervilyard.example/chervilyard/handover"
)

// Guards against an aborted response that looks complete to a caller of HTTP/1.0, for
// which the end of the connection ends the body.
func TestAbortedResponseHTTP10(t *testing.T) {
	aborted := abort.Handler(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, "half")
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}))
	for name, start := range map[string]func(*httptest.Server){
		"plain": (*httptest.Server).Start,
		"tracked": func(s *httptest.Server) {
			var tracker handover.Tracker
			s.Listener, s.Config.ConnState = tracker.Listener(s.Listener), tracker.ConnState
			s.Start()
		},
		"TLS": (*httptest.Server).StartTLS,
	} {
		for _, proto := range []string{"HTTP/1.0", "HTTP/1.1"} {
			s := httptest.NewUnstartedServer(aborted)
			start(s)
			body, err := get(t, s, proto)
			s.Close()
			if err == nil {
				t.Errorf("%s, %s: the caller gets a complete body %q", name, proto, body)
			}
		}
	}
}

// A response that is not aborted is complete for a caller of HTTP/1.0.
func TestWholeResponseHTTP10(t *testing.T) {
	s := httptest.NewServer(abort.Handler(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, "whole")
		_ = http.NewResponseController(w).Flush()
	})))
	defer s.Close()
	if body, err := get(t, s, "HTTP/1.0"); body != "whole" || err != nil {
		t.Errorf("%q, %v", body, err)
	}
}

// get sends a request of the HTTP version and returns the body of the response.
func get(t *testing.T, s *httptest.Server, proto string) (string, error) {
	t.Helper()
	c, err := net.Dial("tcp", s.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	if s.TLS != nil {
		c = tls.Client(c, s.Client().Transport.(*http.Transport).TLSClientConfig)
	}
	_ = c.SetDeadline(time.Now().Add(5 * time.Second))
	_, _ = io.WriteString(c, "GET / "+proto+"\r\nHost: example.com\r\n\r\n")
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return "", err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return string(body), err
}
