// Package engine is a stand-in for a model engine: it batches continuously,
// caches prompt prefixes in limited memory, reports its load, and fails on
// demand.
package engine

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"chervilyard.example/yard/choice"
)

const (
	bytesPerToken = 4
	maxBody       = 64 << 20
	flushEvery    = 5 * time.Millisecond // tokens of a fast stream go out in such steps
)

// Faults are what the engine does wrong. The zero value does all right.
type Faults struct {
	Errors float64 `json:"errors"` // part of requests answered with 500
	Hang   bool    `json:"hang"`   // requests are never answered
	Break  float64 `json:"break"`  // part of answers that break off midway
	Refuse bool    `json:"refuse"` // every request is answered with 503
}

// Options shape an engine.
type Options struct {
	Latency  time.Duration // from a request's turn to its first token, with a cached prompt
	Prefill  time.Duration // for each prompt token that is not cached
	Rate     float64       // tokens a second of one stream
	Capacity int           // requests that run at once
	Cache    int           // prompt blocks that are kept
	Slow     float64       // factor on all times; 0 counts as 1
}

// Engine is the stand-in. It is an http.Handler and safe for concurrent use.
type Engine struct {
	Options Options

	mu      sync.Mutex
	faults  Faults
	slow    float64
	cache   map[uint64]int64
	tick    int64
	slots   chan struct{}
	running atomic.Int64
	queued  atomic.Int64
	counts  Counts
}

// Counts are what the engine did.
type Counts struct {
	Requests int64 `json:"requests"`
	Tokens   int64 `json:"tokens"`  // generated
	Prompt   int64 `json:"prompt"`  // prompt tokens
	Cached   int64 `json:"cached"`  // prompt tokens found in the cache
	Cut      int64 `json:"cut"`     // answers that their caller did not take
	Headers  int64 `json:"headers"` // requests that carried Authorization or a cookie
}

// New returns an engine.
func New(o Options) *Engine {
	if o.Rate <= 0 {
		o.Rate = 1000
	}
	if o.Capacity <= 0 {
		o.Capacity = 64
	}
	if o.Cache <= 0 {
		o.Cache = 4096
	}
	return &Engine{Options: o, cache: make(map[uint64]int64), slots: make(chan struct{}, o.Capacity)}
}

// Fail sets the faults and the factor on all times.
func (e *Engine) Fail(f Faults, slow float64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults, e.slow = f, slow
}

// Counts returns what the engine did so far.
func (e *Engine) Counts() Counts {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.counts
}

type request struct {
	Model    string          `json:"model"`
	Stream   bool            `json:"stream"`
	Max      int             `json:"max_tokens"`
	Prompt   json.RawMessage `json:"prompt"`
	Messages []struct {
		Role    string          `json:"role"`
		Content json.RawMessage `json:"content"`
	} `json:"messages"`
	Options struct {
		Usage bool `json:"include_usage"`
	} `json:"stream_options"`
}

func (r request) text() []byte {
	if len(r.Messages) == 0 {
		return r.Prompt
	}
	var text []byte
	for _, m := range r.Messages {
		text = append(text, m.Role...)
		text = append(text, m.Content...)
	}
	return text
}

// ServeHTTP answers the OpenAI-compatible calls, GET /load, GET /counts and
// PUT /fault.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/load":
		reply(w, e.load())
	case "/counts":
		reply(w, e.Counts())
	case "/fault":
		e.serveFault(w, r)
	case "/v1/chat/completions", "/v1/completions":
		e.serveCompletion(w, r)
	default:
		http.NotFound(w, r)
	}
}

type load struct {
	Running int64   `json:"running"`
	Queued  int64   `json:"queued"`
	Wait    float64 `json:"wait"`
}

func (e *Engine) load() load {
	l := load{Running: e.running.Load(), Queued: e.queued.Load()}
	l.Wait = float64(l.Queued) / float64(e.Options.Capacity) * e.factor()
	return l
}

func (e *Engine) serveFault(w http.ResponseWriter, r *http.Request) {
	var f struct {
		Faults
		Slow float64 `json:"slow"`
	}
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBody)).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	e.Fail(f.Faults, f.Slow)
	w.WriteHeader(http.StatusNoContent)
}

func (e *Engine) factor() float64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	f := max(e.Options.Slow, 1)
	if e.slow > 0 {
		f = e.slow
	}
	return f
}

func (e *Engine) serveCompletion(w http.ResponseWriter, r *http.Request) {
	var q request
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBody)).Decode(&q); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	f := e.faults
	e.counts.Requests++
	if r.Header.Get("Authorization") != "" || r.Header.Get("Cookie") != "" {
		e.counts.Headers++
	}
	e.mu.Unlock()
	switch {
	case f.Refuse:
		http.Error(w, "no more work", http.StatusServiceUnavailable)
		return
	case f.Hang:
		<-r.Context().Done()
		return
	case rand.Float64() < f.Errors:
		http.Error(w, "engine error", http.StatusInternalServerError)
		return
	}
	if !e.turn(r) {
		return
	}
	defer func() {
		e.running.Add(-1)
		<-e.slots
	}()
	e.generate(w, r, q, rand.Float64() < f.Break)
}

// turn waits for a slot of the batch.
func (e *Engine) turn(r *http.Request) bool {
	e.queued.Add(1)
	defer e.queued.Add(-1)
	select {
	case e.slots <- struct{}{}:
		e.running.Add(1)
		return true
	case <-r.Context().Done():
		return false
	}
}

func (e *Engine) generate(w http.ResponseWriter, r *http.Request, q request, breaks bool) {
	text := q.text()
	prompt := (len(text) + bytesPerToken - 1) / bytesPerToken
	cached := min(e.remember(text), prompt)
	most := q.Max
	if most <= 0 {
		most = 16
	}
	e.count(func(c *Counts) {
		c.Prompt += int64(prompt)
		c.Cached += int64(cached)
	})
	a := &writer{w: w, chat: r.URL.Path == "/v1/chat/completions", model: q.Model, stream: q.Stream, id: strconv.FormatUint(rand.Uint64(), 36)}
	first := time.Duration((float64(e.Options.Latency) + float64(e.Options.Prefill)*float64(prompt-cached)) * e.factor())
	if !sleep(r, first) {
		e.count(func(c *Counts) { c.Cut++ })
		return
	}
	e.emit(a, r, most, prompt, breaks)
}

func (e *Engine) emit(a *writer, r *http.Request, most, prompt int, breaks bool) {
	gap := time.Duration(float64(time.Second) / e.Options.Rate * e.factor())
	start := time.Now()
	stop := most
	if breaks {
		stop = most / 2
	}
	for done := 0; done < stop; {
		due := min(stop, int(time.Since(start)/max(gap, 1))+1)
		for ; done < due; done++ {
			a.token(done)
			e.count(func(c *Counts) { c.Tokens++ })
		}
		if err := a.flush(); err != nil || r.Context().Err() != nil {
			e.count(func(c *Counts) { c.Cut++ })
			return
		}
		if done < stop && !sleep(r, max(gap, flushEvery)) {
			e.count(func(c *Counts) { c.Cut++ })
			return
		}
	}
	if breaks {
		panic(http.ErrAbortHandler)
	}
	a.end(prompt, most)
}

func (e *Engine) count(f func(c *Counts)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	f(&e.counts)
}

// remember returns how many prompt tokens were cached, and caches the prompt's
// blocks in place of the longest unused.
func (e *Engine) remember(text []byte) int {
	blocks := choice.Prefix("", text)
	e.mu.Lock()
	defer e.mu.Unlock()
	hits, missed := 0, false
	for _, b := range blocks {
		e.tick++
		if _, ok := e.cache[b]; ok && !missed {
			hits++
		} else {
			missed = true
		}
		e.cache[b] = e.tick
	}
	for len(e.cache) > e.Options.Cache {
		e.evict()
	}
	return hits * choice.BlockBytes / bytesPerToken
}

func (e *Engine) evict() {
	cut := e.tick - int64(e.Options.Cache)*3/4
	for b, t := range e.cache {
		if t < cut {
			delete(e.cache, b)
		}
	}
	if len(e.cache) > e.Options.Cache {
		for b := range e.cache {
			delete(e.cache, b)
			return
		}
	}
}

func sleep(r *http.Request, d time.Duration) bool {
	if d <= 0 {
		return r.Context().Err() == nil
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-r.Context().Done():
		return false
	}
}

func reply(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v) // the caller may be gone
}

// writer forms one answer.
type writer struct {
	w      http.ResponseWriter
	chat   bool
	stream bool
	model  string
	id     string
	text   []byte
	began  bool
}

func (a *writer) token(n int) {
	word := fmt.Sprintf("w%d ", n)
	if !a.stream {
		a.text = append(a.text, word...)
		return
	}
	a.begin("text/event-stream")
	content := fmt.Sprintf(`"delta":{"content":%q}`, word)
	if !a.chat {
		content = fmt.Sprintf(`"text":%q`, word)
	}
	fmt.Fprintf(a.w, "data: {\"id\":%q,\"object\":%q,\"model\":%q,\"choices\":[{\"index\":0,%s}]}\n\n", a.id, a.object(true), a.model, content)
}

func (a *writer) begin(kind string) {
	if a.began {
		return
	}
	a.began = true
	a.w.Header().Set("Content-Type", kind)
	a.w.WriteHeader(http.StatusOK)
}

func (a *writer) flush() error {
	if !a.stream {
		return nil
	}
	return http.NewResponseController(a.w).Flush()
}

func (a *writer) object(chunk bool) string {
	switch {
	case a.chat && chunk:
		return "chat.completion.chunk"
	case a.chat:
		return "chat.completion"
	}
	return "text_completion"
}

func (a *writer) end(prompt, generated int) {
	usage := fmt.Sprintf(`"usage":{"prompt_tokens":%d,"completion_tokens":%d,"total_tokens":%d}`, prompt, generated, prompt+generated)
	if a.stream {
		a.begin("text/event-stream")
		fmt.Fprintf(a.w, "data: {\"id\":%q,\"object\":%q,\"model\":%q,\"choices\":[],%s}\n\ndata: [DONE]\n\n", a.id, a.object(true), a.model, usage)
		return
	}
	a.begin("application/json")
	content := fmt.Sprintf(`"message":{"role":"assistant","content":%q}`, a.text)
	if !a.chat {
		content = fmt.Sprintf(`"text":%q`, a.text)
	}
	fmt.Fprintf(a.w, "{\"id\":%q,\"object\":%q,\"model\":%q,\"choices\":[{\"index\":0,%s,\"finish_reason\":\"length\"}],%s}\n", a.id, a.object(false), a.model, content, usage)
}
