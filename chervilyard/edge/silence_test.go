package edge_test

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"chervilyard.example/chervilyard/edge"
)

// dullTarget answers after a delay that the test changes, six requests at a time.
type dullTarget struct {
	delay atomic.Int64 // nanoseconds
	until atomic.Int64 // Unix nanoseconds until when it answers nothing
	slots chan struct{}
}

func newDullTarget(delay time.Duration) *dullTarget {
	t := &dullTarget{slots: make(chan struct{}, 6)}
	t.delay.Store(int64(delay))
	return t
}

func (t *dullTarget) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	t.slots <- struct{}{}
	defer func() { <-t.slots }()
	time.Sleep(time.Duration(t.delay.Load()))
	time.Sleep(time.Until(time.Unix(0, t.until.Load())))
	_, _ = io.WriteString(w, "answer")
}

// outcomes counts the requests of a period by status.
type outcomes struct {
	mu     sync.Mutex
	period string
	counts map[string]map[int]int
}

func (o *outcomes) set(period string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.period = period
}

func (o *outcomes) current() string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.period
}

func (o *outcomes) add(period string, status int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.counts == nil {
		o.counts = make(map[string]map[int]int)
	}
	if o.counts[period] == nil {
		o.counts[period] = make(map[int]int)
	}
	o.counts[period][status]++
}

// share returns the share of a period's requests that were answered, and their number.
func (o *outcomes) share(period string) (float64, int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	all := 0
	for _, n := range o.counts[period] {
		all += n
	}
	return float64(o.counts[period][http.StatusOK]) / float64(max(all, 1)), all
}

// sendRequests sends requests to instances at random, a quarter of them idempotent, until stop
// is closed. The returned function waits for the last answer.
func sendRequests(edges []*edge.Edge, perSecond int, o *outcomes, stop <-chan struct{}) (wait func()) {
	var running sync.WaitGroup
	running.Go(func() {
		ticker := time.NewTicker(time.Second / time.Duration(perSecond))
		defer ticker.Stop()
		for n := 0; ; n++ {
			select {
			case <-stop:
				return
			case <-ticker.C:
			}
			running.Go(func() {
				period, method, path := o.current(), http.MethodPost, "/once/"
				if rand.IntN(4) == 0 {
					method, path = http.MethodGet, "/quick/"
				}
				id := fmt.Sprintf("%p-%d", o, n)
				o.add(period, send(edges[rand.IntN(len(edges))], id, method, path+fmt.Sprint(n), nil))
			})
		}
	})
	return running.Wait
}

// Guards against a service that is refused for good after its targets were silent, or slow, for
// a moment: from StableMs after it, no more than 1 in 100 requests may be refused.
func TestSilentTargetsAreUsedAgain(t *testing.T) {
	for _, kind := range []string{"silent", "slow", "silent after a start"} {
		t.Run(kind, func(t *testing.T) {
			t.Parallel()
			f := newFleet(t)
			f.store.put("configuration/document", document{Version: 1, Rate: 1e6, Keys: []string{"k"}})
			regions := []string{"east", "west", "north"}
			var targets []*dullTarget
			var edges []*edge.Edge
			for _, region := range regions {
				target := newDullTarget(15 * time.Millisecond)
				targets = append(targets, target)
				f.addTarget("target-"+region, region+"-a", target.ServeHTTP)
				edges = append(edges, f.start(region, 0), f.start(region, 1))
			}
			f.waitReady()
			var o outcomes
			stop := make(chan struct{})
			disturb := func() {
				for _, target := range targets {
					if kind == "slow" {
						target.delay.Store(int64(900 * time.Millisecond))
					} else {
						target.until.Store(time.Now().Add(1500 * time.Millisecond).UnixNano())
					}
				}
			}
			if kind == "silent after a start" {
				disturb()
			}
			wait := sendRequests(edges, 60, &o, stop)
			if kind != "silent after a start" {
				o.set("before")
				time.Sleep(2 * time.Second)
				o.set("during")
				disturb()
			}
			if kind == "slow" {
				time.Sleep(4 * time.Second)
				for _, target := range targets {
					target.delay.Store(int64(15 * time.Millisecond))
				}
			} else {
				time.Sleep(1500 * time.Millisecond)
			}
			time.Sleep(stableTime)
			o.set("after")
			time.Sleep(5 * time.Second)
			close(stop)
			wait()
			served, n := o.share("after")
			t.Logf("served after: %.3f of %d; all: %v", served, n, o.counts)
			if served < 0.99 || n < 200 {
				t.Errorf("%.3f of %d requests were served from StableMs after the targets were sound", served, n)
			}
		})
	}
}

// Guards against a region that has lost its targets while they were slow, and refuses what
// another region could serve, since it expects the targets there to be as slow.
func TestLostSlowTargetsDoNotCountElsewhere(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.store.put("configuration/document", document{Version: 1, Rate: 1e6, Keys: []string{"k"}})
	near, far := newDullTarget(900*time.Millisecond), newDullTarget(15*time.Millisecond)
	f.addTarget("near", "east-a", near.ServeHTTP)
	east := f.start("east", 0)
	f.start("west", 0)
	f.waitReady()
	var o outcomes
	stop := make(chan struct{})
	wait := sendRequests([]*edge.Edge{east}, 20, &o, stop)
	time.Sleep(3 * time.Second)
	f.addTarget("far", "west-a", far.ServeHTTP)
	f.store.put("targets/near", nil)
	time.Sleep(stableTime)
	o.set("after")
	time.Sleep(3 * time.Second)
	close(stop)
	wait()
	if served, n := o.share("after"); served < 0.99 {
		t.Errorf("%.3f of %d requests were served: %v", served, n, o.counts)
	}
}
