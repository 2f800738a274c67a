package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// Answer is what a client got for one request.
type Answer struct {
	ID         string
	Kind       string // of the route
	Machine    string
	SentAt     time.Time
	EndAt      time.Time
	Status     int // 0 if there was no answer
	Stamp      string
	RetryAfter time.Duration
	Body       []byte
	Complete   bool
	Err        error
	SentBody   uint64
	Path       string
}

var requestNumber atomic.Int64

// NewID returns an ID of a request.
func NewID() string { return fmt.Sprintf("%016x", 0x1c41d07b00000000+requestNumber.Add(1)) }

// Client sends requests to machines.
type Client struct {
	Key       string
	Host      string
	Record    *Record
	Transport *http.Transport

	mu   sync.Mutex
	list []*Answer
}

// NewClient returns a client with kept connections.
func NewClient(host, key string, rec *Record) *Client {
	d := &net.Dialer{Timeout: time.Second}
	return &Client{Host: host, Key: key, Record: rec, Transport: &http.Transport{DialContext: d.DialContext, MaxIdleConnsPerHost: 256, IdleConnTimeout: 10 * time.Second, DisableCompression: true}}
}

// Do sends a request and waits for its end.
func (c *Client) Do(ctx context.Context, m *Machine, kind, method, path string, deadline time.Duration, body []byte, header map[string]string) *Answer {
	a := &Answer{ID: NewID(), Kind: kind, Machine: m.Name, SentAt: time.Now(), SentBody: Hash(body), Path: path}
	ctx, cancel := context.WithTimeout(ctx, deadline)
	defer cancel()
	var reader io.Reader
	if len(body) > 0 {
		reader = bytes.NewReader(body)
	}
	r, err := http.NewRequestWithContext(ctx, method, "http://"+m.Front()+path, reader)
	if err != nil {
		a.Err = err
		return a
	}
	r.Host = c.Host
	r.GetBody = nil // the transport must not send it twice
	r.Header.Set("X-Request-Id", a.ID)
	r.Header.Set("X-Deadline-Ms", strconv.FormatInt(deadline.Milliseconds(), 10))
	r.Header.Set("X-Key", c.Key)
	for name, value := range header {
		r.Header.Set(name, value)
	}
	resp, err := c.Transport.RoundTrip(r)
	if err != nil {
		a.Err = err
	} else {
		a.Status, a.Stamp = resp.StatusCode, resp.Header.Get("X-Server-Stamp")
		if s, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64); err == nil {
			a.RetryAfter = time.Duration(s * float64(time.Second))
		}
		a.Body, a.Err = io.ReadAll(resp.Body)
		a.Complete = a.Err == nil
		_ = resp.Body.Close() // it has been read
	}
	a.EndAt = time.Now()
	c.mu.Lock()
	c.list = append(c.list, a)
	c.mu.Unlock()
	c.Record.Printf("client %s %s %s at %s: status %d complete %v after %v %v", a.ID, method, path, a.Machine, a.Status, a.Complete, a.EndAt.Sub(a.SentAt).Round(time.Millisecond), a.Err)
	return a
}

// All returns the answers so far.
func (c *Client) All() []*Answer {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]*Answer(nil), c.list...)
}

func get(url string) (int, []byte, error) {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get(url)
	if err != nil {
		return 0, nil, err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return resp.StatusCode, body, err
}
