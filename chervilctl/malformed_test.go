package main

import (
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	"chervilyard.example/chervilyard/placereport"
	"chervilyard.example/yard/head"
)

// TestMalformedHead guards against responses with a malformed head that are printed as answers of
// an instance.
func TestMalformedHead(t *testing.T) {
	for name, tc := range map[string]struct {
		response string
		sound    bool
	}{
		"status 000":                 {"HTTP/1.1 000 None\r\nContent-Length: 2\r\n\r\n{}", false},
		"blank in a name":            {"HTTP/1.1 200 OK\r\nX A: 1\r\nContent-Length: 2\r\n\r\n{}", false},
		"blank after Content-Length": {"HTTP/1.1 200 OK\r\nContent-Length : 2\r\n\r\n{}", false},
		"sound":                      {"HTTP/1.1 200 OK\r\n!_a: 1\r\nContent-Length: 2\r\n\r\n{}", true},
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
			address := s.Listener.Addr().String()
			_, placeErr := askPlace(t.Context(), address, placereport.Query{})
			var v struct{}
			for verb, err := range map[string]error{"place": placeErr, "status": fetchJSON(t.Context(), instanceAddress{Operators: address}, "/", &v)} {
				var malformed *head.MalformedError
				if errors.As(err, &malformed) == tc.sound || tc.sound && err != nil {
					t.Errorf("%s: unexpected error: %v", verb, err)
				}
			}
		})
	}
}
