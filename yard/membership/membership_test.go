package membership_test

import (
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

func TestRank(t *testing.T) {
	others := []membership.Member{{Name: "a"}, {Name: "c"}}
	if membership.Rank("b", others) != 1 || membership.Rank("0", others) != 0 || membership.Rank("d", others) != 2 {
		t.Error("ranks do not follow the order of names")
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
