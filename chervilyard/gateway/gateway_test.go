package gateway_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"chervilyard.example/chervilyard/decisionlog"
	"chervilyard.example/chervilyard/gateway"
	"chervilyard.example/chervilyard/pool"
	"chervilyard.example/yard/catalog"
	"chervilyard.example/yard/customer"
	"chervilyard.example/yard/membership"
	"chervilyard.example/yard/placement"
	"chervilyard.example/yard/ratelimit"
	"chervilyard.example/yard/refusal"
	"chervilyard.example/yard/retry"
	"chervilyard.example/yard/route"
	"chervilyard.example/yard/service"
	"chervilyard.example/yard/suspect"
	"chervilyard.example/yard/target"
)

func itoa(n int) string        { return strconv.Itoa(n) }
func hexadecimal(n int) string { return strconv.FormatInt(int64(n), 16) }

// wire implements a minimal protocol, so that the tests do not depend on the
// platform's header names.
var wire = gateway.Protocol{
	ParseRequest: func(r *http.Request) (gateway.Request, string) {
		h := gateway.EndToEndHeader(r.Header)
		ms, _ := strconv.Atoi(h.Get("Wait"))
		tokens, err := strconv.Atoi(h.Get("Tokens"))
		key := h.Get("Key")
		h.Del("Key")
		return gateway.Request{
			ID: h.Get("Id"), Deadline: time.Duration(ms) * time.Millisecond,
			PromptTokens: tokens, HasTokenCounts: err == nil, LastEventID: h.Get("After"), Header: h, Parts: parts(h.Get("Parts")),
		}, key
	},
	SetTargetHeaders: func(h http.Header, tc gateway.TargetContext) {
		h.Set("Expect-Target", tc.Target)
		h.Set("Customer", tc.Customer)
		h.Set("Left", strconv.FormatInt(tc.TimeLeft.Milliseconds(), 10))
		if tc.LastEventID != "" {
			h.Set("After", tc.LastEventID)
		}
	},
	ClassifyResponse: func(status int, h http.Header) gateway.ResponseClass {
		return gateway.ResponseClass{FromTarget: h.Get("Stamp") != "", NotRun: h.Get("Not-Run") != "", Replaced: status == http.StatusMisdirectedRequest}
	},
	ResponseRequestID: func(h http.Header) string { return h.Get("Id") },
	WriteRefusal:      func(w http.ResponseWriter, r *refusal.Refusal) { r.WriteResponse(w) },
}

// parts parses prompt parts in the form ID:TOKENS,ID:TOKENS.
func parts(text string) []placement.Part {
	var list []placement.Part
	for part := range strings.SplitSeq(text, ",") {
		id, tokens, _ := strings.Cut(part, ":")
		if n, err := strconv.Atoi(tokens); err == nil {
			list = append(list, placement.Part{ID: id, Tokens: n})
		}
	}
	return list
}

// testCatalog returns a catalog with one route of each kind: idempotent (read),
// non-idempotent (order), stream, resumable streams (resume, thrice), and public (open).
func testCatalog() *catalog.Catalog { return testCatalogOf(service.New("s")) }

// testCatalogOf returns the catalog of testCatalog with the service s.
func testCatalogOf(s service.Service) *catalog.Catalog {
	forward := func(name string, kind string, attempts int) route.Route {
		return route.New(name, route.KindService, route.Timeout(700*time.Millisecond), route.Repeatable(kind == "read"),
			route.Forward(route.Forwarding{
				Host: "h.example", Prefix: "/" + name + "/", Services: []route.WeightedService{{Service: "s", Weight: 1}},
				Attempts: attempts, LatencyObjective: 400 * time.Millisecond, Stream: strings.HasPrefix(kind, "stream"), Resume: kind == "streams",
				Public: name == "open",
			}))
	}
	return catalog.New(catalog.Config{
		Version: 1, Limits: catalog.Limits{MaxBodyBytes: 1 << 20},
		Routes: []route.Route{
			forward("read", "read", 2), forward("order", "order", 1), forward("stream", "stream", 1),
			forward("resume", "streams", 2), forward("thrice", "streams", 3), forward("open", "read", 1),
		},
		Services:      []service.Service{s},
		Customers:     []customer.Customer{customer.New("c", 1000, 1000, 1, ""), customer.New("bound", 1e6, 1e6, 1, "").WithAllowedRegions([]string{"far"})},
		CustomerByKey: map[string]string{"k": "c", "kb": "bound"},
		DefaultTokens: map[string]float64{"c": 1},
	})
}

// testInstance is a gateway with its two servers.
type testInstance struct {
	gateway  *gateway.Gateway
	public   *httptest.Server
	internal *httptest.Server
}

func newTestInstance(t testing.TB, region string, fakes []*fakeTarget, remotes ...*testInstance) *testInstance {
	t.Helper()
	var targets []target.Target
	for _, f := range fakes {
		targets = append(targets, target.New(f.name, "c", f.address(), []string{"s"}, 8, 1, false))
	}
	c := testCatalog()
	limiter := &ratelimit.Limiter{}
	limiter.SetLimits(time.Now().Add(-time.Minute), map[string]ratelimit.Limits{"c": {Rate: 1000, Burst: 1000}, "bound": {Rate: 1e6, Burst: 1e6}}, 1)
	g := &gateway.Gateway{
		Protocol: wire, Now: time.Now, Catalog: func() *catalog.Catalog { return c }, Region: region,
		Targets: func(time.Time, string) []target.Target { return targets },
		ColdShare: func(time.Time) placement.ColdShare {
			return placement.ColdShare{Position: placement.Position{Instances: 1}}
		},
		Remotes: func(_ time.Time, _ string, _ bool, permits func(string) bool) []gateway.RemoteInstance {
			var list []gateway.RemoteInstance
			for i, n := range remotes {
				if permits(n.gateway.Region) {
					list = append(list, gateway.RemoteInstance{Wait: time.Millisecond, Member: membership.Member{
						Name: fmt.Sprintf("%s-%d", n.gateway.Region, i+1), Region: n.gateway.Region, Forward: n.internal.Listener.Addr().String(),
					}})
				}
			}
			return list
		},
		RetrySharers: func(time.Time) int { return 1 },
		RetryLimits: func() retry.Limits {
			return retry.Limits{Window: 10 * time.Second, RetriesPerRequest: 0.2, ExtraRetries: 4}
		},
		Picker: &placement.Picker{}, Limiter: limiter, Suspects: &suspect.Ledger{}, RetryBudget: &retry.Budget{}, Pool: &pool.Pool{},
		CollectTokens: func(context.Context, string, float64, time.Duration) (bool, time.Duration) { return false, 0 },
		Decisions:     decisionlog.NewWithHistory(hclog.NewNullLogger(), 16),
		Random:        func() float64 { return 0 }, Cutoff: func() (time.Time, bool) { return time.Time{}, false },
	}
	for range 20 { // earn a few retries, as earlier requests would have
		g.RetryBudget.RecordRequest(time.Now(), g.RetryLimits(), "s")
	}
	n := &testInstance{gateway: g, public: httptest.NewServer(g), internal: httptest.NewServer(http.HandlerFunc(g.ServeForwarded))}
	t.Cleanup(func() {
		n.public.Close()
		n.internal.Close()
	})
	return n
}

// roundTrip sends a raw request and returns the status, the body and the header
// of the response. It appends "cut" to a body that is incomplete.
func roundTrip(t *testing.T, n *testInstance, text string) (int, string, http.Header) {
	t.Helper()
	c, err := net.Dial("tcp", n.public.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	_, _ = io.WriteString(c, text)
	_ = c.SetReadDeadline(time.Now().Add(5 * time.Second))
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0, "cut", nil
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return resp.StatusCode, string(body) + "cut", resp.Header
	}
	return resp.StatusCode, string(body), resp.Header
}

func getRequest(path string, headers ...string) string {
	return "GET " + path + " HTTP/1.1\r\nHost: h.example\r\nId: 1\r\nKey: k\r\nTokens: 1\r\n" + strings.Join(append(headers, ""), "\r\n") + "\r\n"
}

// TestResponses runs the cases of testdata/answers.txt. Each gives a route, the
// responses of the targets, the expected response to the caller, and how many
// requests the targets must receive in total.
func TestResponses(t *testing.T) {
	text, err := os.ReadFile(filepath.Join("testdata", "answers.txt"))
	if err != nil {
		t.Fatal(err)
	}
	for line := range strings.SplitSeq(string(text), "\n") {
		line, _, _ = strings.Cut(line, "#")
		fields := strings.Split(line, "|")
		if len(fields) != 5 {
			continue
		}
		for i := range fields {
			fields[i] = strings.TrimSpace(fields[i])
		}
		t.Run(strings.Join(fields[:3], "_"), func(t *testing.T) {
			var fakes []*fakeTarget
			for i, response := range strings.Split(fields[1], ";") {
				fakes = append(fakes, newFakeTarget(t, "e"+itoa(i), strings.TrimSpace(response)))
			}
			n := newTestInstance(t, "near", fakes)
			status, body, _ := roundTrip(t, n, getRequest("/"+fields[0]+"/x"))
			if got := fmt.Sprint(status); got != fields[2] {
				t.Errorf("status %s, want %s", got, fields[2])
			}
			text, truncated := strings.CutSuffix(fields[3], " cut")
			want := strings.NewReplacer("EVENTS(", "", "HALF(", "", ")", "").Replace(text)
			if strings.HasPrefix(text, "EVENTS(") {
				want = events(want)
			}
			if strings.HasPrefix(text, "HALF(") {
				want = events(want) + halfEvent
			}
			if truncated {
				want += "cut"
			}
			if fields[3] != "-" && body != want {
				t.Errorf("body %q, want %q", body, want)
			}
			sends := 0
			for _, f := range fakes {
				sends += len(f.requests())
			}
			if got := fmt.Sprint(sends); got != fields[4] {
				t.Errorf("%s sends, want %s", got, fields[4])
			}
		})
	}
}

// A forwarded non-idempotent request that gets no response may have run, so the
// refusal must not say that it did not.
func TestForwardedNonIdempotentNoResponse(t *testing.T) {
	f := newFakeTarget(t, "far-e", "silent")
	far := newTestInstance(t, "far", []*fakeTarget{f})
	near := newTestInstance(t, "near", nil, far)
	status, body, _ := roundTrip(t, near, getRequest("/order/x"))
	if status != http.StatusGatewayTimeout && status != http.StatusBadGateway || strings.Contains(body, `"run":"no"`) {
		t.Errorf("response %d %s", status, body)
	}
}

// Targets that another region used count towards the route's attempts.
func TestForwardedAttemptsCount(t *testing.T) {
	a, b := newFakeTarget(t, "a", "status 500 run"), newFakeTarget(t, "b", "status 500 run")
	own := newFakeTarget(t, "own", "status 500 run")
	far := newTestInstance(t, "far", []*fakeTarget{a, b})
	near := newTestInstance(t, "near", []*fakeTarget{own}, far)
	status, _, _ := roundTrip(t, near, getRequest("/read/x"))
	if status != http.StatusInternalServerError {
		t.Errorf("status %d", status)
	}
	if n := len(a.requests()) + len(b.requests()) + len(own.requests()); n != 2 {
		t.Errorf("sent to %d targets, the route allows 2", n)
	}
}

// An idempotent request is retried in another region if the first does not respond.
func TestForwardedIdempotentIsRetried(t *testing.T) {
	silent, ok := newFakeTarget(t, "silent", "silent"), newFakeTarget(t, "ok", "ok done")
	near := newTestInstance(t, "near", nil, newTestInstance(t, "mute", []*fakeTarget{silent}), newTestInstance(t, "sound", []*fakeTarget{ok}))
	if status, body, _ := roundTrip(t, near, getRequest("/read/x")); status != http.StatusOK || body != "done" {
		t.Errorf("response %d %s", status, body)
	}
	if n := len(silent.requests()); n != 1 {
		t.Errorf("the unresponsive region received the request %d times", n)
	}
}

// A refusal by a region that reached no target must not draw on the retry budget.
func TestRemoteRefusalCostsNoRetryBudget(t *testing.T) {
	f := newFakeTarget(t, "e", "ok x")
	empty, full := newTestInstance(t, "empty", nil), newTestInstance(t, "full", []*fakeTarget{f})
	near := newTestInstance(t, "near", nil, empty, full)
	for n := range 20 { // far more than the retry budget allows
		if status, body, _ := roundTrip(t, near, getRequest("/order/x")); status != http.StatusOK {
			t.Fatalf("request %d: response %d %s", n, status, body)
		}
	}
}

// A request that only another region may serve is refused there for lack of
// capacity. The caller must receive that region's Retry-After.
func TestRemoteRefusalRetryAfter(t *testing.T) {
	busy := newFakeTarget(t, "busy", "ok x")
	far := newTestInstance(t, "far", []*fakeTarget{busy})
	var tickets []*placement.Ticket
	for range 500 { // fill the queue of the other region
		tickets = append(tickets, far.gateway.Picker.Choose(time.Now(), far.gateway.Targets(time.Now(), "s"), placement.Request{Service: service.New("s")}, placement.ColdShare{Position: placement.Position{Instances: 1}}))
	}
	near := newTestInstance(t, "near", nil, far)
	directStatus, _, directHeader := roundTrip(t, far, getRequest("/read/x"))
	status, _, header := roundTrip(t, near, getRequest("/read/x"))
	if directStatus != http.StatusServiceUnavailable || status != http.StatusServiceUnavailable {
		t.Fatalf("status %d directly and %d forwarded", directStatus, status)
	}
	if got, want := header.Get("Retry-After"), directHeader.Get("Retry-After"); got != want {
		t.Errorf("retry after %s s, want %s s as from the full region", got, want)
	}
	for _, ticket := range tickets {
		ticket.End(time.Now(), placement.Canceled)
	}
}

// A prompt with a long shared part is sent to the region that caches that part.
func TestSharedPartsPreferredRegion(t *testing.T) {
	near, far := newFakeTarget(t, "near", "ok near"), newFakeTarget(t, "far", "ok far")
	remote := newTestInstance(t, "far", []*fakeTarget{far})
	n := newTestInstance(t, "near", []*fakeTarget{near}, remote)
	n.gateway.PreferredTarget = func(_ string, _ []placement.Part, reachable func(string) bool) (string, string) {
		if !reachable("far") {
			return "near", "near"
		}
		return "far", "far"
	}
	for _, c := range []struct{ parts, want string }{
		{"base:8000,own:10", "far"},
		{"base:5,own:8000", "near"}, // the shared part is too short to be worth the longer path
		{"own:8000", "near"},
	} {
		if status, body, _ := roundTrip(t, n, getRequest("/read/x", "Parts: "+c.parts)); status != http.StatusOK || body != c.want {
			t.Errorf("parts %s: %d from %s, want %s", c.parts, status, body, c.want)
		}
	}
}

// Requests of a customer that is restricted to regions are not sent elsewhere.
func TestResidency(t *testing.T) {
	nearTarget, farTarget := newFakeTarget(t, "n", "ok near"), newFakeTarget(t, "f", "ok far")
	far := newTestInstance(t, "far", []*fakeTarget{farTarget})
	near := newTestInstance(t, "near", []*fakeTarget{nearTarget}, far)
	if _, body, _ := roundTrip(t, near, strings.Replace(getRequest("/read/x"), "Key: k\r", "Key: kb\r", 1)); body != "far" {
		t.Errorf("answered by %q", body)
	}
	alone := newTestInstance(t, "near", []*fakeTarget{nearTarget})
	if status, body, _ := roundTrip(t, alone, strings.Replace(getRequest("/read/x"), "Key: k\r", "Key: kb\r", 1)); status != http.StatusServiceUnavailable {
		t.Errorf("response %d %s", status, body)
	}
	if len(nearTarget.requests()) != 0 {
		t.Error("a request reached a region outside the customer's allowed regions")
	}
}

func TestForgedHeadersAndKey(t *testing.T) {
	f := newFakeTarget(t, "e", "ok x")
	n := newTestInstance(t, "near", []*fakeTarget{f})
	roundTrip(t, n, getRequest("/read/a/../b?q=%2F", "Customer: other", "Expect-Target: other", "Chervil-Route: order", "Connection: x-secret", "X-Secret: 1", "Left: 99999"))
	if len(f.requests()) != 1 {
		t.Fatal("the target received no request or several")
	}
	r := f.requests()[0]
	if r.RequestURI != "/read/a/../b?q=%2F" {
		t.Errorf("request target %q", r.RequestURI)
	}
	if r.Header.Get("Customer") != "c" || r.Header.Get("Expect-Target") != "e" || r.Header.Get("Key") != "" ||
		r.Header.Get("Chervil-Route") != "" || r.Header.Get("X-Secret") != "" {
		t.Errorf("header %v", r.Header)
	}
	if left, _ := strconv.Atoi(r.Header.Get("Left")); left > 700 {
		t.Errorf("the target was given %d ms, the route allows 700", left)
	}
}

// TestRefused checks the status of refused requests. The statuses of "over
// the quota" and "late" are not checked.
func TestRefused(t *testing.T) {
	f := newFakeTarget(t, "e", "ok x")
	n := newTestInstance(t, "near", []*fakeTarget{f})
	smuggled := "POST /order/x HTTP/1.1\r\nHost: h.example\r\nId: 1\r\nKey: k\r\nContent-Length: 5\r\nContent-Length: 6\r\n\r\nhello!"
	for name, tc := range map[string]struct {
		text   string
		status int
	}{
		"unknown key":    {strings.Replace(getRequest("/read/x"), "Key: k\r", "Key: z\r", 1), http.StatusUnauthorized},
		"unknown route":  {getRequest("/nothing/x"), http.StatusNotFound},
		"two lengths":    {smuggled, http.StatusBadRequest},
		"over the quota": {strings.Replace(getRequest("/read/x"), "Tokens: 1\r", "Tokens: 5000\r", 1), http.StatusOK},
		"large body":     {"POST /order/x HTTP/1.1\r\nHost: h.example\r\nId: 1\r\nKey: k\r\nContent-Length: 2000000\r\n\r\n", http.StatusRequestEntityTooLarge},
		"late":           {getRequest("/read/x", "Wait: 0"), http.StatusOK},
	} {
		t.Run(name, func(t *testing.T) {
			if name == "large body" {
				tc.text += strings.Repeat("x", 1<<20+1)
			}
			if status, body, _ := roundTrip(t, n, tc.text); status != tc.status && name != "over the quota" && name != "late" {
				t.Errorf("response %d %s", status, body)
			}
		})
	}
	// The full bucket admitted the request of 5000 tokens and is now overdrawn.
	status, _, h := roundTrip(t, n, getRequest("/read/x"))
	if status != http.StatusTooManyRequests || h.Get("Retry-After") == "" {
		t.Errorf("over the quota: status %d, Retry-After %q", status, h.Get("Retry-After"))
	}
}

// A request is canceled at the target when the caller disconnects, also if it was
// forwarded to another region.
func TestCallerDisconnects(t *testing.T) {
	for name, forwarded := range map[string]bool{"own region": false, "other region": true} {
		t.Run(name, func(t *testing.T) {
			f := newFakeTarget(t, "e", "silent")
			n := newTestInstance(t, "far", []*fakeTarget{f})
			if forwarded {
				n = newTestInstance(t, "near", nil, n)
			}
			c, err := net.Dial("tcp", n.public.Listener.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			_, _ = io.WriteString(c, getRequest("/order/x"))
			for range 100 {
				if len(f.requests()) > 0 {
					break
				}
				time.Sleep(5 * time.Millisecond)
			}
			_ = c.Close()
			select {
			case <-f.ended:
			case <-time.After(400 * time.Millisecond):
				t.Error("the connection to the target is still open 400 ms after the caller left")
			}
		})
	}
}

// Guards against a log line that does not say what was believed about a cold target.
func TestLogOfColdTarget(t *testing.T) {
	f := newFakeTarget(t, "e", "ok hello")
	n := newTestInstance(t, "near", []*fakeTarget{f})
	c := testCatalogOf(service.New("s").WithColdLimit(4))
	n.gateway.Catalog = func() *catalog.Catalog { return c }
	n.gateway.ColdShare = func(time.Time) placement.ColdShare {
		return placement.ColdShare{Position: placement.Position{Instances: 3, Rank: 2}, RateFactor: 1}
	}
	n.gateway.Picker.RecordCheck("e", coldForMinute())
	ctx, cancel := context.WithCancel(context.Background())
	logged := n.gateway.Decisions.Run(ctx)
	if status, body, _ := roundTrip(t, n, getRequest("/read/x")); status != http.StatusOK {
		t.Fatalf("response %d %s", status, body)
	}
	cancel()
	<-logged
	decisions := n.gateway.Decisions.History("1")
	if len(decisions) != 1 || !strings.Contains(decisions[0].Reason, " sent_at=e@") || !strings.Contains(decisions[0].Reason, " believed=e,cold,left=") || !strings.Contains(decisions[0].Reason, ",limit=1,rank=2/3,") {
		t.Errorf("decisions %+v", decisions)
	}
}
