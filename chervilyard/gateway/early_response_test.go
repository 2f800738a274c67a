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

// earlyConn is a connection that does not hold a long request body, and that tells when the first
// bytes of the response have been read. A target that resets it after that cannot discard them.
type earlyConn struct {
	net.Conn
	received chan struct{} // gets a value after the first read; has room for it
	read     bool
}

func (c *earlyConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if !c.read {
		c.read = true
		c.received <- struct{}{}
	}
	return n, err
}

// dialEarly connects to the target at early with an earlyConn, and to others as usual.
func dialEarly(early string, received chan struct{}) func(ctx context.Context, address string) (net.Conn, error) {
	return func(ctx context.Context, address string) (net.Conn, error) {
		c, err := pool.Dial(ctx, address)
		if err != nil || address != early {
			return c, err
		}
		return &earlyConn{Conn: c, received: received}, c.(*net.TCPConn).SetWriteBuffer(4 << 10)
	}
}

func resetUnread(c *net.TCPConn, _ io.Reader) { reset(c) }

func readUpload(_ *net.TCPConn, body io.Reader) { _, _ = io.Copy(io.Discard, body) }

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
		end            func(c *net.TCPConn, body io.Reader) // once the response has arrived
		want           string                               // "" if the response is broken
	}{
		{"close_reset", head + "\r\npart", resetUnread, ""},
		{"stream_reset", head + "Content-Type: text/event-stream\r\n\r\nid: a\ndata: a\n\n", resetUnread, ""},
		{"length_reset", head + "Content-Length: 5\r\n\r\nearly", resetUnread, "early"},
		{"close_read", head + "\r\nearly", readUpload, "early"},
		{"stream_read", head + "Content-Type: text/event-stream\r\n\r\n" + events("a"), readUpload, events("a")},
	} {
		for _, path := range []string{"read", "order", "stream", "resume"} {
			for _, hop := range []bool{false, true} {
				t.Run(c.name+"_"+path+map[bool]string{true: "_hop"}[hop], func(t *testing.T) {
					t.Parallel()
					for range rounds {
						received := make(chan struct{}, 1)
						early := &rawTarget{responses: []string{c.response}, onEarly: func(conn *net.TCPConn, body io.Reader) {
							<-received
							c.end(conn, body)
						}}
						testEarlyResponse(t, early.start(t), received, path, hop, c.want)
					}
				})
			}
		}
	}
}

func testEarlyResponse(t *testing.T, early *rawTarget, received chan struct{}, path string, hop bool, want string) {
	t.Helper()
	serving := newTestInstance(t, "near", nil)
	serving.gateway.Pool.Dial = dialEarly(early.listener.Addr().String(), received)
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
