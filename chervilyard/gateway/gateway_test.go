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

	"chervilyard.example/chervilyard/gateway"
	"chervilyard.example/chervilyard/journal"
	"chervilyard.example/chervilyard/pool"
	"chervilyard.example/yard/allowance"
	"chervilyard.example/yard/catalog"
	"chervilyard.example/yard/customer"
	"chervilyard.example/yard/membership"
	"chervilyard.example/yard/placement"
	"chervilyard.example/yard/refusal"
	"chervilyard.example/yard/retry"
	"chervilyard.example/yard/route"
	"chervilyard.example/yard/service"
	"chervilyard.example/yard/target"
)

func itoa(n int) string    { return strconv.Itoa(n) }
func itoaHex(n int) string { return strconv.FormatInt(int64(n), 16) }

// wire is a small protocol of its own, so that nothing here depends on the
// platform's names.
var wire = gateway.Wire{
	Read: func(r *http.Request) (gateway.Ask, string) {
		h := gateway.Forwardable(r.Header)
		ms, _ := strconv.Atoi(h.Get("Wait"))
		tokens, err := strconv.Atoi(h.Get("Tokens"))
		key := h.Get("Key")
		h.Del("Key")
		return gateway.Ask{
			ID: h.Get("Id"), Deadline: time.Duration(ms) * time.Millisecond,
			Prompt: tokens, Counted: err == nil, After: h.Get("After"), Header: h, Parts: parts(h.Get("Parts")),
		}, key
	},
	Dress: func(h http.Header, o gateway.Order) {
		h.Set("Expect-Target", o.Target)
		h.Set("Customer", o.Customer)
		h.Set("Left", strconv.FormatInt(o.Left.Milliseconds(), 10))
		if o.After != "" {
			h.Set("After", o.After)
		}
	},
	Judge: func(status int, h http.Header) gateway.Verdict {
		return gateway.Verdict{Genuine: h.Get("Stamp") != "", NotRun: h.Get("Not-Run") != "", Replaced: status == http.StatusMisdirectedRequest}
	},
	Owner:  func(h http.Header) string { return h.Get("Id") },
	Refuse: func(w http.ResponseWriter, r *refusal.Refusal) { r.WriteTo(w) },
}

// parts reads a prompt's parts, as ID:TOKENS,ID:TOKENS.
func parts(text string) []placement.Part {
	var list []placement.Part
	for one := range strings.SplitSeq(text, ",") {
		id, tokens, _ := strings.Cut(one, ":")
		if n, err := strconv.Atoi(tokens); err == nil {
			list = append(list, placement.Part{ID: id, Tokens: n})
		}
	}
	return list
}

func testCatalog() *catalog.Catalog {
	forward := func(name string, kind string, attempts int) route.Route {
		return route.New(name, route.KindService, route.Deadline(700*time.Millisecond), route.Repeatable(kind == "read"),
			route.Forward(route.Forwarding{
				Host: "h.example", Prefix: "/" + name + "/", Shares: []route.Share{{Service: "s", Weight: 1}},
				Attempts: attempts, Goal: 400 * time.Millisecond, Stream: strings.HasPrefix(kind, "stream"), Resume: kind == "streams",
				Public: name == "open",
			}))
	}
	return catalog.New(catalog.Draft{
		Version: 1, Limits: catalog.Limits{Body: 1 << 20},
		Routes: []route.Route{
			forward("read", "read", 2), forward("order", "order", 1), forward("stream", "stream", 1),
			forward("resume", "streams", 2), forward("open", "read", 1),
		},
		Services:  []service.Service{service.New("s")},
		Customers: []customer.Customer{customer.New("c", 1000, 1000, 1, ""), customer.New("bound", 1e6, 1e6, 1, "").WithHomes([]string{"far"})},
		Keys:      map[string]string{"k": "c", "kb": "bound"},
		Charges:   map[string]float64{"c": 1},
	})
}

// node is one gateway with its servers.
type node struct {
	gateway *gateway.Gateway
	front   *httptest.Server
	hop     *httptest.Server
}

func newNode(t *testing.T, region string, engines []*engine, remotes ...*node) *node {
	t.Helper()
	var targets []target.Target
	for _, e := range engines {
		targets = append(targets, target.New(e.name, "c", e.address(), []string{"s"}, 8, 1, false))
	}
	c := testCatalog()
	book := &allowance.Book{}
	book.Divide(time.Now().Add(-time.Minute), map[string]allowance.Terms{"c": {Rate: 1000, Burst: 1000}, "bound": {Rate: 1e6, Burst: 1e6}}, 1)
	g := &gateway.Gateway{
		Wire: wire, Now: time.Now, Catalog: func() *catalog.Catalog { return c }, Region: region,
		Targets: func(time.Time, string) []target.Target { return targets },
		Fleet:   func(time.Time) placement.Fleet { return placement.Fleet{Size: 1} },
		Remotes: func(_ time.Time, _ string, permits func(string) bool) []gateway.Remote {
			var list []gateway.Remote
			for _, n := range remotes {
				if permits(n.gateway.Region) {
					list = append(list, gateway.Remote{Wait: time.Millisecond, Member: membership.Member{
						Name: n.gateway.Region + "-1", Region: n.gateway.Region, Forward: n.hop.Listener.Addr().String(),
					}})
				}
			}
			return list
		},
		Instances: func(time.Time) int { return 1 },
		Retries:   func() retry.Terms { return retry.Terms{Window: 10 * time.Second, Ratio: 0.2, Slack: 4} },
		Picker:    &placement.Picker{}, Book: book, Budget: &retry.Budget{}, Pool: &pool.Pool{},
		Gather:  func(context.Context, string, float64) bool { return false },
		Journal: journal.Keeping(hclog.NewNullLogger(), 16),
		Draw:    func() float64 { return 0 }, Leaving: func() bool { return false },
	}
	n := &node{gateway: g, front: httptest.NewServer(g), hop: httptest.NewServer(http.HandlerFunc(g.ServeHop))}
	t.Cleanup(func() {
		n.front.Close()
		n.hop.Close()
	})
	return n
}

// call sends a raw request and returns the status and the body, with "cut"
// where the answer did not come whole.
func call(t *testing.T, n *node, text string) (int, string, http.Header) {
	t.Helper()
	c, err := net.Dial("tcp", n.front.Listener.Addr().String())
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

func get(path string, more ...string) string {
	return "GET " + path + " HTTP/1.1\r\nHost: h.example\r\nId: 1\r\nKey: k\r\nTokens: 1\r\n" + strings.Join(append(more, ""), "\r\n") + "\r\n"
}

// TestAnswers plays the cases of testdata/answers.txt: a route, the answers of
// the targets, and what the caller gets.
func TestAnswers(t *testing.T) {
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
			var engines []*engine
			for i, answers := range strings.Split(fields[1], ";") {
				engines = append(engines, newEngine(t, "e"+itoa(i), strings.TrimSpace(answers)))
			}
			n := newNode(t, "near", engines)
			status, body, _ := call(t, n, get("/"+fields[0]+"/x"))
			if got := fmt.Sprint(status); got != fields[2] {
				t.Errorf("status %s, want %s", got, fields[2])
			}
			text, torn := strings.CutSuffix(fields[3], " cut")
			want := strings.NewReplacer("EVENTS(", "", ")", "").Replace(text)
			if strings.HasPrefix(text, "EVENTS(") {
				want = events(want)
			}
			if torn {
				want += "cut"
			}
			if fields[3] != "-" && body != want {
				t.Errorf("body %q, want %q", body, want)
			}
			sends := 0
			for _, e := range engines {
				sends += len(e.requests())
			}
			if got := fmt.Sprint(sends); got != fields[4] {
				t.Errorf("%s sends, want %s", got, fields[4])
			}
		})
	}
}

// An order that was forwarded and never answered may have run: the refusal must
// not promise that it did not.
func TestForwardedOrderWithoutAnswer(t *testing.T) {
	e := newEngine(t, "far-e", "silent")
	far := newNode(t, "far", []*engine{e})
	near := newNode(t, "near", nil, far)
	status, body, _ := call(t, near, get("/order/x"))
	if status != http.StatusGatewayTimeout && status != http.StatusBadGateway || strings.Contains(body, `"run":"no"`) {
		t.Errorf("answer %d %s", status, body)
	}
}

// A forwarded request counts the targets that it was sent to there.
func TestForwardedAttemptsCount(t *testing.T) {
	a, b := newEngine(t, "a", "status 500 run"), newEngine(t, "b", "status 500 run")
	own := newEngine(t, "own", "status 500 run")
	far := newNode(t, "far", []*engine{a, b})
	near := newNode(t, "near", []*engine{own}, far)
	status, _, _ := call(t, near, get("/read/x"))
	if status != http.StatusInternalServerError {
		t.Errorf("status %d", status)
	}
	if n := len(a.requests()) + len(b.requests()) + len(own.requests()); n != 2 {
		t.Errorf("sent to %d targets, the route allows 2", n)
	}
}

// A repeatable request that another region holds in silence is tried elsewhere.
func TestForwardedReadIsRepeated(t *testing.T) {
	silent, ok := newEngine(t, "silent", "silent"), newEngine(t, "ok", "ok done")
	near := newNode(t, "near", nil, newNode(t, "mute", []*engine{silent}), newNode(t, "sound", []*engine{ok}))
	if status, body, _ := call(t, near, get("/read/x")); status != http.StatusOK || body != "done" {
		t.Errorf("answer %d %s", status, body)
	}
	if n := len(silent.requests()); n != 1 {
		t.Errorf("the silent region got the request %d times", n)
	}
}

// A region that refuses without having reached a target costs no repeat.
func TestRefusalThereCostsNoRepeat(t *testing.T) {
	e := newEngine(t, "e", "ok x")
	empty, full := newNode(t, "empty", nil), newNode(t, "full", []*engine{e})
	near := newNode(t, "near", nil, empty, full)
	for n := range 20 { // far more than the budget for repeats allows
		if status, body, _ := call(t, near, get("/order/x")); status != http.StatusOK {
			t.Fatalf("request %d: answer %d %s", n, status, body)
		}
	}
}

// A request that only another region may serve is refused there for want of room.
// The caller hears when that region expects some.
func TestRefusalThereSaysWhen(t *testing.T) {
	busy := newEngine(t, "busy", "ok x")
	far := newNode(t, "far", []*engine{busy})
	var held []*placement.Ticket
	for range 500 { // requests that wait there
		held = append(held, far.gateway.Picker.Choose(time.Now(), far.gateway.Targets(time.Now(), "s"), placement.Request{Service: service.New("s")}, placement.Fleet{Size: 1}))
	}
	near := newNode(t, "near", nil, far)
	there, _, direct := call(t, far, get("/read/x"))
	status, _, header := call(t, near, get("/read/x"))
	if there != http.StatusServiceUnavailable || status != http.StatusServiceUnavailable {
		t.Fatalf("answers %d there and %d here", there, status)
	}
	if got, want := header.Get("Retry-After"), direct.Get("Retry-After"); got != want {
		t.Errorf("come back after %s s, the region that is full says %s s", got, want)
	}
	for _, k := range held {
		k.End(time.Now(), placement.Abandoned)
	}
}

// A prompt whose shared part is long goes to the region where that is held.
func TestSharedPartsGoHome(t *testing.T) {
	near, far := newEngine(t, "near", "ok near"), newEngine(t, "far", "ok far")
	there := newNode(t, "far", []*engine{far})
	n := newNode(t, "near", []*engine{near}, there)
	n.gateway.Home = func(_ string, _ []placement.Part, reach func(string) bool) (string, string) {
		if !reach("far") {
			return "near", "near"
		}
		return "far", "far"
	}
	for _, c := range []struct{ parts, want string }{
		{"base:8000,own:10", "far"},
		{"base:5,own:8000", "near"}, // too little is shared for the way
		{"own:8000", "near"},
	} {
		if status, body, _ := call(t, n, get("/read/x", "Parts: "+c.parts)); status != http.StatusOK || body != c.want {
			t.Errorf("parts %s: %d from %s, want %s", c.parts, status, body, c.want)
		}
	}
}

// Requests and bodies of a customer that is bound to regions go nowhere else.
func TestBoundCustomer(t *testing.T) {
	nearEngine, farEngine := newEngine(t, "n", "ok near"), newEngine(t, "f", "ok far")
	far := newNode(t, "far", []*engine{farEngine})
	near := newNode(t, "near", []*engine{nearEngine}, far)
	if _, body, _ := call(t, near, strings.Replace(get("/read/x"), "Key: k\r", "Key: kb\r", 1)); body != "far" {
		t.Errorf("answered by %q", body)
	}
	alone := newNode(t, "near", []*engine{nearEngine})
	if status, body, _ := call(t, alone, strings.Replace(get("/read/x"), "Key: k\r", "Key: kb\r", 1)); status != http.StatusServiceUnavailable {
		t.Errorf("answer %d %s", status, body)
	}
	if len(nearEngine.requests()) != 0 {
		t.Error("a bound request reached another region")
	}
}

func TestForgedHeadersAndKey(t *testing.T) {
	e := newEngine(t, "e", "ok x")
	n := newNode(t, "near", []*engine{e})
	call(t, n, get("/read/a/../b?q=%2F", "Customer: other", "Expect-Target: other", "Chervil-Route: order", "Connection: x-secret", "X-Secret: 1", "Left: 99999"))
	if len(e.requests()) != 1 {
		t.Fatal("the request did not arrive")
	}
	r := e.requests()[0]
	if r.RequestURI != "/read/a/../b?q=%2F" {
		t.Errorf("target %q", r.RequestURI)
	}
	if r.Header.Get("Customer") != "c" || r.Header.Get("Expect-Target") != "e" || r.Header.Get("Key") != "" ||
		r.Header.Get("Chervil-Route") != "" || r.Header.Get("X-Secret") != "" {
		t.Errorf("header %v", r.Header)
	}
	if left, _ := strconv.Atoi(r.Header.Get("Left")); left > 700 {
		t.Errorf("handed on %d ms, the route allows 700", left)
	}
}

// TestRefused tells what is refused without reaching a target.
func TestRefused(t *testing.T) {
	e := newEngine(t, "e", "ok x")
	n := newNode(t, "near", []*engine{e})
	smuggled := "POST /order/x HTTP/1.1\r\nHost: h.example\r\nId: 1\r\nKey: k\r\nContent-Length: 5\r\nContent-Length: 6\r\n\r\nhello!"
	for name, one := range map[string]struct {
		text   string
		status int
	}{
		"unknown key":    {strings.Replace(get("/read/x"), "Key: k\r", "Key: z\r", 1), http.StatusUnauthorized},
		"unknown route":  {get("/nothing/x"), http.StatusNotFound},
		"two lengths":    {smuggled, http.StatusBadRequest},
		"over the quota": {strings.Replace(get("/read/x"), "Tokens: 1\r", "Tokens: 5000\r", 1), http.StatusOK},
		"large body":     {"POST /order/x HTTP/1.1\r\nHost: h.example\r\nId: 1\r\nKey: k\r\nContent-Length: 2000000\r\n\r\n", http.StatusRequestEntityTooLarge},
		"late":           {get("/read/x", "Wait: 0"), http.StatusOK},
	} {
		t.Run(name, func(t *testing.T) {
			if name == "large body" {
				one.text += strings.Repeat("x", 1<<20+1)
			}
			if status, body, _ := call(t, n, one.text); status != one.status && name != "over the quota" && name != "late" {
				t.Errorf("answer %d %s", status, body)
			}
		})
	}
	// A full bucket admitted the large request, and owes the rest.
	status, _, h := call(t, n, get("/read/x"))
	if status != http.StatusTooManyRequests || h.Get("Retry-After") == "" {
		t.Errorf("over the quota: status %d, Retry-After %q", status, h.Get("Retry-After"))
	}
}

// A caller that leaves ends the request at the target, also over another region.
func TestCallerLeaves(t *testing.T) {
	for name, forwarded := range map[string]bool{"own region": false, "other region": true} {
		t.Run(name, func(t *testing.T) {
			e := newEngine(t, "e", "silent")
			n := newNode(t, "far", []*engine{e})
			if forwarded {
				n = newNode(t, "near", nil, n)
			}
			c, err := net.Dial("tcp", n.front.Listener.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			_, _ = io.WriteString(c, get("/order/x"))
			for range 100 {
				if len(e.requests()) > 0 {
					break
				}
				time.Sleep(5 * time.Millisecond)
			}
			_ = c.Close()
			select {
			case <-e.ended:
			case <-time.After(400 * time.Millisecond):
				t.Error("the target still works half a second after the caller left")
			}
		})
	}
}
