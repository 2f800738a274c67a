package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// A machine of the two deployments whose clients are not controlled: see demands/LATER.md.
	crowdMemoryMb = 184
	crowdFds      = 4100
	crowdClients  = 1000
	crowdBody     = 4 << 20 // bytes; the operator's limit
	crowdMissing  = 16      // bytes that are not sent of each body
	crowdTime     = 15 * time.Second
	// A fault is that on two machines, and a tenth of them, processes end three times.
	crowdedNodes = 2
	faultNodes   = 2
	faultKills   = 3
	restartDelay = 500 * time.Millisecond // of a process that was killed
)

// memoryOf returns the resident bytes of an instance's process and those that its connections
// from clients have received and that it has not read.
func memoryOf(n *node) (resident, unread int64) {
	status, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", n.cmd.Process.Pid))
	for line := range strings.Lines(string(status)) {
		if rest, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kb, _ := strconv.ParseInt(strings.Fields(rest)[0], 10, 64)
			resident = kb << 10
		}
	}
	ip := net.ParseIP(n.ip).To4()
	address := fmt.Sprintf("%02X%02X%02X%02X:%04X", ip[3], ip[2], ip[1], ip[0], 8221)
	for _, file := range []string{"/proc/net/tcp", "/proc/net/tcp6"} {
		table, _ := os.ReadFile(file)
		for line := range strings.Lines(string(table)) {
			// local address in 1, state in 3 (0A: listening), TX:RX queues in 4, inode in 9, which
			// is 0 for a connection that the process has not accepted or has closed
			f := strings.Fields(line)
			if len(f) < 10 || !strings.HasSuffix(f[1], address) || f[3] == "0A" || f[9] == "0" {
				continue
			}
			_, rx, _ := strings.Cut(f[4], ":")
			bytes, _ := strconv.ParseInt(rx, 16, 64)
			unread += bytes
		}
	}
	return resident, unread
}

// crowdCase sends many large bodies of legal size at once to two of four instances, which stop
// just short of their end and stay open.
func crowdCase(record string, trouble bool) (bool, error) {
	w, err := newWorld(record, map[string]string{"zagreb-a": "zagreb"})
	if err != nil {
		return false, err
	}
	defer w.stop()
	w.memoryMb, w.fds = crowdMemoryMb, crowdFds
	w.store.put("op/config", config(7, []map[string]any{
		route("r-read", "/puxa403/", "idempotent", "huvo11a", 3000, 500, 2),
		route("r-place", "/pule252/", "non_idempotent", "huvo11a", 3000, 500, 1),
	}, []map[string]any{plainService("huvo11a")}))
	for range 3 {
		e := &engine{service: "huvo11a", zone: "zagreb-a", slots: 6, queue: 24}
		e.events = func(string) (int, time.Duration) { return 0, time.Duration(30+rand.IntN(60)) * time.Millisecond }
		if err := w.addEngine(e); err != nil {
			return false, err
		}
	}
	for range 4 {
		w.addNode("zagreb-a")
	}
	crowded := w.nodes[:crowdedNodes]
	if err := w.startAll(); err != nil {
		return false, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	k := 0
	wait := w.load(ctx, func() float64 { return 40 }, func() request {
		k++
		if k%2 == 0 {
			return request{kind: "order", method: "POST", path: fmt.Sprintf("/pule252/%d", k), body: make([]byte, 600), deadline: 3 * time.Second}
		}
		return request{kind: "look-up", method: "GET", path: fmt.Sprintf("/puxa403/%d", k), deadline: 3 * time.Second}
	})
	time.Sleep(3 * time.Second)
	watches := make([]*memoryWatch, len(crowded))
	for i, n := range crowded {
		watches[i] = &memoryWatch{n: n, done: make(chan struct{})}
		go watches[i].run(ctx, w)
	}
	var wg sync.WaitGroup
	var mu sync.Mutex
	outcomes := make(map[string]int)
	if trouble {
		w.log("%d clients each send bodies of %d bytes to %d instances and stop %d bytes short of their end", crowdClients, crowdBody, len(crowded), crowdMissing)
		body := make([]byte, crowdBody-crowdMissing)
		for i := range crowdClients * len(crowded) {
			n := crowded[i%len(crowded)]
			wg.Add(1)
			go func() {
				defer wg.Done()
				for until := time.Now().Add(crowdTime); time.Now().Before(until); time.Sleep(time.Duration(rand.IntN(1000)) * time.Millisecond) {
					result := "closed"
					if c, err := net.DialTimeout("tcp", n.ip+":8221", time.Second); err != nil {
						result = "no connection"
					} else {
						if resp := sendShort(c, until, body); resp != nil {
							result = resp.Status
						}
						_ = c.Close()
					}
					mu.Lock()
					outcomes[result]++
					mu.Unlock()
				}
			}()
		}
	}
	time.Sleep(crowdTime + 3*time.Second)
	wg.Wait()
	cancel()
	wait()
	w.writeRecord()
	w.log("what the crowd got: %s", counts(outcomes))
	faulty := 0
	for _, m := range watches {
		<-m.done
		w.log("most memory of %s: %d MB resident and %d MB received and not read, %d MB are allowed; killed %d times", m.n.name, m.resident>>20, m.unread>>20, crowdMemoryMb, m.kills)
		if m.kills >= faultKills {
			faulty++
		}
	}
	return faulty < faultNodes, nil
}

// memoryWatch kills the process of an instance when it exceeds its memory, as the platform does,
// and starts it again.
type memoryWatch struct {
	n                *node
	kills            int
	resident, unread int64 // at most
	done             chan struct{}
}

func (m *memoryWatch) run(ctx context.Context, w *world) {
	defer close(m.done)
	for over := 0; ctx.Err() == nil; time.Sleep(10 * time.Millisecond) {
		resident, unread := memoryOf(m.n)
		if resident+unread > m.resident+m.unread {
			m.resident, m.unread = resident, unread
		}
		if over++; resident+unread <= crowdMemoryMb<<20 {
			over = 0
		}
		if over < 2 { // the two figures are not of the same moment
			continue
		}
		over = 0
		m.kills++
		w.log("%s has %d MB resident and %d MB received and not read, %d MB are allowed: it is killed", m.n.name, resident>>20, unread>>20, crowdMemoryMb)
		_ = m.n.cmd.Process.Kill()
		_ = m.n.cmd.Wait()
		time.Sleep(restartDelay)
		if err := w.startNode(m.n); err != nil {
			w.log("not started again: %v", err)
			return
		}
	}
}

// sendShort sends a request whose body stops short of its end, and returns the response, nil if
// there is none until a time.
func sendShort(c net.Conn, until time.Time, body []byte) *http.Response {
	_ = c.SetDeadline(until)
	go func() {
		_, err := fmt.Fprintf(c, "POST /pule252/large HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %016x\r\nX-Key: %s\r\nX-Deadline-Ms: 12000\r\nContent-Length: %d\r\n\r\n", host, rand.Uint64(), tenantKey, len(body)+crowdMissing)
		if err == nil {
			_, _ = c.Write(body)
		}
	}()
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return nil
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	return resp
}
