package connlimit_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"chervilyard.example/chervilyard/connlimit"
)

var start = time.Unix(1_700_000_000, 0)

// server has connections without a network. Names are those of connections.
type server struct {
	limiter connlimit.Limiter
	conns   map[string]*connlimit.Conn
	inUse   map[string]bool // refuse to be closed
	closed  []string        // "NAME REASON" in order
}

func newServer(limits connlimit.Limits) *server {
	s := &server{conns: make(map[string]*connlimit.Conn), inUse: make(map[string]bool)}
	s.limiter.SetLimits(limits)
	return s
}

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

func (s *server) open(ms int, names ...string) {
	for _, name := range names {
		s.conns[name] = s.limiter.Add(at(ms), func(_ time.Time, r connlimit.Reason) bool {
			if s.inUse[name] {
				return false
			}
			s.closed = append(s.closed, name+" "+string(r))
			s.conns[name].Closed()
			return true
		})
	}
}

// request receives a whole request without a body.
func (s *server) request(ms int, name string) {
	s.conns[name].Received(at(ms), 100, false)
	s.conns[name].HeaderEnded()
	s.conns[name].BodyExpected(100, 0)
}

// serve receives a request and ends the response to it.
func (s *server) serve(ms int, name string) {
	s.request(ms, name)
	s.conns[name].ResponseEnded(at(ms), false)
}

func (s *server) wantClosed(t *testing.T, want ...string) {
	t.Helper()
	if !slices.Equal(s.closed, want) {
		t.Errorf("closed %q, want %q", s.closed, want)
	}
	s.closed = nil
}

// The load: more connections than descriptors. Guards against closing a connection that a
// caller still uses while another one is of less use.
func TestOrderAtLimit(t *testing.T) {
	s := newServer(connlimit.Limits{Descriptors: 100})
	s.open(0, "new", "half", "idle-late", "idle-early", "body", "body-done", "unread", "served", "chunks", "chunks-done")
	s.serve(10, "idle-early")
	s.serve(20, "idle-late")
	s.conns["half"].Received(at(30), 20, false)
	for name, size := range map[string]int64{"body": 50, "body-done": 50, "chunks": -1, "chunks-done": -1} {
		s.conns[name].Received(at(40), 100, false)
		s.conns[name].HeaderEnded()
		s.conns[name].BodyExpected(100, size)
	}
	s.conns["body"].Received(at(50), 49, false)
	s.conns["body-done"].Received(at(50), 50, false)
	s.conns["chunks"].Received(at(60), 50, false)
	s.conns["chunks-done"].Received(at(60), 50, true)
	s.request(70, "served")
	s.request(70, "unread")
	s.conns["unread"].WriteBegan(at(80))
	s.limiter.Enforce(at(100))
	s.wantClosed(t)

	s.limiter.SetLimits(connlimit.Limits{Descriptors: 1})
	if s.limiter.Enforce(at(5000)) {
		t.Error("the limit is said to be kept by requests in service")
	}
	s.wantClosed(t, "idle-early limit_idle", "idle-late limit_idle", "new limit_silent", "half limit_silent", "body limit_silent", "chunks limit_silent", "unread limit_unread")
	if n := s.limiter.Open(); n != 3 {
		t.Errorf("%d connections, want the three with whole requests", n)
	}
}

// The load: all connections are used by short pauses. Guards against closing a connection whose
// caller sends its body, or reads its response, at the pace of a slow link.
func TestShortPausesAtLimit(t *testing.T) {
	s := newServer(connlimit.Limits{Descriptors: 1})
	s.open(0, "body", "read")
	s.conns["body"].Received(at(0), 100, false)
	s.conns["body"].HeaderEnded()
	s.conns["body"].BodyExpected(100, 50)
	s.request(0, "read")
	s.conns["read"].WriteBegan(at(0))
	s.limiter.Enforce(at(900))
	s.wantClosed(t)
	s.conns["read"].WriteEnded()
	s.limiter.Enforce(at(9000))
	s.wantClosed(t, "body limit_silent")
}

// The load: idle connections on which requests arrive as they are to be closed. Guards against
// losing such a request, and against a search that does not end.
func TestConnectionInUseIsKept(t *testing.T) {
	s := newServer(connlimit.Limits{Descriptors: 2})
	s.open(0, "a", "b", "c")
	for _, name := range []string{"a", "b", "c"} {
		s.serve(10, name)
	}
	s.inUse["a"] = true
	if !s.limiter.Enforce(at(20)) {
		t.Error("the limit is not kept")
	}
	s.wantClosed(t, "b limit_idle")
	s.inUse["c"] = true
	s.limiter.SetLimits(connlimit.Limits{Descriptors: 1})
	if s.limiter.Enforce(at(30)) {
		t.Error("the limit is said to be kept")
	}
	s.request(40, "a")
	s.request(40, "c")
	s.wantClosed(t)
	if n := s.limiter.Open(); n != 2 {
		t.Errorf("%d connections, want 2", n)
	}
}

// A request in service takes a second descriptor, and other connections of the process count.
// Guards against a limit that leaves no descriptors for the connections to targets.
func TestRequestsInServiceCountTwice(t *testing.T) {
	s := newServer(connlimit.Limits{Descriptors: 4})
	s.open(0, "a", "b", "idle")
	s.serve(10, "idle")
	s.request(20, "a")
	s.limiter.Enforce(at(20))
	s.wantClosed(t)
	s.request(30, "b")
	s.limiter.Enforce(at(30))
	s.wantClosed(t, "idle limit_idle")
	s.conns["b"].ResponseEnded(at(40), false)
	s.limiter.Others = func() int { return 2 }
	s.limiter.Enforce(at(50))
	s.wantClosed(t, "b limit_idle")
}

// Guards against timeouts that end a connection early, late, or by the limits from before a
// change of the configuration.
func TestTimeouts(t *testing.T) {
	s := newServer(connlimit.Limits{HeaderTimeout: 500 * time.Millisecond, IdleTimeout: time.Second})
	s.open(0, "silent", "drip", "idle", "kept", "served")
	s.request(0, "served")
	s.serve(100, "idle")
	s.serve(100, "kept")
	for ms := 50; ms < 500; ms += 50 {
		s.conns["drip"].Received(at(ms), 1, false)
	}
	s.limiter.Expire(at(499))
	s.wantClosed(t)
	s.limiter.Expire(at(500))
	slices.Sort(s.closed)
	s.wantClosed(t, "drip header_timeout", "silent header_timeout")
	s.serve(900, "kept")
	s.limiter.Expire(at(1099))
	s.wantClosed(t)
	s.limiter.Expire(at(1100))
	s.wantClosed(t, "idle idle_timeout")
	s.limiter.SetLimits(connlimit.Limits{IdleTimeout: time.Minute})
	s.limiter.Expire(at(5000))
	s.wantClosed(t)
}

// Bytes after the begin of a response may be the rest of the request before. Guards against
// taking the connection for one with a slow header, which would end before the idle timeout.
func TestBytesDuringResponse(t *testing.T) {
	s := newServer(connlimit.Limits{HeaderTimeout: time.Second, IdleTimeout: 10 * time.Second})
	s.open(0, "rest", "next")
	for _, name := range []string{"rest", "next"} {
		s.request(0, name)
		s.conns[name].ResponseEnded(at(100), true)
	}
	s.conns["next"].Received(at(200), 10, false)
	s.limiter.Expire(at(1150))
	s.wantClosed(t)
	s.limiter.Expire(at(1200))
	s.wantClosed(t, "next header_timeout")
	s.limiter.Expire(at(10099))
	s.wantClosed(t)
	if got := s.limiter.TakeReport(); got != "header_timeout=1 open=1 limit=0" {
		t.Errorf("report %q", got)
	}
	s.limiter.Expire(at(10100))
	s.wantClosed(t, "rest idle_timeout")
	if got := s.limiter.TakeReport(); got != "" {
		t.Errorf("report %q of an idle timeout", got)
	}
}

// The load: many headers of legal size at once. Guards against headers that together take the
// memory of the instance, and against cutting off requests in service or short headers for it.
func TestHeadersInMemory(t *testing.T) {
	s := newServer(connlimit.Limits{MaxHeaderBytes: 16 << 10, HeldBytes: 40 << 10})
	s.open(0, "served", "short", "a", "b", "c")
	s.request(0, "served")
	s.conns["short"].Received(at(1), 200, false)
	for n, name := range []string{"a", "b", "c"} {
		want := connlimit.Within
		if name == "c" {
			want = connlimit.MustEnforce
		}
		if got := s.conns[name].Received(at(2+n), 15<<10, false); got != want {
			t.Errorf("verdict %d on %s, want %d", got, name, want)
		}
	}
	s.limiter.Enforce(at(10))
	s.wantClosed(t, "a header_memory")
	if got := s.conns["b"].Received(at(11), 10<<10, false); got != connlimit.TooLarge {
		t.Errorf("verdict %d on a header that is too large", got)
	}
}

// Random sequences of events. Guards against counts that drift, so that the limit closes too
// many connections or none after some time.
func TestAnySequence(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const descriptors = 6
		s := newServer(connlimit.Limits{Descriptors: descriptors, HeaderTimeout: time.Second, IdleTimeout: 3 * time.Second})
		inService, opened := make(map[string]bool), 0
		for ms := 0; ms < 4000; ms += rapid.IntRange(1, 200).Draw(t, "pause") {
			name := fmt.Sprint(rapid.IntRange(0, max(opened-1, 0)).Draw(t, "conn"))
			c, known := s.conns[name]
			switch event := rapid.IntRange(0, 5).Draw(t, "event"); {
			case event <= 1 || !known:
				s.open(ms, fmt.Sprint(opened))
				opened++
			case slices.ContainsFunc(s.closed, func(line string) bool { return line[:len(name)+1] == name+" " }):
			case event == 2:
				c.Received(at(ms), 10, false)
			case event == 3:
				s.request(ms, name)
				inService[name] = true
			case event == 4 && inService[name]:
				c.ResponseEnded(at(ms), rapid.Bool().Draw(t, "next"))
				delete(inService, name)
			case event == 5:
				s.inUse[name] = !s.inUse[name]
			}
			s.limiter.Expire(at(ms))
			if open := opened - len(s.closed); s.limiter.Open() != open {
				t.Fatalf("%d connections counted, %d are open", s.limiter.Open(), open)
			}
			for _, line := range s.closed {
				var name, reason string
				_, _ = fmt.Sscan(line, &name, &reason)
				if inService[name] {
					t.Fatalf("closed %s with a request in service", line)
				}
			}
			keptInUse := false
			for _, used := range s.inUse {
				keptInUse = keptInUse || used
			}
			if used := s.limiter.Open() + len(inService); used > descriptors && used > 2*len(inService) && !keptInUse {
				t.Fatalf("%d descriptors in use, %d allowed, %d requests in service", used, descriptors, len(inService))
			}
		}
	})
}
