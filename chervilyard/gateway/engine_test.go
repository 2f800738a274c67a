package gateway_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"
)

// engine is a scripted target: it answers each request with the next of its
// answers, and the last one again after that.
//
//	ok TEXT          200 with the body
//	status N [run]   a failure of its own; without "run" it says that nothing ran
//	events A,B,C     a whole event stream
//	torn A,B         events and half of another, then a reset
//	reset            the request is read and the connection reset
//	silent           the request is read and nothing is answered
//	foreign          an answer of another request, then its own
//	unsigned         200 without a signature
//	cut              200 with half of its body
//	unframed TEXT    200 without a length, ended by the connection's end
//	early            a failure before the body is read
//	extra            200 and bytes after it
type engine struct {
	t        *testing.T
	listener net.Listener
	name     string

	mu      sync.Mutex
	answers []string
	seen    []*http.Request
	bodies  []string
	ended   chan string // the identifier of each silent request whose connection ended
}

func newEngine(t *testing.T, name string, answers ...string) *engine {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	e := &engine{t: t, listener: l, name: name, answers: answers, ended: make(chan string, 16)}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go e.serve(c)
		}
	}()
	return e
}

func (e *engine) address() string { return e.listener.Addr().String() }

func (e *engine) requests() []*http.Request {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.seen
}

func (e *engine) next(r *http.Request, body string) string {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.seen = append(e.seen, r)
	e.bodies = append(e.bodies, body)
	a := e.answers[0]
	if len(e.answers) > 1 {
		e.answers = e.answers[1:]
	}
	return a
}

func (e *engine) serve(c net.Conn) {
	defer c.Close()
	r := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		if e.early() {
			e.next(req, "")
			_, _ = io.WriteString(c, "HTTP/1.1 503 Service Unavailable\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n")
			time.Sleep(20 * time.Millisecond)
			_, _ = io.Copy(io.Discard, req.Body)
			continue
		}
		body, _ := io.ReadAll(req.Body)
		if !e.answer(c, req, e.next(req, string(body))) {
			return
		}
	}
}

func (e *engine) early() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.answers[0] == "early"
}

// answer writes one answer and returns false where the connection ends.
func (e *engine) answer(c net.Conn, req *http.Request, a string) bool {
	id := req.Header.Get("Id")
	head := func(status, more string) string {
		return "HTTP/1.1 " + status + "\r\nId: " + id + "\r\nStamp: " + e.name + "\r\n" + more + "\r\n"
	}
	kind, rest, _ := strings.Cut(a, " ")
	switch kind {
	case "ok":
		return write(c, head("200 OK", "Content-Length: "+itoa(len(rest))+"\r\n")+rest)
	case "status":
		code, run, _ := strings.Cut(rest, " ")
		if run == "run" {
			return write(c, head(code+" Failed", "Content-Length: 0\r\n"))
		}
		return write(c, "HTTP/1.1 "+code+" Refused\r\nId: "+id+"\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n")
	case "events":
		return write(c, head("200 OK", "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n")+chunked(events(rest))+"0\r\n\r\n")
	case "torn":
		write(c, head("200 OK", "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n")+chunked(events(rest)+"id: half\nda"))
		time.Sleep(30 * time.Millisecond)
		reset(c)
	case "reset":
		reset(c)
	case "silent":
		_, _ = io.Copy(io.Discard, c)
		e.ended <- id
	case "foreign":
		return write(c, "HTTP/1.1 200 OK\r\nId: other\r\nStamp: "+e.name+"\r\nContent-Length: 5\r\n\r\nother"+head("200 OK", "Content-Length: 3\r\n")+"own")
	case "unsigned":
		return write(c, "HTTP/1.1 200 OK\r\nId: "+id+"\r\nContent-Length: 2\r\n\r\nno")
	case "cut":
		write(c, head("200 OK", "Content-Length: 10\r\n")+"half")
	case "unframed":
		write(c, head("200 OK", "")+rest)
	case "extra":
		return write(c, head("200 OK", "Content-Length: 2\r\n")+"okHTTP/1.1 200 OK\r\nId: x\r\nStamp: x\r\nContent-Length: 1\r\n\r\nx")
	default:
		e.t.Errorf("%q is no answer", a)
	}
	return false
}

func write(c net.Conn, text string) bool {
	_, err := io.WriteString(c, text)
	return err == nil
}

func reset(c net.Conn) {
	if tc, ok := c.(*net.TCPConn); ok {
		_ = tc.SetLinger(0) // a close then resets
	}
	_ = c.Close()
}

func events(list string) string {
	var b strings.Builder
	for id := range strings.SplitSeq(list, ",") {
		if id != "" {
			b.WriteString("id: " + id + "\ndata: " + id + "\n\n")
		}
	}
	return b.String()
}

func chunked(s string) string { return itoaHex(len(s)) + "\r\n" + s + "\r\n" }
