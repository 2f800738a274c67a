// Package load generates requests in an open loop: each is sent at its scheduled
// time whether or not earlier ones were answered, so that a stall shows in the
// latency of every request that it delays.
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
	maxLatencyMicros  = int64(5 * time.Minute / time.Microsecond)
	significantDigits = 3
	maxIdleConns      = 512
	maxResponseBytes  = 64 << 20
)

// Plan describes one run.
type Plan struct {
	URLs         []string      // base URLs, used in turn
	Key          string        // API key
	Rate         float64       // mean requests per second of a Poisson process
	Duration     time.Duration // duration of the run
	WarmUp       time.Duration // requests due in this time from the start are not counted
	Tokens       int           // max_tokens of a request
	PromptBytes  int           // prompt size in bytes
	Stream       bool
	DepositRatio float64 // fraction of requests that make a deposit with an idempotency key
	Seed         uint64  // of the random arrival times
}

// Result holds the counts and latencies of a run, without those of requests due in
// the warm-up. Only complete responses count towards the latencies.
type Result struct {
	Name      string         `json:"name"`
	Sent      int            `json:"sent"`     // requests, whatever their outcome
	Complete  int            `json:"whole"`    // complete responses with a status below 400
	Cut       int            `json:"cut"`      // failed connections and incomplete responses
	Refused   map[string]int `json:"refused"`  // responses with a status of 400 or more, by error code
	FirstByte Quantiles      `json:"first"`    // latency of the first byte
	Total     Quantiles      `json:"end"`      // latency of the whole response
	Deposits  int            `json:"deposits"` // deposits with a complete response
}

// Quantiles holds quantiles of a latency in microseconds.
type Quantiles struct {
	P50  int64 `json:"p50"`
	P99  int64 `json:"p99"`
	P999 int64 `json:"p999"`
	Max  int64 `json:"max"`
}

// runner executes one plan and collects its results.
type runner struct {
	plan   Plan
	client *http.Client
	body   []byte

	mu        sync.Mutex
	firstByte *hdrhistogram.Histogram
	total     *hdrhistogram.Histogram
	result    Result
}

// Run executes the plan and returns its result under the given name. Latencies
// are measured from the scheduled time of a request, not from when it was sent.
// If ctx ends, no further requests are sent and open ones are cancelled.
func Run(ctx context.Context, name string, p Plan) (Result, error) {
	r := &runner{
		plan: p,
		client: &http.Client{Transport: &http.Transport{
			MaxIdleConnsPerHost: maxIdleConns, MaxIdleConns: maxIdleConns * len(p.URLs), IdleConnTimeout: time.Minute,
		}},
		firstByte: hdrhistogram.New(1, maxLatencyMicros, significantDigits),
		total:     hdrhistogram.New(1, maxLatencyMicros, significantDigits),
		result:    Result{Name: name, Refused: make(map[string]int)},
	}
	defer r.client.CloseIdleConnections()
	body, err := json.Marshal(map[string]any{
		"model": "assistant", "stream": p.Stream, "max_tokens": p.Tokens,
		"messages": []map[string]string{{"role": "user", "content": strings.Repeat("x", p.PromptBytes)}},
	})
	if err != nil {
		return Result{}, err
	}
	r.body = body
	r.sendAll(ctx)
	r.result.FirstByte, r.result.Total = quantiles(r.firstByte), quantiles(r.total)
	return r.result, nil
}

// sendAll sends the requests at their scheduled times and waits for all responses.
func (r *runner) sendAll(ctx context.Context) {
	rng := rand.New(rand.NewPCG(r.plan.Seed, 1))
	start := time.Now()
	due := start
	var wg sync.WaitGroup
	for n := 0; ; n++ {
		due = due.Add(time.Duration(rng.ExpFloat64() / r.plan.Rate * float64(time.Second)))
		if due.Sub(start) > r.plan.Duration || ctx.Err() != nil {
			break
		}
		deposit := rng.Float64() < r.plan.DepositRatio
		scheduled := due
		time.Sleep(time.Until(scheduled))
		wg.Add(1)
		go func() {
			defer wg.Done()
			r.send(ctx, n, scheduled, scheduled.Sub(start) >= r.plan.WarmUp, deposit)
		}()
	}
	wg.Wait()
}

// send sends the n-th request and records its outcome. counted is false for a
// request of the warm-up.
func (r *runner) send(ctx context.Context, n int, scheduled time.Time, counted, deposit bool) {
	baseURL := r.plan.URLs[n%len(r.plan.URLs)]
	path, body := "/v1/chat/completions", r.body
	if deposit {
		path, body = "/s/booking/deposits", []byte(`{"amount":1}`)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, baseURL+path, bytes.NewReader(body))
	if err != nil {
		return
	}
	req.Header.Set("Authorization", "Bearer "+r.plan.Key)
	if deposit {
		req.Header.Set("Idempotency-Key", fmt.Sprintf("load-%d-%d", r.plan.Seed, n))
	}
	res, err := r.client.Do(req)
	if err != nil {
		r.record(counted, func() { r.result.Cut++ })
		return
	}
	defer res.Body.Close()
	reader := bufio.NewReader(io.LimitReader(res.Body, maxResponseBytes))
	_, _ = reader.Peek(1) // waits for the first byte; ReadAll returns the error
	firstByte := time.Since(scheduled)
	content, err := io.ReadAll(reader)
	total := time.Since(scheduled)
	streamed := r.plan.Stream && !deposit && res.StatusCode == http.StatusOK
	r.record(counted, func() {
		switch {
		case err != nil || streamed && !bytes.Contains(content, []byte("[DONE]")):
			r.result.Cut++
		case res.StatusCode >= http.StatusBadRequest:
			r.result.Refused[errorCode(content)]++
		default:
			r.result.Complete++
			if deposit {
				r.result.Deposits++
			}
			_ = r.firstByte.RecordValue(max(firstByte.Microseconds(), 1)) // fails for latencies over the maximum, which are left out
			_ = r.total.RecordValue(max(total.Microseconds(), 1))
		}
	})
}

// record counts a request and applies f to the result under the lock, unless the
// request belongs to the warm-up.
func (r *runner) record(counted bool, f func()) {
	if !counted {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.result.Sent++
	f()
}

// errorCode returns the error code of a refusal, or "unreadable" if it has none.
func errorCode(body []byte) string {
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

// String returns the result as three lines of text.
func (r Result) String() string {
	var codes []string
	for c, n := range r.Refused {
		codes = append(codes, fmt.Sprintf("%s %d", c, n))
	}
	slices.Sort(codes)
	return fmt.Sprintf("%-10s sent %d whole %d cut %d deposits %d refused [%s]\n  first byte p50 %s p99 %s p99.9 %s max %s\n  end        p50 %s p99 %s p99.9 %s max %s",
		r.Name, r.Sent, r.Complete, r.Cut, r.Deposits, strings.Join(codes, ", "),
		formatMicros(r.FirstByte.P50), formatMicros(r.FirstByte.P99), formatMicros(r.FirstByte.P999), formatMicros(r.FirstByte.Max),
		formatMicros(r.Total.P50), formatMicros(r.Total.P99), formatMicros(r.Total.P999), formatMicros(r.Total.Max))
}

func formatMicros(n int64) string { return (time.Duration(n) * time.Microsecond).String() }
