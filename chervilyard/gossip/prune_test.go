package gossip

import (
	"fmt"
	"testing"
	"time"

	"chervilyard.example/yard/membership"
)

// Instances come and go at new names and addresses for ever. What is kept of
// them does not grow.
func TestNothingIsKeptOfTheGone(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	d := &Duty{Now: func() time.Time { return now }, Table: &membership.Table{}}
	for i := range 1000 {
		now = now.Add(time.Second)
		m := membership.Member{Name: fmt.Sprint("m", i), Peers: fmt.Sprintf("127.0.0.1:%d", 20000+i), Heard: now}
		d.Table.Hear(m)
		if _, err := d.conn(m.Peers); err != nil {
			t.Fatal(err)
		}
		d.trip(m.Name, time.Millisecond)
		d.remember(m.Name, []uint64{1}, []uint64{2})
		d.Table.Forget(now, forget)
		d.prune(now, d.Table.All())
	}
	most := int(forget/time.Second) + 1
	for name, n := range map[string]int{
		"connections": len(d.conns) - int(unused/time.Second), "addresses": len(d.used) - int(unused/time.Second),
		"trips": len(d.trips) - most, "questions": len(d.news.asks) - most, "answers": len(d.news.owed) - most,
	} {
		if n > 1 {
			t.Errorf("%d %s more than of the members that are known", n, name)
		}
	}
	if len(d.conns) == 0 {
		t.Error("connections in use are closed")
	}
	d.close()
}
