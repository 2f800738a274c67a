package edge_test

import (
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

// Guards against a target whose responses have malformed heads and that serves callers, or is
// proved to be healthy by one of them. Once its heads are sound again, it is used.
func TestMalformedHead(t *testing.T) {
	for name, start := range map[string]string{"status 000": "HTTP/1.1 000 None\r\n", "blank in a name": "HTTP/1.1 200 OK\r\nX A: 1\r\n"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newFleet(t)
			f.store.put("configuration/document", document{Version: 1, Rate: 1e6, Keys: []string{"k"}, Health: "/health"})
			var sound atomic.Bool
			f.addTarget("a", "east-a", func(w http.ResponseWriter, r *http.Request) {
				w.Header().Set("Name", "a")
				if sound.Load() {
					_, _ = io.WriteString(w, "a")
					return
				}
				c, _, err := http.NewResponseController(w).Hijack()
				if err != nil {
					t.Error(err)
					return
				}
				defer c.Close()
				_, _ = io.WriteString(c, start+"Name: a\r\nId: "+r.Header.Get("Id")+"\r\nContent-Length: 1\r\n\r\na")
			})
			e := f.start("east", 0)
			f.waitReady()
			log := f.logs["east-0"]
			eventually(t, 10*time.Second, "a health check finds the head malformed", func() bool {
				if status, body := call(e, "k", 1); status == 0 || status == http.StatusOK {
					t.Fatalf("got %d %q", status, body)
				}
				for _, d := range log.History("") {
					if d.Kind == "target" && d.Choice == "not proved" && strings.Contains(d.Reason, "malformed") {
						return true
					}
				}
				return false
			})
			for _, d := range log.History("") {
				if d.Kind == "target" && d.Choice == "proved" {
					t.Errorf("proved: %s", d.Reason)
				}
			}
			sound.Store(true)
			eventually(t, 10*time.Second, "the target is used again", func() bool {
				status, body := call(e, "k", 1)
				return status == http.StatusOK && body == "a"
			})
		})
	}
}
