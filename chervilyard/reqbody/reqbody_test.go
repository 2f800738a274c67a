package reqbody_test

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"chervilyard.example/chervilyard/reqbody"
	"chervilyard.example/yard/membudget"
)

// serve serves requests whose bodies are read with the limits, and answers with the length or
// the reason for which the body was not read.
func serve(t *testing.T, b *membudget.Budget, l reqbody.Limits, bodies chan<- []byte) string {
	t.Helper()
	rd := reqbody.Reader{Budget: b, Now: time.Now}
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := rd.Read(w, r, l)
		var failed *reqbody.Error
		if errors.As(err, &failed) {
			w.WriteHeader(http.StatusBadRequest)
			_, _ = io.WriteString(w, failed.Reason)
			return
		}
		if l.Whole && !bytes.Equal(body.Bytes(), bytes.Join(body.Pieces(), nil)) {
			t.Error("the body is not in one piece")
		}
		bodies <- bytes.Join(body.Pieces(), nil)
		body.Release(time.Now())
		_, _ = fmt.Fprint(w, body.Len())
	}))
	t.Cleanup(s.Close)
	return s.Listener.Addr().String()
}

// Guards against bodies that are read wrongly at the borders of their pieces, and against
// bytes that are not returned to the budget.
func TestLengths(t *testing.T) {
	const limit = 300 << 10
	for _, whole := range []bool{false, true} {
		var b membudget.Budget
		b.SetLimit(time.Now(), 1<<20)
		bodies := make(chan []byte, 1)
		address := serve(t, &b, reqbody.Limits{MaxBytes: limit, Whole: whole}, bodies)
		for _, n := range []int{0, 1, 4095, 4096, 4097, 12 << 10, 60 << 10, 124 << 10, 124<<10 + 1, limit, limit + 1} {
			content := bytes.Repeat([]byte("abcdefg"), n/7+1)[:n]
			for _, chunked := range []bool{false, true} {
				var source io.Reader = bytes.NewReader(content)
				if chunked {
					source = io.MultiReader(source) // its length is not known
				}
				resp, err := http.Post("http://"+address, "", source)
				if err != nil {
					t.Fatal(err)
				}
				answer, _ := io.ReadAll(resp.Body)
				_ = resp.Body.Close()
				want := fmt.Sprint(n)
				if n > limit {
					want = reqbody.TooLong
				} else if got := <-bodies; !bytes.Equal(got, content) {
					t.Errorf("whole %v, chunked %v, %d bytes: the body differs", whole, chunked, n)
				}
				if string(answer) != want {
					t.Errorf("whole %v, chunked %v, %d bytes: answered %q", whole, chunked, n, answer)
				}
			}
		}
		if held := b.Held(membudget.Bodies); held != 0 {
			t.Errorf("%d bytes were not returned", held)
		}
	}
}

// Guards against a sender that stops and keeps memory that others need, and against a body
// that never ends.
func TestEnded(t *testing.T) {
	var b membudget.Budget
	b.SetLimit(time.Now(), 64<<10)
	bodies := make(chan []byte, 1)
	send := func(address string) *net.TCPConn {
		c, err := net.Dial("tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = c.Close() })
		_ = c.SetDeadline(time.Now().Add(10 * time.Second))
		_, _ = io.WriteString(c, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 40000\r\n\r\n"+strings.Repeat("x", 39000))
		return c.(*net.TCPConn) //nolint:forcetypeassert // it was dialed
	}
	reason := func(c net.Conn) string {
		answer, _ := io.ReadAll(c) // the connection is closed after the answer
		return string(answer[bytes.LastIndexByte(answer, '\n')+1:])
	}
	address := serve(t, &b, reqbody.Limits{}, bodies)
	stalled := send(address)
	for b.Held(membudget.Bodies) < 39000 {
		time.Sleep(time.Millisecond)
	}
	resp, err := http.Post("http://"+address, "", bytes.NewReader(make([]byte, 40000)))
	if err != nil {
		t.Fatal(err)
	}
	_ = resp.Body.Close()
	if resp.StatusCode != http.StatusOK || len(<-bodies) != 40000 {
		t.Errorf("the second body was answered with %d", resp.StatusCode)
	}
	if got := reason(stalled); got != reqbody.Stalled {
		t.Errorf("the body that stalled was answered with %q", got)
	}
	late := serve(t, &b, reqbody.Limits{Deadline: time.Now().Add(100 * time.Millisecond)}, bodies)
	if got := reason(send(late)); got != reqbody.Late {
		t.Errorf("the body that was late was answered with %q", got)
	}
	if held := b.Held(membudget.Bodies); held != 0 {
		t.Errorf("%d bytes were not returned", held)
	}
}
