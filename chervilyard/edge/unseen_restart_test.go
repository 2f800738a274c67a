package edge_test

import (
	"net"
	"net/http"
	"sync"
	"testing"
	"time"
)

// restartableTarget is a target whose process can end and start again at its address, while
// its entry in the store stays as it is.
type restartableTarget struct {
	t       *testing.T
	address string
	server  *http.Server

	mu       sync.Mutex
	arrivals []time.Time // of requests to this run
}

func newRestartableTarget(t *testing.T) *restartableTarget {
	r := &restartableTarget{t: t, address: "127.0.0.1:0"}
	r.start()
	t.Cleanup(r.stop)
	return r
}

func (r *restartableTarget) start() {
	l, err := net.Listen("tcp", r.address)
	if err != nil {
		r.t.Error(err)
		return
	}
	r.mu.Lock()
	r.address, r.arrivals = l.Addr().String(), nil
	r.mu.Unlock()
	r.server = &http.Server{ReadHeaderTimeout: time.Second, Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		r.mu.Lock()
		r.arrivals = append(r.arrivals, time.Now())
		r.mu.Unlock()
		w.WriteHeader(http.StatusOK)
	})}
	go func() { _ = r.server.Serve(l) }() // ends as the server is closed
}

// stop ends the process and with it all connections.
func (r *restartableTarget) stop() { _ = r.server.Close() }

// mostInSecond returns the largest number of requests that arrived within a second.
func (r *restartableTarget) mostInSecond() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	most, first := 0, 0
	for n, at := range r.arrivals {
		for at.Sub(r.arrivals[first]) >= time.Second {
			first++
		}
		most = max(most, n-first+1)
	}
	return most
}

// A target that is cut off from the store restarts under its name. Guards against a flood
// of instances that had no request open there and take it for warm.
func TestColdLimitAfterUnseenRestart(t *testing.T) {
	t.Parallel()
	const (
		instances = 24
		coldPerS  = 4.4
		limit     = coldPerS*1.5 + 3
		pause     = 500 * time.Millisecond // between two requests at an instance
		down      = 200 * time.Millisecond
	)
	f := newFleet(t)
	f.store.put("configuration/document", document{Version: 1, Rate: 1e9, Keys: []string{"k"}, Cold: coldPerS})
	r := newRestartableTarget(t)
	f.store.put("targets/a", targetEntry{Address: r.address, Centre: "east-a"})
	for n := range instances {
		f.start("east", 10+n)
	}
	f.waitReady()
	time.Sleep(2 * time.Second) // until each instance knows its place
	done := make(chan struct{})
	var callers sync.WaitGroup
	n := 0
	for _, e := range f.edges {
		offset := pause * time.Duration(n) / instances
		n++
		callers.Go(func() {
			for time.Sleep(offset); ; time.Sleep(pause) {
				select {
				case <-done:
					return
				default:
					call(e, "k", 1)
				}
			}
		})
	}
	time.Sleep(2 * time.Second)
	r.stop()
	time.Sleep(down)
	r.start()
	time.Sleep(1100 * time.Millisecond)
	close(done)
	callers.Wait()
	most := r.mostInSecond()
	if most == 0 {
		t.Error("no request reached the target after its restart")
	}
	if float64(most) > limit {
		t.Errorf("%d requests within a second after an unseen restart, at most %v", most, limit)
	}
}
