package gateway_test

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"chervilyard.example/chervilyard/gateway"
	"chervilyard.example/chervilyard/pool"
	"chervilyard.example/yard/catalog"
	"chervilyard.example/yard/membership"
	"chervilyard.example/yard/route"
	"chervilyard.example/yard/service"
	"chervilyard.example/yard/silence"
)

// hopTimeout is the timeout of the routes in these tests. A silent hop is found after 0.8 s.
const hopTimeout = 20 * time.Second

// hopCatalog returns a catalog whose routes have time enough to find a silent hop, and no
// latency objective, so that no first-byte timeout ends an attempt before.
func hopCatalog() *catalog.Catalog {
	forward := func(name string, stream, resume bool) route.Route {
		return route.New(name, route.KindService, route.Timeout(hopTimeout), route.Repeatable(name == "read"),
			route.Forward(route.Forwarding{
				Host: "h.example", Prefix: "/" + name + "/", Services: []route.WeightedService{{Service: "s", Weight: 1}},
				Attempts: 2, Stream: stream, Resume: resume, Public: true,
			}))
	}
	return catalog.New(catalog.Config{
		Version: 1, Limits: catalog.Limits{MaxBodyBytes: 1 << 20}, Services: []service.Service{service.New("s")},
		Routes: []route.Route{forward("read", false, false), forward("order", false, false), forward("stream", true, false), forward("resume", true, true)},
	})
}

// freezingRelay passes bytes to an address until those that come back contain the text after.
// From then on it passes nothing in either direction and answers no new connection. Its kernel
// still acknowledges everything, so TCP does not show that it is silent.
type freezingRelay struct {
	net.Listener
	frozen atomic.Bool
}

func newFreezingRelay(t *testing.T, address, after string) *freezingRelay {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	r := &freezingRelay{Listener: l}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			t.Cleanup(func() { _ = c.Close() })
			if r.frozen.Load() {
				continue
			}
			far, err := net.Dial("tcp", address)
			if err != nil {
				_ = c.Close()
				continue
			}
			t.Cleanup(func() { _ = far.Close() })
			go r.pass(far, c, "")
			go r.pass(c, far, after)
		}
	}()
	return r
}

// pass copies from src to dst until the relay is frozen, or up to the text after. The end of a
// connection is passed on as well.
func (r *freezingRelay) pass(dst, src net.Conn, after string) {
	buf, seen := make([]byte, 4<<10), []byte(nil)
	for {
		n, err := src.Read(buf)
		if r.frozen.Load() {
			return
		}
		out := buf[:n]
		seen = append(seen, out...)
		if i := bytes.Index(seen, []byte(after)); after != "" && i >= 0 {
			r.frozen.Store(true)
			out = seen[len(seen)-n : i+len(after)]
		}
		_, _ = dst.Write(out)
		if err != nil {
			_ = dst.Close()
			return
		}
	}
}

// newHopInstance returns an instance that forwards to the members of region far at the addresses,
// the first of them first.
func newHopInstance(t *testing.T, addresses ...string) *testInstance {
	t.Helper()
	near := newTestInstance(t, "near", nil)
	near.gateway.Catalog = hopCatalog
	near.gateway.Silence = &silence.Monitor{}
	near.gateway.Remotes = func(now time.Time, _ string, _ bool, _ func(string) bool) []gateway.RemoteInstance {
		var list []gateway.RemoteInstance
		for i, address := range addresses {
			list = append(list, gateway.RemoteInstance{Wait: time.Duration(i+1) * time.Millisecond, Member: membership.Member{
				Name: "far-" + itoa(i), Region: "far", Forward: address, Heard: now,
			}})
		}
		return list
	}
	return near
}

func newFarInstance(t *testing.T, f *fakeTarget) (address string) {
	t.Helper()
	far := newTestInstance(t, "far", []*fakeTarget{f})
	far.gateway.Catalog = hopCatalog
	return far.internal.Listener.Addr().String()
}

// fetch sends a request and returns the status and the body, followed by "cut" if it is
// incomplete.
func fetch(t *testing.T, n *testInstance, path string) (int, string) {
	t.Helper()
	req, err := http.NewRequest(http.MethodGet, n.public.URL+path, nil)
	if err != nil {
		t.Fatal(err)
	}
	req.Host = "h.example"
	req.Header.Set("Id", "1")
	client := http.Client{Timeout: 2 * hopTimeout}
	resp, err := client.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return resp.StatusCode, string(body) + "cut"
	}
	return resp.StatusCode, string(body)
}

// Guards against forwarded requests that wait for an instance that is cut off until their
// deadline, and against ends of them that are not truthful.
func TestHopFallsSilent(t *testing.T) {
	const answer = "HTTP/1.1 200"
	for _, tc := range []struct {
		name, path, response, after string
		status                      int
		body                        string
		retried                     bool
	}{
		{"idempotent, before the header", "/read/x", "ok far", answer, 200, "second", true},
		{"not idempotent, before the header", "/order/x", "ok far", answer, 502, "-", false},
		{"resumable, before the header", "/resume/x", "events 1,2,3,4", answer, 200, events("1,2,3,4"), true},
		{"resumable, inside an event", "/resume/x", "events 1,2,3,4", "id: 3\nda", 200, events("1,2,3,4"), true},
		{"not resumable, inside an event", "/stream/x", "events 1,2,3,4", "id: 3\nda", 200, events("1,2") + "id: 3\ndacut", false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			first, second := newFakeTarget(t, "first", tc.response), newFakeTarget(t, "second", "rest 1,2,3,4")
			if tc.path == "/read/x" {
				second.responses = []string{"ok second"}
			}
			relay := newFreezingRelay(t, newFarInstance(t, first), tc.after)
			if tc.after == answer { // the header does not arrive either
				relay = newFreezingRelay(t, newFarInstance(t, first), "HTTP")
			}
			near := newHopInstance(t, relay.Addr().String(), newFarInstance(t, second))
			status, body := fetch(t, near, tc.path)
			if status != tc.status || tc.body != "-" && body != tc.body || strings.Contains(body, `"run":"no"`) {
				t.Errorf("response %d %q, want %d %q", status, body, tc.status, tc.body)
			}
			if sent, again := len(first.requests()), len(second.requests()); sent != 1 || (again > 0) != tc.retried || again > 1 {
				t.Errorf("the targets received %d and %d requests", sent, again)
			}
			if status, _ := fetch(t, near, "/read/y"); status != http.StatusOK || len(second.requests()) == 0 {
				t.Errorf("the next request, for which the silent instance must not be chosen, got status %d", status)
			}
		})
	}
}

// Guards against a request in the long queue of a target that is taken for one whose hop is
// silent: the other instance answers probes, on new connections.
func TestQueueIsNotSilence(t *testing.T) {
	t.Parallel()
	f := newFakeTarget(t, "far-e", "ok late")
	f.beforeResponse = func() { time.Sleep(2500 * time.Millisecond) } // three times as long as a silent hop is waited for
	near := newHopInstance(t, newFarInstance(t, f))
	if status, body := fetch(t, near, "/order/x"); status != http.StatusOK || body != "late" {
		t.Errorf("response %d %q", status, body)
	}
	if n := len(f.requests()); n != 1 {
		t.Errorf("the target received %d requests", n)
	}
}

// Failure: this instance has no descriptors left. Guards against its forwarded requests that are
// ended because it cannot connect for probes, although their hop works.
func TestLackOfDescriptorsIsNotSilence(t *testing.T) {
	t.Parallel()
	f := newFakeTarget(t, "far-e", "ok late")
	f.beforeResponse = func() { time.Sleep(1500 * time.Millisecond) }
	near := newHopInstance(t, newFarInstance(t, f))
	var dialed atomic.Int32
	near.gateway.Pool.Dial = func(ctx context.Context, address string) (net.Conn, error) {
		if dialed.Add(1) > 1 {
			return nil, syscall.EMFILE
		}
		return pool.Dial(ctx, address)
	}
	if status, body := fetch(t, near, "/order/x"); status != http.StatusOK || body != "late" {
		t.Errorf("response %d %q", status, body)
	}
	if dialed.Load() < 2 {
		t.Error("the hop was not probed")
	}
}

// Guards against a target that works on for a caller that has left, over a hop.
func TestCallerLeavesOverHop(t *testing.T) {
	t.Parallel()
	f := newFakeTarget(t, "far-e", "silent")
	near := newHopInstance(t, newFarInstance(t, f))
	ctx, leave := context.WithCancel(t.Context())
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, near.public.URL+"/order/x", nil)
	if err != nil {
		t.Fatal(err)
	}
	req.Host = "h.example"
	go func() {
		for len(f.requests()) == 0 {
			time.Sleep(10 * time.Millisecond)
		}
		leave()
	}()
	if resp, err := http.DefaultClient.Do(req); err == nil {
		_ = resp.Body.Close()
		t.Errorf("status %d", resp.StatusCode)
	}
	select {
	case <-f.ended:
	case <-time.After(hopTimeout / 2):
		t.Error("the target's request did not end")
	}
}

// Guards against an instance that is cut off and forwards on: when all hops are silent, its own
// targets serve the requests.
func TestCutOffInstanceServesLocally(t *testing.T) {
	t.Parallel()
	own := newFakeTarget(t, "own", "ok own")
	near := newTestInstance(t, "near", []*fakeTarget{own})
	var m silence.Monitor
	near.gateway.Silence = &m
	past := time.Now().Add(-1500 * time.Millisecond)
	for _, name := range []string{"far-0", "far-1"} {
		for range 2 {
			m.StartProbe(past, name, 0)
			m.EndProbe(past, name, false, false)
		}
		if silent, _, _ := m.Check(past.Add(time.Second), past, name, 0, false); !silent {
			t.Fatalf("%s is not silent", name)
		}
	}
	far := newFakeTarget(t, "far-e", "ok far")
	address := newFarInstance(t, far)
	near.gateway.Catalog = hopCatalog
	near.gateway.Remotes = func(time.Time, string, bool, func(string) bool) []gateway.RemoteInstance {
		return []gateway.RemoteInstance{{Member: membership.Member{Name: "far-2", Region: "far", Forward: address, Heard: past}}}
	}
	if status, body := fetch(t, near, "/order/x"); status != http.StatusOK || body != "own" {
		t.Errorf("response %d %q", status, body)
	}
}

// Guards against a run that goes on at its target although the instance that forwarded the request
// is cut off, and no connection shows it.
func TestSenderFallsSilent(t *testing.T) {
	t.Parallel()
	f := newFakeTarget(t, "far-e", "silent")
	far := newTestInstance(t, "far", []*fakeTarget{f})
	frozen := newFreezingRelay(t, "", "")
	frozen.frozen.Store(true)
	far.gateway.Catalog, far.gateway.Silence = hopCatalog, &silence.Monitor{}
	sender := membership.Member{Name: "near-0", Region: "near", Forward: frozen.Addr().String(), Heard: time.Now()}
	far.gateway.Member = func(name string) (membership.Member, bool) { return sender, name == sender.Name }
	near := newHopInstance(t, far.internal.Listener.Addr().String())
	near.gateway.Name, near.gateway.Silence = sender.Name, nil
	if status, _ := fetch(t, near, "/order/x"); status != http.StatusBadGateway { // 504 at the deadline
		t.Errorf("status %d", status)
	}
	select {
	case <-f.ended:
	case <-time.After(hopTimeout):
		t.Error("the target's request did not end")
	}
}

// Guards against requests that are ended because their sender is not heard of, although it answers
// probes: in a region with hubs it is heard of only now and then.
func TestUnheardSenderAnswers(t *testing.T) {
	t.Parallel()
	f := newFakeTarget(t, "far-e", "ok late")
	f.beforeResponse = func() { time.Sleep(4 * time.Second) } // a silent sender is found after 1.6 s
	far := newTestInstance(t, "far", []*fakeTarget{f})
	far.gateway.Catalog, far.gateway.Silence = hopCatalog, &silence.Monitor{}
	near := newHopInstance(t, far.internal.Listener.Addr().String())
	near.gateway.Name = "near-0"
	far.gateway.Member = func(name string) (membership.Member, bool) {
		return membership.Member{Name: name, Forward: near.internal.Listener.Addr().String()}, true
	}
	if status, body := fetch(t, near, "/order/x"); status != http.StatusOK || body != "late" {
		t.Errorf("response %d %q", status, body)
	}
}
