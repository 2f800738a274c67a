package main

import (
	"context"
	"fmt"
	"maps"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// The bounds of the rule.
const (
	stable        = 5 * time.Second // Bounds.StableMs
	crashesBefore = 5               // the bound begins StableMs after the fifth crash
	maxDeadly     = 3               // BUDGET: more than three requests
)

// crasher is an engine that ends under a deadly request, and is back after some seconds under a new
// id, on the same address.
type crasher struct {
	d       *deployment
	service string
	zone    string
	ip      string
	deadly  func(r *http.Request) bool
	answers bool // it ends as it begins to write an answer, and else as it begins to run the request
	downFor time.Duration
	number  int

	mu   sync.Mutex
	addr string
	runs int
}

// run serves incarnations of the engine until stop is closed.
func (c *crasher) run(stop <-chan struct{}) error {
	ln, err := net.Listen("tcp", c.ip+":0")
	if err != nil {
		return err
	}
	c.addr = ln.Addr().String()
	go func() {
		for {
			c.incarnation(ln, stop)
			select {
			case <-time.After(c.downFor):
			case <-stop:
				return
			}
			for {
				if ln, err = net.Listen("tcp", c.addr); err == nil {
					break
				}
				select {
				case <-time.After(100 * time.Millisecond):
				case <-stop:
					return
				}
			}
		}
	}()
	return nil
}

// incarnation serves until the engine crashes: its connections are reset and its port refuses
// new ones. The entry is not removed; it lapses after three intervals without a beat.
func (c *crasher) incarnation(ln net.Listener, stop <-chan struct{}) {
	c.mu.Lock()
	c.runs++
	id := fmt.Sprintf("i-%02d%04x", c.number, c.runs)
	c.mu.Unlock()
	e := &engine{id: id, service: c.service, zone: c.zone, slots: 64, rec: c.d.rec, addr: c.addr, born: time.Now().UnixMilli()}
	ended, beatEnd := make(chan struct{}), make(chan struct{})
	var once sync.Once
	tracked := &resetListener{Listener: ln}
	server := &http.Server{}
	crash := func(id string) {
		once.Do(func() {
			c.d.rec.add(event{at: time.Now(), what: "crash", engine: e.id, id: id})
			close(beatEnd)
			_ = ln.Close()
			tracked.reset()
			close(ended)
		})
	}
	server.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !c.deadly(r) {
			e.ServeHTTP(w, r)
			return
		}
		if want := r.Header.Get("X-Expect-Instance"); want != "" && want != e.id {
			e.ServeHTTP(w, r) // 421
			return
		}
		reqID := r.Header.Get("X-Request-Id")
		e.rec.add(event{at: time.Now(), what: "request", engine: e.id, id: reqID, result: "deadly"})
		if c.answers {
			h := w.Header()
			h["Date"] = nil
			h.Set("X-Request-Id", reqID)
			h.Set("X-Server-Stamp", "s."+e.id+"."+reqID)
			h.Set("Content-Type", "text/event-stream")
			w.WriteHeader(http.StatusOK)
			fmt.Fprint(w, "id: 1\ndata: pie")
			w.(http.Flusher).Flush()
			time.Sleep(5 * time.Millisecond)
		}
		crash(reqID)
		panic(http.ErrAbortHandler)
	})
	e.work = 60 * time.Millisecond
	go e.beat(c.d.store, beatEnd)
	go func() { _ = server.Serve(tracked) }()
	go func() { // the entry lapses after three intervals of silence
		select {
		case <-ended:
			time.Sleep(3 * 1200 * time.Millisecond)
			c.d.store.put("servers/"+e.id, nil)
		case <-stop:
		}
	}()
	select {
	case <-ended:
	case <-stop:
	}
}

func hasPart(prefix, id string) bool {
	for _, entry := range strings.Split(prefix, ",") {
		if name, _, _ := strings.Cut(entry, ":"); name == id {
			return true
		}
	}
	return false
}

// resetListener resets all its connections at once, as the end of a process does.
type resetListener struct {
	net.Listener
	mu    sync.Mutex
	conns []net.Conn
}

func (l *resetListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err == nil {
		l.mu.Lock()
		l.conns = append(l.conns, c)
		l.mu.Unlock()
	}
	return c, err
}

func (l *resetListener) reset() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range l.conns {
		_ = c.(*net.TCPConn).SetLinger(0)
		_ = c.Close()
	}
}

// deadlyPart: one part of a prompt crashes each engine that begins to write an answer on it.
// Requests with it come at both machines, no two alike. Sound ones have the same caller and the
// other parts. position is the place of the part among the shared ones, of which there are parts.
func deadlyPart(parts, position int) func(ctx context.Context, d *deployment) (outcome, error) {
	return func(ctx context.Context, d *deployment) (outcome, error) {
		const deadly = "deadbeef"
		prefix := func(n int, withDeadly bool) string {
			var list []string
			for i := range parts {
				if i == position && withDeadly {
					list = append(list, deadly+":16")
					continue
				}
				list = append(list, fmt.Sprintf("%08x:16", 0x5c1e0000+i))
			}
			return strings.Join(append(list, fmt.Sprintf("%08x:100", 0x91000000+n)), ",")
		}
		tokens := strconv.Itoa(16*parts+100) + ",80"
		if err := d.begin(streamConfig(), []string{"zagreb-a", "zagreb-a"}); err != nil {
			return outcome{}, err
		}
		for n := range 4 {
			c := &crasher{d: d, service: "model-citac", zone: "zagreb-a", ip: d.ip(1, n+1), downFor: 3 * time.Second, number: n + 1, answers: true,
				deadly: func(r *http.Request) bool { return hasPart(r.Header.Get("X-Prefix-Hash"), deadly) }}
			if err := c.run(d.stopped); err != nil {
				return outcome{}, err
			}
		}
		if err := pause(ctx, 8*time.Second); err != nil {
			return outcome{}, err
		}
		var count atomic.Int64
		sound := &clients{rec: d.rec, gates: d.gates, host: "ficu95.example", path: "/lohu930/2f", key: "i9n73hh2b9wu3fexd9dn", tokens: tokens, deadline: 12 * time.Second, perS: 10, seed: 1,
			prefix: func(int) string { return prefix(int(count.Add(1)), false) }}
		sick := &clients{rec: d.rec, gates: d.gates, host: "ficu95.example", path: "/lohu930/2f", key: "i9n73hh2b9wu3fexd9dn", tokens: tokens, deadline: 12 * time.Second, perS: 1, seed: 2,
			prefix: func(int) string { return prefix(1<<20+int(count.Add(1)), true) }}
		sending, stop := context.WithCancel(ctx)
		defer stop()
		var wg sync.WaitGroup
		wg.Go(func() { sound.run(sending) })
		if err := pause(ctx, 8*time.Second); err != nil {
			return outcome{}, err
		}
		if d.trouble {
			d.rec.note("requests with the deadly part begin: one a second")
			wg.Go(func() { sick.run(sending) })
		}
		if err := pause(ctx, 45*time.Second); err != nil {
			return outcome{}, err
		}
		stop()
		wg.Wait()
		crashes, late := 0, 0
		var fifth time.Time
		for _, e := range d.rec.sorted() {
			switch {
			case e.what == "crash":
				if crashes++; crashes == crashesBefore {
					fifth = e.at
				}
			case e.result == "deadly" && !fifth.IsZero() && e.at.After(fifth.Add(stable)):
				late++
			}
		}
		text := fmt.Sprintf("BUDGET: %d crashes; %d requests with the part reached engines later than 5 s after the fifth crash (3 allowed)", crashes, late)
		return outcome{broken: late > maxDeadly, text: text}, nil
	}
}

const (
	thirdCrash = 3 // the bound begins StableMs after the third crash
	maxRetries = 3 // BUDGET: more than three retries
)

// deadlyRequest: a request crashes each engine that begins to run it, and comes again with the same
// path, caller and body, at any machine. Its route is split over services by weights. If counted is
// set, the query differs each time.
func deadlyRequest(backends map[string]float64, counted bool) func(ctx context.Context, d *deployment) (outcome, error) {
	return func(ctx context.Context, d *deployment) (outcome, error) {
		config := streamConfig()
		route := config["Routes"].([]any)[0].(map[string]any)
		service := config["Services"].([]any)[0].(map[string]any)
		delete(route, "Service")
		var list, services []any
		names := slices.Sorted(maps.Keys(backends))
		for _, name := range names {
			list = append(list, map[string]any{"Service": name, "Weight": backends[name]})
			other := maps.Clone(service)
			other["Name"] = name
			services = append(services, other)
		}
		route["Backends"], config["Services"] = list, services
		if err := d.begin(config, []string{"zagreb-a", "zagreb-a"}); err != nil {
			return outcome{}, err
		}
		number := 0
		for _, name := range names {
			for range 3 {
				number++
				c := &crasher{d: d, service: name, zone: "zagreb-a", ip: d.ip(1, number), downFor: 3 * time.Second, number: number,
					deadly: func(r *http.Request) bool {
						return r.Header.Get("X-Model") == "m" && r.ContentLength == int64(len(deadlyBody))
					}}
				if err := c.run(d.stopped); err != nil {
					return outcome{}, err
				}
			}
		}
		if err := pause(ctx, 8*time.Second); err != nil {
			return outcome{}, err
		}
		sound := &clients{rec: d.rec, gates: d.gates, host: "ficu95.example", path: "/lohu930/2f", key: "i9n73hh2b9wu3fexd9dn", tokens: "1460,80", deadline: 12 * time.Second, perS: 10, seed: 1}
		sick := &clients{rec: d.rec, gates: d.gates, host: "ficu95.example", path: "/lohu930/2f", key: "i9n73hh2b9wu3fexd9dn", tokens: "1460,80", deadline: 12 * time.Second, perS: 2, seed: 2, body: deadlyBody, counted: counted}
		sending, stop := context.WithCancel(ctx)
		defer stop()
		var wg sync.WaitGroup
		wg.Go(func() { sound.run(sending) })
		if err := pause(ctx, 5*time.Second); err != nil {
			return outcome{}, err
		}
		if d.trouble {
			d.rec.note("the request that crashes engines comes twice a second")
			wg.Go(func() { sick.run(sending) })
		}
		if err := pause(ctx, 70*time.Second); err != nil {
			return outcome{}, err
		}
		stop()
		wg.Wait()
		crashes, late := 0, 0
		var third time.Time
		for _, e := range d.rec.sorted() {
			switch {
			case e.what == "crash":
				if crashes++; crashes == thirdCrash {
					third = e.at
				}
			case e.result == "deadly" && !third.IsZero() && e.at.After(third.Add(stable)):
				late++
			}
		}
		text := fmt.Sprintf("BUDGET: %d crashes; the request reached engines in %d retries later than 5 s after it had crashed the third (3 allowed)", crashes, late)
		return outcome{broken: late > maxRetries, text: text}, nil
	}
}

var deadlyBody = strings.Repeat("d", 512)
