package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"
)

const (
	trickleClients = 1300
	trickleBody    = 1 << 20 // bytes that are announced; the operator's limit is four times that
	trickleFirst   = 2000    // bytes of it that are sent at once
	tricklePiece   = 100     // bytes that are sent after each tricklePause
	tricklePause   = 400 * time.Millisecond
	trickleTime    = 20 * time.Second
	ordinary       = 15 // ordinary clients of each instance
	// minTrying is how many clients have to try for the rule.
	minTrying = 7
	// takenAfter is how long a connection without a response stays open that was taken.
	takenAfter = time.Second
)

// tried is a new connection that a client made.
type tried struct {
	at    time.Time
	who   string
	taken bool
}

// trickleCase has many clients that send large bodies of legal size piece by piece to one of three
// instances, and ordinary clients that make a new connection for each request.
func trickleCase(record string, trouble bool) (bool, error) {
	w, err := newWorld(record, map[string]string{"zagreb-a": "zagreb"})
	if err != nil {
		return false, err
	}
	defer w.stop()
	w.store.put("op/config", config(7, []map[string]any{
		route("r-read", "/puxa403/", "idempotent", "huvo11a", 3000, 500, 2),
		route("r-place", "/pule252/", "non_idempotent", "huvo11a", 12000, 500, 1),
	}, []map[string]any{plainService("huvo11a")}))
	for range 3 {
		e := &engine{service: "huvo11a", zone: "zagreb-a", slots: 6, queue: 24}
		e.events = func(string) (int, time.Duration) { return 0, time.Duration(30+rand.IntN(60)) * time.Millisecond }
		if err := w.addEngine(e); err != nil {
			return false, err
		}
	}
	for range 3 {
		w.addNode("zagreb-a")
	}
	if err := w.startAll(); err != nil {
		return false, err
	}
	crowded := w.nodes[0]
	var mu sync.Mutex
	var list []tried // at the crowded instance
	add := func(t tried) {
		mu.Lock()
		defer mu.Unlock()
		list = append(list, t)
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var wg sync.WaitGroup
	for i, n := range w.nodes {
		for j := range ordinary {
			wg.Add(1)
			go func() {
				defer wg.Done()
				for k := 0; ctx.Err() == nil; k++ {
					c := newClient()
					a := w.send(c, n, request{kind: "look-up at " + n.name, method: "GET", path: fmt.Sprintf("/puxa403/%d-%d-%d", i, j, k), deadline: 3 * time.Second})
					c.CloseIdleConnections()
					if n == crowded {
						add(tried{a.at, fmt.Sprintf("client %d", j), a.status != 0})
					}
					time.Sleep(time.Duration(300+rand.IntN(400)) * time.Millisecond)
				}
			}()
		}
	}
	time.Sleep(3 * time.Second)
	outcomes := make(map[string]int)
	from := time.Now()
	if trouble {
		w.log("%d clients send bodies of %d bytes piece by piece to %s", trickleClients, trickleBody, crowded.name)
		for range trickleClients {
			wg.Add(1)
			go func() {
				defer wg.Done()
				for time.Since(from) < trickleTime {
					at := time.Now()
					result := trickle(crowded, from.Add(trickleTime))
					add(tried{at, "crowd", time.Since(at) >= takenAfter || result[0] >= '2' && result[0] <= '5'})
					mu.Lock()
					outcomes[result]++
					mu.Unlock()
					time.Sleep(time.Duration(rand.IntN(1000)) * time.Millisecond)
				}
			}()
		}
	}
	notReady := 0
	for time.Since(from) < trickleTime {
		if !crowded.ready() {
			notReady++
		}
		time.Sleep(500 * time.Millisecond)
	}
	to := time.Now()
	cancel()
	wg.Wait()
	w.writeRecord()
	w.log("what the crowd got: %s", counts(outcomes))
	longest, trying, at := longestClosed(list, from, to)
	w.log("%s said %d times that it is not ready; for %.1f s, %.1f s after the crowd began, it took no new connection, and %d ordinary clients tried", crowded.name, notReady, longest.Seconds(), at.Sub(from).Seconds(), trying)
	return notReady > 0 || longest < stableMs || trying < minTrying, nil
}

// longestClosed returns the longest time between two new connections that were taken, how many
// ordinary clients tried in it, and when it began.
func longestClosed(list []tried, from, to time.Time) (longest time.Duration, trying int, began time.Time) {
	times := []time.Time{from, to}
	for _, t := range list {
		if t.taken && t.at.After(from) && t.at.Before(to) {
			times = append(times, t.at)
		}
	}
	slices.SortFunc(times, time.Time.Compare)
	for i := range len(times) - 1 {
		if d := times[i+1].Sub(times[i]); d > longest {
			longest, began = d, times[i]
		}
	}
	clients := make(map[string]bool)
	for _, t := range list {
		if t.who != "crowd" && t.at.After(began) && t.at.Before(began.Add(longest)) {
			clients[t.who] = true
		}
	}
	return longest, len(clients), began
}

// trickle sends a body piece by piece and returns how the connection ended.
func trickle(n *node, until time.Time) string {
	c, err := net.DialTimeout("tcp", n.ip+":8221", time.Second)
	if err != nil {
		return "no connection"
	}
	defer c.Close()
	_ = c.SetDeadline(until)
	_, err = fmt.Fprintf(c, "POST /pule252/large HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %016x\r\nX-Key: %s\r\nX-Deadline-Ms: 12000\r\nContent-Length: %d\r\n\r\n%s", host, rand.Uint64(), tenantKey, trickleBody, make([]byte, trickleFirst))
	if err != nil {
		return "closed"
	}
	stop := make(chan struct{})
	defer close(stop)
	go func() {
		for {
			select {
			case <-stop:
				return
			case <-time.After(tricklePause):
			}
			if _, err := c.Write(make([]byte, tricklePiece)); err != nil {
				return
			}
		}
	}()
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return "closed"
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	return resp.Status
}
