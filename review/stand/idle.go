package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
	"unsafe"
)

const maxFds = 4100 // Limits.MaxFds

// limitFds sets the limit on open files of a process that the case has started.
func limitFds(pid int) error {
	limit := syscall.Rlimit{Cur: maxFds, Max: maxFds}
	_, _, errno := syscall.RawSyscall6(syscall.SYS_PRLIMIT64, uintptr(pid), syscall.RLIMIT_NOFILE, uintptr(unsafe.Pointer(&limit)), 0, 0, 0)
	if errno != 0 {
		return errno
	}
	return nil
}

// idle removes two of the three machines of a zone for good. Each client makes one request on a
// connection of its own, and then leaves it idle.
func idle(s *Setup) (bool, error) {
	const perSecond = 100
	store, storeAddr, err := startStore("127.0.0.1")
	if err != nil {
		return false, err
	}
	places := []Place{{"zagreb-a", "zagreb"}}
	fleet, err := NewFleet(s.Root, storeAddr, places, []int{3})
	if err != nil {
		return false, err
	}
	defer fleet.Close()
	for range 3 {
		e := &Engine{Store: store, Service: "dnevnik-app", Zone: "zagreb-a", Slots: 6, Queue: 24, Work: 15 * time.Millisecond, OnArrival: func(Arrival) {}}
		if err := e.Start("127.0.0.1"); err != nil {
			return false, err
		}
		defer e.Stop()
	}
	store.Put("op/config", Configuration{
		Version: 7, Limits: limits,
		Routes: []Route{
			{Name: "r-pregled", Host: "dnevnik.example", PathPrefix: "/pregled/", Kind: "idempotent", TimeoutMs: 5000, GoalMs: 300, Priority: 2, Service: "dnevnik-app", Attempts: 2},
		},
		Services: []Service{plainService("dnevnik-app")},
		Tenants:  []Tenant{{Name: "kuca", ApiKeys: []string{"key-kuca"}, Unit: "token_stream", PlainTokens: 200}},
	})
	if err := fleet.StartAll(); err != nil {
		return false, err
	}
	for _, m := range fleet.Fronts {
		if err := limitFds(m.Pid()); err != nil {
			return false, err
		}
	}
	time.Sleep(3 * time.Second)
	left := fleet.Fronts[0]
	if s.Trouble {
		for _, m := range fleet.Fronts[1:] {
			m.Signal(syscall.SIGKILL)
		}
		s.Record.Say("%s and %s are removed for good", fleet.Fronts[1].Name, fleet.Fronts[2].Name)
	}
	time.Sleep(6 * time.Second)

	// The platform asks for readiness on a kept connection.
	platform := &http.Client{Timeout: time.Second}
	var ready atomic.Bool
	stop := make(chan struct{})
	var tasks sync.WaitGroup
	tasks.Go(func() {
		for {
			r, err := platform.Get("http://" + left.addr(left.Ports.Ready) + "/v1/readyz")
			ok := err == nil && r.StatusCode == 200
			if err == nil {
				_, _ = io.Copy(io.Discard, r.Body)
				_ = r.Body.Close()
			}
			if ready.Swap(ok) != ok {
				s.Record.Say("%s says ready: %v, %v", left.Name, ok, err)
			}
			select {
			case <-stop:
				return
			case <-time.After(time.Second):
			}
		}
	})
	time.Sleep(100 * time.Millisecond)
	type window struct {
		since time.Time // of the last new connection that was taken
		tries int       // of clients since then
	}
	var mu sync.Mutex
	now := window{since: time.Now()}
	longest := window{}
	var longestFor time.Duration
	var served, unserved int
	var open []net.Conn
	var closedByServer int
	began := time.Now()
	var clients sync.WaitGroup
	for n := 0; time.Since(began) < 75*time.Second; time.Sleep(2 * time.Millisecond) {
		for ; float64(n) < time.Since(began).Seconds()*perSecond; n++ {
			clients.Go(func() {
				m := left
				if !s.Trouble {
					m = fleet.Fronts[rand.IntN(len(fleet.Fronts))]
				}
				conn, status, err := first(m.addr(m.Ports.Front))
				mu.Lock()
				defer mu.Unlock()
				if err == nil && status == 200 {
					served++
				} else {
					unserved++
				}
				if m == left {
					if err == nil {
						now = window{since: time.Now()}
					} else if ready.Load() {
						now.tries++
						if d := time.Since(now.since); d > longestFor && now.tries >= 7 {
							longestFor, longest = d, now
						}
					}
				}
				if err != nil {
					s.Record.Line("new connection to %s: %v", m.Name, err)
					return
				}
				s.Record.Line("new connection to %s: status %d", m.Name, status)
				open = append(open, conn)
				go func() {
					var b [1]byte
					_, _ = conn.Read(b[:]) // until the server closes it
					_ = conn.Close()
					mu.Lock()
					closedByServer++
					mu.Unlock()
				}()
			})
		}
	}
	mu.Lock()
	s.Record.Say("after %v: %d connections had an answer, %d of them were closed by the machines since", time.Since(began).Round(time.Second), len(open), closedByServer)
	for _, c := range open {
		_ = c.Close()
	}
	mu.Unlock()
	clients.Wait()
	close(stop)
	tasks.Wait()
	mu.Lock()
	defer mu.Unlock()
	s.Record.Say("first requests on new connections: %d served, %d not", served, unserved)
	s.Record.Say("%s, which says that it is ready, took no new connection for %.1f s while %d clients tried", left.Name, longestFor.Seconds(), longest.tries)
	return longestFor >= stable && longest.tries >= 7, nil
}

// first opens a connection and makes the first request on it. The client leaves if the request
// is not answered within a second, as clients of idempotent requests do.
func first(address string) (net.Conn, int, error) {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, 0, err
	}
	_ = conn.SetDeadline(time.Now().Add(1700 * time.Millisecond)) // a third of the time left
	_, err = fmt.Fprintf(conn, "GET /pregled/%s HTTP/1.1\r\nHost: dnevnik.example\r\nX-Request-Id: %s\r\nX-Deadline-Ms: 5000\r\nX-Key: key-kuca\r\n\r\n", newID(), newID())
	if err != nil {
		_ = conn.Close()
		return nil, 0, err
	}
	r, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		_ = conn.Close()
		return nil, 0, err
	}
	_, _ = io.Copy(io.Discard, r.Body)
	_ = r.Body.Close()
	_ = conn.SetDeadline(time.Time{})

	return conn, r.StatusCode, nil
}
