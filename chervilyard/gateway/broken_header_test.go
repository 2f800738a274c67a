package gateway_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"chervilyard.example/yard/target"
)

// headerEnd ends the header of a response.
const headerEnd = "\r\n\r\n"

// brokenHeaders are responses to break off at every byte until the end of their header, or of
// their trailers.
var brokenHeaders = []struct{ name, before, header, after string }{
	{"length", "", "HTTP/1.1 200 OK\r\nId: 1\r\nStamp: e\r\nContent-Length: 4\r\nContent-Type: text/plain", "body"},
	{"chunks", "", "HTTP/1.1 200 OK\r\nId: 1\r\nStamp: e\r\nTransfer-Encoding: chunked", "4\r\nbody\r\n0\r\n\r\n"},
	{"no length", "", "HTTP/1.1 200 OK\r\nId: 1\r\nStamp: e\r\nConnection: close", "body"},
	{"HTTP/1.0", "", "HTTP/1.0 200 OK\r\nId: 1\r\nStamp: e", "body"},
	{"HTTP/1.0 with length", "", "HTTP/1.0 200 OK\r\nId: 1\r\nStamp: e\r\nContent-Length: 4", "body"},
	{"continued line", "", "HTTP/1.1 200 OK\r\nId: 1\r\nStamp: e\r\nNote: a\r\n b\r\nContent-Length: 4", "body"},
	{"status without a reason", "", "HTTP/1.1 200\r\nId: 1\r\nStamp: e\r\nContent-Length: 4", "body"},
	{"stream", "", "HTTP/1.1 200 OK\r\nId: 1\r\nStamp: e\r\nContent-Type: text/event-stream", "id: a\ndata: a\n\n"},
	{"informational first", "HTTP/1.1 103 Early Hints\r\nId: 1\r\nStamp: e\r\n\r\n", "HTTP/1.1 200 OK\r\nId: 1\r\nStamp: e\r\nContent-Length: 4", "body"},
	{"another's first", "HTTP/1.1 200 OK\r\nId: other\r\nStamp: e\r\nContent-Length: 3\r\n\r\nold", "HTTP/1.1 200 OK\r\nId: 1\r\nStamp: e\r\nContent-Length: 4", "body"},
	{"trailers", "HTTP/1.1 200 OK\r\nId: 1\r\nStamp: e\r\nTransfer-Encoding: chunked\r\nTrailer: Sum\r\n\r\n4\r\nbody\r\n", "0\r\nSum: 1", ""},
}

// rawTarget answers the n-th request of each connection with the n-th of its responses, and
// ends the connection with the last one.
type rawTarget struct {
	listener  net.Listener
	responses []string
	reset     bool
	// onEarly, if not nil, is called after a response, which is sent before the body of the request
	// is read.
	onEarly func(c *net.TCPConn, body io.Reader)
}

func newRawTarget(t *testing.T, reset bool, responses ...string) *rawTarget {
	t.Helper()
	return (&rawTarget{responses: responses, reset: reset}).start(t)
}

// start listens until the test ends, and returns the target.
func (r *rawTarget) start(t *testing.T) *rawTarget {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	r.listener = l
	go r.accept()
	return r
}

func (r *rawTarget) accept() {
	for {
		c, err := r.listener.Accept()
		if err != nil {
			return
		}
		go r.serve(c)
	}
}

func (r *rawTarget) serve(c net.Conn) {
	defer c.Close()
	in := bufio.NewReader(c)
	for _, response := range r.responses {
		req, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		if r.onEarly != nil {
			_, _ = io.WriteString(c, response)
			r.onEarly(c.(*net.TCPConn), req.Body)
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		_, _ = io.WriteString(c, response)
	}
	if r.reset {
		reset(c)
	}
}

// Guards against a header that its target breaks off and that reaches the caller as a complete
// response: with any framing, on new connections and on kept ones, directly and over a hop.
func TestBrokenHeaderIsNotComplete(t *testing.T) {
	const step = 7 // bytes between two breaks on kept connections and over a hop
	const sound = "HTTP/1.1 200 OK\r\nId: 1\r\nStamp: e\r\nContent-Length: 5\r\n\r\nsound"
	for _, broken := range brokenHeaders {
		for _, path := range []string{"read", "order", "stream", "resume"} {
			for _, way := range []string{"new", "kept", "hop"} {
				t.Run(broken.name+"_"+path+"_"+way, func(t *testing.T) {
					t.Parallel()
					for n := range len(broken.header + headerEnd) {
						if way != "new" && n%step != 0 {
							continue
						}
						sent := broken.before + (broken.header + headerEnd)[:n]
						for _, reset := range []bool{false, true} {
							responses := []string{sent}
							if way == "kept" {
								responses = []string{sound, sent}
							}
							raw := newRawTarget(t, reset, responses...)
							instance := newTestInstance(t, "near", nil)
							useRawTarget(instance, raw)
							if way == "hop" {
								instance = newTestInstance(t, "far", nil, instance)
							}
							for range responses {
								status, body, _ := roundTrip(t, instance, request(path))
								isSound := way == "kept" && body == "sound"
								if status == http.StatusOK && !strings.HasSuffix(body, "cut") && !isSound {
									t.Errorf("broken off after %q (reset %v): the caller gets a complete response with %q", sent, reset, body)
								}
							}
						}
					}
				})
			}
		}
	}
}

// A header that is whole is passed on: the test above can fail.
func TestWholeHeaderIsComplete(t *testing.T) {
	for _, whole := range brokenHeaders {
		instance := newTestInstance(t, "near", nil)
		useRawTarget(instance, newRawTarget(t, false, whole.before+whole.header+headerEnd+whole.after))
		if status, body, _ := roundTrip(t, instance, request("read")); status != http.StatusOK || strings.HasSuffix(body, "cut") {
			t.Errorf("%s: %d %q", whole.name, status, body)
		}
	}
}

// request returns a request for a route, with a body if the route is not idempotent.
func request(path string) string {
	if path != "order" {
		return getRequest("/" + path + "/x")
	}
	return strings.Replace(getRequest("/order/x", "Content-Length: 2\r\n"), "GET", "POST", 1) + "{}"
}

func useRawTarget(n *testInstance, raw *rawTarget) {
	list := []target.Target{target.New("e", "c", raw.listener.Addr().String(), []string{"s"}, 8, 1, false)}
	n.gateway.Targets = func(time.Time, string) []target.Target { return list }
}
