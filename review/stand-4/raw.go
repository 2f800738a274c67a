package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// raw is a search that found nothing: heads of requests that are unusual. It is no case.
func raw(w *World) (int, error) {
	w.Zones = map[string]string{"zagreb-a": "zagreb"}
	w.Config["Tenants"] = append(w.Config["Tenants"].([]any), map[string]any{"Name": "other11", "ApiKeys": []string{revokedKey}, "Priority": 1, "Unit": "token_stream", "PlainTokens": 200, "RatePerS": 50000000, "Burst": 50000000, "HomeRegions": []string{}})
	w.Config["Routes"] = append(w.Config["Routes"].([]any), Route("r-open", "/open/", "idempotent", App, 2500, 300, 2, map[string]any{"Public": true}))
	w.PutConfig()
	for _, service := range []string{Model, App} {
		e := &Engine{Service: service, Zone: "zagreb-a", Slots: 64, Queue: 192}
		e.Before = func(e *Engine, rw http.ResponseWriter, r *http.Request, a *Arrival) bool {
			w.Record.Say("   engine: %s %s host=%s len=%d te=%v trailer=%v %v", r.Method, r.RequestURI, r.Host, a.Length, r.TransferEncoding, r.Trailer, r.Header)
			return false
		}
		if _, err := w.AddEngine(e); err != nil {
			return 2, err
		}
	}
	w.AddMachine("zagreb-a")
	if err := w.StartMachines(); err != nil {
		return 2, err
	}
	base := "Host: " + Host + "\r\nX-Deadline-Ms: 2000\r\n"
	key := "X-Key: " + Key + "\r\n"
	for n, text := range []string{
		"GET /open/2f HTTP/1.1\r\n" + base + key + "X-Request-Id: ID\r\nX-Tenant: other11\r\n\r\n",
		"GET /open/2f HTTP/1.1\r\n" + base + "X-Key: unknown\r\nX-Request-Id: ID\r\nX-Tenant: other11\r\n\r\n",
		"GET /open/2f HTTP/1.1\r\n" + base + "X-Request-Id: ID\r\n\r\n",
		"GET /open/2f HTTP/1.1\r\n" + base + "X-Request-Id: ID\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
		"DELETE /open/2f HTTP/1.1\r\n" + base + "X-Request-Id: ID\r\nContent-Length: 0\r\n\r\n",
		"GET /open HTTP/1.1\r\n" + base + "X-Request-Id: ID\r\n\r\n",
		"GET /open/ HTTP/1.1\r\n" + base + "X-Request-Id: ID\r\nX-Deadline-Ms: 0\r\n\r\n",
		"GET /open/ HTTP/1.1\r\nHost: ficu95.example.\r\nX-Request-Id: ID\r\n\r\n",
		"GET /puxa403/2f?a=%2F&b=;c HTTP/1.1\r\n" + base + key + "X-Request-Id: ID\r\n\r\n",
		"GET /puxa403/2f HTTP/1.1\r\n" + base + key + "X-Key: " + revokedKey + "\r\nX-Request-Id: ID\r\n\r\n",
		"GET /puxa403/2f HTTP/1.1\r\n" + base + "X-Key: \r\n" + key + "X-Request-Id: ID\r\n\r\n",
		"GET /puxa403/2f HTTP/1.1\r\n" + base + key + "X-Request-Id: ID\r\nX-Tenant: other11\r\nX-Hold: 1\r\nX-Pin-Ms: 4\r\nX-Kv-Backup: a\r\nKv-From: b\r\nX-Expect-Instance: i-1\r\nX-Expect-Version: 3\r\n\r\n",
		"GET /puxa403/2f HTTP/1.1\r\n" + base + key + "X-Request-Id: ID\r\nConnection: x-tenant, x-expect-instance, x-request-id, x-deadline-ms, keep-alive\r\n\r\n",
		"GET /puxa403/2f HTTP/1.1\r\n" + base + key + "X-Request-Id: ID\r\nX-Request-Id: ID2\r\n\r\n",
		"GET /puxa403/2f HTTP/1.1\r\n" + base + key + "\r\n",
		"GET http://ficu95.example/puxa403/2f HTTP/1.1\r\nHost: nowhere.example\r\n" + key + "X-Request-Id: ID\r\n\r\n",
		"GET /puxa403/2f HTTP/1.1\r\nHost: FICU95.example:8221\r\n" + key + "X-Request-Id: ID\r\n\r\n",
		"GET /puxa403/../pule252/2f HTTP/1.1\r\n" + base + key + "X-Request-Id: ID\r\n\r\n",
		"GET /puxa403/%2e%2e/pule252/2f HTTP/1.1\r\n" + base + key + "X-Request-Id: ID\r\n\r\n",
		"GET //puxa403/2f HTTP/1.1\r\n" + base + key + "X-Request-Id: ID\r\n\r\n",
		"GET /puxa403/2f#frag HTTP/1.1\r\n" + base + key + "X-Request-Id: ID\r\n\r\n",
		"GET /puxa403/2f? HTTP/1.1\r\n" + base + key + "X-Request-Id: ID\r\n\r\n",
		"GET /puxa403/%zz HTTP/1.1\r\n" + base + key + "X-Request-Id: ID\r\n\r\n",
		"GET /puxa403/a b HTTP/1.1\r\n" + base + key + "X-Request-Id: ID\r\n\r\n",
		"POST /pule252/2f HTTP/1.1\r\n" + base + key + "X-Request-Id: ID\r\nTransfer-Encoding: chunked\r\nTrailer: X-Tenant\r\n\r\n3\r\nabc\r\n0\r\nX-Tenant: other11\r\nX-Hold: 1\r\n\r\n",
		"POST /pule252/2f HTTP/1.1\r\n" + base + key + "X-Request-Id: ID\r\nExpect: 100-continue\r\nContent-Length: 3\r\n\r\nabc",
		"POST /pule252/2f HTTP/1.1\r\n" + base + key + "X-Request-Id: ID\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n",
		"POST /pule252/2f HTTP/1.1\r\n" + base + key + "X-Request-Id: ID\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabcd",
		"POST /pule252/2f HTTP/1.1\r\n" + base + key + "X-Request-Id: ID\r\nContent-Length: 3, 3\r\n\r\nabc",
		"POST /pule252/2f HTTP/1.1\r\n" + base + key + "X-Request-Id: ID\r\nTransfer-Encoding : chunked\r\nContent-Length: 3\r\n\r\nabc",
		"POST /pule252/2f HTTP/1.1\r\n" + base + key + "X-Request-Id: ID\r\nTransfer-Encoding: gzip, chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n",
		"POST /pule252/2f HTTP/1.0\r\n" + base + key + "X-Request-Id: ID\r\nContent-Length: 3\r\n\r\nabc",
		"HEAD /puxa403/2f HTTP/1.1\r\n" + base + key + "X-Request-Id: ID\r\n\r\n",
		"OPTIONS * HTTP/1.1\r\n" + base + key + "X-Request-Id: ID\r\n\r\n",
		"CONNECT ficu95.example:80 HTTP/1.1\r\n" + base + key + "X-Request-Id: ID\r\n\r\n",
		"GET /puxa403/2f HTTP/1.1\r\n" + base + key + "X-Request-Id: ID\r\nConnection: Upgrade\r\nUpgrade: websocket\r\n\r\n",
		"GET /puxa403/2f HTTP/1.1\r\n" + base + key + "X-Request-Id: ID\r\nContent-Length: 5\r\n\r\nhello",
		"GET /puxa403/2f HTTP/1.1\r\n" + base + key + "X-Request-Id: ID\r\nX-Model: a\r\nX-Model: b\r\nX-Token-Count: 1,2\r\nX-Prefix-Hash: p,q\r\nx_tenant: z\r\nTE: trailers\r\nCookie: a\r\nCookie: b\r\n\r\n",
		"GET /puxa403/2f HTTP/1.1\r\n" + base + key + "X-Request-Id: ID\r\nX-Server-Stamp: z\r\nX-Instance-Id: q\r\nX-Not-Run: 1\r\nServer-Limit: 1\r\nForward-Hops: 1\r\n\r\n",
		"POST /pufi791/2f HTTP/1.1\r\n" + base + key + "X-Request-Id: ID\r\nLast-Event-Id: 2\r\nContent-Length: 3\r\n\r\nabc",
	} {
		id := fmt.Sprintf("0c%014x", n+1)
		text = strings.ReplaceAll(text, "ID2", "0d00000000000001")
		text = strings.ReplaceAll(text, ": ID", ": "+id)
		w.Record.Say("%d: %q", n, text)
		c, err := net.Dial("tcp", w.Machines[0].Front())
		if err != nil {
			return 2, err
		}
		// A second, plain request follows on the same connection.
		follow := "GET /puxa403/next HTTP/1.1\r\n" + base + key + "X-Request-Id: " + strings.Replace(id, "0c", "0f", 1) + "\r\nConnection: close\r\n\r\n"
		_, _ = io.WriteString(c, text+follow)
		_ = c.SetReadDeadline(time.Now().Add(1500 * time.Millisecond))
		r := bufio.NewReader(c)
		for range 3 {
			resp, err := http.ReadResponse(r, nil)
			if err != nil {
				w.Record.Say("   client: %v", err)
				break
			}
			body, err := io.ReadAll(resp.Body)
			w.Record.Say("   client: %s %.60q %v %v", resp.Status, body, err, resp.Header)
		}
		_ = c.Close()
	}
	return 0, nil
}
