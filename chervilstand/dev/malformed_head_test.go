package dev_test

import (
	"fmt"
	"io"
	"net/http"
	"testing"
)

// TestMalformedHead guards against a response of a service whose head is malformed and that
// reaches the caller, and against a sound one that does not, in the data centre of the service
// and in another.
func TestMalformedHead(t *testing.T) {
	d := start(t)
	n := 0
	for _, c := range []struct {
		response string
		status   int
		body     string // any if empty
		field    string // a field that has to arrive with the value 1; none if empty
	}{
		{"HTTP/1.1 000 None\r\nContent-Length: 4\r\n\r\nbody", http.StatusBadGateway, "", ""},
		{"HTTP/1.1 099 None\r\nContent-Length: 4\r\n\r\nbody", http.StatusBadGateway, "", ""},
		{"HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 000 None\r\n\r\nbody", http.StatusBadGateway, "", ""},
		{"HTTP/1.1 201 Created\r\nX A: 1\r\nContent-Length: 4\r\n\r\nbody", http.StatusBadGateway, "", ""},
		{"HTTP/1.1 201 Created\r\nContent-Length : 2\r\n\r\nbody", http.StatusBadGateway, "", ""},
		{"HTTP/1.1 201 Created\r\nTransfer-Encoding : chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n", http.StatusBadGateway, "", ""},
		{"HTTP/1.1 201 Created\r\nX\x01A: 1\r\nContent-Length: 4\r\n\r\nbody", http.StatusBadGateway, "", ""},
		{"HTTP/1.1 201 Created\r\n!#$%&'*+-.^_`|~09: 1\r\nContent-Length: 4\r\n\r\nbody", http.StatusCreated, "body", "!#$%&'*+-.^_`|~09"},
		{"HTTP/1.1 201 Created\r\nx_a: 1\r\nContent-Length: 4\r\n\r\nbody", http.StatusCreated, "body", "x_a"},
		{"HTTP/1.1 226 IM Used\r\nContent-Length: 4\r\n\r\nbody", http.StatusIMUsed, "body", ""},
		{"HTTP/1.1 499 Custom\r\nContent-Length: 4\r\n\r\nbody", 499, "body", ""},
	} {
		d.Booking.SetRawResponse([]byte(c.response))
		for instance := range 2 {
			n++
			request := call{instance: instance, path: fmt.Sprint("/s/booking/", n), key: "dev-key", body: "{}"}
			res, err := http.DefaultClient.Do(request.request(t.Context(), d))
			if err != nil {
				t.Errorf("%q at instance %d: %v", c.response, instance, err)
				continue
			}
			body, err := io.ReadAll(res.Body)
			_ = res.Body.Close()
			if err != nil || res.StatusCode != c.status || c.body != "" && string(body) != c.body {
				t.Errorf("%q at instance %d: got %d %q (%v), want %d %q", c.response, instance, res.StatusCode, body, err, c.status, c.body)
			}
			if c.field != "" && res.Header.Get(c.field) != "1" {
				t.Errorf("%q at instance %d: got the fields %v", c.response, instance, res.Header)
			}
		}
	}
}

// TestValueBytesOverHop guards against a sound response that does not reach the caller from
// another data centre because a value has bytes that are not UTF-8.
func TestValueBytesOverHop(t *testing.T) {
	d := start(t)
	d.Booking.SetRawResponse([]byte("HTTP/1.1 201 Created\r\nX-A: \xe9\r\nContent-Length: 4\r\n\r\nbody"))
	for instance := range 2 {
		if status, body := (call{instance: instance, path: "/s/booking/x", key: "dev-key", body: "{}"}).do(t, d); status != http.StatusCreated || body != "body" {
			t.Errorf("at instance %d: got %d %q", instance, status, body)
		}
	}
}
