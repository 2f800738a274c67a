package edge_test

import (
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"
)

// dyingPath makes the connections that an instance accepts during a partition, and those that it
// had accepted before, deliver nothing for good. The kernel acknowledges what is sent on them.
type dyingPath struct {
	mu    sync.Mutex
	cut   bool
	conns []*dyingConn
}

func (p *dyingPath) setCut(cut bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cut = cut
	for _, c := range p.conns {
		c.die()
	}
}

type dyingListener struct {
	net.Listener
	path *dyingPath
}

func (l dyingListener) Accept() (net.Conn, error) {
	raw, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &dyingConn{Conn: raw, dead: make(chan struct{}), closed: make(chan struct{})}
	l.path.mu.Lock()
	defer l.path.mu.Unlock()
	l.path.conns = append(l.path.conns, c)
	if l.path.cut {
		c.die()
	}
	return c, nil
}

type dyingConn struct {
	net.Conn
	dead, closed        chan struct{}
	dieOnce, closedOnce sync.Once
}

func (c *dyingConn) die() { c.dieOnce.Do(func() { close(c.dead) }) }

func (c *dyingConn) isDead() bool {
	select {
	case <-c.dead:
		return true
	default:
		return false
	}
}

func (c *dyingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if c.isDead() && err == nil {
		_, _ = io.Copy(io.Discard, c.Conn)
		<-c.closed
		return 0, io.EOF
	}
	return n, err
}

func (c *dyingConn) Write(p []byte) (int, error) {
	if c.isDead() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

func (c *dyingConn) Close() error {
	c.closedOnce.Do(func() { close(c.closed) })
	return c.Conn.Close()
}

// Guards against instances that answer by an old configuration for many seconds after a partition,
// since their connections to the others have not survived it and none shows it. The instance that
// reads the store for the region is another one after the partition, and the store has dropped its
// history meanwhile; the instance that was cut off cannot read the store itself.
func TestNewConfigurationAfterPartition(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	var path dyingPath
	f.wrapListener = func(l net.Listener) net.Listener { return dyingListener{l, &path} }
	f.store.put("configuration/document", document{Version: 1, Rate: 1e6, Keys: []string{"old"}})
	f.addTarget("a", "east-a", respondWith("a"))
	for n := range 3 {
		f.start("east", n)
	}
	f.waitReady()
	eventually(t, 5*time.Second, "the key is accepted", func() bool { s, _ := call(f.edges["east-2"], "old", 1); return s == http.StatusOK })
	time.Sleep(time.Second) // meanwhile the heartbeats use their connections
	path.setCut(true)
	f.store.refuse("east-0", "east-2")
	time.Sleep(2 * time.Second)
	f.store.put("configuration/document", document{Version: 2, Rate: 1e6, Keys: []string{"new"}})
	f.store.dropHistory()
	path.setCut(false)
	healed := time.Now()
	for name, e := range f.edges {
		eventually(t, 6*time.Second, name+" accepts the new key", func() bool {
			s, _ := call(e, "new", 1)
			http.DefaultClient.CloseIdleConnections() // those of the callers did not survive either
			return s == http.StatusOK
		})
		t.Logf("%s: %v after the partition", name, time.Since(healed).Round(10*time.Millisecond))
	}
}
