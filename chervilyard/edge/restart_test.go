package edge_test

import (
	"net/http"
	"sync"
	"testing"
	"time"

	"chervilyard.example/chervilyard/edge"
)

// The whole fleet loses power twice while one customer sends several times its
// rate. Each time requests are served again soon, and the runs of all instances
// together admit no more than one fleet that never stopped.
func TestWholeFleetLosesPower(t *testing.T) {
	t.Parallel()
	const (
		rate   = 6000.0 // tokens a second, and the burst
		tokens = 300
		window = 2 * time.Second
		serves = 1500 * time.Millisecond // after the start, until requests are served
	)
	f := newFleet(t)
	f.store.put("configuration/document", document{Version: 1, Rate: rate, Keys: []string{"k"}})
	f.target("a", "east-a", say("a"))
	f.target("b", "west-a", say("b"))
	var mu sync.Mutex
	var admitted []time.Time
	for run := range 3 {
		var list []*edge.Edge
		for n := range 2 {
			list = append(list, f.start("east", n), f.start("west", n))
		}
		begun := time.Now()
		first := make(chan time.Duration, 1)
		var senders sync.WaitGroup
		for _, e := range list {
			senders.Go(func() {
				for time.Since(begun) < serves+window {
					status, _ := call(e, "k", tokens)
					if status != http.StatusOK {
						time.Sleep(5 * time.Millisecond)
						continue
					}
					mu.Lock()
					admitted = append(admitted, time.Now())
					mu.Unlock()
					select {
					case first <- time.Since(begun):
					default:
					}
				}
			})
		}
		senders.Wait()
		select {
		case took := <-first:
			if took > serves {
				t.Errorf("run %d: the first request was served after %v", run, took)
			}
		default:
			t.Fatalf("run %d: no request was served", run)
		}
		for _, e := range list {
			e.Kill()
		}
	}
	for i := range admitted {
		n := 0
		for j := i; j < len(admitted) && admitted[j].Sub(admitted[i]) < window; j++ {
			n++
		}
		// Each of four buckets owes at most one request.
		if most := rate*window.Seconds() + rate + 4*tokens; float64(n*tokens) > most {
			t.Fatalf("%d tokens within %v, at most %v", n*tokens, window, most)
		}
	}
}
