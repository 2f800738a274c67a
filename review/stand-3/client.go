package main

import (
	"context"
	"fmt"
	"io"
	"math/rand"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// clients send streams of one route to the machines in turn at a rate.
type clients struct {
	rec      *record
	gates    []*gate
	host     string
	path     string
	key      string
	tokens   string // X-Token-Count
	deadline time.Duration
	perS     float64
	seed     int64
	prefix   func(n int) string // X-Prefix-Hash of the n-th request
	body     string             // of all requests; "" for one that differs each time
	counted  bool               // the query of each request has its number
	wg       sync.WaitGroup
}

// run sends until the context ends, and waits for the answers.
func (c *clients) run(ctx context.Context) {
	transport := &http.Transport{MaxIdleConnsPerHost: 64, DialContext: (&net.Dialer{Timeout: time.Second}).DialContext}
	client := &http.Client{Transport: transport}
	rng := rand.New(rand.NewSource(c.seed))
	next := time.Now()
	for n := 0; ctx.Err() == nil; n++ {
		next = next.Add(time.Duration(rng.ExpFloat64() / c.perS * float64(time.Second)))
		select {
		case <-time.After(time.Until(next)):
		case <-ctx.Done():
		}
		if ctx.Err() != nil {
			break
		}
		g := c.gates[n%len(c.gates)]
		id := fmt.Sprintf("%016x", rng.Uint64())
		c.rec.addSent(id, g.name, c.key)
		c.wg.Add(1)
		go func() {
			defer c.wg.Done()
			c.send(client, g, id, n)
		}()
	}
	c.wg.Wait()
	transport.CloseIdleConnections()
}

func (c *clients) send(client *http.Client, g *gate, id string, n int) {
	ctx, cancel := context.WithTimeout(context.Background(), c.deadline)
	defer cancel()
	body := c.body
	if body == "" {
		body = fmt.Sprintf("%s %0600d", id, n)
	}
	path := c.path
	if c.counted {
		path += "?n=" + strconv.Itoa(n)
	}
	req, _ := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+g.front+path, strings.NewReader(body))
	req.Host = c.host
	req.Header.Set("X-Request-Id", id)
	req.Header.Set("X-Model", "m")
	req.Header.Set("X-Token-Count", c.tokens)
	req.Header.Set("X-Deadline-Ms", strconv.FormatInt(c.deadline.Milliseconds(), 10))
	if c.prefix != nil {
		req.Header.Set("X-Prefix-Hash", c.prefix(n))
	}
	if c.key != "" {
		req.Header.Set("X-Key", c.key)
	}
	resp, err := client.Do(req)
	if err != nil {
		c.rec.add(event{at: time.Now(), what: "client", from: g.name, id: id, result: "error"})
		return
	}
	answer, err := io.ReadAll(resp.Body)
	_ = resp.Body.Close()
	result := strconv.Itoa(resp.StatusCode)
	if err != nil {
		result += " broken"
	}
	if resp.StatusCode != http.StatusOK {
		result += " " + strings.TrimSpace(string(answer[:min(len(answer), 120)]))
	}
	c.rec.add(event{at: time.Now(), what: "client", from: g.name, id: id, result: result})
}
