package gateway_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"chervilyard.example/chervilyard/pool"
)

// uploadSize in bytes is more than a connection of an early target holds.
const uploadSize = 900 << 10

// newEarlyTarget returns a target that answers each request before it has read the body, and then
// calls end and closes the connection.
func newEarlyTarget(t *testing.T, response string, end func(c *net.TCPConn, body io.Reader)) *rawTarget {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	early := &rawTarget{listener: l, responses: []string{response}, onEarly: end}
	go early.accept()
	return early
}

// dialWithShortBuffer connects so that a long request body is not held by the kernel.
func dialWithShortBuffer(ctx context.Context, address string) (net.Conn, error) {
	c, err := pool.Dial(ctx, address)
	if err == nil {
		err = c.(*net.TCPConn).SetWriteBuffer(4 << 10)
	}
	return c, err
}

func resetEarly(c *net.TCPConn, body io.Reader) {
	_, _ = io.CopyN(io.Discard, body, 16<<10)
	reset(c)
}

func readEarly(_ *net.TCPConn, body io.Reader) { _, _ = io.Copy(io.Discard, body) }

func upload(path string) string {
	text := strings.Replace(getRequest("/"+path+"/x", "Content-Length: "+itoa(uploadSize)+"\r\n"), "GET", "POST", 1)
	return text + strings.Repeat("x", uploadSize)
}

// TestEarlyResponses guards against a part of a response that reaches the caller as a complete one
// when its target resets the connection during the upload, and against early responses that are
// complete and do not reach the caller.
func TestEarlyResponses(t *testing.T) {
	const rounds = 10 // whether the write or the read finds the reset first differs
	const head = "HTTP/1.1 200 OK\r\nId: 1\r\nStamp: e\r\n"
	for _, c := range []struct {
		name, response string
		end            func(c *net.TCPConn, body io.Reader)
		want           string // "" if the response is broken
	}{
		{"close_reset", head + "\r\npart", resetEarly, ""},
		{"stream_reset", head + "Content-Type: text/event-stream\r\n\r\nid: a\ndata: a\n\n", resetEarly, ""},
		{"length_reset", head + "Content-Length: 5\r\n\r\nearly", resetEarly, "early"},
		{"close_read", head + "\r\nearly", readEarly, "early"},
		{"stream_read", head + "Content-Type: text/event-stream\r\n\r\n" + events("a"), readEarly, events("a")},
	} {
		for _, path := range []string{"read", "order", "stream", "resume"} {
			for _, hop := range []bool{false, true} {
				t.Run(c.name+"_"+path+map[bool]string{true: "_hop"}[hop], func(t *testing.T) {
					t.Parallel()
					for range rounds {
						testEarlyResponse(t, newEarlyTarget(t, c.response, c.end), path, hop, c.want)
					}
				})
			}
		}
	}
}

func testEarlyResponse(t *testing.T, early *rawTarget, path string, hop bool, want string) {
	t.Helper()
	serving := newTestInstance(t, "near", nil)
	serving.gateway.Pool.Dial = dialWithShortBuffer
	records := recordAttempts(t, serving)
	useRawTargets(serving, early, newRawTarget(t, false, soundResponse))
	instance := serving
	if hop {
		instance = newTestInstance(t, "far", nil, serving)
	}
	status, body, _ := roundTrip(t, instance, upload(path))
	broken, _ := records()
	wantBroken := int64(0)
	if want == "" {
		wantBroken = 1
	}
	if broken != wantBroken {
		t.Errorf("%d broken attempts recorded, want %d", broken, wantBroken)
	}
	switch {
	case want != "" && (status != http.StatusOK || body != want):
		t.Errorf("got %d %q, want %q", status, body, want)
	case want != "":
	case path == "read" && !hop:
		if status != http.StatusOK || body != "sound" {
			t.Errorf("got %d %q, want the response of the other target", status, body)
		}
	case path == "read" || path == "order":
		if status != http.StatusBadGateway {
			t.Errorf("got %d %q, want a refusal with 502", status, body)
		}
	case status == http.StatusOK && body != "sound" && !strings.HasSuffix(body, "cut"):
		t.Errorf("the part %q looks complete", body)
	}
}
