// Package load sends calls in an open loop: each at its time, whether or not
// earlier ones were answered, so that a stall counts for every call it delays.
package load

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	longest   = int64(5 * time.Minute / time.Microsecond)
	digits    = 3
	maxIdle   = 512
	answerMax = 64 << 20
)

// Plan is one run.
type Plan struct {
	URLs    []string // calls go to them in turn
	Key     string
	Rate    float64 // calls a second
	For     time.Duration
	Warm    time.Duration // not counted at the start
	Tokens  int           // of an answer
	Prompt  int           // bytes
	Stream  bool
	Booking float64 // part of calls that make a deposit with an idempotency key
	Seed    uint64
}

// Result is what a run measured, in microseconds.
type Result struct {
	Name     string         `json:"name"`
	Sent     int            `json:"sent"`
	Whole    int            `json:"whole"`
	Cut      int            `json:"cut"`
	Refused  map[string]int `json:"refused"` // by code
	First    Quantiles      `json:"first"`
	End      Quantiles      `json:"end"`
	Deposits int            `json:"deposits"` // answered as made
}

// Quantiles are in microseconds.
type Quantiles struct {
	P50  int64 `json:"p50"`
	P99  int64 `json:"p99"`
	P999 int64 `json:"p999"`
	Max  int64 `json:"max"`
}

// run collects the results of one plan.
type run struct {
	plan   Plan
	client *http.Client
	body   []byte

	mu     sync.Mutex
	first  *hdrhistogram.Histogram
	end    *hdrhistogram.Histogram
	result Result
}

// Run carries the plan out. Latencies count from the moment at which a call
// was due, not from when it went out.
func Run(ctx context.Context, name string, p Plan) (Result, error) {
	r := &run{
		plan: p,
		client: &http.Client{Transport: &http.Transport{
			MaxIdleConnsPerHost: maxIdle, MaxIdleConns: maxIdle * len(p.URLs), IdleConnTimeout: time.Minute,
		}},
		first:  hdrhistogram.New(1, longest, digits),
		end:    hdrhistogram.New(1, longest, digits),
		result: Result{Name: name, Refused: make(map[string]int)},
	}
	defer r.client.CloseIdleConnections()
	body, err := json.Marshal(map[string]any{
		"model": "assistant", "stream": p.Stream, "max_tokens": p.Tokens,
		"messages": []map[string]string{{"role": "user", "content": strings.Repeat("x", p.Prompt)}},
	})
	if err != nil {
		return Result{}, err
	}
	r.body = body
	r.loop(ctx)
	r.result.First, r.result.End = quantiles(r.first), quantiles(r.end)
	return r.result, nil
}

func (r *run) loop(ctx context.Context) {
	rng := rand.New(rand.NewPCG(r.plan.Seed, 1))
	start := time.Now()
	due := start
	var wait sync.WaitGroup
	for n := 0; ; n++ {
		due = due.Add(time.Duration(rng.ExpFloat64() / r.plan.Rate * float64(time.Second)))
		if due.Sub(start) > r.plan.For || ctx.Err() != nil {
			break
		}
		booking := rng.Float64() < r.plan.Booking
		at := due
		time.Sleep(time.Until(at))
		wait.Add(1)
		go func() {
			defer wait.Done()
			r.call(ctx, n, at, at.Sub(start) >= r.plan.Warm, booking)
		}()
	}
	wait.Wait()
}

func (r *run) call(ctx context.Context, n int, due time.Time, counted, booking bool) {
	base := r.plan.URLs[n%len(r.plan.URLs)]
	path, body := "/v1/chat/completions", r.body
	if booking {
		path, body = "/s/booking/deposits", []byte(`{"amount":1}`)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, base+path, bytes.NewReader(body))
	if err != nil {
		return
	}
	req.Header.Set("Authorization", "Bearer "+r.plan.Key)
	if booking {
		req.Header.Set("Idempotency-Key", fmt.Sprintf("load-%d-%d", r.plan.Seed, n))
	}
	res, err := r.client.Do(req)
	if err != nil {
		r.note(counted, func() { r.result.Cut++ })
		return
	}
	defer res.Body.Close()
	in := bufio.NewReader(io.LimitReader(res.Body, answerMax))
	_, _ = in.Peek(1) // waits for the first byte; an error shows below
	first := time.Since(due)
	whole, err := io.ReadAll(in)
	end := time.Since(due)
	streamed := r.plan.Stream && !booking && res.StatusCode == http.StatusOK
	r.note(counted, func() {
		switch {
		case err != nil || streamed && !bytes.Contains(whole, []byte("[DONE]")):
			r.result.Cut++
		case res.StatusCode >= http.StatusBadRequest:
			r.result.Refused[code(whole)]++
		default:
			r.result.Whole++
			if booking {
				r.result.Deposits++
			}
			_ = r.first.RecordValue(max(first.Microseconds(), 1)) // over the longest: left out
			_ = r.end.RecordValue(max(end.Microseconds(), 1))
		}
	})
}

func (r *run) note(counted bool, f func()) {
	if !counted {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.result.Sent++
	f()
}

func code(body []byte) string {
	var e struct {
		Error struct {
			Code string `json:"code"`
		} `json:"error"`
	}
	if json.Unmarshal(body, &e) != nil || e.Error.Code == "" {
		return "unreadable"
	}
	return e.Error.Code
}

func quantiles(h *hdrhistogram.Histogram) Quantiles {
	return Quantiles{P50: h.ValueAtQuantile(50), P99: h.ValueAtQuantile(99), P999: h.ValueAtQuantile(99.9), Max: h.Max()}
}

// String returns the result as lines for a person.
func (r Result) String() string {
	var codes []string
	for c, n := range r.Refused {
		codes = append(codes, fmt.Sprintf("%s %d", c, n))
	}
	slices.Sort(codes)
	return fmt.Sprintf("%-10s sent %d whole %d cut %d deposits %d refused [%s]\n  first byte p50 %s p99 %s p99.9 %s max %s\n  end        p50 %s p99 %s p99.9 %s max %s",
		r.Name, r.Sent, r.Whole, r.Cut, r.Deposits, strings.Join(codes, ", "),
		micros(r.First.P50), micros(r.First.P99), micros(r.First.P999), micros(r.First.Max),
		micros(r.End.P50), micros(r.End.P99), micros(r.End.P999), micros(r.End.Max))
}

func micros(n int64) string { return (time.Duration(n) * time.Microsecond).String() }
