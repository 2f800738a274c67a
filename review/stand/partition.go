package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// ownedBy reports whether the other end of a connection on a loopback address is a socket of
// the process, which the case has started.
func ownedBy(c net.Conn, pid int) bool {
	remote, ok := c.RemoteAddr().(*net.TCPAddr)
	if !ok {
		return false
	}
	ip := remote.IP.To4()
	want := fmt.Sprintf("%02X%02X%02X%02X:%04X", ip[3], ip[2], ip[1], ip[0], remote.Port)
	table, err := os.ReadFile(fmt.Sprintf("/proc/%d/net/tcp", pid))
	if err != nil {
		return false
	}
	local := c.LocalAddr().(*net.TCPAddr)
	lip := local.IP.To4()
	peer := fmt.Sprintf("%02X%02X%02X%02X:%04X", lip[3], lip[2], lip[1], lip[0], local.Port)
	_, row, found := strings.Cut(string(table), want+" "+peer+" ")
	fields := strings.Fields(row)
	if !found || len(fields) < 7 {
		return false
	}
	inode := fields[6]
	dir := fmt.Sprintf("/proc/%d/fd", pid)
	entries, err := os.ReadDir(dir)
	if err != nil {
		return false
	}
	for _, entry := range entries {
		if link, err := os.Readlink(dir + "/" + entry.Name()); err == nil && link == "socket:["+inode+"]" {
			return true
		}
	}
	return false
}

// partition cuts one of three machines of a region off from all servers for some seconds, while
// clients, the store and the other machines still reach it.
func partition(s *Setup) (bool, error) {
	store, storeAddr, err := startStore("127.0.0.1")
	if err != nil {
		return false, err
	}
	places := []Place{{"zagreb-a", "zagreb"}, {"split-a", "split"}}
	fleet, err := NewFleet(s.Root, storeAddr, places, []int{3, 2})
	if err != nil {
		return false, err
	}
	defer fleet.Close()
	var cut atomic.Bool
	cutOff := fleet.Fronts[2]
	var engines []*Engine
	for _, p := range places {
		for range 3 {
			e := &Engine{
				Store: store, Service: "dnevnik-app", Zone: p.Zone, Slots: 6, Work: 15 * time.Millisecond,
				Refuses:   func(c net.Conn) bool { return cut.Load() && ownedBy(c, cutOff.Pid()) },
				OnArrival: func(Arrival) {},
			}
			if err := e.Start("127.0.0.1"); err != nil {
				return false, err
			}
			defer e.Stop()
			engines = append(engines, e)
		}
	}
	store.Put("op/config", Configuration{
		Version: 7, Limits: limits,
		Routes: []Route{
			{Name: "r-upis", Host: "dnevnik.example", PathPrefix: "/upis/", Kind: "non_idempotent", TimeoutMs: 5000, GoalMs: 1000, Priority: 2, Service: "dnevnik-app", Attempts: 2},
			{Name: "r-pregled", Host: "dnevnik.example", PathPrefix: "/pregled/", Kind: "idempotent", TimeoutMs: 5000, GoalMs: 1000, Priority: 2, Service: "dnevnik-app", Attempts: 2},
		},
		Services: []Service{plainService("dnevnik-app")},
		Tenants: []Tenant{
			{Name: "kuca", ApiKeys: []string{"key-kuca"}, Unit: "token_stream", PlainTokens: 200, HomeRegions: []string{"zagreb"}},
			{Name: "grad", ApiKeys: []string{"key-grad"}, Unit: "token_stream", PlainTokens: 200},
		},
	})
	if err := fleet.StartAll(); err != nil {
		return false, err
	}
	time.Sleep(6 * time.Second)
	zagreb := places[0]
	type count struct{ tries, served int }
	var mu sync.Mutex
	var counting atomic.Bool
	at := map[bool]*count{true: {}, false: {}} // by whether the machine is cut off
	failures := map[string]int{}
	stop := make(chan struct{})
	var clients sync.WaitGroup
	// Each client asks the directory and makes a few requests, each on a new connection. Three of
	// five clients belong to a tenant whose home is the region.
	clients.Go(func() {
		ticker := time.NewTicker(100 * time.Millisecond)
		defer ticker.Stop()
		for {
			select {
			case <-stop:
				return
			case <-ticker.C:
			}
			clients.Go(func() {
				addrs, err := fleet.resolve("dnevnik.example", zagreb)
				if err != nil {
					s.Record.Line("no directory: %v", err)
					return
				}
				key := "key-grad"
				if rand.IntN(5) < 3 {
					key = "key-kuca"
				}
				failed := map[string]bool{}
				for n := range 4 {
					var usable []string
					for _, a := range addrs {
						if !failed[a] {
							usable = append(usable, a)
						}
					}
					if len(usable) == 0 {
						usable = addrs
					}
					addr := usable[rand.IntN(len(usable))]
					c := Call{ID: newID(), Method: http.MethodGet, Host: "dnevnik.example", Path: "/pregled/" + newID(), Key: key, Deadline: 5 * time.Second}
					if n%2 == 1 {
						c.Method, c.Path, c.Body = http.MethodPost, "/upis/"+newID(), []byte(`{"upis":"mlijeko 1,35"}`)
					}
					counted := counting.Load()
					began := time.Now()
					r, err := attempt(addr, c)
					ok := err == nil && r.status == 200 && r.stamp != ""
					isCut := addr == cutOff.addr(cutOff.Ports.Front)
					mu.Lock()
					if counted {
						at[isCut].tries++
						if ok {
							at[isCut].served++
						} else {
							failures[fmt.Sprintf("%s %s: status %d, %v", addr, key, r.status, errors.Unwrap(err))]++
						}
					}
					mu.Unlock()
					s.Record.Line("first try %s %s of %s to %s: status %d, %v, after %v", c.ID, c.Path, key, addr, r.status, err, time.Since(began).Round(time.Millisecond))
					if err != nil {
						failed[addr] = true
					}
					time.Sleep(300 * time.Millisecond)
				}
			})
		}
	})
	time.Sleep(4 * time.Second)
	if s.Trouble {
		cut.Store(true)
		for _, e := range engines {
			e.ResetRefused()
		}
		s.Record.Say("%s is partitioned from all servers: its connections to them are reset", cutOff.Name)
	}
	time.Sleep(stable)
	s.Record.Say("StableMs have passed; first tries count from now; %s ready: %v", cutOff.Name, cutOff.Ready())
	counting.Store(true)
	time.Sleep(10 * time.Second)
	counting.Store(false)
	cut.Store(false)
	s.Record.Say("the partition has ended")
	time.Sleep(3 * time.Second)
	close(stop)
	clients.Wait()
	mu.Lock()
	defer mu.Unlock()
	c, o := at[true], at[false]
	failedThere := c.tries - c.served
	s.Record.Say("first tries at %s: %d, served %d; at the others: %d, served %d; failures: %v", cutOff.Name, c.tries, c.served, o.tries, o.served, failures)
	if c.tries == 0 {
		return false, nil
	}
	shareThere, shareOthers := float64(c.served)/float64(c.tries), float64(o.served)/float64(max(o.tries, 1))
	allowed := 10 + (c.tries+o.tries)/50
	s.Record.Say("served there %.3f, at the others %.3f; %d failed there, %d are allowed", shareThere, shareOthers, failedThere, allowed)
	return shareThere < shareOthers*2/3 && failedThere > allowed, nil
}
