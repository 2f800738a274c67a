package gateway_test

import (
	"errors"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"runtime"
	"runtime/metrics"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"chervilyard.example/chervilyard/gateway"
)

// heapGrowth calls f and returns by how many bytes what is kept on the heap grew at most
// meanwhile.
func heapGrowth(f func()) uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	before, most := stats.HeapAlloc, stats.HeapAlloc
	done, stopped := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(stopped)
		for {
			select {
			case <-done:
				return
			case <-time.After(10 * time.Millisecond):
				runtime.GC()
				runtime.ReadMemStats(&stats)
				most = max(most, stats.HeapAlloc)
			}
		}
	}()
	f()
	close(done)
	<-stopped
	return most - before
}

// runWithStoppedMarking runs the test again in a process whose collector marks while all
// goroutines are stopped, and reports whether this process is that one. A concurrent collector
// counts everything that is allocated while it marks as live, which on a busy machine is more
// than the bounds of the tests: up to 152 MiB were allocated during one collection.
func runWithStoppedMarking(t *testing.T) bool {
	t.Helper()
	const stopped = "gcstoptheworld=1"
	if strings.Contains(os.Getenv("GODEBUG"), stopped) {
		return true
	}
	run := "^" + t.Name() + "$"
	if _, subtests, ok := strings.Cut(flag.Lookup("test.run").Value.String(), "/"); ok {
		run += "/" + subtests
	}
	cmd := exec.Command(os.Args[0], "-test.run="+run, "-test.v="+strconv.FormatBool(testing.Verbose()))
	cmd.Env = append(os.Environ(), "GODEBUG="+strings.TrimPrefix(os.Getenv("GODEBUG")+","+stopped, ","))
	out, err := cmd.CombinedOutput()
	t.Logf("%s", out)
	if err != nil {
		t.Error(err)
	}
	return false
}

// liveGrowth calls f and returns by how many bytes the reachable objects on the heap grew at
// most meanwhile. Unlike heapGrowth it does not count what has been released and not yet
// collected, of which many requests at once leave much. It needs runWithStoppedMarking.
func liveGrowth(f func()) uint64 {
	live := func() uint64 {
		runtime.GC()
		sample := []metrics.Sample{{Name: "/gc/heap/live:bytes"}}
		metrics.Read(sample)
		return sample[0].Value.Uint64()
	}
	before := live()
	most := before
	done, stopped := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(stopped)
		for {
			select {
			case <-done:
				return
			case <-time.After(10 * time.Millisecond):
				most = max(most, live())
			}
		}
	}()
	f()
	close(done)
	<-stopped
	return most - before
}

var endlessKinds = []string{
	"garbage", "header", "line", "lines", "events", "chunks", "unframed", "trailer", "fields", "extension", "extended", "interim", "pause",
}

// Guards against bytes of a target that never end and that fill the memory, occupy a request
// for longer than its time, or look like a whole response.
func TestEndlessResponse(t *testing.T) {
	const (
		maxGrowth = 32 << 20
		maxSize   = 65 << 20
		maxTime   = 2 * time.Second // of a request; the routes allow 0.7 s
	)
	for _, kind := range endlessKinds {
		for _, path := range []string{"resume", "stream", "read"} {
			for _, hop := range []bool{false, true} {
				t.Run(fmt.Sprintf("%s %s hop=%v", kind, path, hop), func(t *testing.T) {
					n := newTestInstance(t, "near", []*fakeTarget{newFakeTarget(t, "e", "endless "+kind)})
					gateways := []*gateway.Gateway{n.gateway}
					if hop {
						n = newTestInstance(t, "far", nil, n)
						gateways = append(gateways, n.gateway)
					}
					var took atomic.Int64 // the longest request, as the instances measure it
					for _, g := range gateways {
						g.Metrics.RequestDone = func(_, _ string, _ int, d, _ time.Duration) { took.Store(max(took.Load(), int64(d))) }
					}
					growth := heapGrowth(func() {
						req, err := http.NewRequest(http.MethodGet, n.public.URL+"/"+path+"/x", nil)
						if err != nil {
							t.Fatal(err)
						}
						req.Host = "h.example"
						req.Header = http.Header{"Key": {"k"}, "Id": {"1"}, "Tokens": {"1"}}
						resp, err := http.DefaultClient.Do(req)
						if err != nil {
							return
						}
						defer resp.Body.Close()
						size, err := io.Copy(io.Discard, resp.Body)
						if err == nil && resp.StatusCode == http.StatusOK {
							t.Error("the response looks complete")
						}
						if size > maxSize {
							t.Errorf("the caller got %d MiB", size>>20)
						}
					})
					if d := time.Duration(took.Load()); d > maxTime {
						t.Errorf("the request took %v", d)
					}
					if growth > maxGrowth {
						t.Errorf("the heap grew by %d MiB", growth>>20)
					}
				})
			}
		}
	}
}

// Guards against many responses without end at once that fill the memory of an instance, for
// callers that read and for callers that do not: a process that ends takes all other requests
// with it. Half of the memory of a small instance, 160 MiB, must be left.
func TestManyEndlessResponses(t *testing.T) {
	if !runWithStoppedMarking(t) {
		return
	}
	const (
		atOnce    = 100
		maxGrowth = 80 << 20
		deadline  = 3 * time.Second // of a request; the routes allow 0.7 s
	)
	for _, kind := range endlessKinds {
		for _, path := range []string{"resume", "stream", "read"} {
			for _, reads := range []bool{true, false} {
				t.Run(fmt.Sprintf("%s %s reads=%v", kind, path, reads), func(t *testing.T) {
					var targets []*fakeTarget // enough for all requests at once
					for i := range 16 {
						targets = append(targets, newFakeTarget(t, fmt.Sprint("e", i), "endless "+kind))
					}
					n := newTestInstance(t, "near", targets)
					address := n.public.Listener.Addr().String()
					var callers sync.WaitGroup
					growth := liveGrowth(func() {
						for id := range atOnce {
							callers.Go(func() {
								c, err := net.Dial("tcp", address)
								if err != nil {
									t.Error(err)
									return
								}
								defer c.Close()
								_ = c.SetDeadline(time.Now().Add(deadline))
								_, _ = fmt.Fprintf(c, "GET /%s/x HTTP/1.1\r\nHost: h.example\r\nKey: k\r\nId: %d\r\nTokens: 1\r\nConnection: close\r\n\r\n", path, id)
								if !reads {
									time.Sleep(time.Second) // longer than the route allows
								}
								if _, err := io.Copy(io.Discard, c); errors.Is(err, os.ErrDeadlineExceeded) {
									t.Error("the connection was not ended")
								}
							})
						}
						callers.Wait()
					})
					t.Logf("the heap grew by %d MiB", growth>>20)
					if growth > maxGrowth {
						t.Errorf("the heap grew by %d MiB", growth>>20)
					}
				})
			}
		}
	}
}
