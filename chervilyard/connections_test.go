package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

// The load: connections of 300 clients, more than the descriptors of the instance.
const (
	crowdClients   = 300
	maxDescriptors = 200
	crowdPause     = 500 * time.Millisecond // for which a crowd is left alone
	stepTimeout    = 20 * time.Second       // for a step that an instance does at once
)

// startInstance builds and starts the program with a store that does not answer. It returns
// the process and its addresses for callers and operators.
func startInstance(t *testing.T) (process *os.Process, callers, operators string) {
	t.Helper()
	dir := t.TempDir()
	if out, err := exec.Command("go", "build", "-o", dir, ".").CombinedOutput(); err != nil {
		t.Fatalf("go build: %v: %s", err, out)
	}
	addresses := freeAddresses(t, 4)
	path := filepath.Join(dir, "instance.conf")
	text := fmt.Sprintf("[instance]\nenvironment = dev\ncentre = c\ncallers = %s\npeers = %s\noperators = %s\n[store]\nurl = http://%s\n[tls]\ninsecure = yes\n[limits]\ndescriptors = %d\n",
		addresses[0], addresses[1], addresses[2], addresses[3], maxDescriptors)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	output, err := os.Create(filepath.Join(dir, "log"))
	if err != nil {
		t.Fatal(err)
	}
	defer output.Close()
	command := exec.Command(filepath.Join(dir, "chervilyard"), "--config", path)
	command.Stdout, command.Stderr = output, output
	if err := command.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		_ = command.Process.Kill() // it may have ended
		_ = command.Wait()         // its status does not matter
		if t.Failed() {
			log, _ := os.ReadFile(output.Name())
			t.Logf("%s", log[max(0, len(log)-2000):])
		}
	})
	for deadline := time.Now().Add(stepTimeout); status("http://"+addresses[2]+"/healthz") != http.StatusOK; time.Sleep(20 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("the instance does not start")
		}
	}
	return command.Process, addresses[0], addresses[2]
}

// freeAddresses returns n addresses with ports that are free now, at a loopback address of
// this process: connections of other tests from 127.0.0.1 may take a port before its use.
func freeAddresses(t *testing.T, n int) []string {
	t.Helper()
	pid := os.Getpid()
	ip := fmt.Sprintf("127.%d.%d.%d", 100+pid>>16%100, pid>>8%256, 1+pid%254)
	var addresses []string
	for range n {
		l, err := net.Listen("tcp", ip+":0")
		if err != nil {
			t.Fatal(err)
		}
		defer l.Close() // only once all are open, so that they differ
		addresses = append(addresses, l.Addr().String())
	}
	return addresses
}

// status returns the status of a response on a new connection, or 0 if there is none.
func status(url string) int {
	client := &http.Client{Timeout: stepTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get(url)
	if err != nil {
		return 0
	}
	_ = resp.Body.Close() // only the status is of interest
	return resp.StatusCode
}

// Guards against clients that occupy all descriptors of an instance by connections that send
// nothing, part of a header, or no second request.
func TestConnectionsAreBounded(t *testing.T) {
	process, callers, operators := startInstance(t)
	for _, address := range []string{callers, operators} {
		for _, sent := range []string{"", "GET / HTTP/1.1\r\nHost: h\r\n", "GET / HTTP/1.1\r\nHost: h\r\n\r\n", "GET / HTTP/1.1\r\nHost: h\r\nF: " + strings.Repeat("x", 15<<10)} {
			var conns []net.Conn
			for range crowdClients {
				c, err := net.Dial("tcp", address)
				if err != nil {
					t.Fatal(err)
				}
				_, _ = io.WriteString(c, sent) // the instance may close the connection
				conns = append(conns, c)
			}
			time.Sleep(crowdPause)
			open, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", process.Pid))
			if err != nil {
				t.Fatal(err)
			}
			if len(open) > maxDescriptors {
				t.Errorf("%d descriptors after %.30q to %s, %d allowed", len(open), sent, address, maxDescriptors)
			}
			if got := status("http://" + operators + "/healthz"); got != http.StatusOK {
				t.Errorf("status %d of the health check after %.30q to %s", got, sent, address)
			}
			if got := status("http://" + callers + "/locate"); got == 0 {
				t.Errorf("no response to a caller after %.30q to %s", sent, address)
			}
			for _, c := range conns {
				_ = c.Close() // the instance may have closed it
			}
		}
	}
}
