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

// Connections that were open fall silent for good, without a reset, while new
// ones work. One request finds out; the next ones are not sent into them.
func TestSilentConnections(t *testing.T) {
	const kept = 5
	var silent atomic.Bool
	together := make(chan struct{}) // until all connections are in use at once
	var arrived sync.WaitGroup
	arrived.Add(kept)
	address, conns := server(t, func(c net.Conn, r *bufio.Reader) {
		old := !silent.Load()
		for first := true; read(r); first = false {
			switch {
			case old && first:
				arrived.Done()
				<-together
			case old && silent.Load():
				_, _ = io.Copy(io.Discard, r) // it hears and says nothing any more
				return
			}
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
		}
	})
	var p pool.Pool
	defer p.Close()
	var done sync.WaitGroup
	for range kept {
		done.Go(func() {
			if _, err := ask(t, &p, address, "x"); err != nil {
				t.Error(err)
			}
		})
	}
	arrived.Wait()
	close(together)
	done.Wait()
	silent.Store(true)
	patient := func() error {
		ctx, cancel := context.WithTimeout(context.Background(), 700*time.Millisecond)
		defer cancel()
		resp, err := p.Do(ctx, address, &pool.Request{Method: http.MethodGet, Target: "/x", Host: "h", Header: http.Header{}})
		if err != nil {
			return err
		}
		defer resp.Close()
		_, err = io.Copy(io.Discard, resp)
		return err
	}
	if err := patient(); err == nil {
		t.Fatal("a silent connection answered")
	}
	for n := range 3 {
		if err := patient(); err != nil {
			t.Errorf("request %d after the first that found silence: %v", n+1, err)
		}
	}
	if n := conns.Load(); n > kept+1 {
		t.Errorf("%d connections were made, want one more than the %d that fell silent", n, kept)
	}
}
