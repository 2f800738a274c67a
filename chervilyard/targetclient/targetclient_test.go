package targetclient_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"chervilyard.example/chervilyard/call"
	"chervilyard.example/chervilyard/dispatch"
	"chervilyard.example/chervilyard/targetclient"
	"chervilyard.example/yard/target"
)

// startServer starts a server and returns its address. On each connection the server
// answers the first request, then reads the second one and closes the connection
// without an answer. It counts the requests with the ID "second" in received.
func startServer(t *testing.T, received *atomic.Int64) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				in := bufio.NewReader(c)
				for n := 0; ; n++ {
					r, err := http.ReadRequest(in)
					if err != nil {
						return
					}
					_, _ = io.Copy(io.Discard, r.Body)
					if r.Header.Get("X-Request-Id") == "second" {
						received.Add(1)
					}
					if n > 0 {
						return
					}
					_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
				}
			}()
		}
	}()
	return l.Addr().String()
}

func newCall(id string) *call.Call {
	return &call.Call{ID: id, Method: http.MethodGet, TargetPath: "/x", Header: http.Header{}}
}

// send sends a call with the ID to the address and reads the whole response.
func send(c *targetclient.Client, address, id string) error {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	res, err := c.Send(ctx, target.New("t", "c", address, nil, 1, 1, false), newCall(id))
	if err != nil {
		return err
	}
	defer res.Body.Close()
	_, err = io.Copy(io.Discard, res.Body)
	return err
}

// TestNoRetryOnBrokenConnection guards against a silent retry when a reused connection
// breaks during a call. Whether to retry is decided by the dispatcher, which knows
// the retry budget.
func TestNoRetryOnBrokenConnection(t *testing.T) {
	var received atomic.Int64
	address := startServer(t, &received)
	c := targetclient.New()
	defer c.CloseIdle()
	if err := send(c, address, "first"); err != nil {
		t.Fatal(err)
	}
	err := send(c, address, "second")
	if n := received.Load(); n != 1 {
		t.Errorf("the target received the call %d times, want 1; error: %v", n, err)
	}
	var notSent *dispatch.NotSentError
	if err == nil || errors.As(err, &notSent) {
		t.Errorf("error of a call that the target read = %v, want one that is not *dispatch.NotSentError", err)
	}
}

// refusingAddress returns an address whose connections are refused until the test ends. Its port
// is bound, so that no other test can listen on it.
func refusingAddress(t *testing.T) string {
	t.Helper()
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = syscall.Close(fd) })
	if err := syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		t.Fatal(err)
	}
	bound, err := syscall.Getsockname(fd)
	if err != nil {
		t.Fatal(err)
	}
	return net.JoinHostPort("127.0.0.1", strconv.Itoa(bound.(*syscall.SockaddrInet4).Port))
}

// TestRefusedConnectionIsNotSent checks that a refused connection is reported as
// *dispatch.NotSentError.
func TestRefusedConnectionIsNotSent(t *testing.T) {
	c := targetclient.New()
	defer c.CloseIdle()
	var notSent *dispatch.NotSentError
	if err := send(c, refusingAddress(t), "first"); !errors.As(err, &notSent) {
		t.Errorf("error = %v, want *dispatch.NotSentError", err)
	}
}

// TestResetDuringUpload guards against a part of a response that looks complete after the target
// has reset the connection during the upload.
func TestResetDuringUpload(t *testing.T) {
	const rounds = 50 // whether the write or the read finds the reset first differs
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			in := bufio.NewReader(c)
			if _, err := http.ReadRequest(in); err == nil {
				_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\npart")
				_, _ = io.CopyN(io.Discard, in, 1<<20) // meanwhile the response arrives
			}
			_ = c.(*net.TCPConn).SetLinger(0) // Close then sends a reset
			_ = c.Close()
		}
	}()
	client := targetclient.New()
	request := newCall("upload")
	request.Method, request.TargetBody, request.NonIdempotent = http.MethodPost, make([]byte, 32<<20), true
	for range rounds {
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		res, err := client.Send(ctx, target.New("t", "c", l.Addr().String(), nil, 1, 1, false), request)
		if err == nil {
			var body []byte
			if body, err = io.ReadAll(res.Body); err == nil {
				t.Errorf("the part %q looks complete", body)
			}
			_ = res.Body.Close()
		}
		cancel()
	}
}
