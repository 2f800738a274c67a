package choice_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"chervilyard.example/yard/choice"
	"chervilyard.example/yard/target"
)

var start = time.Unix(1_700_000_000, 0)

func engines(n int) []target.Target {
	var list []target.Target
	for i := range n {
		list = append(list, target.New(fmt.Sprintf("e%d", i), "c", "", []string{"m"}, 16, 1, false))
	}
	return list
}

func picker() *choice.Picker {
	return &choice.Picker{Random: rand.New(rand.NewPCG(1, 2)).IntN}
}

// share returns the part of picks that go to the target.
func share(p *choice.Picker, now time.Time, list []target.Target, name string) float64 {
	const picks = 300
	n := 0
	for range picks {
		if picked, ok := p.Pick(now, list, choice.Request{}); ok && picked.Target.Name() == name {
			n++
		}
	}
	return float64(n) / picks
}

func TestSlowTargetIsAvoided(t *testing.T) {
	p, list := picker(), engines(3)
	for i, e := range list {
		took := 50 * time.Millisecond
		if i == 0 {
			took *= 10
		}
		p.First(start, e.Name(), took)
	}
	if s := share(p, start, list, "e0"); s > 0 {
		t.Errorf("a target ten times slower gets %v", s)
	}
	if s := share(p, start.Add(10*time.Minute), list, "e0"); s < 0.1 {
		t.Errorf("a target that was slow once gets %v ten minutes later", s)
	}
}

func TestFailingFastAttractsNothing(t *testing.T) {
	p, list := picker(), engines(3)
	for range 3 {
		p.First(start, "e1", time.Millisecond)
		p.Fail(start, "e1", false)
	}
	if s := share(p, start, list, "e1"); s > 0 {
		t.Errorf("a target that fails fast gets %v", s)
	}
}

func TestEjectionLeavesOne(t *testing.T) {
	p, list := picker(), engines(2)
	for _, e := range list {
		p.Fail(start, e.Name(), true)
	}
	if _, ok := p.Pick(start, list, choice.Request{}); !ok {
		t.Error("ejection emptied the data centre")
	}
}

func TestWarmTargetIsFound(t *testing.T) {
	p, list := picker(), engines(8)
	req := choice.Request{Prefix: choice.Prefix("customer", make([]byte, 8192)), Block: 64}
	p.Start("e5", req)
	p.End("e5")
	for range 50 {
		if picked, _ := p.Pick(start, list, req); picked.Target.Name() != "e5" || picked.Warm == 0 {
			t.Fatalf("picked %s, warm %d", picked.Target.Name(), picked.Warm)
		}
	}
	other := choice.Request{Prefix: choice.Prefix("another", make([]byte, 8192)), Block: 64}
	if picked, _ := p.Pick(start, list, other); picked.Warm != 0 {
		t.Error("a prompt is warm for another customer")
	}
}

// TestLaggedReports checks that own requests since the report count, so that
// one that looks idle is not flooded.
func TestLaggedReports(t *testing.T) {
	p, list := picker(), engines(4)
	for i, e := range list {
		p.Learn(e.Name(), choice.Report{At: start, Running: 4 * i})
	}
	sent := map[string]int{}
	for range 40 {
		picked, _ := p.Pick(start, list, choice.Request{})
		p.Start(picked.Target.Name(), choice.Request{})
		sent[picked.Target.Name()]++
	}
	for i, e := range list {
		if total := 4*i + sent[e.Name()]; total > 24 {
			t.Errorf("%s ends with %d of 64", e.Name(), total)
		}
	}
}
