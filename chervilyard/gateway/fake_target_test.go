package gateway_test

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"chervilyard.example/chervilyard/pool"
)

// fakeTarget is a target with scripted responses. It answers each request with the
// next response and repeats the last one.
//
//	ok TEXT          200 with the body TEXT
//	status N [run]   an error status; without "run" it states that nothing ran
//	busy WAIT        a refusal of status 503 with the Retry-After WAIT
//	events A,B,C     a complete event stream
//	slow TEXT        200 with the body TEXT, its last byte 400 ms after the others
//	paused A,B       the first event, and 50 ms later the others
//	torn A,B         the events and half of another, then a connection reset
//	half A,B         the events and half of another in chunks that end properly
//	reset            a connection reset after the request was read
//	silent           no response after the request was read
//	malformed A,B    a complete event stream whose header has a blank in the name of a field
//	foreign          the response to another request, then the right one
//	copied A,B       a refusal that names no request, as if to an earlier one, and 50 ms later a
//	                 complete event stream
//	unsigned         200 without the target's stamp
//	cut              200 with half of the body
//	unframed TEXT    200 without a length, ended by closing the connection
//	early            an error status before the body is read
//	extra            200 followed by surplus bytes
//	endless KIND     bytes without end: "garbage", in a "header", in one "line" of an event, in
//	                 "lines" of one event, in "events", in "chunks", "unframed", in one field of a "trailer" or many "fields" of
//	                 it, in the "extension" of one chunk, in "extended" chunks, or in "interim" responses; or a "pause"
//	                 within a long event
//	rest A,B         a complete stream of the events after the last one that the caller has
//	part N END FRAMING TYPE A,B  the first N bytes of a response with the events as its body,
//	                 then END: "close" or "reset"; FRAMING is one of package pool's
type fakeTarget struct {
	t        testing.TB
	listener net.Listener
	name     string
	// beforeResponse is called before each response. It may be nil.
	beforeResponse func()

	mu        sync.Mutex
	responses []string
	received  []*http.Request
	bodies    []string
	ended     chan string // IDs of unanswered requests whose connection ended
}

func newFakeTarget(t testing.TB, name string, responses ...string) *fakeTarget {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	f := &fakeTarget{t: t, listener: l, name: name, responses: responses, ended: make(chan string, 16)}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go f.serve(c)
		}
	}()
	return f
}

func (f *fakeTarget) address() string { return f.listener.Addr().String() }

func (f *fakeTarget) requests() []*http.Request {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.received
}

// next records the request and returns the response to it.
func (f *fakeTarget) next(r *http.Request, body string) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.received = append(f.received, r)
	f.bodies = append(f.bodies, body)
	response := f.responses[0]
	if len(f.responses) > 1 {
		f.responses = f.responses[1:]
	}
	return response
}

func (f *fakeTarget) serve(c net.Conn) {
	defer c.Close()
	r := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		if f.early() {
			f.next(req, "")
			_, _ = io.WriteString(c, "HTTP/1.1 503 Service Unavailable\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n")
			time.Sleep(20 * time.Millisecond)
			_, _ = io.Copy(io.Discard, req.Body)
			continue
		}
		body, _ := io.ReadAll(req.Body)
		if !f.respond(c, req, f.next(req, string(body))) {
			return
		}
	}
}

func (f *fakeTarget) early() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.responses[0] == "early"
}

// respond writes one response and reports whether the connection stays open.
func (f *fakeTarget) respond(c net.Conn, req *http.Request, response string) bool {
	id := req.Header.Get("Id")
	head := func(status, more string) string {
		return "HTTP/1.1 " + status + "\r\nId: " + id + "\r\nStamp: " + f.name + "\r\n" + more + "\r\n"
	}
	if f.beforeResponse != nil {
		f.beforeResponse()
	}
	kind, rest, _ := strings.Cut(response, " ")
	switch kind {
	case "ok":
		return write(c, head("200 OK", "Content-Length: "+itoa(len(rest))+"\r\n")+rest)
	case "status":
		code, run, _ := strings.Cut(rest, " ")
		if run == "run" {
			return write(c, head(code+" Failed", "Content-Length: 0\r\n"))
		}
		return write(c, "HTTP/1.1 "+code+" Refused\r\nId: "+id+"\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n")
	case "busy":
		return write(c, "HTTP/1.1 503 Busy\r\nId: "+id+"\r\nNot-Run: 1\r\nRetry-After: "+rest+"\r\nContent-Length: 0\r\n\r\n")
	case "events":
		return write(c, head("200 OK", "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n")+chunked(events(rest))+"0\r\n\r\n")
	case "malformed":
		return write(c, head("200 OK", "X A: 1\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n")+chunked(events(rest))+"0\r\n\r\n")
	case "rest":
		_, left, _ := strings.Cut(","+rest, ","+req.Header.Get("After")+",")
		if req.Header.Get("After") == "" {
			left = rest
		}
		return write(c, head("200 OK", "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n")+chunked(events(left))+"0\r\n\r\n")
	case "part":
		var n int
		var end, framing, mediaType, list string
		if _, err := fmt.Sscan(rest, &n, &end, &framing, &mediaType, &list); err != nil {
			f.t.Errorf("%q: %v", response, err)
			return false
		}
		write(c, framed(framing, head, mediaType, events(list))[:n])
		if end == "reset" {
			time.Sleep(2 * time.Millisecond)
			reset(c)
		}
	case "slow":
		write(c, head("200 OK", "Content-Length: "+itoa(len(rest))+"\r\n")+rest[:len(rest)-1])
		time.Sleep(400 * time.Millisecond)
		return write(c, rest[len(rest)-1:])
	case "paused":
		first, others, _ := strings.Cut(rest, ",")
		write(c, head("200 OK", "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n")+chunked(events(first)))
		time.Sleep(50 * time.Millisecond)
		return write(c, chunked(events(others))+"0\r\n\r\n")
	case "torn":
		write(c, head("200 OK", "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n")+chunked(events(rest)+halfEvent))
		time.Sleep(30 * time.Millisecond)
		reset(c)
	case "half":
		return write(c, framed(pool.FramedByChunks, head, "text/event-stream", events(rest)+halfEvent))
	case "reset":
		reset(c)
	case "silent":
		_, _ = io.Copy(io.Discard, c)
		f.ended <- id
	case "foreign":
		return write(c, "HTTP/1.1 200 OK\r\nId: other\r\nStamp: "+f.name+"\r\nContent-Length: 5\r\n\r\nother"+head("200 OK", "Content-Length: 3\r\n")+"own")
	case "copied":
		refusal := "HTTP/1.1 503 Busy\r\nNot-Run: 1\r\nRetry-After: 0.05\r\nContent-Length: 4\r\n\r\nbusy"
		write(c, refusal)
		time.Sleep(50 * time.Millisecond)
		return write(c, head("200 OK", "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n")+chunked(events(rest))+"0\r\n\r\n")
	case "unsigned":
		return write(c, "HTTP/1.1 200 OK\r\nId: "+id+"\r\nContent-Length: 2\r\n\r\nno")
	case "cut":
		write(c, head("200 OK", "Content-Length: 10\r\n")+"half")
	case "unframed":
		write(c, head("200 OK", "")+rest)
	case "endless":
		writeEndless(c, rest, id, head)
	case "extra":
		return write(c, head("200 OK", "Content-Length: 2\r\n")+"okHTTP/1.1 200 OK\r\nId: x\r\nStamp: x\r\nContent-Length: 1\r\n\r\nx")
	default:
		f.t.Errorf("%q is no known response", response)
	}
	return false
}

// endlessBlocks are what endless responses repeat. All responses share them, so that they do not
// count in the memory of tests.
var endlessBlocks = map[string][]byte{
	"lines":    bytes.Repeat([]byte("data: x\n"), 2<<10),
	"events":   bytes.Repeat([]byte("id: 1\ndata: x\n\n"), 1<<10),
	"chunks":   []byte(chunked(strings.Repeat("x", 16<<10))),
	"fields":   bytes.Repeat([]byte("X: x\r\n"), 2<<10),
	"extended": bytes.Repeat([]byte("1;x="+strings.Repeat("x", 1<<10)+"\r\nx\r\n"), 16),
	"interim":  bytes.Repeat([]byte("HTTP/1.1 103 Early Hints\r\nX: x\r\n\r\n"), 512),
	"":         bytes.Repeat([]byte("x"), 16<<10), // the other kinds
}

// writeEndless writes an endless response of a kind until the connection is closed.
func writeEndless(c net.Conn, kind, id string, head func(status, more string) string) {
	const (
		stream  = "Content-Type: text/event-stream\r\n"
		chunks  = "Transfer-Encoding: chunked\r\n"
		trailer = chunks + "Trailer: X\r\n"
	)
	start := map[string]string{
		"garbage": "", "interim": "",
		"header": "HTTP/1.1 200 OK\r\nId: " + id + "\r\nX: ",
		"line":   head("200 OK", stream) + "data: ", "pause": head("200 OK", stream) + "data: ",
		"lines": head("200 OK", stream), "events": head("200 OK", stream),
		"chunks": head("200 OK", chunks), "extended": head("200 OK", chunks),
		"extension": head("200 OK", chunks) + "1;x=",
		"unframed":  head("200 OK", ""),
		"trailer":   head("200 OK", trailer) + chunked("x") + "0\r\nX: ",
		"fields":    head("200 OK", trailer) + chunked("x") + "0\r\n",
	}[kind]
	block, ok := endlessBlocks[kind]
	if !ok {
		block = endlessBlocks[""]
	}
	ok = write(c, start)
	for sent := 0; ok; sent += len(block) {
		if kind == "pause" && sent > 1000<<10-len(block) {
			_, _ = io.Copy(io.Discard, c)
			return
		}
		_, err := c.Write(block)
		ok = err == nil
	}
}

// framed returns a response of status 200 whose body is delimited by the framing.
func framed(framing string, head func(status, more string) string, mediaType, body string) string {
	fields := "Content-Type: " + mediaType + "\r\n"
	switch framing {
	case pool.FramedByLength:
		return head("200 OK", fields+"Content-Length: "+itoa(len(body))+"\r\n") + body
	case pool.FramedByChunks:
		return head("200 OK", fields+"Transfer-Encoding: chunked\r\n") + chunked(body) + "0\r\n\r\n"
	}
	return head("200 OK", fields) + body
}

func write(c net.Conn, text string) bool {
	_, err := io.WriteString(c, text)
	return err == nil
}

func reset(c net.Conn) {
	if tc, ok := c.(*net.TCPConn); ok { // Close then sends a reset
		_ = tc.SetLinger(0)
	}
	_ = c.Close()
}

// halfEvent is the start of an event.
const halfEvent = "id: half\nda"

func events(list string) string {
	var b strings.Builder
	for id := range strings.SplitSeq(list, ",") {
		if id != "" {
			b.WriteString("id: " + id + "\ndata: " + id + "\n\n")
		}
	}
	return b.String()
}

func chunked(s string) string { return hexadecimal(len(s)) + "\r\n" + s + "\r\n" }
