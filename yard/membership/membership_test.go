package membership_test

import (
	"slices"
	"testing"
	"time"

	"chervilyard.example/yard/membership"
)

var start = time.Unix(1_700_000_000, 0)

func TestNewerStateWins(t *testing.T) {
	var table membership.Table
	table.Update(membership.Member{Name: "a", Run: 1, Heard: start.Add(time.Second)})
	if table.Update(membership.Member{Name: "a", Run: 1, Leaving: true, Heard: start}) {
		t.Error("an older state counts as a new run")
	}
	if m := table.All()[0]; m.Leaving {
		t.Error("an older state replaced a newer one")
	}
	if !table.Update(membership.Member{Name: "a", Run: 2, Heard: start.Add(2 * time.Second)}) {
		t.Error("Update returned false for a new run")
	}
}

func TestListedIsNotLive(t *testing.T) {
	var table membership.Table
	table.Update(membership.Member{Name: "a", Run: 1, Heard: start})
	table.MergeListing([]membership.Member{{Name: "a", Run: 2, Heard: start.Add(time.Hour)}, {Name: "b", Run: 1, Heard: start.Add(time.Hour)}})
	if live := table.Live(start.Add(time.Second), 3*time.Second); len(live) != 1 || live[0].Run != 1 {
		t.Errorf("live members are %v", live)
	}
	if len(table.All()) != 2 {
		t.Error("a listed member is not in the table")
	}
	table.Evict(start.Add(time.Minute), 30*time.Second)
	if all := table.All(); len(all) != 1 || all[0].Name != "b" {
		t.Errorf("members after Evict: %v", all)
	}
	// Evict keeps members without a heartbeat, so a listing has to remove them.
	table.MergeListing(nil)
	if all := table.All(); len(all) != 0 {
		t.Errorf("members neither heard from nor listed: %v", all)
	}
}

// The table finds its members by name, by fingerprint and in order, also after changes of
// state, evictions and listings.
func TestTableStaysConsistent(t *testing.T) {
	var table membership.Table
	member := func(name string, run int64, heard time.Duration) membership.Member {
		return membership.Member{Name: name, Run: run, Heard: start.Add(heard)}
	}
	for i, name := range []string{"c", "a", "d", "b"} {
		table.Update(member(name, 1, time.Duration(i)*time.Second))
	}
	table.Update(member("c", 2, 10*time.Second)) // another state
	table.RecordHeartbeat(member("d", 1, 0).Fingerprint(), start.Add(9*time.Second))
	table.MergeListing([]membership.Member{{Name: "e", Run: 1}, {Name: "f", Run: 1}})
	table.MergeListing([]membership.Member{{Name: "f", Run: 2}})
	table.Evict(start.Add(12*time.Second), 10*time.Second) // a, heard after 1 s
	want := []membership.Member{member("b", 1, 3*time.Second), member("c", 2, 10*time.Second), member("d", 1, 9*time.Second), {Name: "f", Run: 2}}
	if all := table.All(); !slices.Equal(all, want) {
		t.Errorf("members are %+v", all)
	}
	for _, m := range want {
		if got, ok := table.Get(m.Name); !ok || got != m {
			t.Errorf("%s is %+v", m.Name, got)
		}
		if got, ok := table.ByFingerprint(m.Fingerprint()); !ok || got != m {
			t.Errorf("by its fingerprint, %s is %+v", m.Name, got)
		}
	}
	for _, gone := range []membership.Member{member("a", 1, 0), member("c", 1, 0), {Name: "e", Run: 1}, {Name: "f", Run: 1}} {
		if got, ok := table.ByFingerprint(gone.Fingerprint()); ok || table.RecordHeartbeat(gone.Fingerprint(), start) {
			t.Errorf("a former state is found: %+v", got)
		}
	}
	var visited []membership.Member
	table.VisitLive(start.Add(12*time.Second), 5*time.Second, func(m membership.Member, fingerprint uint64) {
		if fingerprint != m.Fingerprint() {
			t.Errorf("%s has the fingerprint of another state", m.Name)
		}
		visited = append(visited, m)
	})
	if live := table.Live(start.Add(12*time.Second), 5*time.Second); !slices.Equal(visited, live) || len(live) != 2 {
		t.Errorf("visited %+v, live are %+v", visited, live)
	}
}

// Runs that started earlier come first, whatever their names, and runs of the same age are
// ordered by name.
func TestRank(t *testing.T) {
	started := time.Unix(1_700_000_000, 0)
	old, young := membership.NewRun(started, 7), membership.NewRun(started.Add(time.Millisecond), 0)
	others := []membership.Member{{Name: "a", Run: young}, {Name: "c", Run: old}}
	for _, c := range []struct {
		self membership.Member
		want int
	}{
		{membership.Member{Name: "b", Run: membership.NewRun(started.Add(-time.Millisecond), -1)}, 0},
		{membership.Member{Name: "b", Run: old}, 0},
		{membership.Member{Name: "d", Run: old}, 1},
		{membership.Member{Name: "0", Run: membership.NewRun(started.Add(2*time.Millisecond), 0)}, 2},
	} {
		if got := membership.Rank(c.self, others); got != c.want {
			t.Errorf("the rank of %+v is %d, want %d", c.self, got, c.want)
		}
	}
}

// The fingerprint covers every announced field and does not depend on the time
// of the last heartbeat.
func TestFingerprint(t *testing.T) {
	original := membership.Member{Name: "a", Run: 1, Region: "r", Centre: "c", Callers: "1", Forward: "2", Peers: "3"}
	heard := original
	heard.Heard = start
	if original.Fingerprint() != heard.Fingerprint() {
		t.Error("the fingerprint depends on the time of the last heartbeat")
	}
	for field, modify := range map[string]func(*membership.Member){
		"name": func(m *membership.Member) { m.Name = "b" }, "run": func(m *membership.Member) { m.Run = 2 },
		"region": func(m *membership.Member) { m.Region = "s" }, "centre": func(m *membership.Member) { m.Centre = "d" },
		"callers": func(m *membership.Member) { m.Callers = "9" }, "forward": func(m *membership.Member) { m.Forward = "9" },
		"peers": func(m *membership.Member) { m.Peers = "9" }, "leaving": func(m *membership.Member) { m.Leaving = true },
		"ready": func(m *membership.Member) { m.Ready = true },
	} {
		modified := original
		modify(&modified)
		if modified.Fingerprint() == original.Fingerprint() {
			t.Errorf("a different %s gives the same fingerprint", field)
		}
	}
	var table membership.Table
	table.Update(heard)
	if !table.RecordHeartbeat(original.Fingerprint(), start.Add(time.Second)) || table.RecordHeartbeat(1, start) {
		t.Error("RecordHeartbeat misses a known fingerprint or accepts an unknown one")
	}
	updated := heard
	updated.Ready, updated.Heard = true, start.Add(2*time.Second)
	table.Update(updated)
	if _, ok := table.ByFingerprint(original.Fingerprint()); ok {
		t.Error("the fingerprint of a replaced state is still indexed")
	}
	if m, ok := table.ByFingerprint(updated.Fingerprint()); !ok || m.Heard != updated.Heard {
		t.Errorf("member of the newest fingerprint is %+v", m)
	}
}

// The members whose state changed are returned once each, in order and in parts.
func TestChangedSince(t *testing.T) {
	var table membership.Table
	for i, name := range []string{"b", "a", "c"} {
		table.Update(membership.Member{Name: name, Run: 1, Heard: start.Add(time.Duration(i))})
	}
	table.Update(membership.Member{Name: "b", Run: 1, Heard: start.Add(time.Second)}) // no change of state
	table.Update(membership.Member{Name: "a", Run: 1, Leaving: true, Heard: start.Add(time.Second)})
	names := func(list []membership.Member) string {
		text := ""
		for _, m := range list {
			text += m.Name
		}
		return text
	}
	list, last := table.ChangedSince(0, 2)
	if names(list) != "bc" {
		t.Errorf("the first two changes are of %s", names(list))
	}
	if list, last = table.ChangedSince(last, 2); names(list) != "a" || last != table.Changes() {
		t.Errorf("then come those of %s, up to %d of %d", names(list), last, table.Changes())
	}
	if list, _ := table.ChangedSince(last, 2); len(list) != 0 {
		t.Errorf("%s changed again", names(list))
	}
}

// Larger instances come first, then the order is by name.
func TestCompare(t *testing.T) {
	list := []membership.Member{{Name: "b"}, {Name: "c", Capacity: 800}, {Name: "a"}, {Name: "d", Capacity: 192}}
	slices.SortFunc(list, membership.Compare)
	if got := list[0].Name + list[1].Name + list[2].Name + list[3].Name; got != "cdab" {
		t.Errorf("the order is %s", got)
	}
}
