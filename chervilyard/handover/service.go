package handover

import (
	"context"
	"net"
	"net/http"
	"time"

	"chervilyard.example/chervilyard/connlimit"
)

const (
	// usualRequestLine is the length of a request line that does not count toward the limit
	// of a header.
	usualRequestLine = 1 << 10
	// fieldOverhead is what a field has beside its name and value: a colon, a space, and the
	// end of the line.
	fieldOverhead = 4
)

type connKey struct{}

// ConnContext adds the connection to the context of its requests. It has the signature of
// http.Server.ConnContext.
func (t *Tracker) ConnContext(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// UnreadSince returns a function that reports since when the caller of the request with the
// context has taken nothing of a response that waits for it, or nil if the connection is not
// tracked.
func UnreadSince(ctx context.Context) func(now time.Time) (time.Time, bool) {
	if c, ok := ctx.Value(connKey{}).(*conn); ok {
		return c.unreadSince
	}
	return nil
}

// Handler returns a handler that serves the requests of tracked connections with next if
// their headers are within the limit, and otherwise with refuse. A request whose connection is
// being closed is not served.
func (t *Tracker) Handler(next, refuse http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, ok := r.Context().Value(connKey{}).(*conn)
		if !ok || c.limited == nil {
			next.ServeHTTP(w, r)
			return
		}
		fields, line := headerSize(r)
		if !c.beginService(fields+line, r.ContentLength) {
			panic(http.ErrAbortHandler)
		}
		if limit := t.Limiter.Limits().MaxHeaderBytes; limit > 0 && fields+max(line-usualRequestLine, 0) > limit {
			t.Limiter.Count(connlimit.HeaderLarge)
			w.Header().Set("Connection", "close")
			refuse.ServeHTTP(w, r)
			return
		}
		next.ServeHTTP(w, r)
	})
}

// headerSize returns the sizes of the fields and of the request line.
func headerSize(r *http.Request) (fields, line int64) {
	size := len("Host") + len(r.Host) + fieldOverhead // http.Server takes it out of the fields
	for name, values := range r.Header {
		for _, value := range values {
			size += len(name) + len(value) + fieldOverhead
		}
	}
	return int64(size), int64(len(r.Method) + len(r.RequestURI) + len(r.Proto) + fieldOverhead)
}
