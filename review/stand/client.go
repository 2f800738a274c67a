package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strconv"
	"sync"
	"time"
)

// response is the outcome of one client attempt.
type response struct {
	status     int
	stamp      string
	retryAfter time.Duration
	body       string
}

// Call is a request of a client.
type Call struct {
	ID, Method, Host, Path, Key string
	Tokens                      string // X-Token-Count, if not ""
	Deadline                    time.Duration
	Body                        []byte
}

var idNumber = struct {
	sync.Mutex
	n uint64
}{n: uint64(time.Now().UnixNano())}

func newID() string {
	idNumber.Lock()
	defer idNumber.Unlock()
	idNumber.n += 0x9e3779b97f4a7c15
	return fmt.Sprintf("%016x", idNumber.n)
}

// attempt sends one client attempt on a new connection.
func attempt(address string, c Call) (response, error) {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return response{}, err
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(c.Deadline))
	var b bytes.Buffer
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\n", c.Method, c.Path, c.Host, c.ID, c.Deadline.Milliseconds())
	if c.Key != "" {
		fmt.Fprintf(&b, "X-Key: %s\r\n", c.Key)
	}
	if c.Tokens != "" {
		fmt.Fprintf(&b, "X-Token-Count: %s\r\n", c.Tokens)
	}
	if c.Method != http.MethodGet {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(c.Body))
	}
	b.WriteString("\r\n")
	if _, err := (&net.Buffers{b.Bytes(), c.Body}).WriteTo(conn); err != nil {
		return response{}, err
	}
	return readAnswer(conn, c.Method)
}

func readAnswer(conn net.Conn, method string) (response, error) {
	r, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: method})
	if err != nil {
		return response{}, err
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return response{}, err
	}
	seconds, _ := strconv.ParseFloat(r.Header.Get("Retry-After"), 64)
	return response{
		status: r.StatusCode, stamp: r.Header.Get("X-Server-Stamp"), body: string(body), retryAfter: time.Duration(seconds * float64(time.Second)),
	}, nil
}

func get(address, path string, timeout time.Duration) (response, error) {
	return attempt(address, Call{ID: newID(), Method: http.MethodGet, Host: address, Path: path, Deadline: timeout})
}

// resolve asks machines for the addresses to use, nearest first, as clients do.
func (f *Fleet) resolve(host string, p Place) ([]string, error) {
	asked := 0
	order := rand.Perm(len(f.Fronts))
	for _, near := range []bool{true, false} {
		for _, i := range order {
			m := f.Fronts[i]
			if (m.Place.Region == p.Region) != near {
				continue
			}
			if asked++; asked > 3 {
				return nil, errors.New("three machines gave no addresses")
			}
			r, err := get(m.addr(m.Ports.Directory), "/v1/resolve?Name="+host+"&Region="+p.Region+"&Zone="+p.Zone, time.Second)
			if err != nil || r.status != 200 {
				continue
			}
			var out struct{ Addrs []string }
			if json.Unmarshal([]byte(r.body), &out) == nil && len(out.Addrs) > 0 {
				return out.Addrs, nil
			}
		}
	}
	return nil, errors.New("no machine gave addresses")
}

// Record writes what was sent, answered and run to record.txt.
type Record struct {
	mu    sync.Mutex
	f     *os.File
	start time.Time
}

func newRecord(path string) (*Record, error) {
	f, err := os.Create(path)
	return &Record{f: f, start: time.Now()}, err
}

// Line writes a line with the time since the start.
func (r *Record) Line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.f, "%9.3f s  ", time.Since(r.start).Seconds())
	fmt.Fprintf(r.f, format+"\n", args...)
}

// Say writes a line to the record and to standard output.
func (r *Record) Say(format string, args ...any) {
	r.Line(format, args...)
	fmt.Printf(format+"\n", args...)
}
