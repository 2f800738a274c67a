package gossip

import (
	"fmt"
	"testing"
	"time"

	"chervilyard.example/yard/membership"
)

// Instances come and go under ever new names and addresses. Guards against state and
// connections of departed instances accumulating.
func TestPruneRemovesDepartedMembers(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	g := &Gossiper{Now: func() time.Time { return now }, Members: &membership.Table{}}
	for i := range 1000 {
		now = now.Add(time.Second)
		m := membership.Member{Name: fmt.Sprint("m", i), Peers: fmt.Sprintf("127.0.0.1:%d", 20000+i), Heard: now}
		g.Members.Update(m)
		if _, err := g.conn(m.Peers); err != nil {
			t.Fatal(err)
		}
		g.recordRoundTrip(m.Name, time.Millisecond)
		g.recordExchange(m.Name)
		g.addPending(m.Name, []uint64{1}, []uint64{2})
		g.Members.Evict(now, memberRetention)
		g.prune(now, g.Members.All())
	}
	maxMembers := int(memberRetention/time.Second) + 1
	for name, n := range map[string]int{
		"connections": len(g.conns) - int(connIdleTimeout/time.Second), "addresses": len(g.lastUsed) - int(connIdleTimeout/time.Second),
		"round trips": len(g.roundTrips) - maxMembers, "exchanges": len(g.lastExchange) - maxMembers, "requests": len(g.pending.requests) - maxMembers, "replies": len(g.pending.replies) - maxMembers,
	} {
		if n > 1 {
			t.Errorf("%d more %s than expected", n, name)
		}
	}
	if len(g.conns) == 0 {
		t.Error("connections in use are closed")
	}
	g.close()
}
