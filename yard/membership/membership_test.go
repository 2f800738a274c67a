package membership_test

import (
	"testing"
	"time"

	"chervilyard.example/yard/membership"
)

var start = time.Unix(1_700_000_000, 0)

func TestFresherNewsWins(t *testing.T) {
	var tab membership.Table
	tab.Hear(membership.Member{Name: "a", Run: 1, Heard: start.Add(time.Second)})
	if tab.Hear(membership.Member{Name: "a", Run: 1, Leaving: true, Heard: start}) {
		t.Error("older news counts as a new run")
	}
	if m := tab.All()[0]; m.Leaving {
		t.Error("older news replaced fresher")
	}
	if !tab.Hear(membership.Member{Name: "a", Run: 2, Heard: start.Add(2 * time.Second)}) {
		t.Error("a new run was not noticed")
	}
}

func TestListedIsNotLive(t *testing.T) {
	var tab membership.Table
	tab.Hear(membership.Member{Name: "a", Run: 1, Heard: start})
	tab.List([]membership.Member{{Name: "a", Run: 2, Heard: start.Add(time.Hour)}, {Name: "b", Run: 1, Heard: start.Add(time.Hour)}})
	if live := tab.Live(start.Add(time.Second), 3*time.Second); len(live) != 1 || live[0].Run != 1 {
		t.Errorf("live are %v", live)
	}
	if len(tab.All()) != 2 {
		t.Error("a listed member is not known")
	}
	tab.Forget(start.Add(time.Minute), 30*time.Second)
	if all := tab.All(); len(all) != 1 || all[0].Name != "b" {
		t.Errorf("known after forgetting: %v", all)
	}
	// One that was never heard and is listed no longer would count for ever.
	tab.List(nil)
	if all := tab.All(); len(all) != 0 {
		t.Errorf("known though neither heard nor listed: %v", all)
	}
}

func TestRank(t *testing.T) {
	others := []membership.Member{{Name: "a"}, {Name: "c"}}
	if membership.Rank("b", others) != 1 || membership.Rank("0", others) != 0 || membership.Rank("d", others) != 2 {
		t.Error("ranks do not follow the names")
	}
}

// A mark stands for all that a member says of itself, and for nothing else.
func TestMarks(t *testing.T) {
	base := membership.Member{Name: "a", Run: 1, Region: "r", Centre: "c", Callers: "1", Forward: "2", Peers: "3"}
	later := base
	later.Heard = start
	if base.Mark() != later.Mark() {
		t.Error("the mark depends on when the member was heard")
	}
	for name, change := range map[string]func(*membership.Member){
		"name": func(m *membership.Member) { m.Name = "b" }, "run": func(m *membership.Member) { m.Run = 2 },
		"region": func(m *membership.Member) { m.Region = "s" }, "centre": func(m *membership.Member) { m.Centre = "d" },
		"callers": func(m *membership.Member) { m.Callers = "9" }, "forward": func(m *membership.Member) { m.Forward = "9" },
		"peers": func(m *membership.Member) { m.Peers = "9" }, "leaving": func(m *membership.Member) { m.Leaving = true },
		"ready": func(m *membership.Member) { m.Ready = true },
	} {
		other := base
		change(&other)
		if other.Mark() == base.Mark() {
			t.Errorf("another %s has the same mark", name)
		}
	}
	var tab membership.Table
	tab.Hear(later)
	if !tab.Renew(base.Mark(), start.Add(time.Second)) || tab.Renew(1, start) {
		t.Error("a mark is not known, or one that nobody has is")
	}
	changed := later
	changed.Ready, changed.Heard = true, start.Add(2*time.Second)
	tab.Hear(changed)
	if _, ok := tab.Find(base.Mark()); ok {
		t.Error("the mark of an older state is known")
	}
	if m, ok := tab.Find(changed.Mark()); !ok || m.Heard != changed.Heard {
		t.Errorf("the newest state is %+v", m)
	}
}
