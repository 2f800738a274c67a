package store_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	"chervilyard.example/yard/store"
)

// TestMalformedHead guards against responses with a malformed head that count as results of the
// store, and against sound ones that do not.
func TestMalformedHead(t *testing.T) {
	const value = `{"key":"k","revision":7}`
	for name, tc := range map[string]struct {
		response string
		sound    bool
	}{
		"status 000":                    {"HTTP/1.1 000 None\r\nContent-Length: 24\r\n\r\n" + value, false},
		"blank in a name":               {"HTTP/1.1 200 OK\r\nX A: 1\r\nContent-Length: 24\r\n\r\n" + value, false},
		"blank in the name of no value": {"HTTP/1.1 404 Not Found\r\nX A: 1\r\nContent-Length: 24\r\n\r\n" + value, false},
		"blank in a conflict's name":    {"HTTP/1.1 409 Conflict\r\nX A: 1\r\nContent-Length: 24\r\n\r\n" + value, false},
		"blank after Content-Length":    {"HTTP/1.1 200 OK\r\nContent-Length : 24\r\n\r\n" + value, false},
		"control byte in a name":        {"HTTP/1.1 200 OK\r\nX\x01A: 1\r\nContent-Length: 24\r\n\r\n" + value, false},
		"sound":                         {"HTTP/1.1 200 OK\r\n!_a: 1\r\nContent-Length: 24\r\n\r\n" + value, true},
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
			c := store.New(s.URL)
			v, err := c.Get(t.Context(), "k")
			wantKind := map[bool]string{false: store.Unreachable}[tc.sound]
			if store.KindOf(err) != wantKind || tc.sound && v.Revision != 7 {
				t.Errorf("get: %+v, %v; want kind %q", v, err, wantKind)
			}
			revision, err := c.Put(t.Context(), "k", nil, 6)
			wantKind = map[bool]string{false: store.Unknown}[tc.sound]
			if store.KindOf(err) != wantKind || tc.sound && revision != 7 {
				t.Errorf("put: %d, %v; want kind %q", revision, err, wantKind)
			}
			if err := c.Delete(t.Context(), "k", 7); store.KindOf(err) != wantKind {
				t.Errorf("delete: %v; want kind %q", err, wantKind)
			}
		})
	}
}
