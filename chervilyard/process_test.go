package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"chervilyard.example/yard/environment"
	"chervilyard.example/yard/key"
	"chervilyard.example/yard/memstore"
	"chervilyard.example/yard/store"
)

// The load: callers at once, each with a body of the largest legal size or more. Together they
// send more than the memory of the instance.
const (
	crowdCallers = 60
	crowdMemory  = 96 << 20
	crowdBody    = 4 << 20
	crowdTime    = 700 * time.Millisecond // for which a crowd is left alone
	longAnswer   = 2 << 20
	targetTime   = 300 * time.Millisecond // for which the target keeps a request to "/slow"
	waitTime     = 20 * time.Second       // for what a test waits without checking the time
)

const crowdDocument = `[environment]
name = test
[region r]
[centre c]
region = r
[centre d]
region = r
[customer x]
rate = 200000
burst = 1000000
[route orders]
kind = service
repeatable = yes
deadline = 10s
[route chat]
kind = model
limit = 100
[target t]
centre = c
address = %s
serves = orders, chat
capacity = 256
[key k]
customer = x
hash = %s
`

// startData starts a target in centre c and a store with a document that names it, and returns
// the URL of the store.
func startData(t *testing.T) string {
	t.Helper()
	target := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/load" { // it does not report its load
			w.WriteHeader(http.StatusNotFound)
			return
		}
		n, _ := io.Copy(io.Discard, r.Body) // a body that breaks off has no answer that counts
		switch r.URL.Path {
		case "/long":
			_, _ = w.Write(make([]byte, longAnswer))
			return
		case "/v1/chat/completions":
			w.Header().Set("Content-Type", "application/json")
			_, _ = fmt.Fprintf(w, `{"content":%q,"usage":{"total_tokens":1}}`, strings.Repeat("x", longAnswer))
			return
		case "/slow":
			time.Sleep(targetTime)
		}
		_, _ = fmt.Fprint(w, "read ", n)
	}))
	t.Cleanup(target.Close)
	data := httptest.NewServer(&memstore.Store{})
	t.Cleanup(data.Close)
	env := environment.Environment{Store: store.New(data.URL), Name: "test", Author: "test"}
	text := fmt.Sprintf(crowdDocument, target.Listener.Addr(), key.HashSecret("secret"))
	if _, err := env.Apply(context.Background(), time.Now(), text, "test", 0); err != nil {
		t.Fatal(err)
	}
	return data.URL
}

// startProcess builds and starts an instance of a centre with the settings, and returns its
// process and its address for callers once it answers.
func startProcess(t *testing.T, storeURL, centre, limits string) (pid int, callers string) {
	t.Helper()
	// Connections of the crowd cannot take ports of this address.
	pid = os.Getpid()
	ip := fmt.Sprintf("127.%d.%d.251", 1+pid%250, pid/250%250)
	var addresses []any
	var listeners []net.Listener
	for range 3 {
		l, err := net.Listen("tcp", ip+":0")
		if err != nil {
			t.Fatal(err)
		}
		addresses = append(addresses, l.Addr().String())
		listeners = append(listeners, l)
	}
	for _, l := range listeners {
		_ = l.Close() // the instance listens there
	}
	dir := t.TempDir()
	settings := fmt.Sprintf("[instance]\nenvironment = test\ncentre = "+centre+"\ncallers = %s\npeers = %s\noperators = %s\n", addresses...) +
		"[store]\nurl = " + storeURL + "\n[tls]\ninsecure = yes\n[limits]\n" + limits
	path := filepath.Join(dir, "settings")
	if err := os.WriteFile(path, []byte(settings), 0o600); err != nil {
		t.Fatal(err)
	}
	program := filepath.Join(dir, "chervilyard")
	if out, err := exec.Command("go", "build", "-o", program, ".").CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	cmd := exec.Command(program, "--config", path)
	cmd.Stdout, cmd.Stderr = t.Output(), t.Output()
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		_ = cmd.Process.Kill()
		_ = cmd.Wait() // it was killed
	})
	callers = fmt.Sprint(addresses[0])
	awaitAnswer(t, callers, nil)
	return cmd.Process.Pid, callers
}

// awaitAnswer sends a request until it is answered with 200, and returns the body of the answer.
func awaitAnswer(t *testing.T, callers string, body []byte) string {
	t.Helper()
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: waitTime}
	last := ""
	for deadline := time.Now().Add(waitTime); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		r, err := http.NewRequest(http.MethodPost, "http://"+callers+"/s/orders/x", bytes.NewReader(body))
		if err != nil {
			t.Fatal(err)
		}
		r.Header.Set("Authorization", "Bearer secret")
		resp, err := client.Do(r)
		if err != nil {
			last = err.Error()
			continue
		}
		text, err := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK && err == nil {
			return string(text)
		}
		last = fmt.Sprint(resp.StatusCode, " ", string(text), " ", err)
	}
	t.Fatalf("no answer: %s", last)
	return ""
}

func peakMemory(t *testing.T, pid int) int {
	t.Helper()
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		t.Fatal(err)
	}
	_, rest, _ := strings.Cut(string(text), "VmHWM:")
	value, _, _ := strings.Cut(rest, " kB")
	n, err := strconv.Atoi(strings.TrimSpace(value))
	if err != nil {
		t.Fatal(err)
	}
	return n << 10
}

// Guards against bodies that together need more memory than the instance has, on the
// project's own surface.
func TestCrowdOfBodies(t *testing.T) {
	pid, callers := startProcess(t, startData(t), "c", fmt.Sprintf("memory = %d\nbody = %d\n", crowdMemory, crowdBody))
	for _, tc := range []struct {
		name, framing string
		send          int // bytes of the body
	}{
		{"whole", "Content-Length: 4194304", crowdBody},
		{"one_byte_short", "Content-Length: 4194304", crowdBody - 1},
		{"chunked", "Transfer-Encoding: chunked", crowdBody},
		{"too_long", "Content-Length: 67108864", 64 << 20},
		{"announced", "Content-Length: 1073741824", 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			var all sync.WaitGroup
			var conns []net.Conn
			piece := make([]byte, 64<<10)
			for range crowdCallers {
				c, err := net.Dial("tcp", callers)
				if err != nil {
					t.Fatal(err)
				}
				conns = append(conns, c)
				all.Go(func() {
					_, err := fmt.Fprintf(c, "POST /s/orders/x HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer secret\r\n%s\r\n\r\n", tc.framing)
					for left := tc.send; left > 0 && err == nil; left -= len(piece) {
						data := piece[:min(len(piece), left)]
						if strings.HasSuffix(tc.framing, "chunked") {
							data = fmt.Appendf(nil, "%x\r\n%s\r\n", len(data), data)
						}
						_, err = c.Write(data) // closing the connection is allowed
					}
					_, _ = io.Copy(io.Discard, c)
				})
			}
			time.Sleep(crowdTime)
			awaitAnswer(t, callers, nil) // while the connections are open
			for _, c := range conns {
				_ = c.Close()
			}
			all.Wait()
			if got, want := awaitAnswer(t, callers, make([]byte, crowdBody)), fmt.Sprint("read ", crowdBody); got != want {
				t.Errorf("a body of legal size was answered with %q, want %q", got, want)
			}
			peak := peakMemory(t, pid)
			t.Logf("peak %.1f MiB", float64(peak)/(1<<20))
			if peak >= crowdMemory {
				t.Errorf("the process used %.1f MiB of %d MiB", float64(peak)/(1<<20), crowdMemory>>20)
			}
			_ = os.WriteFile(fmt.Sprintf("/proc/%d/clear_refs", pid), []byte("5"), 0) // without it the highest value stays
		})
	}
}
