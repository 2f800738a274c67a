package pool_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"chervilyard.example/chervilyard/pool"
)

// Open connections stop responding without a reset, while new ones work. One
// request detects this; later requests must not be sent on the stale connections.
func TestUnresponsiveConnections(t *testing.T) {
	const connCount = 5
	var stale atomic.Bool
	release := make(chan struct{}) // closed once all connections are in use at the same time
	var arrived sync.WaitGroup
	arrived.Add(connCount)
	address, conns := server(t, func(c net.Conn, r *bufio.Reader) {
		old := !stale.Load()
		for first := true; readRequest(r); first = false {
			switch {
			case old && first:
				arrived.Done()
				<-release
			case old && stale.Load():
				_, _ = io.Copy(io.Discard, r) // read everything and never respond
				return
			}
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
		}
	})
	var p pool.Pool
	defer p.Close()
	var pending sync.WaitGroup
	for range connCount {
		pending.Go(func() {
			if _, err := post(t, &p, address, "x"); err != nil {
				t.Error(err)
			}
		})
	}
	arrived.Wait()
	close(release)
	pending.Wait()
	stale.Store(true)
	get := func() error {
		ctx, cancel := context.WithTimeout(context.Background(), 700*time.Millisecond)
		defer cancel()
		resp, err := p.Do(ctx, address, &pool.Request{Method: http.MethodGet, RequestTarget: "/x", Host: "h", Header: http.Header{}})
		if err != nil {
			return err
		}
		defer resp.Close()
		_, err = io.Copy(io.Discard, resp)
		return err
	}
	if err := get(); err == nil {
		t.Fatal("a stale connection answered")
	}
	for n := range 3 {
		if err := get(); err != nil {
			t.Errorf("request %d after the first that detected stale connections: %v", n+1, err)
		}
	}
	if n := conns.Load(); n > connCount+1 {
		t.Errorf("%d connections were made, want at most one more than the %d stale ones", n, connCount)
	}
}
