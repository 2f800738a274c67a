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
	tab.List(membership.Member{Name: "a", Run: 2, Heard: start.Add(time.Hour)})
	tab.List(membership.Member{Name: "b", Run: 1, Heard: start.Add(time.Hour)})
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
}

func TestRank(t *testing.T) {
	others := []membership.Member{{Name: "a"}, {Name: "c"}}
	if membership.Rank("b", others) != 1 || membership.Rank("0", others) != 0 || membership.Rank("d", others) != 2 {
		t.Error("ranks do not follow the names")
	}
}
