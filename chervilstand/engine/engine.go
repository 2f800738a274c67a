// Package engine simulates a model engine with continuous batching, a prefix
// cache of limited size, load reports and injected faults.
package engine

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"chervilyard.example/yard/balancer"
)

const (
	bytesPerToken = 4
	maxBodyBytes  = 64 << 20
	flushInterval = 5 * time.Millisecond // minimum time between writes; a fast stream sends several tokens in each
)

// Faults are the faults to inject. The zero value injects none.
type Faults struct {
	ErrorRate float64 `json:"errors"` // fraction of requests answered with status 500
	Hang      bool    `json:"hang"`   // requests are never answered
	CutRate   float64 `json:"break"`  // fraction of responses whose connection is cut midway
	Refuse    bool    `json:"refuse"` // every request is answered with status 503
	Wait      float64 `json:"wait"`   // seconds that a refusal asks to wait; 0 if it asks for none
	CrashOn   string  `json:"crash"`  // the engine crashes as it begins to answer a prompt that contains it, unless it is empty
}

// Options configures an engine. If they are not positive, Rate, Capacity and
// CacheBlocks default to 1000, 64 and 4096.
type Options struct {
	Latency     time.Duration // from the start of processing to the first token, with a fully cached prompt
	Prefill     time.Duration // additional time for each prompt token that is not cached
	Rate        float64       // tokens per second of one stream
	Capacity    int           // maximum number of concurrent requests; more are queued
	CacheBlocks int           // size of the prefix cache in blocks of balancer.BlockBytes bytes
	TimeFactor  float64       // factor by which all times are multiplied; less than 1 counts as 1
	OnCrash     func()        // ends the engine's server and all its connections; may be nil
}

// Engine is a simulated model engine. It is an http.Handler and safe for
// concurrent use.
type Engine struct {
	Options Options

	mu             sync.Mutex
	faults         Faults
	factorOverride float64          // overrides Options.TimeFactor unless 0
	cache          map[uint64]int64 // tick of the last use by hash of the prompt block
	tick           int64            // counts uses of blocks
	slots          chan struct{}    // one element for each running request
	running        atomic.Int64
	queued         atomic.Int64
	counts         Counts
}

// Counts holds the totals since the engine was created.
type Counts struct {
	Requests          int64 `json:"requests"`
	Tokens            int64 `json:"tokens"`  // generated tokens
	Prompt            int64 `json:"prompt"`  // prompt tokens
	Cached            int64 `json:"cached"`  // prompt tokens found in the cache
	Cut               int64 `json:"cut"`     // running requests whose client disconnected before the response was complete
	CredentialHeaders int64 `json:"headers"` // requests with an Authorization or Cookie header
	Crashes           int64 `json:"crashes"` // requests that crashed the engine
}

// New returns an engine with the given options and no faults.
func New(o Options) *Engine {
	if o.Rate <= 0 {
		o.Rate = 1000
	}
	if o.Capacity <= 0 {
		o.Capacity = 64
	}
	if o.CacheBlocks <= 0 {
		o.CacheBlocks = 4096
	}
	return &Engine{Options: o, cache: make(map[uint64]int64), slots: make(chan struct{}, o.Capacity)}
}

// SetFaults sets the faults to inject and the factor by which all times are
// multiplied. A factor of 0 stands for that of the options.
func (e *Engine) SetFaults(f Faults, factor float64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults, e.factorOverride = f, factor
}

// Counts returns the current totals.
func (e *Engine) Counts() Counts {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.counts
}

// request is a completion or chat completion request.
type request struct {
	Model     string          `json:"model"`
	Stream    bool            `json:"stream"`
	MaxTokens int             `json:"max_tokens"`
	Prompt    json.RawMessage `json:"prompt"`
	Messages  []struct {
		Role    string          `json:"role"`
		Content json.RawMessage `json:"content"`
	} `json:"messages"`
	Options struct {
		Usage bool `json:"include_usage"`
	} `json:"stream_options"`
}

// text returns the prompt, or the roles and contents of all messages, as raw JSON.
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

// ServeHTTP serves the OpenAI-compatible completion endpoints, GET /load,
// GET /counts and PUT /fault.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/load":
		writeJSON(w, e.load())
	case "/counts":
		writeJSON(w, e.Counts())
	case "/fault":
		e.serveFault(w, r)
	case "/v1/chat/completions", "/v1/completions":
		e.serveCompletion(w, r)
	default:
		http.NotFound(w, r)
	}
}

// loadReport is the response to GET /load.
type loadReport struct {
	Running int64   `json:"running"`
	Queued  int64   `json:"queued"`
	Wait    float64 `json:"wait"` // estimated queueing time in seconds
}

func (e *Engine) load() loadReport {
	l := loadReport{Running: e.running.Load(), Queued: e.queued.Load()}
	l.Wait = float64(l.Queued) / float64(e.Options.Capacity) * e.factor()
	return l
}

func (e *Engine) serveFault(w http.ResponseWriter, r *http.Request) {
	var f struct {
		Faults
		Slow float64 `json:"slow"`
	}
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	e.SetFaults(f.Faults, f.Slow)
	w.WriteHeader(http.StatusNoContent)
}

// factor returns the factor by which all times are multiplied.
func (e *Engine) factor() float64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	f := max(e.Options.TimeFactor, 1)
	if e.factorOverride > 0 {
		f = e.factorOverride
	}
	return f
}

func (e *Engine) serveCompletion(w http.ResponseWriter, r *http.Request) {
	var req request
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(&req); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	f := e.faults
	e.counts.Requests++
	if r.Header.Get("Authorization") != "" || r.Header.Get("Cookie") != "" {
		e.counts.CredentialHeaders++
	}
	e.mu.Unlock()
	switch {
	case f.Refuse:
		if f.Wait > 0 {
			w.Header().Set("Retry-After", strconv.FormatFloat(f.Wait, 'f', -1, 64))
		}
		http.Error(w, "no more work", http.StatusServiceUnavailable)
		return
	case f.Hang:
		<-r.Context().Done()
		return
	case rand.Float64() < f.ErrorRate:
		http.Error(w, "engine error", http.StatusInternalServerError)
		return
	}
	if !e.acquireSlot(r) {
		return
	}
	defer func() {
		e.running.Add(-1)
		<-e.slots
	}()
	e.generate(w, r, req, rand.Float64() < f.CutRate, f.CrashOn)
}

// acquireSlot waits for a free slot of the batch. It returns false if the client
// disconnects first.
func (e *Engine) acquireSlot(r *http.Request) bool {
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

// generate simulates the processing of the prompt and then sends the response, or crashes
// if the prompt contains crashOn.
func (e *Engine) generate(w http.ResponseWriter, r *http.Request, req request, cut bool, crashOn string) {
	text := req.text()
	promptTokens := (len(text) + bytesPerToken - 1) / bytesPerToken
	cachedTokens := min(e.cachePrompt(text), promptTokens)
	maxTokens := req.MaxTokens
	if maxTokens <= 0 {
		maxTokens = 16
	}
	e.updateCounts(func(c *Counts) {
		c.Prompt += int64(promptTokens)
		c.Cached += int64(cachedTokens)
	})
	out := &completionWriter{w: w, chat: r.URL.Path == "/v1/chat/completions", model: req.Model, stream: req.Stream, id: strconv.FormatUint(rand.Uint64(), 36)}
	delay := time.Duration((float64(e.Options.Latency) + float64(e.Options.Prefill)*float64(promptTokens-cachedTokens)) * e.factor())
	if !sleep(r, delay) {
		e.updateCounts(func(c *Counts) { c.Cut++ })
		return
	}
	if crashOn != "" && bytes.Contains(text, []byte(crashOn)) {
		e.crash(out)
	}
	e.emit(out, r, maxTokens, promptTokens, cut)
}

// crash sends the header of a stream and then ends the engine.
func (e *Engine) crash(out *completionWriter) {
	e.updateCounts(func(c *Counts) { c.Crashes++ })
	if out.stream {
		out.sendHeader("text/event-stream")
		_ = out.flush() // the connection ends in any case
	}
	if e.Options.OnCrash != nil {
		e.Options.OnCrash()
	}
	panic(http.ErrAbortHandler)
}

// emit sends the tokens at the rate of the engine, and cuts the connection after
// half of them if cut is set.
func (e *Engine) emit(out *completionWriter, r *http.Request, maxTokens, promptTokens int, cut bool) {
	interval := time.Duration(float64(time.Second) / e.Options.Rate * e.factor())
	start := time.Now()
	limit := maxTokens
	if cut {
		limit = maxTokens / 2
	}
	for sent := 0; sent < limit; {
		due := min(limit, int(time.Since(start)/max(interval, 1))+1)
		for ; sent < due; sent++ {
			out.writeToken(sent)
			e.updateCounts(func(c *Counts) { c.Tokens++ })
		}
		if err := out.flush(); err != nil || r.Context().Err() != nil {
			e.updateCounts(func(c *Counts) { c.Cut++ })
			return
		}
		if sent < limit && !sleep(r, max(interval, flushInterval)) {
			e.updateCounts(func(c *Counts) { c.Cut++ })
			return
		}
	}
	if cut {
		panic(http.ErrAbortHandler)
	}
	out.finish(promptTokens, maxTokens)
}

func (e *Engine) updateCounts(f func(c *Counts)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	f(&e.counts)
}

// cachePrompt returns the number of prompt tokens before the first block that was
// not cached. It caches all blocks of the prompt and evicts blocks while the cache
// is too large.
func (e *Engine) cachePrompt(text []byte) int {
	blocks := balancer.PrefixHashes("", text)
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
	for len(e.cache) > e.Options.CacheBlocks {
		e.evict()
	}
	return hits * balancer.BlockBytes / bytesPerToken
}

// evict removes the blocks that were not among the last CacheBlocks*3/4 uses of
// blocks, and one arbitrary block if the cache is still too large.
func (e *Engine) evict() {
	cutoff := e.tick - int64(e.Options.CacheBlocks)*3/4
	for b, t := range e.cache {
		if t < cutoff {
			delete(e.cache, b)
		}
	}
	if len(e.cache) > e.Options.CacheBlocks {
		for b := range e.cache {
			delete(e.cache, b)
			return
		}
	}
}

// sleep waits for d. It returns false if the client disconnects first.
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

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v) // fails only if the client has disconnected
}

// completionWriter writes one response, streamed or not.
type completionWriter struct {
	w          http.ResponseWriter
	chat       bool
	stream     bool
	model      string
	id         string
	text       []byte // generated so far, unless streamed
	headerSent bool
}

func (cw *completionWriter) writeToken(n int) {
	word := fmt.Sprintf("w%d ", n)
	if !cw.stream {
		cw.text = append(cw.text, word...)
		return
	}
	cw.sendHeader("text/event-stream")
	content := fmt.Sprintf(`"delta":{"content":%q}`, word)
	if !cw.chat {
		content = fmt.Sprintf(`"text":%q`, word)
	}
	fmt.Fprintf(cw.w, "data: {\"id\":%q,\"object\":%q,\"model\":%q,\"choices\":[{\"index\":0,%s}]}\n\n", cw.id, cw.object(true), cw.model, content)
}

func (cw *completionWriter) sendHeader(contentType string) {
	if cw.headerSent {
		return
	}
	cw.headerSent = true
	cw.w.Header().Set("Content-Type", contentType)
	cw.w.WriteHeader(http.StatusOK)
}

func (cw *completionWriter) flush() error {
	if !cw.stream {
		return nil
	}
	return http.NewResponseController(cw.w).Flush()
}

// object returns the object type of the response or, if chunk is set, of an event.
func (cw *completionWriter) object(chunk bool) string {
	switch {
	case cw.chat && chunk:
		return "chat.completion.chunk"
	case cw.chat:
		return "chat.completion"
	}
	return "text_completion"
}

// finish sends the final events of a stream, or the whole response.
func (cw *completionWriter) finish(promptTokens, generatedTokens int) {
	usage := fmt.Sprintf(`"usage":{"prompt_tokens":%d,"completion_tokens":%d,"total_tokens":%d}`, promptTokens, generatedTokens, promptTokens+generatedTokens)
	if cw.stream {
		cw.sendHeader("text/event-stream")
		fmt.Fprintf(cw.w, "data: {\"id\":%q,\"object\":%q,\"model\":%q,\"choices\":[],%s}\n\ndata: [DONE]\n\n", cw.id, cw.object(true), cw.model, usage)
		return
	}
	cw.sendHeader("application/json")
	content := fmt.Sprintf(`"message":{"role":"assistant","content":%q}`, cw.text)
	if !cw.chat {
		content = fmt.Sprintf(`"text":%q`, cw.text)
	}
	fmt.Fprintf(cw.w, "{\"id\":%q,\"object\":%q,\"model\":%q,\"choices\":[{\"index\":0,%s,\"finish_reason\":\"length\"}],%s}\n", cw.id, cw.object(false), cw.model, content, usage)
}
