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
	d := &Gossiper{Now: func() time.Time { return now }, Members: &membership.Table{}}
	for i := range 1000 {
		now = now.Add(time.Second)
		m := membership.Member{Name: fmt.Sprint("m", i), Peers: fmt.Sprintf("127.0.0.1:%d", 20000+i), Heard: now}
		d.Members.Update(m)
		if _, err := d.conn(m.Peers); err != nil {
			t.Fatal(err)
		}
		d.recordRoundTrip(m.Name, time.Millisecond)
		d.addPending(m.Name, []uint64{1}, []uint64{2})
		d.Members.Evict(now, memberRetention)
		d.prune(now, d.Members.All())
	}
	maxMembers := int(memberRetention/time.Second) + 1
	for name, n := range map[string]int{
		"connections": len(d.conns) - int(connIdleTimeout/time.Second), "addresses": len(d.lastUsed) - int(connIdleTimeout/time.Second),
		"round trips": len(d.roundTrips) - maxMembers, "requests": len(d.pending.requests) - maxMembers, "replies": len(d.pending.replies) - maxMembers,
	} {
		if n > 1 {
			t.Errorf("%d %s more than known members", n, name)
		}
	}
	if len(d.conns) == 0 {
		t.Error("connections in use are closed")
	}
	d.close()
}
