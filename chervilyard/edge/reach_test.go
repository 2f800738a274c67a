package edge_test

import (
	"fmt"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"chervilyard.example/chervilyard/edge"

	"chervilyard.example/yard/discovery"
)

// runs counts how often targets ran each request.
type runs struct {
	mu     sync.Mutex
	counts map[string]int
}

func (r *runs) add(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.counts == nil {
		r.counts = make(map[string]int)
	}
	r.counts[id]++
}

func (r *runs) twice() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var list []string
	for id, n := range r.counts {
		if n > 1 {
			list = append(list, id)
		}
	}
	return list
}

// cutFleet is a region of three instances and three targets, some of whose links get cut.
type cutFleet struct {
	*fleet
	edges     []*edge.Edge
	addresses []string // of the targets
	runs      runs     // of requests that must not be repeated
}

func newCutFleet(t *testing.T) *cutFleet {
	f := &cutFleet{fleet: newFleet(t)}
	f.store.put("configuration/document", document{Version: 1, Rate: 1e6, Keys: []string{"k"}, Health: "/health"})
	for n := range 3 {
		name := fmt.Sprint("target-", n)
		target := newDullTarget(15 * time.Millisecond)
		entry := f.addTarget(name, "east-a", func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("Name", name)
			if r.URL.Path == "/health" {
				return
			}
			if r.Method == http.MethodPost {
				f.runs.add(r.Header.Get("Id"))
			}
			target.ServeHTTP(w, r)
		})
		f.addresses = append(f.addresses, entry.Address)
	}
	for n := range 3 {
		f.edges = append(f.edges, f.start("east", n))
	}
	f.waitReady()
	return f
}

// cut cuts all links of the first n instances, or mends them if kind is "".
func (f *cutFleet) cut(n int, kind string) {
	for _, e := range f.edges[:n] {
		for _, address := range f.addresses {
			f.targetLinks.cut(e.Settings().Name, address, kind)
		}
	}
}

// located returns the names of the instances that the directory of another one names.
func (f *cutFleet) located(asked *edge.Edge) []string {
	addresses, _ := asked.Locate(time.Now(), "h.example", discovery.Caller{Region: "east", Centre: "east-a"})
	var names []string
	for _, e := range f.edges {
		if slices.Contains(addresses, e.Settings().CallerAddr) {
			names = append(names, e.Settings().Name)
		}
	}
	return names
}

// logged returns how many decisions of a kind and choice the instances have logged.
func (f *cutFleet) logged(kind, choice string) int {
	n := 0
	for _, log := range f.logs {
		for _, d := range log.History("") {
			if d.Kind == kind && d.Choice == choice {
				n++
			}
		}
	}
	return n
}

// Guards against an instance that is cut off from the targets and fails the requests that
// callers go on sending to it, although instances beside it reach the targets: from StableMs
// after the cut, nearly all must be served there, none run twice, and none at the others be
// refused. After the cut it serves by itself again, and the directory names it.
func TestCutOffInstanceServesThroughOthers(t *testing.T) {
	for _, kind := range []string{"refused", "reset", "hanging", "half-open"} {
		for _, n := range []int{1, 2} {
			t.Run(fmt.Sprint(kind, "/", n), func(t *testing.T) {
				t.Parallel()
				f := newCutFleet(t)
				var there, others outcomes
				stop := make(chan struct{})
				waitThere, waitOthers := sendRequests(f.edges[:n], 40, &there, stop), sendRequests(f.edges[n:], 40, &others, stop)
				time.Sleep(2 * time.Second)
				others.set("during")
				f.cut(n, kind)
				time.Sleep(stableTime)
				there.set("cut")
				time.Sleep(4 * time.Second)
				if names := f.located(f.edges[2]); slices.Contains(names, "east-0") || len(names) != 3-n {
					t.Errorf("the directory names %v", names)
				}
				there.set("after")
				f.cut(n, "")
				time.Sleep(2 * time.Second)
				there.set("direct")
				if got := f.logged("reach", "regained"); got < n {
					t.Errorf("%d of %d instances reach the targets again after two seconds", got, n)
				}
				time.Sleep(time.Second)
				if names := f.located(f.edges[2]); len(names) != 3 {
					t.Errorf("after the cut the directory names %v", names)
				}
				close(stop)
				waitThere()
				waitOthers()
				for name, o := range map[string]*outcomes{"cut": &there, "after": &there, "direct": &there, "during": &others} {
					share, sent := o.share(name)
					t.Logf("%s: served %.3f of %d: %v", name, share, sent, o.counts[name])
					if share < 0.98 || sent < 30 {
						t.Errorf("%s: %.3f of %d requests were served", name, share, sent)
					}
				}
				if twice := f.runs.twice(); len(twice) > 0 {
					t.Errorf("requests ran twice: %v", twice)
				}
				if blocked := f.logged("part", "blocked"); blocked > 0 {
					t.Errorf("%d requests are blamed for targets that one instance does not reach", blocked)
				}
			})
		}
	}
}

// Guards against an instance that is cut off and misleads the others: another region, which has
// no targets and forwards all its requests, must be served through the instances that reach
// them, and a request that comes again and again at the one that does not must not be blamed
// for targets that have not ended.
func TestCutOffInstanceMisleadsNobody(t *testing.T) {
	for _, kind := range []string{"refused", "hanging"} {
		t.Run(kind, func(t *testing.T) {
			t.Parallel()
			f := newCutFleet(t)
			west := f.start("west", 0)
			f.waitReady()
			var far, others outcomes
			stop := make(chan struct{})
			var repeating sync.WaitGroup
			waitFar, waitOthers := sendRequests([]*edge.Edge{west}, 40, &far, stop), sendRequests(f.edges[1:], 40, &others, stop)
			for caller := range 8 { // several are open at each target as the links are cut
				repeating.Go(func() {
					for n := 0; ; n++ {
						select {
						case <-stop:
							return
						case <-time.After(10 * time.Millisecond):
							send(f.edges[0], fmt.Sprintf("same%d-%d", caller, n), http.MethodGet, "/quick/same", nil)
						}
					}
				})
			}
			time.Sleep(2 * time.Second)
			others.set("cut")
			f.cut(1, kind)
			time.Sleep(stableTime)
			far.set("cut")
			time.Sleep(4 * time.Second)
			close(stop)
			waitFar()
			waitOthers()
			repeating.Wait()
			for name, o := range map[string]*outcomes{"another region": &far, "beside": &others} {
				share, sent := o.share("cut")
				t.Logf("%s: served %.3f of %d: %v", name, share, sent, o.counts)
				if share < 0.98 || sent < 100 {
					t.Errorf("%s: %.3f of %d requests were served", name, share, sent)
				}
			}
			if blocked := f.logged("part", "blocked"); blocked > 0 {
				t.Errorf("%d requests are blamed for targets that one instance does not reach", blocked)
			}
		})
	}
}

// Guards against a directory without instances where all of a region are cut off: they must be
// named, and serve again as the cut ends.
func TestAllInstancesCutOff(t *testing.T) {
	t.Parallel()
	f := newCutFleet(t)
	var o outcomes
	stop := make(chan struct{})
	wait := sendRequests(f.edges, 60, &o, stop)
	time.Sleep(time.Second)
	f.cut(3, "reset")
	time.Sleep(stableTime)
	for _, e := range f.edges {
		if names := f.located(e); len(names) != 3 {
			t.Errorf("%s names %v", e.Settings().Name, names)
		}
		if !e.Ready() {
			t.Errorf("%s is not ready", e.Settings().Name)
		}
	}
	f.cut(3, "")
	time.Sleep(2 * time.Second)
	o.set("after")
	time.Sleep(2 * time.Second)
	close(stop)
	wait()
	if share, sent := o.share("after"); share < 0.98 {
		t.Errorf("two seconds after the cut %.3f of %d requests are served: %v", share, sent, o.counts)
	}
}
