package dev_test

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"chervilyard.example/chervilstand/dev"
	"chervilyard.example/chervilstand/engine"
)

// blocks returns text that fills prompt blocks of 256 bytes.
func blocks(text string, n int) string {
	return strings.Repeat(text, n*256/len(text)+1)[:n*256]
}

// completion returns a request for a stream whose prompt begins with text that all share, goes on
// with the part and has an end of its own.
func completion(instance int, part, own string) call {
	prompt := blocks("system ", 2) + blocks(part+" ", 3) + own
	return call{instance: instance, path: "/v1/completions", key: "dev-key", body: fmt.Sprintf(`{"model":"assistant","stream":true,"max_tokens":4,"prompt":%q}`, prompt)}
}

func crashes(d *dev.Environment) (n int64) {
	for _, e := range d.Engines {
		n += e.Counts().Crashes
	}
	return n
}

// Guards against one part of a prompt that crashes engine after engine, because each call
// with it counts as a new one at each instance, and against sound calls that share its
// customer and the start of its prompt and are no longer served.
func TestCrashingPromptIsContained(t *testing.T) {
	const (
		settle  = 5 * time.Second // after the first calls with the part
		allowed = 3               // calls with the part that reach engines after it
	)
	d := start(t)
	for n := range d.Instances {
		if status, body := completion(n, "sound", "x").do(t, d); status != http.StatusOK {
			t.Fatalf("%d %s", status, body)
		}
	}
	for _, e := range d.Engines {
		e.SetFaults(engine.Faults{CrashOn: "deadly"}, 0)
	}
	stop := make(chan struct{})
	var running sync.WaitGroup
	for n := range d.Instances {
		running.Go(func() {
			for i := 0; ; i++ {
				select {
				case <-stop:
					return
				case <-time.After(100 * time.Millisecond):
				}
				res, err := http.DefaultClient.Do(completion(n, "deadly", fmt.Sprint("own", i)).request(t.Context(), d))
				if err == nil {
					_ = res.Body.Close()
				}
			}
		})
	}
	time.Sleep(settle)
	before := crashes(d)
	served, sent := 0, 0
	for end := time.Now().Add(5 * time.Second); time.Now().Before(end); sent++ {
		res, err := http.DefaultClient.Do(completion(sent%len(d.Instances), fmt.Sprint("session", sent/8), fmt.Sprint("own", sent)).request(t.Context(), d))
		if err == nil {
			body, err := io.ReadAll(res.Body)
			if res.StatusCode == http.StatusOK && err == nil {
				served++
			} else if sent%20 == 0 || !strings.Contains(string(body), "part_") {
				t.Logf("sound call %d: %d %s", sent, res.StatusCode, body)
			}
			_ = res.Body.Close()
		}
		time.Sleep(50 * time.Millisecond)
	}
	close(stop)
	running.Wait()
	after := crashes(d)
	t.Logf("%d crashes in the first %v, %d later; %d of %d sound calls were served", before, settle, after-before, served, sent)
	if after-before > allowed {
		t.Errorf("%d calls with the part reached engines later than %v after the first, at most %d", after-before, settle, allowed)
	}
	if sent < 20 || served < sent/2 {
		t.Errorf("%d of %d sound calls were served", served, sent)
	}
}
