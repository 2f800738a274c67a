package poll_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"chervilyard.example/chervilyard/poll"
	"chervilyard.example/yard/balancer"
	"chervilyard.example/yard/target"
)

// TestMalformedReport guards against a load report with a malformed head that counts as one, and
// against a sound one that does not.
func TestMalformedReport(t *testing.T) {
	for name, tc := range map[string]struct {
		response string
		failed   bool
	}{
		"status 000":                    {"HTTP/1.1 000 None\r\nContent-Length: 13\r\n\r\n{\"running\": 3}", true},
		"blank in a name":               {"HTTP/1.1 200 OK\r\nX A: 1\r\nContent-Length: 14\r\n\r\n{\"running\": 3}", true},
		"blank in the name of no load":  {"HTTP/1.1 404 Not Found\r\nX A: 1\r\nContent-Length: 0\r\n\r\n", true},
		"blank after Content-Length":    {"HTTP/1.1 200 OK\r\nContent-Length : 14\r\n\r\n{\"running\": 3}", true},
		"blank after Transfer-Encoding": {"HTTP/1.1 200 OK\r\nTransfer-Encoding : chunked\r\n\r\ne\r\n{\"running\": 3}\r\n0\r\n\r\n", true},
		"control byte in a name":        {"HTTP/1.1 200 OK\r\nX\x01A: 1\r\nContent-Length: 14\r\n\r\n{\"running\": 3}", true},
		"cut":                           {"HTTP/1.1 200 OK\r\n\r\n{\"running\": ", true},
		"sound":                         {"HTTP/1.1 200 OK\r\n!_a: 1\r\nContent-Length: 14\r\n\r\n{\"running\": 3}", false},
		"informational first":           {"HTTP/1.1 103 Early Hints\r\nA: 1\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 14\r\n\r\n{\"running\": 3}", false},
		"no load":                       {"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n", false},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				c, _, err := http.NewResponseController(w).Hijack()
				if err != nil {
					t.Error(err)
					return
				}
				defer c.Close()
				_, _ = io.WriteString(c, tc.response)
			}))
			defer s.Close()
			reports := make(chan balancer.Report, 1)
			p := poll.Poller{
				Targets: func() []target.Target {
					return []target.Target{target.New("t", "c", s.Listener.Addr().String(), nil, 1, 1, false)}
				},
				PeerAddresses: func(time.Time) []string { return nil },
				OnReport: func(_ string, r balancer.Report) {
					select {
					case reports <- r:
					default:
					}
				},
				AfterRound: func(time.Time) {}, Now: time.Now,
			}
			ctx, cancel := context.WithCancel(t.Context())
			stopped := p.Run(ctx)
			r := <-reports
			cancel()
			<-stopped
			if r.Failed != tc.failed {
				t.Errorf("got %+v, want failed %v", r, tc.failed)
			}
		})
	}
}
