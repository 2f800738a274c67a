package dev_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"chervilyard.example/chervilstand/dev"
	"chervilyard.example/chervilstand/engine"
	"chervilyard.example/chervilyard/locate"
	"chervilyard.example/yard/environment"
	"chervilyard.example/yard/form"
	"chervilyard.example/yard/memory"
	"chervilyard.example/yard/store"
)

// patience bounds waits whose length does not matter to what is tested.
const patience = 20 * time.Second

func start(t *testing.T) *dev.Dev {
	t.Helper()
	d, err := dev.Start(context.Background(), dev.Options{
		Listen: "127.0.0.1:0", Store: "127.0.0.1:0", Log: hclog.NewNullLogger(),
		Engine: engine.Options{Latency: time.Millisecond, Rate: 2000},
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
		defer cancel()
		d.Stop(ctx)
	})
	return d
}

type call struct {
	instance          int
	method, path, key string
	body, header      string
	idempotency       string
}

func (c call) request(ctx context.Context, d *dev.Dev) *http.Request {
	method := c.method
	if method == "" {
		method = http.MethodPost
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+d.Instances[c.instance].Callers()+c.path, strings.NewReader(c.body))
	if err != nil {
		panic(err)
	}
	if c.key != "" {
		req.Header.Set("Authorization", "Bearer "+c.key)
	}
	if name, value, ok := strings.Cut(c.header, ": "); ok {
		req.Header.Set(name, value)
	}
	if c.idempotency != "" {
		req.Header.Set("Idempotency-Key", c.idempotency)
	}
	return req
}

func (c call) do(t *testing.T, d *dev.Dev) (int, string) {
	t.Helper()
	res, err := http.DefaultClient.Do(c.request(t.Context(), d))
	if err != nil {
		t.Fatal(err)
	}
	defer res.Body.Close()
	body, err := io.ReadAll(res.Body)
	if err != nil {
		t.Fatal(err)
	}
	return res.StatusCode, string(body)
}

func eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(patience); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if ok() {
			return
		}
	}
	t.Fatalf("not in time: %s", what)
}

func TestCalls(t *testing.T) {
	d := start(t)
	text, err := os.ReadFile("testdata/calls.ini")
	if err != nil {
		t.Fatal(err)
	}
	f := form.Parse("calls.ini", string(text))
	for _, s := range f.Sections("call") {
		c := call{
			instance: s.Int("instance", 0, 0, 2), method: s.Text("method", ""), path: s.Need("path"),
			key: s.Text("key", ""), body: s.Text("body", ""), header: s.Text("header", ""),
		}
		status, want := s.Int("status", 0, 100, 599), s.Need("text")
		t.Run(s.Label(), func(t *testing.T) {
			got, body := c.do(t, d)
			if got != status || !strings.Contains(body, want) {
				t.Errorf("status %d, want %d; body %s has to hold %s", got, status, body, want)
			}
			if got >= 400 && !strings.Contains(body, `"run":"no"`) {
				t.Errorf("a refusal that reached no target has to say so: %s", body)
			}
		})
	}
	if err := f.Close(); err != nil {
		t.Error(err)
	}
	for name, e := range d.Engines {
		if n := e.Counts().Headers; n > 0 {
			t.Errorf("engine %s saw %d keys or cookies", name, n)
		}
	}
}

// TestHugeHeader checks that a header over the limit ends with an error and
// harms nobody else.
func TestHugeHeader(t *testing.T) {
	d := start(t)
	status, _ := call{path: "/v1/models", method: http.MethodGet, key: "dev-key", header: "X-Big: " + strings.Repeat("x", 64<<10)}.do(t, d)
	if status != http.StatusRequestHeaderFieldsTooLarge {
		t.Errorf("status %d", status)
	}
	if status, body := (call{path: "/v1/models", method: http.MethodGet, key: "dev-key"}).do(t, d); status != http.StatusOK {
		t.Errorf("the next call got %d %s", status, body)
	}
}

// TestQuotaOverFleet drives a small customer at all instances at once and checks
// that together they admit no more than burst + rate x time.
func TestQuotaOverFleet(t *testing.T) {
	d := start(t)
	began := time.Now()
	var mu sync.Mutex
	used := 0.0
	var wait sync.WaitGroup
	for n := range 9 {
		wait.Add(1)
		go func() {
			defer wait.Done()
			for range 12 {
				body := `{"model":"assistant","max_tokens":40,"prompt":"0123456789"}`
				status, answer := call{instance: n % 3, path: "/v1/completions", key: "small-key", body: body}.do(t, d)
				if status == http.StatusOK {
					mu.Lock()
					used += total(t, answer)
					mu.Unlock()
				}
			}
		}()
	}
	wait.Wait()
	if limit := 1000 + 100*time.Since(began).Seconds(); used > limit {
		t.Errorf("%v tokens admitted, %v allowed", used, limit)
	}
	if used < 500 {
		t.Errorf("only %v tokens of a burst of 1000 admitted", used)
	}
}

func total(t *testing.T, answer string) float64 {
	var a struct {
		Usage struct {
			Total float64 `json:"total_tokens"`
		} `json:"usage"`
	}
	if err := json.Unmarshal([]byte(answer), &a); err != nil {
		t.Error(err)
	}
	return a.Usage.Total
}

// TestOnce repeats deposits at all instances at once, while the store loses
// answers and the service cuts connections, and counts what the service made.
func TestOnce(t *testing.T) {
	for _, fault := range []string{memory.FaultNone, memory.FaultLose, memory.FaultDown, "service cuts"} {
		t.Run("fault "+fault, func(t *testing.T) {
			d := start(t)
			if fault == "service cuts" {
				d.Booking.Drop(true)
			} else {
				d.Store.Fail(fault)
			}
			var wait sync.WaitGroup
			for n := range 24 {
				wait.Add(1)
				go func() {
					defer wait.Done()
					c := call{instance: n % 3, path: "/s/booking/deposits", key: "dev-key", body: "{}", idempotency: fmt.Sprintf("k%d", n/6)}
					status, body := c.do(t, d)
					if status == http.StatusServiceUnavailable && !strings.Contains(body, `"run":"no"`) {
						t.Errorf("%d %s", status, body)
					}
				}()
			}
			wait.Wait()
			if n := d.Booking.Repeated(); n > 0 {
				t.Errorf("%d deposits were made twice", n)
			}
			if fault == memory.FaultDown && d.Booking.Count("/deposits") > 0 {
				t.Error("a deposit was sent without a proven claim")
			}
		})
	}
}

// TestRecordedOutcome checks that a repeat at another instance gets the first
// answer, and that the key does not serve another body.
func TestRecordedOutcome(t *testing.T) {
	d := start(t)
	first := call{path: "/s/booking/deposits", key: "dev-key", body: `{"amount":1}`, idempotency: "a"}
	status, want := first.do(t, d)
	if status != http.StatusCreated {
		t.Fatalf("%d %s", status, want)
	}
	again := first
	again.instance = 2
	if status, got := again.do(t, d); status != http.StatusCreated || got != want {
		t.Errorf("repeat got %d %s, want %s", status, got, want)
	}
	other := first
	other.body = `{"amount":2}`
	if status, got := other.do(t, d); status != http.StatusUnprocessableEntity {
		t.Errorf("other body got %d %s", status, got)
	}
	if n := d.Booking.Count("/deposits"); n != 1 {
		t.Errorf("%d deposits", n)
	}
}

func operator(d *dev.Dev) *environment.Environment {
	return &environment.Environment{Store: store.New(d.StoreURL), Name: "dev", Author: "test"}
}

// TestWithdrawal checks that a withdrawn key ends open streams and idle
// connections at every instance, and gets nothing new.
func TestWithdrawal(t *testing.T) {
	d := start(t)
	k, secret, err := operator(d).IssueKey(t.Context(), time.Now(), "studio")
	if err != nil {
		t.Fatal(err)
	}
	stream := call{path: "/v1/chat/completions", key: secret, body: `{"model":"assistant","stream":true,"max_tokens":8000,"messages":[{"role":"user","content":"x"}]}`}
	ended := make(chan string, len(d.Instances))
	for n := range d.Instances {
		c := stream
		c.instance = n
		eventually(t, "the key is known", func() bool {
			status, _ := call{instance: n, method: http.MethodGet, path: "/v1/models", key: secret}.do(t, d)
			return status == http.StatusOK
		})
		res, err := http.DefaultClient.Do(c.request(t.Context(), d)) //nolint:bodyclose // the goroutine closes it
		if err != nil {
			t.Fatal(err)
		}
		go func() {
			defer res.Body.Close()
			body, _ := io.ReadAll(res.Body) // the connection is cut on purpose
			ended <- string(body)
		}()
	}
	if err := operator(d).WithdrawKey(t.Context(), time.Now(), k.ID()); err != nil {
		t.Fatal(err)
	}
	for range d.Instances {
		select {
		case body := <-ended:
			if !strings.Contains(body, "key_withdrawn") || strings.Contains(body, "[DONE]") {
				t.Errorf("a stream ended with %s", body[max(0, len(body)-300):])
			}
		case <-time.After(patience):
			t.Fatal("a stream goes on under a withdrawn key")
		}
	}
	for n := range d.Instances {
		if status, _ := (call{instance: n, method: http.MethodGet, path: "/v1/models", key: secret}).do(t, d); status != http.StatusUnauthorized {
			t.Errorf("instance %d answers a withdrawn key with %d", n, status)
		}
	}
}

// TestStopCutsNothing stops an instance under load and checks that every call
// is answered whole or truly refused.
func TestStopCutsNothing(t *testing.T) {
	d := start(t)
	stop := make(chan struct{})
	var wait sync.WaitGroup
	for n := range 8 {
		wait.Add(1)
		go func() {
			defer wait.Done()
			for i := 0; ; i++ {
				select {
				case <-stop:
					return
				default:
				}
				c := call{path: "/v1/chat/completions", key: "dev-key", body: fmt.Sprintf(`{"model":"assistant","stream":true,"max_tokens":%d,"messages":[{"role":"user","content":"x"}]}`, 20+n*30)}
				res, err := http.DefaultClient.Do(c.request(context.Background(), d))
				if err != nil {
					t.Errorf("call cut: %v", err)
					return
				}
				body, err := io.ReadAll(res.Body)
				res.Body.Close()
				whole := res.StatusCode == http.StatusOK && bytes.Contains(body, []byte("[DONE]"))
				refused := res.StatusCode == http.StatusServiceUnavailable && bytes.Contains(body, []byte(`"run":"no"`))
				if err != nil || !whole && !refused {
					t.Errorf("status %d, error %v, body %s", res.StatusCode, err, body)
				}
				if refused {
					return // as told, the caller goes to another instance
				}
			}
		}()
	}
	time.Sleep(200 * time.Millisecond)
	d.Instances[0].Stop(context.Background())
	close(stop)
	wait.Wait()
	_, body := call{instance: 1, method: http.MethodGet, path: "/locate?model=assistant", key: "dev-key"}.do(t, d)
	var a locate.Answer
	if err := json.Unmarshal([]byte(body), &a); err != nil {
		t.Fatal(err)
	}
	for _, p := range a.Instances {
		if p.Address == d.Instances[0].Callers() {
			t.Error("/locate names a stopped instance")
		}
	}
}

// TestStoreDown checks that instances serve through an outage of the store, and
// that one started meanwhile serves by what its peers give it.
func TestStoreDown(t *testing.T) {
	d := start(t)
	chat := call{path: "/v1/chat/completions", key: "dev-key", body: `{"model":"assistant","max_tokens":4,"messages":[{"role":"user","content":"x"}]}`}
	d.Store.Fail(memory.FaultHang)
	if status, body := chat.do(t, d); status != http.StatusOK {
		t.Errorf("during the outage: %d %s", status, body)
	}
	d.Store.Fail(memory.FaultDown)
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	d.Instances[2].Stop(ctx)
	if err := d.StartInstance(context.Background(), 2); err != nil {
		t.Fatal(err)
	}
	chat.instance = 2
	eventually(t, "an instance started in the outage serves", func() bool {
		status, _ := chat.do(t, d)
		return status == http.StatusOK
	})
}

// TestBreakingStream checks that a stream which its engine breaks off never
// looks whole.
func TestBreakingStream(t *testing.T) {
	d := start(t)
	for _, e := range d.Engines {
		e.Fail(engine.Faults{Break: 1}, 0)
	}
	c := call{path: "/v1/chat/completions", key: "dev-key", body: `{"model":"assistant","stream":true,"max_tokens":40,"messages":[{"role":"user","content":"x"}]}`}
	res, err := http.DefaultClient.Do(c.request(t.Context(), d))
	if err != nil {
		t.Fatal(err)
	}
	defer res.Body.Close()
	body, err := io.ReadAll(res.Body)
	if err == nil || bytes.Contains(body, []byte("[DONE]")) || !bytes.Contains(body, []byte("answer_broken")) {
		t.Errorf("error %v, body %s", err, body)
	}
}

// TestSpill takes a region's engines away and checks that its calls are served
// elsewhere, but those bound to it refused as not run.
func TestSpill(t *testing.T) {
	d := start(t)
	for _, name := range []string{"debrecen-1", "debrecen-2"} {
		d.Engines[name].Fail(engine.Faults{Refuse: true}, 0)
	}
	c := call{instance: 1, path: "/v1/chat/completions", key: "dev-key", body: `{"model":"assistant","max_tokens":4,"messages":[{"role":"user","content":"x"}]}`}
	eventually(t, "calls are served by another region", func() bool {
		status, _ := c.do(t, d)
		return status == http.StatusOK
	})
	before := engineRequests(d, "budapest") + engineRequests(d, "pecs")
	c.key = "home-key"
	status, body := c.do(t, d)
	if status != http.StatusServiceUnavailable || !strings.Contains(body, `"run":"no"`) {
		t.Errorf("a bound call got %d %s", status, body)
	}
	if after := engineRequests(d, "budapest") + engineRequests(d, "pecs"); after != before {
		t.Error("a bound call left its region")
	}
}

func engineRequests(d *dev.Dev, region string) int64 {
	n := int64(0)
	for name, e := range d.Engines {
		if strings.HasPrefix(name, region) {
			n += e.Counts().Requests
		}
	}
	return n
}

// TestOwnAnswer has many calls of different lengths cross between regions, and
// checks that each gets its own whole answer.
func TestOwnAnswer(t *testing.T) {
	d := start(t)
	for _, name := range []string{"pecs-1", "pecs-2"} {
		d.Engines[name].Fail(engine.Faults{Refuse: true}, 0)
	}
	var wait sync.WaitGroup
	for n := range 60 {
		wait.Add(1)
		go func() {
			defer wait.Done()
			body := fmt.Sprintf(`{"model":"assistant","stream":%v,"max_tokens":%d,"messages":[{"role":"user","content":"x"}]}`, n%2 == 0, n+1)
			status, answer := call{instance: n % 3, path: "/v1/chat/completions", key: "dev-key", body: body}.do(t, d)
			if want := fmt.Sprintf(`"completion_tokens":%d,`, n+1); status == http.StatusOK && !strings.Contains(answer, want) {
				t.Errorf("call %d got another's answer or a part of its own: %s", n, answer)
			}
		}()
	}
	wait.Wait()
}

// TestLeavingTarget marks a target as leaving and checks that it gets no new
// work once the document is in force.
func TestLeavingTarget(t *testing.T) {
	d := start(t)
	env := operator(d)
	stands, err := env.Read(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	text := strings.Replace(stands.Text, "[target budapest-1]\n", "[target budapest-1]\nleaving = yes\n", 1)
	if _, err := env.Apply(t.Context(), time.Now(), text, "leave", stands.Revision); err != nil {
		t.Fatal(err)
	}
	eventually(t, "the document is in force", func() bool { return d.Instances[0].Status().Revision == 2 })
	before := d.Engines["budapest-1"].Counts().Requests
	for range 20 {
		body := `{"model":"assistant","max_tokens":2,"messages":[{"role":"user","content":"x"}]}`
		if status, answer := (call{path: "/v1/chat/completions", key: "dev-key", body: body}).do(t, d); status != http.StatusOK {
			t.Errorf("%d %s", status, answer)
		}
	}
	if after := d.Engines["budapest-1"].Counts().Requests; after != before {
		t.Errorf("a leaving target got %d requests", after-before)
	}
}

// TestHangingEngine has one engine of a data centre hang, and checks that calls
// which may be repeated are answered by others.
func TestHangingEngine(t *testing.T) {
	d := start(t)
	body := `{"model":"assistant","stream":true,"max_tokens":3,"messages":[{"role":"user","content":"x"}]}`
	c := call{path: "/v1/chat/completions", key: "dev-key", body: body}
	for range 10 {
		c.do(t, d) // so that the usual time to a first byte is known
	}
	d.Engines["budapest-1"].Fail(engine.Faults{Hang: true}, 0)
	for range 8 {
		if status, answer := c.do(t, d); status != http.StatusOK || !strings.Contains(answer, "[DONE]") {
			t.Errorf("%d %s", status, answer)
		}
	}
}

// TestErrorsAreRetried has all engines fail half of their calls, and checks that
// no refusal claims that a failed call did not run.
func TestErrorsAreRetried(t *testing.T) {
	d := start(t)
	for _, e := range d.Engines {
		e.Fail(engine.Faults{Errors: 0.5}, 0)
	}
	answered := 0
	for n := range 30 {
		body := `{"model":"assistant","max_tokens":2,"messages":[{"role":"user","content":"x"}]}`
		status, answer := call{instance: n % 3, path: "/v1/chat/completions", key: "dev-key", body: body}.do(t, d)
		switch {
		case status == http.StatusOK:
			answered++
		case strings.Contains(answer, `"run":"no"`) && strings.Contains(answer, "target_failed"):
			t.Errorf("a call that failed at a target is said not to have run: %s", answer)
		}
	}
	if answered < 20 {
		t.Errorf("%d of 30 calls were answered, with half of all tries failing", answered)
	}
}

// TestLongRequest checks that a request which needs nearly the whole burst of
// its customer, and so the quota of all instances, is gathered and not refused.
func TestLongRequest(t *testing.T) {
	d := start(t)
	c := call{path: "/v1/completions", key: "small-key", body: `{"model":"assistant","max_tokens":980,"prompt":"x"}`}
	if status, answer := c.do(t, d); status != http.StatusOK {
		t.Errorf("%d %s", status, answer)
	}
}
