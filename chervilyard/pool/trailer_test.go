package pool_test

import (
	"bufio"
	"io"
	"net"
	"testing"

	"chervilyard.example/chervilyard/pool"
)

// The fields of a trailer section are dropped, and have no bearing on a body whose chunks are
// complete. A section that cannot be read leaves the response incomplete.
func TestTrailers(t *testing.T) {
	for name, tc := range map[string]struct {
		trailers string
		complete bool
	}{
		"sound":                  {"!_a: 1\r\n\r\n", true},
		"blank in a name":        {"X A: 1\r\n\r\n", true},
		"control byte in a name": {"X\x01A: 1\r\n\r\n", false},
		"no colon":               {"X\r\n\r\n", false},
		"cut":                    {"X-A: 1\r\n", false},
	} {
		t.Run(name, func(t *testing.T) {
			address, _ := server(t, func(c net.Conn, r *bufio.Reader) {
				if readRequest(r) {
					_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n"+tc.trailers)
				}
			})
			var p pool.Pool
			if got, err := post(t, &p, address, "b"); got != "body" || (err == nil) != tc.complete {
				t.Errorf("got %q, %v; want complete %v", got, err, tc.complete)
			}
		})
	}
}
