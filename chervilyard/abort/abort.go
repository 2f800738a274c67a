// Package abort makes an aborted response incomplete for callers of every HTTP version.
package abort

import (
	"net"
	"net/http"
)

// Handler returns a handler that serves requests with next. If next panics, as it does to
// abort a response, the connection of a caller of HTTP/1.0 is reset: http.Server closes it
// in good order, which ends a body in HTTP/1.0. Later versions delimit the body.
func Handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		returned := false
		defer func() {
			if !returned && !r.ProtoAtLeast(1, 1) {
				reset(w)
			}
		}()
		next.ServeHTTP(w, r)
		returned = true
	})
}

// reset closes the connection so that the caller gets a reset. It does nothing if the
// connection cannot be taken over.
func reset(w http.ResponseWriter) {
	c, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	if secure, ok := c.(interface{ NetConn() net.Conn }); ok {
		c = secure.NetConn() // closing the TLS connection would announce a proper end
	}
	if tcp, ok := c.(interface{ SetLinger(seconds int) error }); ok {
		_ = tcp.SetLinger(0) // on an error the connection has failed already
	}
	_ = c.Close() // the response is aborted in any case
}
